"""Averages that a fifth of slow or misreporting endpoints does not shift far; pure.

They handle a load in which every measurement mixes the usual endpoints with slow ones.
"""

from __future__ import annotations

from enum import Enum

OUTLIER_FACTOR = 2.0
INITIAL_OUTLIER_MARGIN = 8.0
"""A measurement is clamped to between the estimate divided by this factor and the
estimate times it. The margin is added to the factor and shrinks with each measurement,
so that a wrong prior is corrected quickly."""
PRIOR_WEIGHT = 2.0
"""Measurements that the prior counts as."""


class RobustMean:
    """Moving average of positive measurements, with a prior and clamped outliers.

    Args:
        prior: Estimate before the first measurement.
        weight: Weight of the newest measurement once there are many.

    Attributes:
        value: The estimate.
    """

    __slots__ = ("_count", "_weight", "value")

    def __init__(self, prior: float, *, weight: float = 0.05) -> None:
        self.value = prior
        self._weight = weight
        self._count = 0

    def __repr__(self) -> str:
        return f"RobustMean({self.value:.4g}, count={self._count})"

    def record(self, sample: float) -> None:
        """Add a measurement."""
        factor = OUTLIER_FACTOR + INITIAL_OUTLIER_MARGIN / (self._count + 1)
        sample = min(max(sample, self.value / factor), self.value * factor)
        self._count += 1
        weight = max(self._weight, 1 / (self._count + PRIOR_WEIGHT))
        self.value += weight * (sample - self.value)


class Reuse(Enum):
    """Why an engine is expected to have a prompt in its memory."""

    SENT_RECENTLY = "sent_recently"
    SENT_BEFORE = "sent_before"
    FIRST_CHOICE = "first_choice"
    SECOND_CHOICE = "second_choice"


PRIOR_SHARES = {
    Reuse.SENT_RECENTLY: 0.95,
    Reuse.SENT_BEFORE: 0.6,
    Reuse.FIRST_CHOICE: 0.8,
    Reuse.SECOND_CHOICE: 0.15,
}
"""Expected cached shares before any measurement. They need only have the right order:
some tens of measured turns replace them."""
SHARE_WEIGHT = 0.05


class ReuseShares:
    """Share of the expected prompt tokens that engines of a service really had cached.

    Under memory pressure the share falls, and sessions are no longer sent to a loaded
    engine for prompts that it has probably evicted.
    """

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares = dict(PRIOR_SHARES)

    def __repr__(self) -> str:
        items = ", ".join(f"{key.value}={v:.2f}" for key, v in self._shares.items())
        return f"ReuseShares({items})"

    def share(self, reuse: Reuse) -> float:
        """Return the expected share for a reason."""
        return self._shares[reuse]

    def record(self, reuse: Reuse, share: float) -> None:
        """Add the measured share of one turn; values outside 0 to 1 are clamped."""
        known = self._shares[reuse]
        self._shares[reuse] = known + SHARE_WEIGHT * (min(max(share, 0), 1) - known)
