"""Model of gateways that share endpoints' rate limits, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from carobspur.gateway.endpoint_limits.gate import WAKE_SPREAD_S
from carobspur.gateway.endpoint_limits.policy import EndpointLimits
from carobspur.gateway.endpoint_limits.statements import Statement

SERVICE = 1
ANSWER_S = 0.05
LATENCY_S = 0.002
MAX_WAIT_S = 0.1
RETRY_S = 0.3


@dataclass(slots=True)
class LimitModel:
    """Gateways, endpoints with limits and a stream of requests.

    Attributes:
        rates: Limit of each endpoint in requests a second; ``None`` for no limit.
        groups: Number of gateways in each group that exchanges load reports.
        demand_per_s: Requests a second at all gateways together.
        report_s: Interval between a gateway's load reports.
        loss: Share of load reports that are lost.
        skew: Share of the requests that arrive at the first gateway.
        cut: Gateways whose reports neither leave nor arrive.
        rng: Source of random numbers.
        arrivals: Times of requests by endpoint, after the run.
        refused: Requests that found no endpoint in time.
    """

    rates: dict[int, float | None]
    groups: list[int]
    demand_per_s: float
    rng: random.Random
    report_s: float = 0.06
    loss: float = 0.0
    skew: float = 0.0
    cut: frozenset[int] = frozenset()
    arrivals: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    refused: int = 0
    _events: list = field(default_factory=list)
    _ids: itertools.count = field(default_factory=itertools.count)

    def run(self, seconds: float) -> None:
        """Run the model; all endpoints name their limits from the start."""
        total = sum(self.groups)
        limits = [EndpointLimits() for _ in range(total)]
        group_of = [
            number for number, size in enumerate(self.groups) for _ in range(size)
        ]

        def report(gateway: int, now: float) -> None:
            message = limits[gateway].report(gateway, now)
            for other in range(total):
                if (
                    other != gateway
                    and group_of[other] == group_of[gateway]
                    and not {other, gateway} & self.cut
                    and self.rng.random() >= self.loss
                ):
                    self._at(
                        now + LATENCY_S,
                        lambda at, o=other, m=message: limits[o].record_report(m, at),
                    )
            self._at(now + self.report_s, lambda at: report(gateway, at))

        def attempt(gateway: int, now: float, waited_s: float) -> None:
            own = limits[gateway]
            share = self.groups[group_of[gateway]] / total
            if gateway in self.cut:
                share = 1 / total
            own.record_demand(SERVICE, now)
            free = [
                endpoint
                for endpoint in self.rates
                if own.admits(
                    endpoint,
                    SERVICE,
                    now,
                    draw=self.rng.random(),
                    group_share=share,
                )
            ]
            if free:
                endpoint = self.rng.choice(free)
                own.record_send(endpoint, now)
                self.arrivals[endpoint].append(now + LATENCY_S)
                self._at(now + ANSWER_S, lambda at: read(gateway, endpoint, at))
                return
            wait_s = self.rng.uniform(*WAKE_SPREAD_S) + min(
                own.wait_s(endpoint, SERVICE, now, group_share=share)
                for endpoint in self.rates
            )
            if waited_s + wait_s <= MAX_WAIT_S:
                self._at(
                    now + wait_s, lambda at: attempt(gateway, at, waited_s + wait_s)
                )
                return
            self.refused += 1
            self._at(
                now + wait_s + self.rng.uniform(0, RETRY_S),
                lambda at: attempt(gateway, at, MAX_WAIT_S),
            )

        def read(gateway: int, endpoint: int, now: float) -> None:
            statement = Statement(self.rates[endpoint], now)
            limits[gateway].statements.record(endpoint, statement)

        def arrive(now: float) -> None:
            gateway = self.rng.randrange(total)
            if self.rng.random() < self.skew:
                gateway = 0
            attempt(gateway, now, 0.0)
            self._at(now + self.rng.expovariate(self.demand_per_s), arrive)

        for gateway in range(total):
            first = self.rng.uniform(0, self.report_s)
            self._at(first, lambda at, g=gateway: report(g, at))
        self._at(0.0, arrive)
        while self._events and self._events[0][0] < seconds:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def most_in(self, endpoint: int, window_s: float, since: float) -> int:
        """Return the most requests that an endpoint got in a window since a time."""
        times = sorted(at for at in self.arrivals[endpoint] if at >= since)
        most = start = 0
        for index, at in enumerate(times):
            while times[start] <= at - window_s:
                start += 1
            most = max(most, index - start + 1)
        return most

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._ids), action))
