"""Learns the share of new programs that a service can carry to their end; pure.

Guards against sustained overload. The share falls quickly while the pressure is above
its limit and rises more slowly below it. Each gateway runs its own controller; as all
observe the same service and rank programs alike, they agree without messages.
"""

from __future__ import annotations

import math

STEP_S = 0.1
MAX_STEPS = 10
"""Most steps that are caught up at once after a pause."""
DECREASE = 0.03
"""Decrease of the level in a step, as a share of it, for each unit of excess
pressure."""
MAX_DECREASE = 0.05
"""Largest decrease in a step. The damping acts at once; a larger decrease makes the
level fall far below what is served while queues are worked off."""
INCREASE = 0.03
"""Increase of the level in a step without pressure, times the square root of the level:
from 0 to 1 in 6.7 s. A constant increase overshoots where a twentieth is admitted."""
MIN_LEVEL = 0.005
"""Share of new programs that is always admitted, so that a recovery is noticed."""
RELIEF = 0.8
"""Pressure below which the level rises."""
DAMPING = 0.5
"""Share of the level that each unit of pressure above ``RELIEF`` takes away at once."""
SHEDDING_BELOW = 0.98
"""Level below which the service counts as shedding."""
INITIAL_ALLOWED = 1.45
"""Stretch that objectives allow until late programs have been observed; the objectives
of the deployments are 1.3 to 1.5 times the idle time plus 0.2 to 0.4 s."""
MIN_ALLOWED = 1.2
MAX_ALLOWED = 1.8
LATE_SHARE_LIMIT = 0.05
"""Share of late programs among those in progress from which the allowed stretch is
lowered."""
LATE_WEIGHT = 0.03
"""Weight of the newest turn in the share of late programs."""
ALLOWED_DECREASE = 0.002
ALLOWED_INCREASE = 0.0005
"""Changes of the allowed stretch in a step; slower than those of the level."""


class ShareController:
    """Feedback controller of the admitted share of new programs at one service."""

    __slots__ = ("_allowed", "_damping", "_late_share", "_level", "_stepped_at")

    def __init__(self) -> None:
        self._level = 1.0
        self._damping = 1.0
        self._allowed = INITIAL_ALLOWED
        self._late_share = 0.0
        self._stepped_at: float | None = None

    @property
    def level(self) -> float:
        """Admitted share of the ranking of new programs, from ``MIN_LEVEL`` to 1."""
        return max(MIN_LEVEL, self._level * self._damping)

    @property
    def allowed_stretch(self) -> float:
        """Stretch that the programs' objectives allow, learned from late programs."""
        return self._allowed

    @property
    def is_shedding(self) -> bool:
        """Whether new programs are refused."""
        return self.level < SHEDDING_BELOW

    def is_due(self, now: float) -> bool:
        """Return whether the next step is due."""
        return self._stepped_at is None or now - self._stepped_at >= STEP_S

    def record_turn(self, *, is_late: bool) -> None:
        """Record whether a turn of a program in progress came after its objective."""
        self._late_share += LATE_WEIGHT * (is_late - self._late_share)

    def step(self, pressure: float, now: float) -> None:
        """Adjust the level to the pressure.

        Args:
            pressure: Load as a share of what the objectives allow.
            now: Loop time.
        """
        last = now - STEP_S if self._stepped_at is None else self._stepped_at
        steps = min(MAX_STEPS, (now - last) / STEP_S)
        self._stepped_at = now
        self._damping = max(0.0, 1 - DAMPING * max(0.0, pressure - RELIEF))
        if pressure > 1:
            cut = min(MAX_DECREASE, DECREASE * (pressure - 1))
            self._level *= (1 - cut) ** steps
        elif pressure < RELIEF:
            rise = INCREASE * (1 - pressure / RELIEF) * math.sqrt(self._level)
            self._level += rise * steps
        self._level = min(1.0, max(MIN_LEVEL, self._level))
        if self._late_share > LATE_SHARE_LIMIT:
            self._allowed -= ALLOWED_DECREASE * steps
        else:
            self._allowed += ALLOWED_INCREASE * steps
        self._allowed = min(MAX_ALLOWED, max(MIN_ALLOWED, self._allowed))
