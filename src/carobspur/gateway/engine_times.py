"""Estimates turn times at the engines of one service from their answers; pure.

Engines decode more slowly the more requests they run. This slowdown differs between
deployments by a factor of ten, as do the lengths of prompts and answers.
"""

from __future__ import annotations

from .linear_fit import LinearFit

INITIAL_GAP_MS = 25.0
INITIAL_EVENTS = 8.0
"""Assumed gap between two events and number of events of a turn before the first
measurement; some tens of measured turns replace them."""
INITIAL_RELATIVE_SLOPE = 0.03
"""Expected growth of the gap with each further request, as a share of it, until enough
turns were measured at different loads."""
EVENT_COUNT_WEIGHT = 0.02
"""Weight of the newest turn in the moving average of events per turn."""


class EngineTimes:
    """Model of the turn times at the engines of one service.

    The gap between two events of a stream is a linear function of the number of
    requests that run on the engine.
    """

    __slots__ = ("_events", "_gap_ms")

    def __init__(self) -> None:
        self._gap_ms = LinearFit(
            intercept=INITIAL_GAP_MS, relative_slope=INITIAL_RELATIVE_SLOPE
        )
        self._events = INITIAL_EVENTS

    def __repr__(self) -> str:
        return f"EngineTimes({self._gap_ms}, {self._events:.1f})"

    def gap_ms(self, running: int) -> float:
        """Return the expected gap between events at an engine.

        Args:
            running: Requests that the engine runs.
        """
        return self._gap_ms.predict(running)

    def turn_ms(self, running: int) -> float:
        """Return the expected time to generate a turn.

        Args:
            running: Requests that the engine runs.
        """
        return self._events * self._gap_ms.predict(running)

    @property
    def contention_ms(self) -> float:
        """Time that one more request adds to each turn on the same engine."""
        return self._events * self._gap_ms.slope

    def record_gap(self, running: int, gap_ms: float, *, events: int) -> None:
        """Add the measurement of a turn that was generated completely.

        Args:
            running: Requests that the engine ran when the turn was sent.
            gap_ms: Mean gap between two events of the turn.
            events: Number of its events.
        """
        self._gap_ms.record(running, gap_ms)
        self._events += EVENT_COUNT_WEIGHT * (events - self._events)
