"""Times that turns of a route usually have and take, learned from those that come."""

from __future__ import annotations

DEADLINE_DECAY = 0.99
"""Factor by which the longest time falls with each request that has less, so that one
caller with an unusual deadline is forgotten after some hundred others."""
DURATION_WEIGHT = 0.05
"""Weight of the newest turn in the usual time."""


class TurnTimes:
    """What callers of each route have at first, and what its turns take."""

    __slots__ = ("_remaining_s", "_usual_turn_s")

    def __init__(self) -> None:
        self._remaining_s: dict[str, float] = {}
        self._usual_turn_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"TurnTimes({sorted(self._remaining_s)})"

    def record_arrival(self, route: str, remaining_s: float) -> None:
        """Take note of the time that a request had when it came."""
        known_s = DEADLINE_DECAY * self._remaining_s.get(route, 0.0)
        self._remaining_s[route] = max(remaining_s, known_s)

    def record_end(self, route: str, taken_s: float) -> None:
        """Take note of how long a whole turn took, its commit included."""
        known_s = self._usual_turn_s.get(route, taken_s)
        self._usual_turn_s[route] = known_s + DURATION_WEIGHT * (taken_s - known_s)

    def usual_deadline_s(self, route: str) -> float:
        """Return what callers have at their first attempt; 0 where unknown."""
        return self._remaining_s.get(route, 0.0)

    def usual_turn_s(self, route: str) -> float:
        """Return how long a turn takes; 0 where unknown."""
        return self._usual_turn_s.get(route, 0.0)
