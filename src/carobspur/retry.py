"""Delays between repeated sends, and how many of them there may be."""

from __future__ import annotations

import random

FIRST_DELAY_S = 0.02
MAX_DELAY_S = 2.0
RETRIES_PER_SEND = 0.1
MAX_SAVED_RETRIES = 10.0


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


class RetryBudgets:
    """Limits repeated sends to a share of first sends, for each endpoint.

    An endpoint that fails as a whole then gets little more than its ordinary load.

    Args:
        share: Repeated sends that each first send allows.
        max_saved: Repeated sends that may be saved up; each endpoint starts so.
    """

    __slots__ = ("_left", "_max_saved", "_share")

    def __init__(
        self,
        *,
        share: float = RETRIES_PER_SEND,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._share = share
        self._max_saved = max_saved
        self._left: dict[str, float] = {}

    def record_first_send(self, endpoint: str) -> None:
        """Take note of a first send."""
        left = self._left.get(endpoint, self._max_saved)
        self._left[endpoint] = min(self._max_saved, left + self._share)

    def try_spend(self, endpoint: str) -> bool:
        """Return whether a call may be sent again, and count it."""
        left = self._left.get(endpoint, self._max_saved)
        if left < 1:
            return False
        self._left[endpoint] = left - 1
        return True
