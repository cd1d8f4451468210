"""Gateways tell each other what each has under way at every endpoint.

One gateway sees only its own share of an endpoint's load. In a burst seven of them
would each fill the same engine; with their counts each knows the whole queue.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from functools import lru_cache

import msgspec

MIN_INTERVAL_S = 0.04
"""Shortest time between two reports of a gateway: a quarter of a turn."""
INTERVAL_PER_MEMBER_S = 0.005
"""Added for each member, so that reports cost the same at any size."""
MAX_INTERVAL_S = 1.0
MAX_SHORT_FORMS = 8192
"""Names whose short forms are kept: more than endpoints and gateways there are."""
REPORT_LIFE_S = 1.0
"""How long a report counts; a gateway that died has nothing under way."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One datagram: what a gateway has under way.

    Attributes:
        sender: Short form of the sender's name.
        counts: Requests by the short form of the endpoint's key; endpoints without
            any are left out.
    """

    sender: int
    counts: dict[int, int]


@lru_cache(maxsize=MAX_SHORT_FORMS)
def short_form(name: str) -> int:
    """Return four bytes that stand for a name in datagrams.

    Two names with the same form would only make an endpoint look busier.
    """
    return zlib.crc32(name.encode())


class PeerLoads:
    """What other gateways have under way.

    Sums are kept up to date, so that asking for one costs the same at any number of
    gateways; placement asks for many.
    """

    __slots__ = ("_reports", "_sums")

    def __init__(self) -> None:
        # By sender, oldest report first.
        self._reports: dict[int, tuple[float, dict[int, int]]] = {}
        self._sums: dict[int, int] = {}

    def note(self, report: LoadReport, now: float) -> None:
        """Take note of a report; the newest of each gateway counts."""
        self._take_out(report.sender)
        self._reports[report.sender] = (now, report.counts)
        for short, count in report.counts.items():
            self._sums[short] = self._sums.get(short, 0) + count

    def total(self, key: str, now: float) -> int:
        """Return the requests of all other gateways at an endpoint."""
        self._forget_old(now)
        return self._sums.get(short_form(key), 0)

    def _forget_old(self, now: float) -> None:
        while self._reports:
            sender, (at, _) = next(iter(self._reports.items()))
            if now - at < REPORT_LIFE_S:
                return
            self._take_out(sender)

    def _take_out(self, sender: int) -> None:
        _, counts = self._reports.pop(sender, (0.0, {}))
        for short, count in counts.items():
            left = self._sums.get(short, 0) - count
            if left:
                self._sums[short] = left
            else:
                self._sums.pop(short, None)


class LoadReporter:
    """Sends a report soon after something has changed.

    Args:
        send: Sends a report to all peers; returns how many there are.
        counts: Returns what is under way here.
        name: Name of this gateway.
    """

    __slots__ = ("_counts", "_interval_s", "_is_due", "_send", "_sender")

    def __init__(
        self,
        send: Callable[[LoadReport], int],
        counts: Callable[[], dict[str, int]],
        *,
        name: str,
    ) -> None:
        self._send = send
        self._counts = counts
        self._sender = short_form(name)
        self._interval_s = MIN_INTERVAL_S
        self._is_due = False

    def changed(self) -> None:
        """Send a report within the interval."""
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_later(self._interval_s, self.report)

    def report(self) -> None:
        """Send a report now."""
        self._is_due = False
        counts = {short_form(key): count for key, count in self._counts().items()}
        peers = self._send(LoadReport(self._sender, counts))
        added_s = INTERVAL_PER_MEMBER_S * max(0, peers - 6)
        self._interval_s = min(MAX_INTERVAL_S, MIN_INTERVAL_S + added_s)
