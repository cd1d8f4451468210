"""Whether a request may have run: the one fact every error must state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will; repeating it is safe."""


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; its effects stand, even where the answer is an error."""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nobody can prove whether the request ran; it must not be repeated blindly."""


Verdict: TypeAlias = NotRun | Ran | MayHaveRun

NOT_RUN = NotRun()
RAN = Ran()
MAY_HAVE_RUN = MayHaveRun()


def verdict_name(verdict: Verdict) -> str:
    """Return the name of a verdict as it stands in messages.

    Args:
        verdict: The verdict to name.

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
    """Return the verdict with the given name.

    An unknown name reads as :class:`MayHaveRun`, the only safe assumption.

    Args:
        name: A name that :func:`verdict_name` returned, perhaps in another process.

    Returns:
        The verdict.
    """
    match name:
        case "not_run":
            return NOT_RUN
        case "ran":
            return RAN
        case _:
            return MAY_HAVE_RUN
