"""Gateways tell each other what each has under way at every endpoint, and failures.

One gateway sees only its own share of an endpoint's load. In a burst seven of them
would each fill the same engine; with their counts each knows the whole queue.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from functools import lru_cache
from typing import Protocol

import msgspec

MIN_INTERVAL_S = 0.04
"""Shortest time between two reports of a gateway: a quarter of a turn."""
INTERVAL_PER_MEMBER_S = 0.005
"""Added for each member, so that reports cost the same at any size."""
MAX_INTERVAL_S = 1.0
FAILURE_INTERVAL_S = 0.02
"""Shortest time between two reports of failures, which are sent at once: an endpoint
that resets what it is sent draws every call until others know."""
MAX_CACHED_HASHES = 8192
"""Names whose short forms are kept: more than endpoints and gateways there are."""
REPORT_TTL_S = 1.0
"""How long a report counts; a gateway that died has nothing under way."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One datagram: what a gateway has under way.

    Attributes:
        sender: Short form of the sender's name.
        counts: Requests by the short form of the endpoint's key; endpoints without
            any are left out.
        failures: Answers and failures of endpoints that failed lately, as they count
            at the sender.
    """

    sender: int
    counts: dict[int, int]
    failures: dict[int, tuple[float, float]] = msgspec.field(default_factory=dict)


@lru_cache(maxsize=MAX_CACHED_HASHES)
def name_hash(name: str) -> int:
    """Return four bytes that stand for a name in datagrams.

    Two names with the same form would only make an endpoint look busier.
    """
    return zlib.crc32(name.encode())


class PeerLoads:
    """What other gateways have under way, and what failed them.

    Sums are kept up to date, so that asking for one costs the same at any number of
    gateways; placement asks for many.
    """

    __slots__ = ("_failures", "_reports", "_in_flight")

    def __init__(self) -> None:
        # By sender, oldest report first.
        self._reports: dict[int, tuple[float, LoadReport]] = {}
        self._in_flight: dict[int, int] = {}
        # Few endpoints fail at a time: these are summed when they are asked for.
        self._failures: dict[int, dict[int, tuple[float, float]]] = {}

    def record(self, report: LoadReport, now: float) -> None:
        """Take note of a report; the newest of each gateway counts."""
        self._remove_report(report.sender)
        self._reports[report.sender] = (now, report)
        for endpoint_hash, outcomes in report.failures.items():
            self._failures.setdefault(endpoint_hash, {})[report.sender] = outcomes
        for endpoint_hash, count in report.counts.items():
            self._in_flight[endpoint_hash] = (
                self._in_flight.get(endpoint_hash, 0) + count
            )

    def total(self, key: str, now: float) -> int:
        """Return the requests of all other gateways at an endpoint."""
        self._expire_reports(now)
        return self._in_flight.get(name_hash(key), 0)

    def failures(self, key: str, now: float) -> tuple[float, float]:
        """Return answers and failures of an endpoint at all other gateways."""
        self._expire_reports(now)
        reported = self._failures.get(name_hash(key), {}).values()
        return sum(item[0] for item in reported), sum(item[1] for item in reported)

    def _expire_reports(self, now: float) -> None:
        while self._reports:
            sender, (at, _) = next(iter(self._reports.items()))
            if now - at < REPORT_TTL_S:
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
            left = self._in_flight.get(endpoint_hash, 0) - count
            if left:
                self._in_flight[endpoint_hash] = left
            else:
                self._in_flight.pop(endpoint_hash, None)


class LocalHealth(Protocol):
    """What this gateway itself knows of endpoints."""

    def counts(self) -> dict[str, int]:
        """Return this gateway's requests under way by endpoint."""

    def failures(
        self, now: float, hash_name: Callable[[str], int]
    ) -> dict[int, tuple[float, float]]:
        """Return answers and failures of endpoints that failed lately, by name."""


class LoadReporter:
    """Sends a report soon after something has changed.

    Args:
        send: Sends a report to all peers; returns how many there are.
        health: What is under way here, and what failed.
        name: Name of this gateway.
    """

    __slots__ = (
        "_failure_sent_at",
        "_health",
        "_interval_s",
        "_is_scheduled",
        "_send",
        "_sender",
    )

    def __init__(
        self,
        send: Callable[[LoadReport], int],
        health: LocalHealth,
        *,
        name: str,
    ) -> None:
        self._send = send
        self._health = health
        self._sender = name_hash(name)
        self._interval_s = MIN_INTERVAL_S
        self._is_scheduled = False
        self._failure_sent_at = float("-inf")

    def failed(self) -> None:
        """Send a report at once, or within the interval after a recent one."""
        now = asyncio.get_running_loop().time()
        if now - self._failure_sent_at < FAILURE_INTERVAL_S:
            self.changed()
            return
        self._failure_sent_at = now
        self.report()

    def changed(self) -> None:
        """Send a report within the interval."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(self._interval_s, self.report)

    def report(self) -> None:
        """Send a report now."""
        self._is_scheduled = False
        now = asyncio.get_running_loop().time()
        counts = {name_hash(key): count for key, count in self._health.counts().items()}
        failures = self._health.failures(now, name_hash)
        peers = self._send(LoadReport(self._sender, counts, failures))
        added_s = INTERVAL_PER_MEMBER_S * max(0, peers - 6)
        self._interval_s = min(MAX_INTERVAL_S, MIN_INTERVAL_S + added_s)
