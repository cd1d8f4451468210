"""What a turn takes at the engines of one service, learned from its answers; pure.

The loads it answers: engines decode more slowly the more they run, and by how much
differs between deployments by ten times, as do prompts and answers.
"""

from __future__ import annotations

from .linear_fit import LinearFit

INITIAL_GAP_MS = 25.0
INITIAL_EVENTS = 8.0
"""Where nothing was measured yet: pause between two events, and events of a turn. Some
tens of turns replace them."""
INITIAL_RELATIVE_SLOPE = 0.03
"""What each further request adds to that pause, as a share of it, until measured."""
EVENT_COUNT_WEIGHT = 0.02
"""Weight of the newest turn in their usual number of events."""


class EngineTimes:
    """Times of the engines of one service."""

    __slots__ = ("_events", "_gap_ms")

    def __init__(self) -> None:
        self._gap_ms = LinearFit(
            intercept=INITIAL_GAP_MS, relative_slope=INITIAL_RELATIVE_SLOPE
        )
        self._events = INITIAL_EVENTS

    def __repr__(self) -> str:
        return f"EngineTimes({self._gap_ms}, {self._events:.1f})"

    def gap_ms(self, running: int) -> float:
        """Return the pause between events where so many requests run."""
        return self._gap_ms.predict(running)

    def turn_ms(self, running: int) -> float:
        """Return the time in which a turn is generated where so many run."""
        return self._events * self._gap_ms.predict(running)

    @property
    def contention_ms(self) -> float:
        """What one more request adds to a turn that runs beside it."""
        return self._events * self._gap_ms.slope

    def record_gap(self, running: int, gap_ms: float, *, events: int) -> None:
        """Take note of a turn's usual pause, and of how many events it had."""
        self._gap_ms.record(running, gap_ms)
        self._events += EVENT_COUNT_WEIGHT * (events - self._events)
