"""Shares each endpoint's rate limit among all gateways without asking anybody; pure.

Answers load at an endpoint that takes fewer requests a second than its callers would
send, as far as many gateways with few requests each can know of it:

- Load reports carry what each gateway has sent to a limited endpoint. The sum of these
  counts keeps the total at the limit while demand is uneven.
- Reports are some 40 ms to 1 s old. Once more than half of the limit is in use, each
  gateway also keeps to its share by demand, so that gateways that wait for the same
  endpoint do not all send at the moment at which the sum allows it.
- Where demand is a multiple of a limit, only a random part of the requests is admitted,
  so that few are sent before the reports of the first ones arrive.
- Gateways that do not exchange load reports divide the limit by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from .decayed_count import WINDOW_S, DecayedCount, steady_count, time_until_s
from .statements import MAX_ENDPOINTS, LimitChange, LimitStatements, Statement

MIN_RATE_PER_S = 0.25
"""Least rate at which requests are sent to an endpoint whatever its limit says: only an
answer can end the limit."""
MAX_REPORTED = 16
"""Most limited endpoints in one load report, about 250 bytes. With more in use, each
gateway always keeps to its share."""
REPORTED_COUNT = 0.02
"""Counts below this are not reported."""
STATEMENT_REPORT_S = 2.0
"""How long a statement that was read here is reported to the peers."""
OWN_SHARE_FROM = 0.5
"""Share of the limit in use from which each gateway keeps to its share by demand."""
MAX_PEERS = 1024
"""Most peers whose counts are remembered; more than the largest deployment has."""
MAX_SERVICES = 1024
"""Most services whose demand is remembered."""
MAX_ATTEMPTS_PER_LIMIT = 4.0
"""Attempts admitted at random, as a multiple of a limit; the fewer, the fewer requests
gateways send at the same time, and the longer a limit stays unused between two."""
THOUSANDTHS = 1000


# Anybody may send to an open port, so that numbers in datagrams have bounds.
_Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class LimitUse(msgspec.Struct, frozen=True, array_like=True):
    """What a load report says about one limited endpoint; integers save bytes.

    Attributes:
        sends: Decayed number of requests that the sender sent there, in thousandths.
        age_ms: Age of the newest answer that the sender itself has read; ``None`` if
            that is too old to be reported.
        rate: Limit in that answer in thousandths of a request a second; ``None`` for
            an answer without a limit.
    """

    sends: _Count
    age_ms: _Count | None = None
    rate: _Count | None = None


@dataclass(frozen=True, slots=True)
class LimitReport:
    """One gateway's part of a load report about limited endpoints.

    Attributes:
        sender: Hash of the gateway's name.
        uses: Use of limited endpoints by the hash of their key.
        demands: Decayed number of attempts to find an endpoint of a service that has
            limited ones, in thousandths, by the hash of the service's name.
    """

    sender: int
    uses: dict[int, LimitUse]
    demands: dict[int, int]


class _SharedCount:
    """Counts of this gateway and of its peers; their sum is kept up to date.

    Attributes:
        own: Count of this gateway.
    """

    __slots__ = ("_peers", "_peers_sum", "own")

    def __init__(self) -> None:
        self.own = DecayedCount()
        self._peers: dict[int, DecayedCount] = {}
        # All counts decay alike, and so does their sum.
        self._peers_sum = DecayedCount()

    def total(self, now: float) -> float:
        """Return the sum of all gateways' counts."""
        return self.own.at(now) + self._peers_sum.at(now)

    def record_peer(self, sender: int, count: float, now: float) -> None:
        """Replace a peer's count."""
        before = self._peers.pop(sender, None)
        change = count - (before.at(now) if before else 0.0)
        self._peers_sum.count = max(0.0, self._peers_sum.at(now) + change)
        self._peers_sum.counted_at = now
        if len(self._peers) >= MAX_PEERS:
            del self._peers[next(iter(self._peers))]
        self._peers[sender] = DecayedCount(count, now)


class EndpointLimits:
    """Decides which endpoints may be sent a request under the limits that they name.

    Endpoints and services are identified by the hashes that load reports use.

    Attributes:
        statements: What endpoints say about their limits.
    """

    __slots__ = (
        "_demands",
        "_is_report_full",
        "_next_reported",
        "_sends",
        "statements",
    )

    def __init__(self) -> None:
        self.statements = LimitStatements()
        self._sends: dict[int, _SharedCount] = {}
        self._demands: dict[int, _SharedCount] = {}
        self._next_reported = 0
        self._is_report_full = False

    @property
    def are_in_force(self) -> bool:
        """Whether any endpoint names a limit."""
        return bool(len(self.statements))

    def record_demand(self, service: int, now: float) -> None:
        """Count an attempt to find an endpoint of a service for a request."""
        self._demands.setdefault(service, _SharedCount()).own.add(now)

    def record_send(self, endpoint: int, now: float) -> None:
        """Count a request that is now sent to an endpoint, limited or not."""
        self._sends_to(endpoint).own.add(now)

    def forget(self, endpoint: int) -> None:
        """Delete what is known of an endpoint."""
        self.statements.forget(endpoint)
        self._sends.pop(endpoint, None)

    def admits(
        self,
        endpoint: int,
        service: int,
        now: float,
        *,
        draw: float,
        group_share: float = 1.0,
        part: float = 1.0,
    ) -> bool:
        """Return whether a request may be sent to an endpoint now.

        Args:
            endpoint: The endpoint.
            service: Its service.
            now: Loop time.
            draw: Random number from 0 to 1.
            group_share: Share of all gateways that exchange load reports with this one,
                itself included.
            part: Part of the limit that requests of this kind may use, at most 1.
        """
        limit_per_s = self.statements.rate_per_s(endpoint)
        if limit_per_s is None:
            return True
        if self.wait_s(endpoint, service, now, group_share=group_share, part=part):
            return False
        demand = self._demands.get(service)
        if demand is None:
            return True
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * group_share
        attempts_per_s = demand.total(now) / WINDOW_S
        return draw * attempts_per_s < MAX_ATTEMPTS_PER_LIMIT * rate_per_s

    def wait_s(
        self,
        endpoint: int,
        service: int,
        now: float,
        *,
        group_share: float = 1.0,
        part: float = 1.0,
    ) -> float:
        """Return the seconds until a request may be sent if no other is; 0 for now.

        Takes the same arguments as :meth:`admits`.
        """
        limit_per_s = self.statements.rate_per_s(endpoint)
        if limit_per_s is None:
            return 0.0
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * group_share * part
        sends = self._sends.get(endpoint)
        if sends is None:
            return 0.0
        total = sends.total(now)
        allowed = steady_count(rate_per_s)
        total_wait_s = time_until_s(total, allowed)
        own_allowed = steady_count(rate_per_s * self._demand_share(service, now))
        own_wait_s = time_until_s(sends.own.at(now), own_allowed)
        if not self._is_report_full:
            own_wait_s = min(own_wait_s, time_until_s(total, OWN_SHARE_FROM * allowed))
        return max(total_wait_s, own_wait_s)

    def _demand_share(self, service: int, now: float) -> float:
        demand = self._demands.get(service)
        if demand is None:
            return 1.0
        total = demand.total(now)
        return demand.own.at(now) / total if total else 1.0

    def _sends_to(self, endpoint: int) -> _SharedCount:
        sends = self._sends.get(endpoint)
        if sends is None:
            if len(self._sends) >= MAX_ENDPOINTS:
                self.forget(next(iter(self._sends)))
            sends = self._sends[endpoint] = _SharedCount()
        return sends

    def report(self, sender: int, now: float) -> LimitReport:
        """Return what to tell the peers; further endpoints follow in later reports."""
        due = [
            endpoint
            for endpoint in self.statements.endpoints()
            if self._is_due(endpoint, now)
        ]
        self._is_report_full = len(due) > MAX_REPORTED
        start = self._next_reported % len(due) if self._is_report_full else 0
        chosen = (due[start:] + due[:start])[:MAX_REPORTED]
        self._next_reported = start + len(chosen)
        return LimitReport(
            sender,
            {endpoint: self._use(endpoint, now) for endpoint in chosen},
            self._reported_demands(now),
        )

    def _reported_demands(self, now: float) -> dict[int, int]:
        if not self.are_in_force:
            return {}
        values = {
            service: demand.own.at(now) for service, demand in self._demands.items()
        }
        return {
            service: round(THOUSANDTHS * value)
            for service, value in values.items()
            if value >= REPORTED_COUNT
        }

    def _is_due(self, endpoint: int, now: float) -> bool:
        latest = self.statements.latest(endpoint)
        if latest.is_own and now - latest.stated_at < STATEMENT_REPORT_S:
            return True
        sends = self._sends.get(endpoint)
        return (
            latest.rate_per_s is not None
            and sends is not None
            and sends.own.at(now) >= REPORTED_COUNT
        )

    def _use(self, endpoint: int, now: float) -> LimitUse:
        sends = self._sends.get(endpoint)
        own = round(THOUSANDTHS * sends.own.at(now)) if sends else 0
        latest = self.statements.latest(endpoint)
        age_s = now - latest.stated_at
        if not latest.is_own or age_s >= STATEMENT_REPORT_S:
            return LimitUse(own)
        rate = latest.rate_per_s
        return LimitUse(
            own,
            round(THOUSANDTHS * age_s),
            None if rate is None else round(THOUSANDTHS * rate),
        )

    def record_report(
        self, report: LimitReport, now: float
    ) -> Iterable[tuple[int, Statement, LimitChange]]:
        """Record a peer's report; returns the statements that change something."""
        changes = []
        for endpoint, use in report.uses.items():
            sends = self._sends_to(endpoint)
            sends.record_peer(report.sender, use.sends / THOUSANDTHS, now)
            if use.age_ms is None:
                continue
            statement = Statement(
                None if use.rate is None else use.rate / THOUSANDTHS,
                now - use.age_ms / THOUSANDTHS,
                is_own=False,
            )
            change = self.statements.record(endpoint, statement)
            if change is not None:
                changes.append((endpoint, statement, change))
        for service, demand in report.demands.items():
            if service not in self._demands and len(self._demands) >= MAX_SERVICES:
                continue
            counts = self._demands.setdefault(service, _SharedCount())
            counts.record_peer(report.sender, demand / THOUSANDTHS, now)
        return changes
