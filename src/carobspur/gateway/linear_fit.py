"""Online linear regression in which older measurements count less; pure."""

from __future__ import annotations

MEMORY_SAMPLES = 100.0
"""Measurements after which the weight of an earlier one has fallen to about a third."""
OUTLIER_FACTOR = 1.2
OUTLIER_INITIAL_MARGIN = 10.0
"""A measurement is clamped to between the prediction divided by this factor and the
prediction times it, so that slow endpoints, if they are a fifth, do not shift the fit.
The margin is added to the factor and shrinks with each measurement, so that the initial
guess is corrected quickly."""
PRIOR_SQUARES = 150.0
"""Weight of the prior slope, as a sum of squared distances in ``x`` from the mean: the
sum of six measurements at a distance of five."""
MIN_INTERCEPT = 1e-9


class LinearFit:
    """Fits ``y = intercept + slope * x`` by exponentially weighted least squares.

    Args:
        intercept: Value of ``y`` that is assumed before the first measurement.
        relative_slope: Prior of the slope, as a share of the mean ``y``. It has less
            influence the more the measurements differ in ``x``.
    """

    __slots__ = ("_relative_slope", "_weight", "_sum_x", "_sum_xx", "_sum_xy", "_sum_y")

    def __init__(self, *, intercept: float, relative_slope: float) -> None:
        self._relative_slope = relative_slope
        self._weight = 1.0
        self._sum_x = 0.0
        self._sum_y = intercept
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def __repr__(self) -> str:
        return f"LinearFit(intercept={self.intercept:.4g}, slope={self.slope:.4g})"

    @property
    def slope(self) -> float:
        """Growth of ``y`` per unit of ``x``; never negative."""
        mean = self._sum_y / self._weight
        spread = self._sum_xx - self._sum_x**2 / self._weight
        covariation = self._sum_xy - self._sum_x * mean
        prior = PRIOR_SQUARES * self._relative_slope * mean
        return max(0.0, (covariation + prior) / (spread + PRIOR_SQUARES))

    @property
    def intercept(self) -> float:
        """Predicted ``y`` at ``x = 0``; always positive."""
        return max(
            MIN_INTERCEPT, (self._sum_y - self.slope * self._sum_x) / self._weight
        )

    def predict(self, x: float) -> float:
        """Return the predicted ``y``."""
        return self.intercept + self.slope * x

    def record(self, x: float, y: float) -> None:
        """Add a measurement, clamped if it is far from the prediction."""
        expected = self.predict(x)
        factor = OUTLIER_FACTOR + OUTLIER_INITIAL_MARGIN / (self._weight + 5)
        y = min(max(y, expected / factor), expected * factor)
        decay = 1 - 1 / MEMORY_SAMPLES
        self._weight = self._weight * decay + 1
        self._sum_x = self._sum_x * decay + x
        self._sum_y = self._sum_y * decay + y
        self._sum_xx = self._sum_xx * decay + x * x
        self._sum_xy = self._sum_xy * decay + x * y
