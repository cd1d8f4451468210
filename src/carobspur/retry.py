"""Backoff between retries, and budgets that limit the number of retries."""

from __future__ import annotations

import random

FIRST_DELAY_S = 0.02
MAX_DELAY_S = 2.0
RETRIES_PER_SEND = 0.1
"""Retries that each first send adds to an endpoint's budget."""
MAX_SAVED_RETRIES = 10.0
"""Upper bound of an endpoint's budget, in retries; also its initial value."""


class Backoff:
    """Exponential backoff with full jitter.

    Args:
        first_s: Upper bound of the first delay, in seconds.
        max_s: Upper bound of every delay, in seconds.
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
        """Return a random delay in seconds and double the upper bound of the next."""
        delay_s = random.uniform(0, self._bound_s)
        self._bound_s = min(2 * self._bound_s, self._max_s)
        return delay_s


class RetryBudgets:
    """Limits retries to a share of first sends, for each endpoint.

    This keeps the load of an endpoint that fails all requests close to its normal load.

    Args:
        share: Retries that each first send adds to the endpoint's budget.
        max_saved: Upper bound of a budget, in retries; each endpoint starts with it.
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
        """Add the share of a first send to the endpoint's budget."""
        left = self._left.get(endpoint, self._max_saved)
        self._left[endpoint] = min(self._max_saved, left + self._share)

    def try_spend(self, endpoint: str) -> bool:
        """Take one retry from the endpoint's budget; return whether it held one."""
        left = self._left.get(endpoint, self._max_saved)
        if left < 1:
            return False
        self._left[endpoint] = left - 1
        return True
