"""Gateways together keep to the rate limit that an endpoint names."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from carobspur.gateway.endpoint_limits.decayed_count import (
    WINDOW_S,
    DecayedCount,
    steady_count,
    time_until_s,
)
from carobspur.gateway.endpoint_limits.policy import (
    MAX_REPORTED,
    EndpointLimits,
    LimitReport,
    LimitUse,
)
from carobspur.gateway.endpoint_limits.statements import LimitChange, Statement
from carobspur_standins.platform_replica import ReplicaStandin

from .limit_model import SERVICE, LimitModel
from .platform_world import ENGINES, TOOLS, CallerAnswer, World, world

SETTLED_S = 3.0
"""Time after which a limit is binding."""
SPAN_S = 4.0


def allowed_in_span(rate_per_s: float) -> float:
    """Return the requests that an endpoint may get in ``SPAN_S`` under a limit."""
    return 1.5 * SPAN_S * rate_per_s + 5


class DecayedCountTest(unittest.TestCase):
    def test_a_steady_train_of_events_is_allowed_at_its_rate(self) -> None:
        for rate in (0.1, 0.5, 1.0, 8.0, 100.0):
            with self.subTest(rate):
                count = DecayedCount()
                events = max(20, int(20 * rate))
                for number in range(events):
                    count.add(number / rate)
                value = count.at(events / rate)
                self.assertAlmostEqual(steady_count(rate), value, places=6)

    def test_wait_ends_when_the_value_has_decayed(self) -> None:
        count = DecayedCount(6.0, 10.0)
        wait_s = time_until_s(6.0, 2.0)
        self.assertAlmostEqual(2.0, count.at(10.0 + wait_s))
        self.assertEqual(0.0, time_until_s(1.0, 2.0))
        self.assertEqual(0.0, count.at(10.0 + 100 * WINDOW_S))


class SharedLimitTest(unittest.TestCase):
    """Load: several times what the endpoints' limits admit, at up to 95 gateways."""

    def _check(self, model: LimitModel, seconds: float = 14.0) -> None:
        model.run(seconds)
        for endpoint, rate in model.rates.items():
            most = model.most_in(endpoint, SPAN_S, SETTLED_S)
            self.assertLessEqual(most, allowed_in_span(rate), endpoint)
            used = sum(at > SETTLED_S for at in model.arrivals[endpoint])
            # Little of the limit stays unused while requests are refused.
            self.assertGreater(used, 0.6 * rate * (seconds - SETTLED_S) - 2)

    def test_gateways_together_exceed_no_limit_under_overload(self) -> None:
        for groups in ([1], [7], [16], [12, 12, 13], [19] * 5):
            for rate in (0.5, 1.0, 2.0, 8.0):
                with self.subTest(groups=groups, rate=rate):
                    rates = dict.fromkeys(range(3), rate)
                    self._check(
                        LimitModel(
                            rates,
                            groups,
                            max(4.0, 9 * rate),
                            random.Random(48),
                            report_s=0.15 if sum(groups) > 16 else 0.06,
                            loss=0.02,
                        )
                    )

    def test_uneven_demand_exceeds_no_limit_and_leaves_little_unused(self) -> None:
        rates = {0: 4.0, 1: 9.0, 2: 2.0}
        self._check(LimitModel(rates, [7], 45.0, random.Random(3), skew=0.8))

    def test_a_gateway_that_hears_no_peer_keeps_to_its_share(self) -> None:
        rates = {0: 4.0, 1: 9.0}
        model = LimitModel(rates, [7], 39.0, random.Random(4), cut=frozenset({2}))
        model.run(14.0)
        for endpoint, rate in rates.items():
            most = model.most_in(endpoint, SPAN_S, SETTLED_S)
            self.assertLessEqual(most, allowed_in_span(rate))


class EndpointLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = EndpointLimits()
        self.limits.statements.record(7, Statement(2.0, 0.0))

    def admits(self, now: float, **more: float) -> bool:
        return self.limits.admits(7, SERVICE, now, draw=0.0, **more)

    def test_a_peers_requests_count_from_its_report_on(self) -> None:
        self.assertTrue(self.admits(0.1))
        self.limits.record_report(LimitReport(1, {7: LimitUse(4000)}, {}), 0.1)
        self.assertFalse(self.admits(0.2))
        self.assertTrue(self.admits(1.5))

    def test_the_sum_of_peers_is_that_of_their_newest_reports(self) -> None:
        rng = random.Random(7)
        newest: dict[int, DecayedCount] = {}
        now = 0.0
        for _ in range(500):
            now += rng.expovariate(20)
            sender, sends = rng.randrange(9), rng.randrange(4000)
            self.limits.record_report(
                LimitReport(sender, {7: LimitUse(sends)}, {}), now
            )
            newest[sender] = DecayedCount(sends / 1000, now)
            expected = sum(count.at(now) for count in newest.values())
            found = self.limits._sends[7].total(now)
            self.assertAlmostEqual(expected, found, places=6)

    def test_new_programs_leave_a_part_of_the_limit_to_others(self) -> None:
        for number in range(100):
            now = number * 0.1
            if self.admits(now, part=0.5):
                self.limits.record_send(7, now)
        self.assertFalse(self.admits(10.0, part=0.5))
        self.assertTrue(self.admits(10.0))

    def test_statements_of_peers_are_taken_over_and_end_with_their_limit(self) -> None:
        other = EndpointLimits()
        report = self.limits.report(1, 0.1)
        changes = other.record_report(report, 0.1)
        self.assertEqual([LimitChange.STARTED], [change for _, _, change in changes])
        self.limits.statements.record(7, Statement(None, 0.5))
        other.record_report(self.limits.report(1, 0.6), 0.6)
        self.assertIsNone(other.statements.rate_per_s(7))
        # What another gateway has told is not passed on.
        self.assertEqual({}, other.report(2, 0.7).uses)

    def test_an_endpoint_that_takes_nothing_is_still_tried_now_and_then(self) -> None:
        self.limits.statements.record(7, Statement(0.0, 0.0))
        sent = 0
        for number in range(400):
            now = number * 0.1
            if self.admits(now):
                self.limits.record_send(7, now)
                sent += 1
        self.assertTrue(8 <= sent <= 12, sent)

    def test_a_report_has_a_bounded_number_of_endpoints(self) -> None:
        for endpoint in range(3 * MAX_REPORTED):
            self.limits.statements.record(endpoint, Statement(1.0, 0.0))
        seen: Counter[int] = Counter()
        for _ in range(3):
            uses = self.limits.report(1, 0.1).uses
            self.assertEqual(MAX_REPORTED, len(uses))
            seen.update(uses.keys())
        self.assertEqual(3 * MAX_REPORTED, len(seen))


class EndpointLimitPathTest(unittest.IsolatedAsyncioTestCase):
    """Real gateways: what a limited endpoint gets from all of them."""

    async def _load(
        self, made: World, per_s: float, seconds: float, path: str = "/read/x"
    ) -> list[CallerAnswer]:
        rng = random.Random(5)
        calls = []
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            via = rng.randrange(len(made.gateways))
            program = f"p{len(calls)}"
            call = made.call(path, via=via, program_id=program, session_id=program)
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*calls)

    def _check_limit(self, replica: ReplicaStandin, rate: float) -> None:
        """Check what a replica got in any span since its limit was binding."""
        times = [item.arrived_at for item in replica.seen]
        since = times[0] + SETTLED_S
        most = max(
            sum(start <= at < start + SPAN_S for at in times)
            for start in times
            if start >= since
        )
        self.assertLessEqual(most, allowed_in_span(rate))

    async def test_endpoint_gets_more_requests_than_the_limit_it_named(self) -> None:
        """Guards against LIMIT: gateways that ignore a limit or keep to it singly."""
        rate = 4.0
        async with world(gateways=4, tools=2) as made:
            tools = [item for item in made.replicas.values() if item.service == TOOLS]
            for replica in tools:
                replica.rate_limit = rate
            answers = await self._load(made, 60.0, SETTLED_S + SPAN_S + 0.5)
            for replica in tools:
                self._check_limit(replica, rate)
            statuses = Counter(item.status for item in answers)
            self.assertEqual({200, 503}, set(statuses))
            for answer in answers:
                if answer.status == 503:
                    self.assertGreater(float(answer.headers["retry-after"]), 0)
            executed = sum(len(replica.ran) for replica in tools)
            self.assertEqual(statuses[200], executed)
            self.assertTrue(any(made.gateways[0].events("endpoints_limited")))
            for replica in tools:
                replica.rate_limit = None
            await self._load(made, 10.0, 1.5)
            answers = await self._load(made, 60.0, 1.0)
            self.assertEqual({200}, {item.status for item in answers})

    async def test_engine_gets_more_turns_than_the_limit_it_named(self) -> None:
        rate = 3.0
        async with world(gateways=3, engines=2) as made:
            engines = [
                item for item in made.replicas.values() if item.service == ENGINES
            ]
            for replica in engines:
                replica.rate_limit = rate
            answers = await self._load(
                made, 30.0, SETTLED_S + SPAN_S + 0.5, path="/walk/x"
            )
            for replica in engines:
                self._check_limit(replica, rate)
            statuses = Counter(item.status for item in answers)
            self.assertEqual({200, 503}, set(statuses))

    async def test_a_gateway_that_starts_in_a_store_outage_exceeds_a_limit(
        self,
    ) -> None:
        rate = 4.0
        async with world(gateways=2, tools=1) as made:
            (replica,) = [
                item for item in made.replicas.values() if item.service == TOOLS
            ]
            replica.rate_limit = rate
            await self._load(made, 30.0, SETTLED_S)
            made.store.faults.status = 503
            made.start_gateway(seeds=[item.ports["peers"] for item in made.gateways])
            await made.until_ready()
            await self._load(made, 40.0, SETTLED_S + SPAN_S)
            self._check_limit(replica, rate)
            (late,) = made.gateways[2:]
            self.assertTrue(late.events("endpoints_limited"))

    async def test_gateways_that_all_start_again_exceed_a_limit_for_long(
        self,
    ) -> None:
        """All that was known of the limit and of its use is lost."""
        rate = 4.0
        async with world(gateways=3, tools=1) as made:
            (replica,) = [
                item for item in made.replicas.values() if item.service == TOOLS
            ]
            replica.rate_limit = rate
            await self._load(made, 30.0, SETTLED_S)
            await asyncio.gather(*(made.kill(item) for item in made.gateways[:]))
            for _ in range(3):
                made.start_gateway()
            await made.until_ready()
            del replica.seen[:]
            await self._load(made, 40.0, SETTLED_S + SPAN_S)
            self._check_limit(replica, rate)
