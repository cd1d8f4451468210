"""Which endpoints name a rate limit, since when, and how old that knowledge is; pure.

Gateways tell each other what they read in answers. Of two statements about an endpoint
the newer one counts, whichever gateway has read it, so that neither a limit nor its end
spreads further than the endpoint says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_ENDPOINTS = 8192
"""Most endpoints that are remembered; more than the largest deployment has."""


class LimitChange(StrEnum):
    """What a statement changes; logged as ``state`` of ``endpoint_limit`` lines."""

    STARTED = "started"
    CHANGED = "changed"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Statement:
    """What one answer of an endpoint says about its rate limit.

    Attributes:
        rate_per_s: Requests a second that the endpoint takes from all gateways
            together; ``None`` if the answer names no limit.
        stated_at: Loop time at which the answer was read, here or at a peer.
        is_own: Whether this gateway has read the answer itself.
    """

    rate_per_s: float | None
    stated_at: float
    is_own: bool = True


@dataclass(slots=True)
class _Known:
    latest: Statement
    started_at: float = 0.0


class LimitStatements:
    """The newest statement of each endpoint that names a limit or did so before.

    Endpoints are identified by the hash of their key, as in load reports.
    """

    __slots__ = ("_known", "_limited")

    def __init__(self) -> None:
        self._known: dict[int, _Known] = {}
        self._limited: set[int] = set()

    def __len__(self) -> int:
        return len(self._limited)

    def record(self, endpoint: int, statement: Statement) -> LimitChange | None:
        """Record a statement; returns what it changes, ``None`` for nothing."""
        change = self._record(endpoint, statement)
        match change:
            case LimitChange.STARTED:
                self._limited.add(endpoint)
            case LimitChange.ENDED:
                self._limited.discard(endpoint)
        return change

    def _record(self, endpoint: int, statement: Statement) -> LimitChange | None:
        known = self._known.get(endpoint)
        if known is None:
            # Most endpoints never name a limit, so there is nothing to remember.
            if statement.rate_per_s is None:
                return None
            if len(self._known) >= MAX_ENDPOINTS:
                self.forget(next(iter(self._known)))
            self._known[endpoint] = _Known(statement, statement.stated_at)
            return LimitChange.STARTED
        if statement.stated_at < known.latest.stated_at:
            return None
        before, known.latest = known.latest.rate_per_s, statement
        match before, statement.rate_per_s:
            case None, None:
                return None
            case None, _:
                known.started_at = statement.stated_at
                return LimitChange.STARTED
            case _, None:
                return LimitChange.ENDED
            case _:
                is_same = before == statement.rate_per_s
                return None if is_same else LimitChange.CHANGED

    def latest(self, endpoint: int) -> Statement | None:
        """Return the newest statement; ``None`` if no limit was ever named."""
        known = self._known.get(endpoint)
        return known.latest if known else None

    def rate_per_s(self, endpoint: int) -> float | None:
        """Return an endpoint's limit in requests a second; ``None`` without one."""
        known = self._known.get(endpoint)
        return known.latest.rate_per_s if known else None

    def age_s(self, endpoint: int, now: float) -> float:
        """Return the time since an endpoint's present limit was first named."""
        return now - self._known[endpoint].started_at

    def endpoints(self) -> list[int]:
        """Return all endpoints with a statement, those whose limit ended included."""
        return list(self._known)

    def forget(self, endpoint: int) -> None:
        """Delete what is known of an endpoint."""
        self._known.pop(endpoint, None)
        self._limited.discard(endpoint)
