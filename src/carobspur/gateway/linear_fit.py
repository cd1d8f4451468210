"""A straight line learned from measurements as they come; pure."""

from __future__ import annotations

MEMORY_SAMPLES = 100.0
"""Measurements after which an older one counts for a third."""
OUTLIER_FACTOR = 1.2
OUTLIER_INITIAL_MARGIN = 10.0
"""A measurement counts as so many times what was expected at most, and as that part of
it at least, with a margin that shrinks as measurements come: a fifth of slow endpoints
must not tell what is usual, and a first guess must not stand."""
PRIOR_SQUARES = 150.0
"""Squared distances that the prior slope stands for: six measurements five away."""
MIN_INTERCEPT = 1e-9


class LinearFit:
    """``y = intercept + slope * x``, by least squares over the newest measurements.

    Args:
        intercept: What ``y`` is taken for before the first measurement.
        relative_slope: What each ``x`` is expected to add, as a share of ``y``; counts
            for less the more the measurements differ in ``x``.
    """

    __slots__ = ("_relative_slope", "_sum", "_sum_x", "_sum_xx", "_sum_xy", "_sum_y")

    def __init__(self, *, intercept: float, relative_slope: float) -> None:
        self._relative_slope = relative_slope
        self._sum = 1.0
        self._sum_x = 0.0
        self._sum_y = intercept
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def __repr__(self) -> str:
        return f"LinearFit(intercept={self.intercept:.4g}, slope={self.slope:.4g})"

    @property
    def slope(self) -> float:
        """Growth of ``y`` for each ``x``; never negative."""
        mean = self._sum_y / self._sum
        spread = self._sum_xx - self._sum_x**2 / self._sum
        common = self._sum_xy - self._sum_x * mean
        expected = PRIOR_SQUARES * self._relative_slope * mean
        return max(0.0, (common + expected) / (spread + PRIOR_SQUARES))

    @property
    def intercept(self) -> float:
        """``y`` at 0; positive."""
        return max(MIN_INTERCEPT, (self._sum_y - self.slope * self._sum_x) / self._sum)

    def predict(self, x: float) -> float:
        """Return the expected ``y``."""
        return self.intercept + self.slope * x

    def record(self, x: float, y: float) -> None:
        """Take note of a measurement."""
        expected = self.predict(x)
        factor = OUTLIER_FACTOR + OUTLIER_INITIAL_MARGIN / (self._sum + 5)
        y = min(max(y, expected / factor), expected * factor)
        kept = 1 - 1 / MEMORY_SAMPLES
        self._sum = self._sum * kept + 1
        self._sum_x = self._sum_x * kept + x
        self._sum_y = self._sum_y * kept + y
        self._sum_xx = self._sum_xx * kept + x * x
        self._sum_xy = self._sum_xy * kept + x * y
