"""Learns the time that a turn takes on an idle service; pure.

Guards against overload that is invisible in occupied slots: objectives of 1.4 times the
idle time are missed before the slots are full. The idle time is tracked as a low
quantile of what was measured, so that it stays correct while most turns are slow.
"""

from __future__ import annotations

IDLE_QUANTILE = 0.15
"""Share of turns that are expected to be faster than the idle estimate."""
STEP_SHARE = 0.08
"""Size of one correction of an estimate, as a share of it."""
INITIAL_STEP_SHARE = 0.5
"""Size of the first correction; later ones shrink to ``STEP_SHARE`` within some ten
turns, so that a gateway that has just started learns within seconds."""
PREFILL_TOKENS_PER_S = 100_000.0
"""Assumed speed of reading prompts; the deployments' sheets state 85 to 164 per ms."""
MIN_FIRST_S = 0.005
EVENT_COUNT_WEIGHT = 0.05
"""Weight of the newest turn in the moving average of events per turn."""
INITIAL_EVENTS = 8.0


class LowQuantile:
    """Tracks a low quantile of a positive quantity by steps in proportion to it."""

    __slots__ = ("_count", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._count = 0

    @property
    def value(self) -> float:
        """The estimate; 0 before the first measurement."""
        return self._value

    def record(self, measured: float) -> None:
        """Add a measurement."""
        if not self._count:
            self._value = measured
        step = max(STEP_SHARE, INITIAL_STEP_SHARE / (1 + self._count))
        self._count += 1
        if measured < self._value:
            # A step never passes the measurement that caused it.
            self._value = max(measured, self._value * (1 - step * (1 - IDLE_QUANTILE)))
        elif measured > self._value:
            self._value = min(measured, self._value * (1 + step * IDLE_QUANTILE))


class IdleTimes:
    """Times of turns at the engines of one service while it is idle."""

    __slots__ = ("_events", "_first", "_gap")

    def __init__(self) -> None:
        self._first = LowQuantile()
        self._gap = LowQuantile()
        self._events = INITIAL_EVENTS

    @property
    def is_known(self) -> bool:
        """Whether any turn was measured."""
        return self._first.value > 0

    def first_s(self, prompt_tokens: int) -> float:
        """Return the least time until the first event of a turn."""
        return self._first.value + prompt_tokens / PREFILL_TOKENS_PER_S

    def turn_s(self, prompt_tokens: int, events: float | None = None) -> float:
        """Return the time of a turn on the idle service.

        Args:
            prompt_tokens: Length of its prompt.
            events: Number of its events; ``None`` for the usual number.
        """
        count = self._events if events is None else events
        return self.first_s(prompt_tokens) + self._gap.value * max(0.0, count - 1)

    def record(
        self, prompt_tokens: int, first_s: float, gap_s: float, events: int
    ) -> float:
        """Add a complete turn and return its stretch.

        Args:
            prompt_tokens: Length of its prompt.
            first_s: Time from its arrival to its first event.
            gap_s: Mean time between two of its events.
            events: Number of its events.
        """
        unread_s = first_s - prompt_tokens / PREFILL_TOKENS_PER_S
        self._first.record(max(MIN_FIRST_S, unread_s))
        if events > 1:
            self._gap.record(gap_s)
        self._events += EVENT_COUNT_WEIGHT * (events - self._events)
        idle_s = self.turn_s(prompt_tokens, events)
        return (first_s + gap_s * (events - 1)) / idle_s
