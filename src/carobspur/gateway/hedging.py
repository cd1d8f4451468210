"""When a repeatable call that takes unusually long is sent a second time; pure.

The load it answers: endpoints do the work and some answers never come. Waiting for
them costs a caller its whole deadline, and with it the program. A budget keeps second
sendings few, so that endpoints that are slow for all do not get twice the load.
"""

from __future__ import annotations

SLOW_CALL_FACTOR = 4.0
"""A call that takes so many times the usual is unusual: work that varies by its mean
stays below in 98 of 100 cases."""
MIN_THRESHOLD_S = 0.1
"""Never sooner: a lost packet of a sound call comes again by then."""
HEDGES_PER_CALL = 0.1
"""Second sendings allowed a call: load grows by a tenth at most."""
MAX_SAVED_HEDGES = 10.0
"""Second sendings that may come at once after a calm time."""


def slow_call_threshold_s(usual_s: float) -> float | None:
    """Return from when on a call takes unusually long; ``None`` where that is unknown.

    Args:
        usual_s: Usual time of such calls; 0 where none was answered yet.
    """
    return max(MIN_THRESHOLD_S, SLOW_CALL_FACTOR * usual_s) if usual_s > 0 else None


class HedgeBudget:
    """Second sendings that a gateway may make, in proportion to its calls."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_SAVED_HEDGES

    def __repr__(self) -> str:
        return f"HedgeBudget({self._saved:.1f})"

    def earn(self) -> None:
        """Count a call that was sent once."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + HEDGES_PER_CALL)

    def spend(self) -> bool:
        """Take one second sending; returns false where none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
