"""Placement by expected cost under load, compared with ``predicted_time``."""

from __future__ import annotations

import random
import tracemalloc
import unittest
from collections import Counter
from dataclasses import replace

from carobspur.gateway.calls import EndpointLoad, PromptPart
from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.expected_cost.prompt_cache import PromptCache
from carobspur.gateway.health import HealthTracker
from carobspur.gateway.load_sharing import LoadReport, name_hash
from carobspur.gateway.placement import Need, observe
from carobspur.plugins.placement_expected_cost import ExpectedCostPlacement

from .engine_load import SLOTS, Site
from .placement_loads import TURN, arrivals, busiest, send_call, sessions, short_session

ENGINES = [Endpoint(f"e{n}", "s", "h", n, "abc"[n % 3], SLOTS) for n in range(9)]


class TurnLoadsTest(unittest.TestCase):
    def test_busiest_engine_gets_little_more_than_its_speed_warrants(self) -> None:
        """36 gateways with views up to 0.3 s old must not crowd at the same engine."""
        speeds = [0.7, 0.7, 1, 1, 1, 1, 1.5, 2]
        for heard in (0, 9):
            site = Site("expected_cost", speeds, gateways=36, heard=heard)
            arrivals(site, 36, 8.0, short_session)
            self.assertLessEqual(busiest(site.run(10.0)), 1.25)

    def test_fewer_turns_are_late_and_fewer_prompts_are_read_again(self) -> None:
        """Long and short turns mixed, with 0.6 to 0.9 of the engines' time in use."""
        late, reread = Counter(), Counter()
        for policy in ("predicted_time", "expected_cost"):
            for seed in (1, 2, 3):
                site = sessions(policy, [1.0] * 8, per_s=20, seed=seed)
                late[policy] += site.late
                reread[policy] += site.reread
        self.assertLess(late["expected_cost"], 0.7 * late["predicted_time"])
        self.assertLess(reread["expected_cost"], 0.6 * reread["predicted_time"])

    def test_slow_engine_that_reports_no_load_does_not_attract_turns(self) -> None:
        for heard in (0, 4):
            site = sessions(
                "expected_cost",
                [4.0] + [1.0] * 7,
                per_s=16,
                lies=frozenset([0]),
                heard=heard,
            )
            self.assertLess(site.placed[0], sum(site.placed.values()) / 8)


class CallLoadsTest(unittest.TestCase):
    def test_routes_of_different_cost_on_endpoints_of_different_speed(self) -> None:
        """A count of calls took three of 20 ms for as much work as three of 81 ms."""
        late = {}
        for policy in ("predicted_time", "expected_cost"):
            site = Site(policy, [0.7, 0.7, 1, 1, 1, 1, 1.5, 2])
            late[policy] = arrivals(site, 600, 6.0, send_call).run(7.0).late
            if policy == "expected_cost":
                self.assertLessEqual(busiest(site), 1.25)
        self.assertLess(late["expected_cost"], 0.7 * late["predicted_time"])

    def test_slowed_down_endpoint_gets_less_and_is_tried_again(self) -> None:
        site = Site("expected_cost", [1.0] * 8)
        arrivals(site, 400, 12.0, send_call)
        counts = []
        for until, speed in ((2, 1.0), (3, 5.0), (5, 5.0), (9, 1.0), (12, 1.0)):
            site.speeds[0] = speed
            before = site.placed[0]
            site.run(until)
            counts.append(site.placed[0] - before)
        usual_per_s = 400 / 8
        self.assertLess(counts[1], 0.6 * usual_per_s)
        self.assertLess(counts[2] / 2, 0.4 * usual_per_s)
        self.assertGreater(counts[2], 0)
        self.assertGreater(counts[4] / 3, 0.7 * usual_per_s)

    def test_slow_endpoint_that_reports_no_load_does_not_attract_calls(self) -> None:
        site = Site("expected_cost", [4.0] + [1.0] * 7, lies=frozenset([0]), heard=4)
        arrivals(site, 400, 6.0, send_call).run(7.0)
        self.assertLess(site.placed[0], 0.6 * sum(site.placed.values()) / 8)


class DecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = HealthTracker()
        self.policy = ExpectedCostPlacement(random.Random(1))

    def engine(self, need: Need = TURN, now: float = 0.0) -> Endpoint:
        return self.policy.engine(ENGINES, need, self.health, now)

    def test_every_gateway_chooses_the_same_engine_for_a_session(self) -> None:
        for number in range(20):
            parts = TURN.prompt_parts[: 1 + number % 8]
            need = replace(TURN, affinity=f"p{number}", prompt_parts=parts)
            need = replace(need, prompt_tokens=sum(item.tokens for item in parts))
            chosen = {
                ExpectedCostPlacement(random.Random(seed)).engine(
                    ENGINES, need, HealthTracker(), 0.0
                )
                for seed in range(5)
            }
            self.assertEqual(1, len(chosen))
            self.assertEqual("a", chosen.pop().data_centre)

    def test_session_leaves_its_engine_when_that_is_overloaded(self) -> None:
        first = self.engine()
        report = LoadReport(1, {name_hash(first.key): 3 * SLOTS})
        self.health.peers.record(report, 0.0)
        self.assertNotEqual(first, self.engine())

    def test_strange_slots_of_one_endpoint_do_not_change_the_margins(self) -> None:
        """Guards against sessions that stay in a queue because of another's figure."""
        first = self.engine()
        report = LoadReport(1, {name_hash(first.key): 2 * SLOTS})
        self.health.peers.record(report, 0.0)
        for slots in (0, 1):
            odd = Endpoint("odd", "s", "h", 99, "a", slots)
            found = self.policy.engine([odd, *ENGINES], TURN, self.health, 0.0)
            self.assertNotEqual(first, found)

    def test_engine_whose_memory_would_overflow_is_not_chosen(self) -> None:
        """A turn that does not fit preempts others, whose prompts are read again."""
        first = self.engine()
        need = replace(TURN, prompt_tokens=15_000)
        for _ in range(2):
            self.policy.engine([first], need, self.health, 0.0)
            observe(self.policy, first, need, self.health, 0.0)
        self.assertNotEqual(first, self.engine(need))
        self.assertEqual(first, self.policy.engine([first], need, self.health, 0.0))

    def test_calls_stay_in_the_data_centre_until_it_is_loaded(self) -> None:
        """Draws among near equals sent two thirds of all calls through the links."""
        found = [
            self.policy.plain(ENGINES, Need("a", route="r"), self.health, 0.0)
            for _ in range(50)
        ]
        self.assertEqual({"a"}, {item.data_centre for item in found})
        counts = {name_hash(item.key): 2 * SLOTS for item in found}
        self.health.peers.record(LoadReport(1, counts), 0.0)
        other = self.policy.plain(ENGINES, Need("a", route="r"), self.health, 0.0)
        self.assertNotEqual("a", other.data_centre)

    def test_own_sends_count_before_their_tasks_start(self) -> None:
        """All calls of one iteration of the event loop went to the same endpoint."""
        counts: Counter[str] = Counter()
        need = Need("a", route="r")
        local = [item for item in ENGINES if item.data_centre == "a"]
        for _ in range(30):
            found = self.policy.plain(local, need, self.health, 0.0)
            observe(self.policy, found, need, self.health, 0.0)
            counts[found.id] += 1
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 3)

    def test_false_report_of_a_queue_is_believed_less_after_answers(self) -> None:
        endpoint = ENGINES[0]
        need = Need("a", service_ms=50.0, route="r")
        load = EndpointLoad(SLOTS, 40, SLOTS)
        costs = []
        for step in range(12):
            now = float(step)
            self.health.record_load(endpoint.key, load, now)
            self.policy.plain([endpoint], need, self.health, now)
            observation = observe(self.policy, endpoint, need, self.health, now)
            costs.append(observation.expected_ms)
            observation.record_answer(now + 0.05)
            observation.close(now + 0.05)
        self.assertLess(costs[-1], costs[0] / 3)
        # Guards against a true queue that is disregarded for ever after false ones.
        self.health.record_load(endpoint.key, load, 120.0)
        later = self.policy.explain([endpoint], need, self.health, 120.0).chosen
        self.assertGreater(later.completion_ms, costs[0] / 2)

    def test_sub_agents_use_an_engine_that_was_sent_their_parents_prefix(self) -> None:
        """A new prompt was read whole although an engine nearby had most of it."""
        parent = self.policy.engine(ENGINES[3:4], TURN, self.health, 0.0)
        observe(self.policy, parent, TURN, self.health, 0.0).close(0.1)
        parts = (*TURN.prompt_parts, PromptPart("own", 100))
        child = replace(TURN, affinity="q", prompt_tokens=4100, prompt_parts=parts)
        costs = self.policy.explain(ENGINES, child, self.health, 1.0).costs
        uncached = {item.view.key: item.view.uncached_tokens for item in costs}
        self.assertEqual(uncached[parent.key], min(uncached.values()))
        self.assertLess(uncached[parent.key], 0.1 * 4100)

    def test_part_behind_a_missing_one_is_not_taken_as_cached(self) -> None:
        """Engines reuse a part only if they have all parts before it."""
        cache = PromptCache()
        first, second, third = (PromptPart(name, 400) for name in "abc")
        cache.record("e", (first, second), 0.0, program="p", capacity=1000)
        self.assertEqual(800, cache.known_prefix("e", (first, second, third), 1.0)[0])
        self.assertEqual(0, cache.known_prefix("e", (third, first), 1.0)[0])
        longer = (PromptPart("a", 10**18),)
        self.assertEqual(400, cache.known_prefix("e", longer, 1.0)[0])
        cache.record("e", (third,), 2.0, program="q", capacity=1000)
        self.assertEqual(400, cache.known_prefix("e", (first, second), 2.0)[0])

    def test_long_ids_and_many_parts_take_little_memory(self) -> None:
        """Guards against a process ended by clients that fill the prompt header.

        1,024 ids of 60 kB for each of 23 engines would take 1.4 GB.
        """
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        cache = PromptCache()
        for number in range(200):
            part = PromptPart(f"{number}{'x' * 60_000}", 1)
            program = f"{number}{'y' * 60_000}"
            cache.record("e", (part,), 0.0, program=program, capacity=100_000)
        self.assertEqual(1, cache.known_prefix("e", (part,), 1.0)[0])
        empty = tuple(PromptPart(f"{number}", 0) for number in range(8000))
        last = PromptPart("last", 7)
        cache.record("e", (*empty, last), 0.0, program="p", capacity=100_000)
        self.assertEqual((0, 0.0), cache.known_prefix("e", (last,), 0.0))
        del empty, part, program
        self.assertLess(tracemalloc.get_traced_memory()[0], 500_000)

    def test_absurd_figures_do_not_move_other_requests(self) -> None:
        """A prompt of 10**18 tokens or a queue of as many would outweigh all else."""
        first = self.engine()
        absurd = replace(
            TURN, affinity="q", prompt_tokens=10**18, expected_tokens=10**18
        )
        absurd = replace(absurd, prompt_parts=(PromptPart("x", 10**18),))
        found = self.policy.engine(ENGINES, absurd, self.health, 0.0)
        observation = observe(self.policy, found, absurd, self.health, 0.0)
        for step in range(5):
            observation.record_event(0.1 + step / 100)
        observation.record_answer(0.2)
        observation.close(0.2)
        other = next(item for item in ENGINES if item not in (first, found))
        load = EndpointLoad(10**18, 10**18, SLOTS, 1e16)
        self.health.record_load(other.key, load, 0.2)
        self.health.peers.is_complete = False
        self.assertEqual(first, self.engine(now=0.3))
        cost = self.policy.explain([first], TURN, self.health, 0.3).chosen
        self.assertLess(cost.total_ms, 10_000)

    def test_sticky_calls_keep_their_endpoint_while_it_has_free_slots(self) -> None:
        need = Need("a", "object-1", route="r")
        chosen = set()
        for _ in range(SLOTS - 1):
            found = self.policy.plain(ENGINES, need, self.health, 0.0)
            observe(self.policy, found, need, self.health, 0.0)
            chosen.add(found)
        self.assertEqual(1, len(chosen))
        report = LoadReport(1, {name_hash(found.key): 3 * SLOTS})
        self.health.peers.record(report, 0.0)
        other = self.policy.plain(ENGINES, need, self.health, 0.0)
        self.assertNotEqual(found, other)

    def test_closed_requests_leave_no_trace_in_the_backlog(self) -> None:
        """A leaked request would make its endpoint look overdue for ever."""
        found = self.engine()
        observation = observe(self.policy, found, TURN, self.health, 0.0)
        observation.close(0.1)
        observation.close(0.1)
        cost = self.policy.explain([found], TURN, self.health, 60.0).chosen
        self.assertEqual(0, cost.view.own_requests)

    def test_stream_open_for_long_does_not_make_its_engine_look_slow(self) -> None:
        """Guards against engines avoided for a long answer or a slowly reading caller.

        A turn that waits for its first event for as long shows a slow engine.
        """
        first = self.engine()
        before = self.policy.explain([first], TURN, self.health, 0.0).chosen.view.speed
        observation = observe(self.policy, first, TURN, self.health, 0.0)
        waiting = self.policy.explain([first], TURN, self.health, 30.0).chosen.view
        self.assertGreater(waiting.speed, 2 * before)
        observation.record_event(0.1)
        view = self.policy.explain([first], TURN, self.health, 30.0).chosen.view
        self.assertEqual(before, view.speed)
        observation.close(30.0)
        view = self.policy.explain([first], TURN, self.health, 30.0).chosen.view
        self.assertEqual(before, view.speed)

    def test_slow_caller_does_not_make_its_engine_look_slow(self) -> None:
        """Guards against engines avoided for the gaps that a caller causes."""
        first = self.engine()
        speeds = []
        for has_slow_caller in (True, False):
            observation = observe(self.policy, first, TURN, self.health, 0.0)
            for step in range(20):
                observation.record_event(0.1 + step)
                if has_slow_caller:
                    observation.record_slow_caller()
            observation.record_answer(20.0)
            observation.close(20.0)
            view = self.policy.explain([first], TURN, self.health, 20.0).chosen.view
            speeds.append(view.speed)
        self.assertEqual(1.0, speeds[0])
        self.assertGreater(speeds[1], 1.5)

    def test_explanation_changes_no_later_decision(self) -> None:
        plain, explained = (ExpectedCostPlacement(random.Random(7)) for _ in "ab")
        need = Need("a", route="r")
        for _ in range(20):
            choice = explained.explain(ENGINES, need, self.health, 0.0)
            found = [
                policy.plain(ENGINES, need, self.health, 0.0)
                for policy in (plain, explained)
            ]
            self.assertEqual(len(ENGINES), len(choice.costs))
            self.assertEqual([choice.chosen.view.endpoint] * 2, found)
