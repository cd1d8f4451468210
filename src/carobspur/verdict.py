"""Verdicts: whether a failed request may have run. Every error states one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and never will; a retry is safe."""


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; its effects remain even if the answer is an error."""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is unknown whether the request ran; only an idempotent retry is safe."""


Verdict: TypeAlias = NotRun | Ran | MayHaveRun

NOT_RUN = NotRun()
RAN = Ran()
MAY_HAVE_RUN = MayHaveRun()


def verdict_name(verdict: Verdict) -> str:
    """Return the name of a verdict for messages between processes.

    Returns:
        ``not_run``, ``ran`` or ``may_have_run``.
    """
    match verdict:
        case NotRun():
            return "not_run"
        case Ran():
            return "ran"
        case MayHaveRun():
            return "may_have_run"


def verdict_from_name(name: str) -> Verdict:
    """Return the verdict with a name from :func:`verdict_name`.

    An unknown name gives :class:`MayHaveRun`, the only safe assumption.
    """
    match name:
        case "not_run":
            return NOT_RUN
        case "ran":
            return RAN
        case _:
            return MAY_HAVE_RUN
