"""Outcomes of sending a call to one endpoint, and when the call may be retried."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from .calls import AnswerHead
from .routes import Route, RouteKind

MAX_SENDS = 6
"""Most endpoints that one call is sent to, including those that did not run it."""
FIRST_SERVER_ERROR_STATUS = 500
"""Statuses from here on report a failure of the endpoint, not of the request."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint gave a complete answer, which may be an error status.

    The names of the outcome classes are logged as ``outcome`` of ``sent`` lines.
    """

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRunThere:
    """The endpoint has not run the call and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The endpoint may have run the call, but gave no usable answer."""

    reason: str


Outcome: TypeAlias = Answered | NotRunThere | Lost


def is_conclusive(outcome: Outcome) -> bool:
    """Return whether another endpoint cannot give a better outcome."""
    return (
        isinstance(outcome, Answered)
        and outcome.head.status < FIRST_SERVER_ERROR_STATUS
    )


def best_outcome(outcomes: Sequence[Outcome]) -> Outcome:
    """Return the outcome to report to the caller when a call was sent several times.

    An answer below 500 ranks before a server error, any answer before none, and a lost
    answer before a call that has not run: the report must not understate what may have
    run.
    """
    return max(outcomes, key=_rank)


def _rank(outcome: Outcome) -> int:
    match outcome:
        case Answered():
            return 3 if is_conclusive(outcome) else 2
        case Lost():
            return 1
        case NotRunThere():
            return 0


def may_retry(outcome: Outcome, route: Route, *, runs: int, sends: int) -> bool:
    """Return whether the call may be sent to another endpoint.

    Args:
        outcome: Outcome of the last attempt.
        route: Route of the call; limits whether it may run again, and how often.
        runs: Number of endpoints that may have run the call.
        sends: Number of endpoints that the call was sent to.
    """
    if sends >= MAX_SENDS:
        return False
    match outcome:
        case NotRunThere():
            return runs == 0 or route.may_repeat
        case Lost():
            return route.kind is RouteKind.IDEMPOTENT and runs < route.max_attempts
        case Answered(head=head):
            return (
                head.status >= FIRST_SERVER_ERROR_STATUS
                and route.kind is RouteKind.IDEMPOTENT
                and runs < route.max_attempts
            )
