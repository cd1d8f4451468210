"""Measures how close a service is to missing its programs' objectives; pure.

Guards against bursts: the queues that endpoints report and the turns that are overdue
show one before the first slow turn has ended.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from ..calls import EndpointLoad

REPORT_TTL_S = 1.0
"""Age from which a load report is no longer recent."""
STALE_TTL_S = 3.0
"""Age from which a load report is ignored. Older than ``REPORT_TTL_S`` it counts only
if no other is recent: a gateway that refuses nearly everything receives few reports,
and admitting everything then would be a flood of its own."""
REPORT_DECAY_S = 0.3
"""Age at which a report's weight has fallen to about a third: queues of some hundred
requests come and go within half a second."""
STRETCH_WINDOW_S = 1.0
MAX_STRETCHES = 64
MIN_STRETCHES = 3
"""Turns from which their median stretch counts; fewer are left to the reports."""
MIN_OCCUPIED = 0.7
MIN_OCCUPIED_SHEDDING = 0.65
"""Reported occupancy below which nothing is refused unless requests wait, and the same
once new programs are refused. Refusals are a fault below one half; the rest is a margin
for reports that are out of date."""
MAX_QUEUE_SHARE = 2.0
"""Longest queue of an endpoint that counts, in slots per slot. Such queues everywhere
exceed every limit; without the bound one false report stands for all endpoints."""
IN_FLIGHT_WEIGHT = 0.01
"""Weight of the newest sample, one in 0.1 s, in the averages of requests in flight."""
MIN_SAMPLES = 20
"""Samples from which these averages count; they take 2 s."""
IN_FLIGHT_DEVIATIONS = 2.0
IN_FLIGHT_MARGIN = 1.0
"""Requests in flight beyond what is usual that prove nothing, in standard deviations of
a Poisson distribution and as a number."""
QUEUE_SHARE = 0.6
"""Reported queue, in slots per slot, that uses up the allowed stretch: a turn waits
that share of the time for which turns run, and half of the rest goes to contention."""


@dataclass(frozen=True, slots=True)
class LoadView:
    """Load of a service according to the recent reports.

    Attributes:
        reports: Number of reports.
        is_recent: Whether they are at most ``REPORT_TTL_S`` old.
        occupied: Share of the reporting endpoints' slots that are occupied.
        queued: Requests that wait there, as a share of these slots.
    """

    reports: int = 0
    is_recent: bool = True
    occupied: float = 0.0
    queued: float = 0.0

    def may_refuse(self, *, is_shedding: bool) -> bool:
        """Return whether the reports permit refusals at all.

        Args:
            is_shedding: Whether new programs are refused already; a single report
                of an engine that happens to be half empty does not end that.
        """
        limit = MIN_OCCUPIED_SHEDDING if is_shedding else MIN_OCCUPIED
        return self.reports > 0 and (self.occupied >= limit or self.queued > 0)


NO_REPORTS = LoadView()


def load_view(reports: Iterable[tuple[EndpointLoad, float]]) -> LoadView:
    """Summarise load reports.

    Args:
        reports: Newest report of each endpoint, with its age in seconds.
    """
    valid = [(load, age) for load, age in reports if load.slots > 0]
    chosen = [item for item in valid if item[1] <= REPORT_TTL_S]
    is_recent = bool(chosen)
    if not is_recent:
        chosen = [item for item in valid if item[1] <= STALE_TTL_S]
    if not chosen:
        return NO_REPORTS
    newest = min(age for _, age in chosen)
    slots = occupied = queued = 0.0
    for load, age in chosen:
        weight = math.exp((newest - age) / REPORT_DECAY_S)
        slots += weight * load.slots
        occupied += weight * min(load.running, load.slots)
        queued += weight * min(load.waiting, MAX_QUEUE_SHARE * load.slots)
    return LoadView(len(chosen), is_recent, occupied / slots, queued / slots)


class StretchWindow:
    """Stretches of the turns that ended recently."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended: deque[tuple[float, float]] = deque(maxlen=MAX_STRETCHES)

    def record(self, stretch: float, now: float) -> None:
        """Add the stretch of a turn that has ended."""
        self._ended.append((now, stretch))

    def median(self, overdue: Iterable[float], now: float) -> float:
        """Return the median stretch; 1 while too few turns were seen.

        Args:
            overdue: Stretches that turns in progress have reached already.
            now: Loop time.
        """
        while self._ended and now - self._ended[0][0] > STRETCH_WINDOW_S:
            self._ended.popleft()
        values = [stretch for _, stretch in self._ended]
        values += overdue
        return median(values) if len(values) >= MIN_STRETCHES else 1.0


def pressure(stretch: float, queued: float, allowed: float) -> float:
    """Return the load as a share of what the objectives allow; 1 is the limit.

    Args:
        stretch: Median stretch of turns.
        queued: Requests that wait, as a share of the slots.
        allowed: Stretch that the objectives allow; above 1.
    """
    spare = allowed - 1
    return max((stretch - 1) / spare, queued / (QUEUE_SHARE * spare))


class InFlightShare:
    """Estimates the queue of a service from this gateway's own requests in flight.

    Guards against floods, in which a gateway's own requests pile up sooner than
    reports arrive. What the requests in flight usually are for the reported load gives
    the number at which the service is full.
    """

    __slots__ = ("_load", "_own", "_samples")

    def __init__(self) -> None:
        self._own = 0.0
        self._load = 0.0
        self._samples = 0

    def record(self, own: int, view: LoadView) -> None:
        """Add a sample of the requests in flight and of the reported load."""
        if not view.reports:
            return
        self._samples += 1
        weight = max(IN_FLIGHT_WEIGHT, 1 / self._samples)
        self._own += weight * (own - self._own)
        self._load += weight * (view.occupied + view.queued - self._load)

    def queued(self, own: int) -> float:
        """Return the queue that the requests in flight prove, as a share of slots."""
        if self._samples < MIN_SAMPLES or self._load <= 0 or self._own <= 0:
            return 0.0
        full = self._own / self._load
        # The count varies by its square root at constant load.
        margin = IN_FLIGHT_DEVIATIONS * math.sqrt(full) + IN_FLIGHT_MARGIN
        return max(0.0, (own - margin) / full - 1)
