"""Ranks new programs, so that all gateways admit the same ones; pure.

Guards against one customer's burst at the expense of others, against starvation of a
class, and against callers that get in by trying at another gateway.
"""

from __future__ import annotations

import math

import xxhash

FAST_S = 3.0
SLOW_S = 30.0
"""Periods over which a customer's present and usual demand are averaged."""
PSEUDO_COUNT = 0.5
"""Programs added to both averages, so that a few arrivals are not taken for a burst."""
MAX_EXCESS = 10.0
MAX_OWN_SHARE = 0.9
"""A customer with a larger share of the demand has no others to compare it with."""
MAX_CUSTOMERS = 4096
MAX_CLASSES = 8
FLOOR_SHARE = 0.28
"""Least admitted share of a class or customer relative to that of the most urgent
class, and so to that of all. The bound on starvation is a quarter."""


def position(program: str) -> float:
    """Return the place of a program within its class, from 0 to 1; always the same."""
    return xxhash.xxh64_intdigest(program) / 2**64


def class_share(level: float, rank: int, classes: int) -> float:
    """Return the admitted share of a class; the least urgent one is thinned first.

    Args:
        level: Level of the controller, from 0 to 1.
        rank: Rank of the class, 0 is the most urgent.
        classes: Number of classes.
    """
    share = min(1.0, max(0.0, level * classes - rank))
    return max(share, floor_share(level, classes))


def floor_share(level: float, classes: int) -> float:
    """Return the admitted share that no class and no customer falls below."""
    return FLOOR_SHARE * min(1.0, level * classes)


class _Demand:
    """Decayed counts of the programs of one customer."""

    __slots__ = ("fast", "slow", "updated_at")

    def __init__(self, now: float) -> None:
        self.fast = 0.0
        self.slow = 0.0
        self.updated_at = now

    def decay(self, now: float) -> None:
        """Bring both counts forward to loop time ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        self.fast *= math.exp(-elapsed / FAST_S)
        self.slow *= math.exp(-elapsed / SLOW_S)
        self.updated_at = now


class Ranking:
    """Classes and customers of one service, as far as one gateway sees them."""

    __slots__ = ("_all", "_classes", "_customers", "_started_at")

    def __init__(self) -> None:
        self._classes: list[int] = []
        self._customers: dict[str, _Demand] = {}
        self._all: _Demand | None = None
        self._started_at = 0.0

    def rank(self, priority: int) -> int:
        """Return the rank of a priority among those seen; adds a new one."""
        if priority not in self._classes and len(self._classes) < MAX_CLASSES:
            self._classes = sorted([*self._classes, priority])
        return sum(known < priority for known in self._classes)

    def share(self, level: float, priority: int) -> float:
        """Return the admitted share of the new programs of a priority."""
        return class_share(level, self.rank(priority), max(1, len(self._classes)))

    def record_new(self, customer: str, now: float) -> None:
        """Count a new program of a customer."""
        if self._all is None:
            self._started_at = now
            self._all = _Demand(now)
        demand = self._customers.get(customer)
        if demand is None:
            if len(self._customers) >= MAX_CUSTOMERS:
                self._customers.pop(next(iter(self._customers)))
            demand = self._customers[customer] = _Demand(now)
        for item in (self._all, demand):
            item.decay(now)
            item.fast += 1
            item.slow += 1

    def excess(self, customer: str, now: float) -> float:
        """Return how much a customer's demand has grown beyond that of the others.

        Returns:
            A factor of at least 1; 1 if all customers' demand has grown alike.
        """
        own, total = self._customers.get(customer), self._all
        if own is None or not customer:
            return 1.0
        own.decay(now)
        total.decay(now)
        if own.slow > MAX_OWN_SHARE * total.slow:
            return 1.0
        others = self._growth(total.fast - own.fast, total.slow - own.slow, now)
        ratio = self._growth(own.fast, own.slow, now) / max(1.0, others)
        return min(MAX_EXCESS, max(1.0, ratio))

    def _growth(self, fast: float, slow: float, now: float) -> float:
        """Return present demand as a multiple of the usual.

        Args:
            fast: Programs, decayed over the shorter period.
            slow: Programs, decayed over the longer period.
            now: Loop time.
        """
        # Both counts grow from 0; the parts of their periods that have passed make
        # them comparable before the longer one is full.
        elapsed = now - self._started_at
        fast_s = FAST_S * -math.expm1(-elapsed / FAST_S)
        slow_s = SLOW_S * -math.expm1(-elapsed / SLOW_S)
        if slow_s <= fast_s:
            return 1.0
        # What is recent is left out of the usual demand, so that a burst does not
        # raise the measure that it is compared with.
        earlier = max(0.0, slow - fast)
        usual = earlier * fast_s / (slow_s - fast_s)
        return (fast + PSEUDO_COUNT) / (usual + PSEUDO_COUNT)

    def is_admitted(
        self, program: str, customer: str, priority: int, level: float, now: float
    ) -> bool:
        """Return whether a new program is within the admitted share."""
        share = self.share(level, priority)
        if share >= 1:
            return True
        floor = floor_share(level, len(self._classes))
        return position(program) < max(floor, share / self.excess(customer, now))
