"""What came of sending a request to one endpoint, and what may follow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .calls import AnswerHead
from .routes import Route, RouteKind

MAX_SENDS = 6
"""Most endpoints that are asked for one call, those that did not run it included."""


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


def may_send_again(outcome: Outcome, route: Route, *, runs: int, sends: int) -> bool:
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
                head.status >= 500
                and route.kind is RouteKind.IDEMPOTENT
                and runs < route.max_attempts
            )
