"""A few failures of an endpoint are enough for all gateways to avoid it."""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter

from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.failure_rates import (
    HALF_LIFE_S,
    OutcomeCounts,
    failure_share,
)
from carobspur.gateway.health import HealthTracker
from carobspur.gateway.load_sharing import (
    FAILURE_INTERVAL_S,
    LoadReport,
    name_hash,
)
from carobspur.gateway.placement import Need, choose_plain

TOOLS = [Endpoint(f"t{n}", "tools", "h", n, "a", 6) for n in range(9)]
CALL_S = 0.05
FAULT_START_S = 2.0
FAULT_DURATION_S = 4.0
"""About the longest time for which a replica may reset its requests while its health
check passes."""
REPORT_INTERVAL_S = 0.1
"""Time between two load reports of a gateway in a data centre with a dozen gateways."""


class ResettingEndpoint:
    """Simulates calls of many gateways while one endpoint resets each call at once.

    Args:
        gateways: Number of gateways that place calls.
        shares_reports: Whether they send each other load reports.
    """

    def __init__(self, *, gateways: int, shares_reports: bool) -> None:
        self.trackers = [HealthTracker() for _ in range(gateways)]
        self.shares_reports = shares_reports
        self.failed = 0
        self.sent: Counter[str] = Counter()
        self._reported_at = 0.0
        self._failure_sent_at = 0.0
        self._ends: list[tuple[float, int, str]] = []

    def call(self, now: float, gateway: int) -> None:
        """Place one call; it fails at once if the faulty endpoint is chosen."""
        while self._ends and self._ends[0][0] <= now:
            _, sender, key = heapq.heappop(self._ends)
            self.trackers[sender].end(key)
            self.trackers[sender].record_success(key, "route", CALL_S, now)
        if self.shares_reports and now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)
        health = self.trackers[gateway]
        chosen = choose_plain(TOOLS, Need("a"), health, now)
        self.sent[chosen.id] += 1
        if chosen is TOOLS[0] and now >= FAULT_START_S:
            self.failed += 1
            health.record_failure(chosen.key, now)
            if (
                self.shares_reports
                and now - self._failure_sent_at >= FAILURE_INTERVAL_S
            ):
                self._failure_sent_at = now
                self._report(now)
        else:
            health.begin(chosen.key)
            heapq.heappush(self._ends, (now + CALL_S, gateway, chosen.key))

    def _report(self, now: float) -> None:
        self._reported_at = now
        for sender, health in enumerate(self.trackers):
            counts = {name_hash(key): n for key, n in health.counts().items()}
            report = LoadReport(sender, counts, health.failures(now, name_hash))
            for receiver, other in enumerate(self.trackers):
                if receiver != sender:
                    other.peers.record(report, now)


def failed_calls(*, gateways: int, shares_reports: bool) -> int:
    """Return how many calls fail at the endpoint that resets them."""
    rng = random.Random(11)
    simulation = ResettingEndpoint(gateways=gateways, shares_reports=shares_reports)
    now = 0.0
    while now < FAULT_START_S + FAULT_DURATION_S:
        now += rng.expovariate(300)
        simulation.call(now, rng.randrange(gateways))
    return simulation.failed


class FailureRatesTest(unittest.TestCase):
    def test_resetting_endpoint_fails_few_calls_of_many_gateways(self) -> None:
        # Without reports each gateway loses one call at most; with them most lose none.
        self.assertLessEqual(failed_calls(gateways=12, shares_reports=False), 12)
        self.assertLess(failed_calls(gateways=12, shares_reports=True), 6)

    def test_endpoint_that_loses_a_few_answers_stays_in_use(self) -> None:
        health = HealthTracker()
        rng = random.Random(5)
        for step in range(2000):
            for tool in TOOLS:
                if rng.random() < 0.06:
                    health.record_failure(tool.key, step * 0.01)
                else:
                    health.record_success(tool.key, "route", 0.05, step * 0.01)
        shares = [health.failure_share(tool.key, 20.0) for tool in TOOLS]
        self.assertLess(max(shares), 0.15)

    def test_endpoint_is_tried_again_once_its_failures_have_decayed(self) -> None:
        health = HealthTracker()
        for _ in range(5):
            health.record_failure(TOOLS[0].key, 0.0)
        self.assertGreater(health.failure_share(TOOLS[0].key, 0.1), 0.5)
        self.assertLess(health.failure_share(TOOLS[0].key, 7 * HALF_LIFE_S), 0.05)

    def test_unknown_endpoint_is_not_suspected(self) -> None:
        self.assertEqual(0.0, failure_share(0.0, 0.0))
        self.assertEqual((0.0, 0.0), OutcomeCounts().at(5.0))

    def test_failures_of_a_peer_count_no_longer_than_its_report(self) -> None:
        health = HealthTracker()
        key = TOOLS[0].key
        health.peers.record(LoadReport(1, {}, {name_hash(key): (0.0, 3.0)}), 0.0)
        self.assertGreater(health.failure_share(key, 0.5), 0.5)
        self.assertEqual(0.0, health.failure_share(key, 3.0))
