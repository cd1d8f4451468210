"""What came of sending a request to one endpoint, and what may follow."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

from .calls import AnswerHead
from .routes import Route, RouteKind

MAX_SENDS = 6
"""Most endpoints that are asked for one call, those that did not run it included."""
SERVER_ERROR = 500
"""First status by which an endpoint says that the failure is its own."""


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer that may be passed on."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRunThere:
    """The endpoint did not run it and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The endpoint may have run it; there is no answer that counts."""

    reason: str


Outcome: TypeAlias = Answered | NotRunThere | Lost


def is_conclusive(outcome: Outcome) -> bool:
    """Return whether nothing better can come of another endpoint."""
    return isinstance(outcome, Answered) and outcome.head.status < SERVER_ERROR


def best_outcome(outcomes: Sequence[Outcome]) -> Outcome:
    """Return what to tell the caller of several sendings of one call.

    A good answer before a failed one, an answer before none, and that it may have run
    before that it has not.
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
    """Return whether another endpoint may be asked.

    Args:
        outcome: What came of the last sending.
        route: Terms of the request.
        runs: Endpoints that may have run it.
        sends: Endpoints that were asked.
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
                head.status >= SERVER_ERROR
                and route.kind is RouteKind.IDEMPOTENT
                and runs < route.max_attempts
            )
