"""A count of events that decays exponentially; pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

WINDOW_S = 1.0
"""Time constant of the decay: bursts of up to a second's worth of a limit pass."""
NEGLIGIBLE = 1e-9
"""Values below this are returned as 0."""


@dataclass(slots=True)
class DecayedCount:
    """Events weighted by their age; events at a constant rate give ``rate * WINDOW_S``.

    The value of an earlier moment can be decayed to the present one exactly, so the
    counts of several gateways can be added up however old each one is.

    Attributes:
        count: Value at ``counted_at``.
        counted_at: Loop time.
    """

    count: float = 0.0
    counted_at: float = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.count = self.at(now) + 1
        self.counted_at = now

    def at(self, now: float) -> float:
        """Return the value at a loop time."""
        if not self.count:
            return 0.0
        age_s = max(0.0, now - self.counted_at)
        value = self.count * math.exp(-age_s / WINDOW_S)
        return value if value > NEGLIGIBLE else 0.0


def steady_count(rate_per_s: float) -> float:
    """Return the least value that events at a constant rate reach between two events.

    Events that are only allowed at or below this value do not exceed the rate in the
    long run, and a burst exceeds it by at most this value and one.
    """
    if rate_per_s <= 0:
        return 0.0
    exponent = 1 / (rate_per_s * WINDOW_S)
    return 1 / math.expm1(exponent) if exponent < 50 else 0.0


def time_until_s(value: float, target: float) -> float:
    """Return the seconds until a value has decayed to a target; 0 if it has already."""
    if value <= target:
        return 0.0
    return WINDOW_S * math.log(value / max(target, NEGLIGIBLE))
