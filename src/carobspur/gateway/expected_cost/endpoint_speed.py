"""Current speed of one endpoint from its observed pace and its reports; pure.

It handles endpoints that differ in speed, that slow down for seconds, that report their
slowdown in their load reports, and that report nonsense: what was observed calibrates
what is reported.
"""

from __future__ import annotations

from math import log

FAST_WEIGHT = 0.25
"""Weight of the newest measurement in the current pace."""
FAST_HALF_LIFE_S = 3.0
"""Time after which the current pace has returned halfway to the lasting one. So an
endpoint that is avoided because it was slow is tried again."""
LASTING_WEIGHT = 0.05
LASTING_HALF_LIFE_S = 60.0
LASTING_CLAMP = 1.5
"""Greatest factor by which one measurement may differ from the lasting pace, so that a
slowdown of seconds hardly changes it."""
MAX_RATIO = 8.0
FAST_NOISE = 0.3
LASTING_NOISE = 0.1
"""Deviations of the current from the lasting pace, and of that from the usual one, that
are discounted by half. Measurements vary by as much, and sessions would leave their
engines for it."""
PRIOR_TRUST = 0.7
"""Exponent of reported slowdowns before their predictive value has been measured."""
TRUST_WEIGHT = 0.2
MIN_SIGNAL = log(1.3)
"""Change of the reported slowdown from which its effect is measured."""
MAX_SPEED_FACTOR = 16.0


class EndpointSpeed:
    """Time that work takes at an endpoint, as a multiple of the usual time."""

    __slots__ = ("_at", "_fast", "_lasting", "_slowdown", "_trust")

    def __init__(self) -> None:
        self._at = 0.0
        self._lasting = 1.0
        self._fast = 1.0
        # Average of the reported slowdowns over the measurements in ``_fast``.
        self._slowdown = 1.0
        self._trust = PRIOR_TRUST

    def __repr__(self) -> str:
        return (
            f"EndpointSpeed(fast={self._fast:.2f}, lasting={self._lasting:.2f}, "
            f"trust={self._trust:.2f})"
        )

    def record(self, ratio: float, slowdown: float, now: float) -> None:
        """Add a measurement.

        Args:
            ratio: Measured time divided by the usual time of the same work.
            slowdown: Newest reported slowdown; 1 if none is reported.
            now: Loop time.
        """
        ratio = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
        slowdown = min(max(slowdown, 1 / MAX_RATIO), MAX_RATIO)
        self._decay(now)
        signal = log(slowdown / self._slowdown)
        if abs(signal) > MIN_SIGNAL:
            effect = min(max(log(ratio / self._fast) / signal, 0.0), 1.0)
            self._trust += TRUST_WEIGHT * (effect - self._trust)
        self._fast += FAST_WEIGHT * (ratio - self._fast)
        self._slowdown += FAST_WEIGHT * (slowdown - self._slowdown)
        clamped = min(
            max(ratio, self._lasting / LASTING_CLAMP), self._lasting * LASTING_CLAMP
        )
        self._lasting += LASTING_WEIGHT * (clamped - self._lasting)

    def factor(self, slowdown: float | None, now: float) -> float:
        """Return the expected time of work as a multiple of the usual time.

        Args:
            slowdown: Slowdown of a recent report; ``None`` without one.
            now: Loop time.
        """
        if slowdown is not None:
            slowdown = min(max(slowdown, 1 / MAX_RATIO), MAX_RATIO)
        if not self._at:
            return 1.0 if slowdown is None else slowdown**self._trust
        passed_s = now - self._at
        kept = 0.5 ** (passed_s / FAST_HALF_LIFE_S)
        lasting = (self._lasting - 1) * 0.5 ** (passed_s / LASTING_HALF_LIFE_S)
        deviation = (self._fast - self._lasting) / self._lasting * kept
        factor = (1 + _discounted(lasting, LASTING_NOISE)) * (
            1 + _discounted(deviation, FAST_NOISE)
        )
        if slowdown is not None:
            usual = 1 + (self._slowdown - 1) * kept
            factor *= (slowdown / usual) ** self._trust
        return min(max(factor, 1 / MAX_SPEED_FACTOR), MAX_SPEED_FACTOR)

    def _decay(self, now: float) -> None:
        """Move the averages towards their resting values by the time that passed."""
        passed_s = max(0.0, now - self._at)
        self._at = now
        kept = 0.5 ** (passed_s / FAST_HALF_LIFE_S)
        deviation = self._fast - self._lasting
        self._lasting = 1 + (self._lasting - 1) * 0.5 ** (
            passed_s / LASTING_HALF_LIFE_S
        )
        self._fast = self._lasting + deviation * kept
        self._slowdown = 1 + (self._slowdown - 1) * kept


def _discounted(deviation: float, noise: float) -> float:
    """Return a deviation, reduced the more the smaller it is."""
    return deviation * abs(deviation) / (abs(deviation) + noise)
