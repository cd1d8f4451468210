"""Load reports: gateways exchange their requests in flight and failures by endpoint.

One gateway measures only its own share of an endpoint's load. In a burst seven gateways
would each fill the same engine; with the counts of all, each knows its whole queue.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from functools import lru_cache
from typing import Annotated, Protocol

import msgspec

from .endpoint_limits.policy import LimitReport, LimitUse

MIN_INTERVAL_S = 0.04
"""Shortest interval between reports on changed load: a quarter of a turn's duration."""
AGE_WEIGHT = 0.02
"""Weight of the newest interval between two reports in the mean of the intervals."""
INTERVAL_PER_MEMBER_S = 0.005
"""Added to the interval for each peer beyond six, to limit the cost of reports if there
are many gateways."""
MAX_INTERVAL_S = 1.0
FAILURE_INTERVAL_S = 0.02
"""Shortest time between two reports that are sent at once because of a failure: an
endpoint that resets its requests attracts every call until the other gateways know."""
MAX_CACHED_HASHES = 8192
"""Number of names whose hashes are cached: more than all endpoints and gateways."""
REPORT_TTL_S = 1.0
"""Time after which a report no longer counts, so that the requests of a gateway that
died are soon disregarded."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One datagram with a gateway's requests in flight and recent failures.

    Attributes:
        sender: Hash of the sender's name.
        counts: Requests in flight by the hash of the endpoint's key; endpoints without
            any are omitted.
        failures: Decayed answers and failures of endpoints that failed recently, by
            the hash of the endpoint's key.
        limit_uses: Use of endpoints that name a rate limit, by the hash of their key.
        limit_demands: Demand for their services, by the hash of the service's name;
            see :class:`.endpoint_limits.policy.LimitReport`.
    """

    sender: int
    counts: dict[int, int]
    failures: dict[int, tuple[float, float]] = msgspec.field(default_factory=dict)
    limit_uses: dict[int, LimitUse] = msgspec.field(default_factory=dict)
    limit_demands: dict[int, Annotated[int, msgspec.Meta(ge=0)]] = msgspec.field(
        default_factory=dict
    )


@lru_cache(maxsize=MAX_CACHED_HASHES)
def name_hash(name: str) -> int:
    """Return the 32-bit hash by which load reports identify an endpoint or gateway.

    A collision only makes an endpoint look busier than it is.
    """
    return zlib.crc32(name.encode())


class PeerLoads:
    """Sums of the newest load report of each other gateway.

    The sums of requests are updated with each report, because placement reads them far
    more often, and the cost of reading must not grow with the number of gateways.

    Attributes:
        is_complete: Whether every other gateway reports to this one. In large
            deployments only those of the same data centre do.
    """

    __slots__ = ("_failures", "_interval_s", "_reports", "_in_flight", "is_complete")

    def __init__(self) -> None:
        self.is_complete = True
        self._interval_s = MIN_INTERVAL_S
        # Loop time of receipt and report by sender, oldest first.
        self._reports: dict[int, tuple[float, LoadReport]] = {}
        self._in_flight: dict[int, int] = {}
        # Few endpoints fail at a time, so failures are summed only when they are read.
        self._failures: dict[int, dict[int, tuple[float, float]]] = {}

    def record(self, report: LoadReport, now: float) -> None:
        """Add a report; it replaces the sender's previous one."""
        previous = self._reports.get(report.sender)
        if previous is not None:
            # A peer without requests sends no reports: the pause is not their age.
            interval_s = min(now - previous[0], MAX_INTERVAL_S)
            self._interval_s += AGE_WEIGHT * (interval_s - self._interval_s)
        self._remove_report(report.sender)
        self._reports[report.sender] = (now, report)
        for endpoint_hash, outcomes in report.failures.items():
            self._failures.setdefault(endpoint_hash, {})[report.sender] = outcomes
        for endpoint_hash, count in report.counts.items():
            self._in_flight[endpoint_hash] = (
                self._in_flight.get(endpoint_hash, 0) + count
            )

    @property
    def mean_age_s(self) -> float:
        """Expected age of a count: half the mean interval between a peer's reports."""
        return self._interval_s / 2

    def total(self, key: str, now: float) -> int:
        """Return the number of requests that other gateways have at an endpoint."""
        self._expire_reports(now)
        return self._in_flight.get(name_hash(key), 0)

    def failures(self, key: str, now: float) -> tuple[float, float]:
        """Return the decayed answers and failures of an endpoint at other gateways."""
        if not self._failures:
            return 0.0, 0.0
        self._expire_reports(now)
        reported = self._failures.get(name_hash(key), {}).values()
        return sum(item[0] for item in reported), sum(item[1] for item in reported)

    def _expire_reports(self, now: float) -> None:
        """Remove reports that are older than ``REPORT_TTL_S``."""
        while self._reports:
            sender, (received_at, _) = next(iter(self._reports.items()))
            if now - received_at < REPORT_TTL_S:
                return
            self._remove_report(sender)

    def _remove_report(self, sender: int) -> None:
        if sender not in self._reports:
            return
        _, report = self._reports.pop(sender)
        for endpoint_hash in report.failures:
            self._failures[endpoint_hash].pop(sender, None)
            if not self._failures[endpoint_hash]:
                del self._failures[endpoint_hash]
        for endpoint_hash, count in report.counts.items():
            remaining = self._in_flight.get(endpoint_hash, 0) - count
            if remaining:
                self._in_flight[endpoint_hash] = remaining
            else:
                self._in_flight.pop(endpoint_hash, None)


class LocalHealth(Protocol):
    """Requests in flight and failures at endpoints, as this gateway itself saw them."""

    def counts(self) -> dict[str, int]:
        """Return this gateway's requests in flight by endpoint key."""

    def failures(
        self, now: float, hash_name: Callable[[str], int]
    ) -> dict[int, tuple[float, float]]:
        """Return decayed answers and failures of endpoints that failed recently.

        Args:
            now: Loop time.
            hash_name: Returns the hash of an endpoint's key; the result is keyed by it.
        """


class LoadReporter:
    """Sends load reports to the peers, at a limited rate.

    Args:
        send: Sends a report to all peers and returns their number.
        health: Requests in flight and failures of this gateway.
        name: Name of this gateway.
        limits: Returns what to report about limited endpoints, for the hash of this
            gateway's name at a loop time.
    """

    __slots__ = (
        "_failure_sent_at",
        "_health",
        "_interval_s",
        "_is_scheduled",
        "_limits",
        "_send",
        "_sender",
    )

    def __init__(
        self,
        send: Callable[[LoadReport], int],
        health: LocalHealth,
        *,
        name: str,
        limits: Callable[[int, float], LimitReport],
    ) -> None:
        self._send = send
        self._health = health
        self._limits = limits
        self._sender = name_hash(name)
        self._interval_s = MIN_INTERVAL_S
        self._is_scheduled = False
        self._failure_sent_at = float("-inf")

    def failed(self) -> None:
        """Send a report because of a failure or a changed rate limit.

        It is sent at once, or after the interval if another one was reported within the
        last ``FAILURE_INTERVAL_S``.
        """
        now = asyncio.get_running_loop().time()
        if now - self._failure_sent_at < FAILURE_INTERVAL_S:
            self.changed()
            return
        self._failure_sent_at = now
        self.report()

    def changed(self) -> None:
        """Schedule a report after the interval, because requests in flight changed."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(self._interval_s, self.report)

    def report(self) -> None:
        """Send a report now, and adapt the interval to the number of peers."""
        self._is_scheduled = False
        now = asyncio.get_running_loop().time()
        counts = {name_hash(key): count for key, count in self._health.counts().items()}
        failures = self._health.failures(now, name_hash)
        limits = self._limits(self._sender, now)
        peers = self._send(
            LoadReport(self._sender, counts, failures, limits.uses, limits.demands)
        )
        added_s = INTERVAL_PER_MEMBER_S * max(0, peers - 6)
        self._interval_s = min(MAX_INTERVAL_S, MIN_INTERVAL_S + added_s)
