"""Rate limit of commits that keeps all schedulers within the table's write budget."""

from __future__ import annotations

from collections.abc import Callable

from .clock import Clock

# Commits that may start at once after an idle time.
BURST_COMMITS = 4.0
# A renewal writes one row; a commit with changes writes its journal row as well.
RENEWAL_COST_COMMITS = 0.5


class CommitPacer:
    """A token bucket in units of commits.

    An idle scheduler commits at once. Under load the commits are delayed, so that more
    changes are batched into each.

    Args:
        clock: Source of time.
        interval_s: Returns the minimum mean interval between commits of this scheduler,
            in seconds; it may change at any time.
    """

    __slots__ = ("_clock", "_credit", "_interval_s", "_updated_s")

    def __init__(self, clock: Clock, interval_s: Callable[[], float]) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._credit = BURST_COMMITS
        self._updated_s = clock.monotonic()

    def __repr__(self) -> str:
        return f"CommitPacer(credit={self._credit:.2f})"

    def delay_s(self) -> float:
        """Return the time in seconds after which the next commit may start."""
        self._refill()
        missing = 1.0 - self._credit
        return max(0.0, missing * self._interval_s())

    def spend(self, *, is_renewal: bool) -> None:
        """Charge the bucket for a commit that starts.

        Args:
            is_renewal: Whether the commit writes only the session's row.
        """
        self._refill()
        self._credit -= RENEWAL_COST_COMMITS if is_renewal else 1.0

    def _refill(self) -> None:
        now_s = self._clock.monotonic()
        interval_s = self._interval_s()
        refilled = BURST_COMMITS
        if interval_s > 0:
            refilled = (now_s - self._updated_s) / interval_s
        self._credit = min(BURST_COMMITS, self._credit + refilled)
        self._updated_s = now_s
