"""Estimates the usual deadlines and durations of turns, by route."""

from __future__ import annotations

DEADLINE_DECAY = 0.99
"""Factor by which the usual deadline shrinks with each request that arrives with less
remaining time, so that a single unusual deadline is forgotten after some hundred
requests."""
DURATION_WEIGHT = 0.05
"""Weight of the newest turn in the moving average of durations."""


class TurnTimes:
    """Usual deadlines and durations of turns, by route name.

    The usual deadline is the longest remaining time seen recently: later attempts of a
    caller, and programs that are about to end, have less time left.
    """

    __slots__ = ("_usual_deadline_s", "_usual_turn_s")

    def __init__(self) -> None:
        self._usual_deadline_s: dict[str, float] = {}
        self._usual_turn_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"TurnTimes({sorted(self._usual_deadline_s)})"

    def record_arrival(self, route: str, remaining_s: float) -> None:
        """Update the usual deadline by the remaining time of a new request."""
        known_s = DEADLINE_DECAY * self._usual_deadline_s.get(route, 0.0)
        self._usual_deadline_s[route] = max(remaining_s, known_s)

    def record_duration(self, route: str, duration_s: float) -> None:
        """Update the usual duration by a turn, from its preparation to its commit."""
        known_s = self._usual_turn_s.get(route, duration_s)
        self._usual_turn_s[route] = known_s + DURATION_WEIGHT * (duration_s - known_s)

    def usual_deadline_s(self, route: str) -> float:
        """Return the usual remaining time of first attempts; 0 if unknown."""
        return self._usual_deadline_s.get(route, 0.0)

    def usual_turn_s(self, route: str) -> float:
        """Return how long a turn usually takes; 0 if unknown."""
        return self._usual_turn_s.get(route, 0.0)
