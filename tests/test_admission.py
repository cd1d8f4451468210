"""Decisions of admission control: stages of programs, ranking, load and the share."""

from __future__ import annotations

import asyncio
import random
import tracemalloc
import unittest
from collections import Counter
from types import SimpleNamespace

from carobspur.gateway.admission.controller import MIN_LEVEL, ShareController
from carobspur.gateway.admission.gate import ProgramGate
from carobspur.gateway.admission.idle_times import IdleTimes
from carobspur.gateway.admission.policy import AdmissionPolicy
from carobspur.gateway.admission.pressure import InFlightShare, load_view
from carobspur.gateway.admission.programs import ProgramTracker, Stage
from carobspur.gateway.admission.ranking import Ranking, position
from carobspur.gateway.calls import EndpointLoad
from carobspur.gateway.customers.ownership import program_name
from carobspur.gateway.endpoints import Endpoint, EndpointIndex
from carobspur.gateway.health import HealthTracker
from carobspur.gateway.refusals import OverloadedError
from carobspur.gateway.routes import Route, RouteKind, WeightedService
from carobspur.gateway.telemetry import Telemetry

from .overload_model import SERVICE
from .turn_requests import a_turn

FULL = EndpointLoad(8, 16, 8)
BUSY = EndpointLoad(7, 0, 8)
ROUTE = "urgent"


class ProgramTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = ProgramTracker()

    def _stage(self, now: float = 0.0, *, is_turn: bool = True, **fields) -> Stage:
        call = a_turn(arrived_at=now, **fields)
        return self.tracker.stage(call, ROUTE, is_turn=is_turn, least_s=0.1, now=now)

    def test_programs_in_progress_are_not_taken_for_new_ones(self) -> None:
        """Guards against refusals that cost the turns already served."""
        self.assertIs(Stage.NEW, self._stage(program="a", left_s=2))
        self.assertIs(
            Stage.IN_PROGRESS, self._stage(program="b", left_s=2, previous="t")
        )
        self.assertIs(Stage.IN_PROGRESS, self._stage(program="c", left_s=2, parts=4))
        self.assertIs(
            Stage.IN_PROGRESS, self._stage(program="d", left_s=2, is_turn=False)
        )
        call = a_turn(program="a", left_s=2)
        self.tracker.record_admitted(call, ROUTE, is_turn=True, now=0.0)
        self.assertIs(Stage.IN_PROGRESS, self._stage(0.5, program="a", left_s=1.5))

    def test_a_turn_with_few_prompt_parts_does_not_hide_new_programs(self) -> None:
        """Guards against one odd request that ends admission control of a route."""
        self.assertIs(Stage.NEW, self._stage(program="a", parts=3))
        self.assertIs(Stage.NEW, self._stage(program="odd", parts=0))
        self.assertIs(Stage.NEW, self._stage(program="b", parts=3))
        self.assertIs(Stage.NEW, self._stage(program="odd", parts=1))
        for number in range(1000):
            self._stage(program=f"c{number}", parts=3 + number % 5)
        self.assertIs(Stage.NEW, self._stage(program="d", parts=3))
        self.assertIs(Stage.IN_PROGRESS, self._stage(program="e", parts=5))

    def test_memory_does_not_grow_with_the_length_of_program_ids(self) -> None:
        """Guards against callers whose long ids fill the memory of a gateway."""
        tracemalloc.start()
        try:
            for number in range(100):
                call = a_turn(program=f"{number:060000}")
                call.customer = None
                self.tracker.record_admitted(call, ROUTE, is_turn=True, now=0.0)
            del call
            self.assertLess(tracemalloc.get_traced_memory()[0], 1_000_000)
        finally:
            tracemalloc.stop()

    def test_programs_with_the_same_id_of_two_customers_differ(self) -> None:
        """Guards against a new program that passes as another customer's program."""
        call = a_turn(program="a", customer="c1")
        self.tracker.record_admitted(call, ROUTE, is_turn=True, now=0.0)
        self.assertIs(Stage.IN_PROGRESS, self._stage(program="a", customer="c1"))
        self.assertIs(Stage.NEW, self._stage(program="a", customer="c2"))

    def test_late_and_lost_programs_are_told_apart(self) -> None:
        """Guards against work for programs that can earn nothing any more."""
        self.assertIs(Stage.LOST, self._lost_after(2.1))
        self.assertIs(Stage.LATE, self._lost_after(1.5))
        self.assertIs(Stage.EXPIRED, self._stage(program="x", left_s=0.05))

    def _lost_after(self, late_s: float) -> Stage:
        self._stage(program="first", left_s=2)
        return self._stage(program="p", left_s=-late_s, previous="t")

    def test_endless_programs_are_told_from_long_ones(self) -> None:
        """Guards against programs that loop endlessly while others are refused."""
        for number in range(100):
            call = a_turn(program=f"p{number}", parts=1 + number % 10)
            self.tracker.record_admitted(call, ROUTE, is_turn=True, now=0.0)
        self.assertIs(Stage.NEW, self._stage(program="x", left_s=2, parts=1))
        self.assertIs(Stage.LOOPING, self._stage(program="z", left_s=2, parts=40))
        self.assertIs(Stage.IN_PROGRESS, self._stage(program="y", left_s=2, parts=15))


class RankingTest(unittest.TestCase):
    def test_least_urgent_class_is_thinned_first_and_never_starved(self) -> None:
        """Guards against urgent programs refused for others, and against starvation."""
        ranking = Ranking()
        for priority in (0, 1):
            ranking.rank(priority)
        for level in (0.9, 0.5, 0.2, 0.02):
            urgent, other = ranking.share(level, 0), ranking.share(level, 1)
            with self.subTest(level):
                self.assertGreaterEqual(urgent, other)
                self.assertGreater(other, (urgent + other) / 2 / 4)
        self.assertEqual(1.0, ranking.share(0.5, 0))

    def test_no_class_or_customer_falls_below_a_quarter_of_all(self) -> None:
        """Guards against a burst, or a class of few programs, that is starved.

        Urgent programs are three quarters of the load in the deployments, and a
        customer's programs may all be of the least urgent class.
        """
        now = 30.0
        for level in (0.9, 0.5, 0.3, 0.1):
            ranking = Ranking()
            for priority in (0, 1):
                ranking.rank(priority)
            for tick in range(300):
                for _ in range(10):
                    ranking.record_new("steady", tick / 10)
                for _ in range(10 if tick >= 270 else tick % 5 == 0):
                    ranking.record_new("burst", tick / 10)

            def admitted(customer, priority, ranking=ranking, level=level) -> float:
                programs = (f"p{number}" for number in range(4000))
                return sum(
                    ranking.is_admitted(program, customer, priority, level, now)
                    for program in programs
                )

            urgent, other = admitted("steady", 0), admitted("steady", 1)
            every = 0.74 * urgent + 0.26 * other
            with self.subTest(level):
                self.assertGreater(other, every / 4)
                self.assertGreater(admitted("burst", 0), every / 4)
                self.assertGreater(admitted("burst", 1), every / 4)

    def test_gateways_agree_and_retries_change_nothing(self) -> None:
        """Guards against callers that get in by trying at another gateway."""
        admitted = {
            tuple(
                ranking.is_admitted(f"p{number}", "c", 0, 0.3, now=float(attempt))
                for number in range(200)
            )
            for attempt, ranking in enumerate([Ranking(), Ranking()])
        }
        self.assertEqual(1, len(admitted))
        self.assertAlmostEqual(0.3, sum(admitted.pop()) / 200, delta=0.1)

    def test_a_burst_is_at_the_expense_of_its_customer(self) -> None:
        """Guards against one customer's burst that crowds out the others."""
        ranking = Ranking()
        for tick in range(300):
            for customer in ("burst", "steady"):
                ranking.record_new(customer, tick / 10)
            for _ in range(6 if tick >= 270 else 0):
                ranking.record_new("burst", tick / 10)
        self.assertGreater(ranking.excess("burst", 30.0), 3)
        self.assertLess(ranking.excess("steady", 30.0), 1.1)
        self.assertEqual(1.0, ranking.excess("unknown", 30.0))


class LoadTest(unittest.TestCase):
    def test_reports_that_are_missing_or_void_permit_no_refusal(self) -> None:
        """Guards against refusals by a gateway that knows nothing of the load."""
        for reports in ([], [(FULL, 60.0)], [(EndpointLoad(8, 8, 0), 0.0)]):
            self.assertFalse(load_view(reports).may_refuse(is_shedding=True))
        self.assertFalse(
            load_view([(EndpointLoad(3, 0, 8), 0.1)]).may_refuse(is_shedding=True)
        )
        self.assertTrue(load_view([(FULL, 0.9)]).may_refuse(is_shedding=False))

    def test_one_false_report_of_a_queue_causes_no_shedding(self) -> None:
        """Guards against a service that one misreporting endpoint closes."""
        false = EndpointLoad(8, 10**6, 8)
        reports = [(false, 0.0)] + [(EndpointLoad(6, 0, 8), 0.0)] * 22
        policy = AdmissionPolicy(lambda _service, _now: reports, lambda: 0.5)
        for tick in range(40):
            policy.service(SERVICE).advance(tick / 10)
        self.assertFalse(policy.service(SERVICE).controller.is_shedding)

    def test_newer_reports_count_more(self) -> None:
        """Guards against refusals by queues that are gone."""
        empty = EndpointLoad(2, 0, 8)
        view = load_view([(empty, 0.0), (empty, 0.1), (FULL, 1.0)])
        self.assertLess(view.occupied, 0.5)

    def test_own_requests_show_a_flood_before_the_reports(self) -> None:
        """Guards against a flood that arrives between two reports."""
        share = InFlightShare()
        for _ in range(50):
            share.record(2, load_view([(EndpointLoad(6, 0, 8), 0.0)]))
        self.assertEqual(0.0, share.queued(4))
        self.assertGreater(share.queued(12), 1.0)

    def test_idle_time_is_learned_while_a_third_of_the_turns_is_slow(self) -> None:
        """Guards against overload that raises what counts as usual."""
        idle, source = IdleTimes(), random.Random(3)
        for _ in range(200):
            slow = 3.0 if source.random() < 0.35 else 1.0
            idle.record(1000, 0.03 * slow, 0.01 * slow, 30)
        self.assertAlmostEqual(0.32, idle.turn_s(1000, 30), delta=0.05)


class ShareControllerTest(unittest.TestCase):
    def _run(self, controller, pressure: float, start: float, end: float) -> None:
        for tick in range(round(start * 10), round(end * 10)):
            controller.step(pressure, tick / 10)

    def test_share_falls_quickly_recovers_and_never_reaches_zero(self) -> None:
        """Guards against overload that lasts, and against a share stuck at zero."""
        controller = ShareController()
        self._run(controller, 6.0, 0, 2)
        self.assertLess(controller.level, 0.1)
        self._run(controller, 6.0, 2, 60)
        self.assertGreaterEqual(controller.level, MIN_LEVEL)
        self._run(controller, 0.0, 60, 68)
        self.assertFalse(controller.is_shedding)


class PolicyTest(unittest.TestCase):
    def test_engine_priority_prefers_progress_and_urgency_and_does_not_flip(
        self,
    ) -> None:
        """Guards against preempted prompts that are read again for nothing."""
        policy = AdmissionPolicy(lambda _service, _now: [], lambda: 0.5)

        def priority(**fields) -> int:
            call = a_turn(**fields)
            decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=0.0)
            return decision.engine_priority

        urgent_new = priority(program="a", left_s=2, priority=0)
        priority(program="b", left_s=2, priority=1)
        later = [
            priority(program="a", left_s=left, previous="t", priority=0)
            for left in (1.5, 0.8, 0.3)
        ]
        other_new = priority(program="c", left_s=2, priority=1)
        other = priority(program="c", left_s=2, previous="t", priority=1)
        late = priority(program="a", left_s=-0.5, previous="t", priority=0)
        self.assertEqual(1, len(set(later)))
        order = [later[0], urgent_new, other, other_new, late]
        self.assertEqual(sorted(set(order)), order)

    def test_calls_of_running_programs_pass_and_refusals_state_a_time(self) -> None:
        """Guards against spent work lost to a refused call, and early retries."""
        policy = AdmissionPolicy(lambda _service, _now: [(FULL, 0.0)], lambda: 0.5)
        for tick in range(40):
            policy.service(SERVICE).advance(tick / 10)
        calls = (a_turn(program=f"p{n}", arrived_at=4.0, left_s=2) for n in range(99))
        call = next(item for item in calls if position(program_name(item)) > 0.9)
        call.deadline = 7.0
        refused = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=4.0)
        self.assertEqual("shed", refused.reason)
        self.assertTrue(0 < refused.retry_after_s <= 1.0)
        passed = policy.decide(call, "tool", SERVICE, is_turn=False, now=4.0)
        self.assertEqual("", passed.reason)

    def _shedding_policy(self, age_s: float = 0.0) -> AdmissionPolicy:
        """Return a policy under full load at time 4; its reports then have an age."""
        ages = [0.0]
        policy = AdmissionPolicy(lambda *_: [(FULL, ages[0])], lambda: 0.5)
        for tick in range(40):
            policy.service(SERVICE).advance(tick / 10)
        ages[0] = age_s
        return policy

    def test_looping_programs_are_refused_while_new_ones_are(self) -> None:
        """Guards against programs in an endless loop that outlast all others."""
        policy = self._shedding_policy()
        for number in range(60):
            call = a_turn(program=f"p{number}", previous="t", arrived_at=4, parts=3)
            decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=4.0)
            self.assertEqual("", decision.reason)
        call = a_turn(program="x", previous="t", arrived_at=4, parts=40)
        decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=4.0)
        self.assertEqual("looping", decision.reason)

    def test_most_late_programs_are_refused_under_high_pressure(self) -> None:
        """Guards against queues of programs that cannot end on time."""
        policy = self._shedding_policy()
        call = a_turn(program="first", arrived_at=4.0, left_s=9)
        policy.decide(call, ROUTE, SERVICE, is_turn=True, now=4.0)
        reasons = Counter()
        for number in range(100):
            call = a_turn(
                program=f"p{number}", previous="t", arrived_at=4.0, left_s=-0.1
            )
            decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=4.0)
            reasons[decision.reason] += 1
        self.assertEqual({"", "late"}, set(reasons))
        self.assertGreater(reasons["late"], 50)

    def test_no_late_program_is_refused_while_all_new_ones_are_admitted(self) -> None:
        """Guards against new programs that take precedence over late ones."""
        queue = EndpointLoad(8, 1, 8)
        reports = [(queue, 0.0)] * 3 + [(BUSY, 0.0)]
        policy = AdmissionPolicy(lambda *_: reports, lambda: 0.5)
        state = policy.service(SERVICE)
        call = a_turn(program="first", left_s=9)
        policy.decide(call, ROUTE, SERVICE, is_turn=True, now=0.0)
        for number in range(100):
            now = number / 10
            call = a_turn(
                program=f"p{number}", previous="t", arrived_at=now, left_s=-0.1
            )
            decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=now)
            self.assertFalse(state.controller.is_shedding)
            self.assertLess(state.pressure, 0.8)
            self.assertEqual("", decision.reason)

    def test_one_request_at_a_time_passes_to_renew_reports(self) -> None:
        """Guards against a gateway that refuses all and learns of no recovery."""
        policy = self._shedding_policy(age_s=2.0)
        admitted = 0
        for number in range(100):
            now = 4.0 + number / 100
            call = a_turn(program=f"p{number}", arrived_at=now)
            admitted += not policy.decide(
                call, ROUTE, SERVICE, is_turn=True, now=now
            ).reason
        self.assertTrue(3 <= admitted <= 6, admitted)

    def test_plain_calls_without_a_program_are_not_shed(self) -> None:
        """Guards against calls without an objective refused for a short queue."""
        policy = AdmissionPolicy(lambda *_: [(FULL, 0.0)], lambda: 0.5)
        for number in range(100):
            call = a_turn(f"r{number}", arrived_at=number / 10)
            call.program = None
            decision = policy.decide(
                call, "tool", SERVICE, is_turn=False, now=number / 10
            )
            self.assertEqual("", decision.reason)

    def test_turns_with_the_same_request_id_are_told_apart(self) -> None:
        """Guards against a flood that is not seen as its requests share one id."""
        policy = AdmissionPolicy(lambda *_: [], lambda: 0.5)
        calls = [a_turn("r", customer=f"c{number}") for number in range(3)]
        for call in calls:
            policy.decide(call, ROUTE, SERVICE, is_turn=True, now=0.0)
        state = policy.service(SERVICE)
        self.assertEqual(3, state.in_flight)
        for call in calls:
            state.end(call)
        self.assertEqual(0, state.in_flight)

    def test_requests_without_any_id_are_not_all_refused(self) -> None:
        """Guards against callers that state no id and are starved."""
        policy = AdmissionPolicy(lambda *_: [], lambda: 0.5)
        state = policy.service(SERVICE)
        state.view = load_view([(FULL, 0.0)])
        state.controller = SimpleNamespace(
            level=0.4, is_shedding=True, is_due=lambda _now: False
        )
        admitted = 0
        for number in range(200):
            call = a_turn("", arrived_at=number / 10)
            call.program = None
            decision = policy.decide(
                call, ROUTE, SERVICE, is_turn=True, now=number / 10
            )
            admitted += not decision.reason
        self.assertAlmostEqual(0.4, admitted / 200, delta=0.1)

    def test_small_customers_are_admitted_as_often_as_a_large_one(self) -> None:
        """Guards against programs of small customers that count as bursts."""
        policy, source = AdmissionPolicy(lambda *_: [], lambda: 0.5), random.Random(5)
        state = policy.service(SERVICE)
        state.view = load_view([(FULL, 0.0)])
        state.controller = SimpleNamespace(
            level=0.4, is_shedding=True, is_due=lambda _now: False
        )
        begun, admitted = Counter(), Counter()
        now = 0.0
        for number in range(3000):
            now += source.expovariate(1.0)
            small = source.random() < 0.7
            customer = f"s{source.randrange(79)}" if small else "large"
            call = a_turn(program=f"p{number}", arrived_at=now, customer=customer)
            decision = policy.decide(call, ROUTE, SERVICE, is_turn=True, now=now)
            begun[small] += 1
            admitted[small] += not decision.reason
        large_share = admitted[False] / begun[False]
        small_share = admitted[True] / begun[True]
        self.assertGreater(small_share, 0.85 * large_share)
        self.assertAlmostEqual(0.4, small_share, delta=0.05)

    def test_retry_after_is_within_a_third_of_the_time_left_and_not_zero(self) -> None:
        """Guards against callers that give up, and against immediate retries."""
        policy = AdmissionPolicy(lambda _service, _now: [(FULL, 0.0)], lambda: 0.0)
        for tick in range(40):
            policy.service(SERVICE).advance(tick / 10)
        for left_s, limit_s in ((0.5, 0.5 / 3), (0.2, 0.2 / 3), (-0.1, 1), (-9, 1)):
            with self.subTest(left_s):
                for number in range(40):
                    call = a_turn(program=f"{left_s} {number}", left_s=left_s + 4)
                    decision = policy.decide(
                        call, ROUTE, SERVICE, is_turn=True, now=4.0
                    )
                    if decision.reason:
                        sent = float(f"{decision.retry_after_s:.2f}")
                        self.assertTrue(0 < sent <= limit_s, sent)


class ProgramGateTest(unittest.IsolatedAsyncioTestCase):
    async def test_turns_that_ended_are_not_counted_in_flight(self) -> None:
        """Guards against turns that failed and count as overdue for good."""
        context = SimpleNamespace(
            endpoints=EndpointIndex(), health=HealthTracker(), telemetry=Telemetry()
        )
        gate = ProgramGate(context)
        services = (WeightedService(SERVICE, 1.0),)
        route = Route(ROUTE, "h", "/", RouteKind.STREAM, services, 5.0, 1.0, 2)
        call = a_turn()
        await gate.admit(call, route, None)
        self.assertEqual(1, gate.in_flight(SERVICE))
        gate.finished(call, route, None)
        self.assertEqual(0, gate.in_flight(SERVICE))

    async def test_service_of_a_turn_is_the_one_that_it_is_sent_to(self) -> None:
        """Guards against decisions by the load of another of the route's services."""
        asked: list[str] = []
        endpoints = SimpleNamespace(usable=lambda name: asked.append(name) or [])
        context = SimpleNamespace(
            endpoints=endpoints, health=HealthTracker(), telemetry=Telemetry()
        )
        services = (WeightedService("a", 0.5), WeightedService("b", 0.5))
        route = Route(ROUTE, "h", "/", RouteKind.STREAM, services, 5.0, 1.0, 2)
        expected = []
        for number in range(20):
            call = a_turn(f"r{number}", program="p", customer=f"c{number}")
            expected.append(route.service_for(program_name(call)))
            gate = ProgramGate(context)
            await gate.admit(call, route, None)
        self.assertEqual(expected, asked)
        self.assertEqual({"a", "b"}, set(asked))

    async def test_refusals_are_logged_and_counted_with_their_inputs(self) -> None:
        """Guards against refusals that nobody can explain afterwards."""
        now = asyncio.get_running_loop().time()
        endpoints, health, telemetry = EndpointIndex(), HealthTracker(), Telemetry()
        engine = Endpoint("e1", SERVICE, "127.0.0.1", 1, "east", 8)
        endpoints.put(engine)
        lines: list[tuple[str, dict]] = []
        log = SimpleNamespace(
            record=lambda name, **fields: lines.append((name, fields))
        )
        context = SimpleNamespace(
            endpoints=endpoints, health=health, telemetry=telemetry, log=log
        )
        gate = ProgramGate(context)
        services = (WeightedService(SERVICE, 1.0),)
        route = Route(ROUTE, "h", "/", RouteKind.STREAM, services, 5.0, 1.0, 2)
        refused = 0
        for number in range(150):
            health.record_load(engine.key, FULL, asyncio.get_running_loop().time())
            call = a_turn(program=f"p{number}", arrived_at=now, left_s=2)
            try:
                await gate.admit(call, route, None)
            except OverloadedError as error:
                refused += 1
                self.assertEqual(503, error.status)
                self.assertGreater(error.retry_after_s, 0)
            else:
                gate.finished(call, route, None)
            await asyncio.sleep(0.005)
        self.assertGreater(refused, 30)
        self.assertEqual(1, sum(name == "shedding" for name, _ in lines))
        found = [fields for name, fields in lines if name == "not_admitted"]
        self.assertEqual(refused, len(found))
        line = found[0]
        self.assertEqual(
            ("shed", SERVICE, 2.0), (line["reason"], line["service"], line["queued"])
        )
        page = telemetry.registry.get_sample_value(
            "carobspur_admission_refusals_total", {"reason": "shed"}
        )
        self.assertEqual(refused, page)
