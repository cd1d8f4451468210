"""Decides when an idempotent call is hedged: sent to a second endpoint as well; pure.

Endpoints sometimes do the work but their answer is lost. Waiting for it would use up
the call's whole deadline, and the program would fail. A budget limits the number of
hedged calls, so that endpoints that are slow for all callers do not get twice the load.
"""

from __future__ import annotations

SLOW_CALL_FACTOR = 4.0
"""A call that takes this many times the usual duration is slow: of exponentially
distributed durations 98 % are shorter."""
MIN_THRESHOLD_S = 0.1
"""Calls are not hedged before this time: by then a lost packet of a healthy call has
been retransmitted."""
HEDGES_PER_CALL = 0.1
"""Hedges that each call adds to the budget: load grows by a tenth at most."""
MAX_SAVED_HEDGES = 10.0
"""Limit of the budget, and so of the hedges that may be sent in a burst."""


def slow_call_threshold_s(usual_s: float) -> float | None:
    """Return after how long a call counts as slow; ``None`` if that is unknown.

    Args:
        usual_s: Usual duration of such calls; 0 if none was answered yet.
    """
    return max(MIN_THRESHOLD_S, SLOW_CALL_FACTOR * usual_s) if usual_s > 0 else None


class HedgeBudget:
    """Limits a gateway's hedged calls to a share of all its calls (a token bucket)."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_SAVED_HEDGES

    def __repr__(self) -> str:
        return f"HedgeBudget({self._saved:.1f})"

    def earn(self) -> None:
        """Add to the budget; called once for each call."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + HEDGES_PER_CALL)

    def spend(self) -> bool:
        """Take one hedge from the budget; returns false if none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
