"""Token bucket of which a varying share is available; a pure module.

Handles bursts of one customer: whatever the demand, the tokens taken in a time ``t``
are at most the capacity plus ``t`` times the rate.
"""

from __future__ import annotations

import math

MAJORITY = 0.5
"""Share that only one of several buckets with parts of the same capacity exceeds."""


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity.

    Args:
        rate_per_s: Tokens that accrue in a second at the full share.
        capacity: Largest level at the full share.
        now: Time in seconds.

    Attributes:
        level: Tokens at hand; not an integer.
        rate_per_s: Tokens that accrue in a second at the full share.
        capacity: Largest level at the full share.
    """

    __slots__ = ("_refilled_at", "capacity", "level", "rate_per_s")

    def __init__(self, rate_per_s: float, capacity: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = 0.0
        self._refilled_at = now

    def most(self, share: float) -> float:
        """Return the largest level at a share of the capacity.

        With a majority it is at least one token, as a smaller part of a capacity
        grants nothing. Where this applies, the other shares have less than one token.
        """
        available = self.capacity * share
        return max(available, 1.0) if share > MAJORITY else available

    def refill(self, now: float, share: float) -> None:
        """Add the tokens accrued since the last call, and clamp the level.

        Args:
            now: Time in seconds.
            share: Share of the rate and the capacity that was available all the time
                since the last call, and is available now.
        """
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.add(elapsed_s * self.rate_per_s * share, share)

    def add(self, tokens: float, share: float) -> None:
        """Add tokens, up to the share's part of the capacity."""
        self.level = min(self.level + tokens, self.most(share))

    def take(self, count: int, *, keep: float = 0.0) -> int:
        """Take up to ``count`` tokens, leaving at least ``keep``; return how many."""
        taken = min(count, math.floor(self.level - keep))
        if taken <= 0:
            return 0
        self.level -= taken
        return taken

    def wait_s(self, count: float, share: float, *, keep: float = 0.0) -> float:
        """Return the time until ``count`` tokens beyond ``keep`` have accrued."""
        missing = count + keep - self.level
        if missing <= 0:
            return 0.0
        rate_per_s = self.rate_per_s * share
        return missing / rate_per_s if rate_per_s > 0 else math.inf
