"""Delays between repeated sends."""

from __future__ import annotations

import random

FIRST_DELAY_S = 0.02
MAX_DELAY_S = 2.0


class Backoff:
    """Exponential delays with full jitter.

    Args:
        first_s: Upper bound of the first delay.
        max_s: Upper bound of every delay.
    """

    __slots__ = ("_bound_s", "_max_s")

    def __init__(
        self,
        *,
        first_s: float = FIRST_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self._bound_s = first_s
        self._max_s = max_s

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = random.uniform(0, self._bound_s)
        self._bound_s = min(2 * self._bound_s, self._max_s)
        return delay_s
