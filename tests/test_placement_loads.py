"""Simulates placement by several gateways under load, without sockets."""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter

from carobspur.gateway.calls import EndpointLoad
from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.health import SLOW_FACTOR, HealthTracker
from carobspur.gateway.load_sharing import LoadReport, name_hash
from carobspur.gateway.placement import (
    PREFILL_TOKENS_PER_MS,
    Need,
    choose_engine,
    choose_plain,
)
from carobspur.plugin_registry import PluginKind, load_plugins, plugin

SLOTS = 8
TURN_S = 0.17
COLD_PREFILL_S = 1500 / PREFILL_TOKENS_PER_MS / 1000
ENGINES = [Endpoint(f"e{n}", "engines", "h", n, "abc"[n % 3], SLOTS) for n in range(5)]


def need(program: str = "p", data_centre: str = "a", tokens: int = 1500) -> Need:
    return Need(data_centre, program, tokens)


load_plugins(PluginKind.PLACEMENT)


class Simulation:
    """Simulates several gateways that place the turns of many programs on five engines.

    Args:
        gateways: Number of gateways, each with its own measurements.
        shares_reports: Whether they send each other load reports.
        slow: Ids of engines that take five times as long.
        policy: Name of the placement plug-in that each gateway uses.
    """

    def __init__(
        self,
        *,
        gateways: int,
        shares_reports: bool,
        slow: set[str],
        policy: str = "predicted_time",
    ) -> None:
        make = plugin(PluginKind.PLACEMENT, policy)
        self.policies = [make() for _ in range(gateways)]
        self.trackers = [HealthTracker() for _ in range(gateways)]
        self.shares_reports = shares_reports
        self.slow = slow
        self.running: Counter[str] = Counter()
        self.waits: list[float] = []
        self.durations: list[float] = []
        self.warm: set[tuple[str, str]] = set()
        self.ends: list[tuple[float, int, str, float]] = []

    def place(self, now: float, gateway: int, program: str) -> None:
        """Place one turn; it queues if all ``SLOTS`` slots of its engine are in use."""
        self._finish(now)
        if self.shares_reports:
            self._report(now)
        health = self.trackers[gateway]
        engine = self.policies[gateway].engine(ENGINES, need(program), health, now)
        key = engine.key
        queued = max(0, self.running[key] + 1 - SLOTS)
        work_s = TURN_S * (5 if engine.id in self.slow else 1)
        wait_s = work_s * queued / SLOTS
        self.waits.append(wait_s)
        prefill_s = 0.0 if (program, key) in self.warm else COLD_PREFILL_S
        self.warm.add((program, key))
        self.durations.append(wait_s + work_s + prefill_s)
        self.running[key] += 1
        health.begin(key)
        heapq.heappush(self.ends, (now + wait_s + work_s, gateway, key, work_s))

    def _finish(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            end, gateway, key, work_s = heapq.heappop(self.ends)
            self.running[key] -= 1
            self.trackers[gateway].end(key)
            self.trackers[gateway].record_success(key, "gap", work_s / 5, end)

    def _report(self, now: float) -> None:
        for sender, health in enumerate(self.trackers):
            counts = {name_hash(key): n for key, n in health.counts().items()}
            for receiver, other in enumerate(self.trackers):
                if receiver != sender:
                    other.peers.record(LoadReport(sender, counts), now)


def burst(
    simulation: Simulation, *, per_s: float, seconds: float, seed: int = 3
) -> None:
    """Place turns of 40 programs at random times.

    Args:
        simulation: Where to place them.
        per_s: Mean number of turns per second.
        seconds: Simulated time.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    now = 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        program = f"p{rng.randrange(40)}"
        simulation.place(now, rng.randrange(len(simulation.trackers)), program)


class EngineLoadsTest(unittest.TestCase):
    def test_burst_fills_free_engines_before_turns_queue(self) -> None:
        """A burst of twice the usual rate by programs of one data centre."""
        results = {}
        for shares in (False, True):
            simulation = Simulation(gateways=7, shares_reports=shares, slow=set())
            burst(simulation, per_s=170, seconds=4)
            results[shares] = sum(simulation.waits) / len(simulation.waits)
        self.assertLess(results[True], 0.01)
        self.assertLess(results[True], results[False] / 2)

    def test_slow_engine_of_five_is_avoided(self) -> None:
        slow = choose_engine(ENGINES, need(), HealthTracker(), 0.0)
        simulation = Simulation(gateways=3, shares_reports=True, slow={slow.id})
        burst(simulation, per_s=60, seconds=6)
        slow_turns = sum(wait > TURN_S for wait in simulation.waits)
        self.assertLess(slow_turns, len(simulation.waits) / 50)

    def test_slow_engine_delays_turns_less_than_with_the_baselines(self) -> None:
        slow = choose_engine(ENGINES, need(), HealthTracker(), 0.0)
        mean_s = {}
        for policy in ("predicted_time", "least_loaded", "round_robin"):
            simulation = Simulation(
                gateways=3, shares_reports=True, slow={slow.id}, policy=policy
            )
            burst(simulation, per_s=150, seconds=6)
            mean_s[policy] = sum(simulation.durations) / len(simulation.durations)
        self.assertLess(mean_s["predicted_time"], mean_s["least_loaded"])
        self.assertLess(mean_s["least_loaded"], mean_s["round_robin"])

    def test_program_keeps_its_engine_while_answer_times_vary(self) -> None:
        """A change of engine after random variation would lose the cached prompts."""
        rng = random.Random(5)
        health = HealthTracker()
        chosen = []
        for step in range(300):
            now = step * 0.05
            for engine in ENGINES:
                gap_s = 0.034 * rng.uniform(0.7, 1.5)
                health.record_success(engine.key, "gap", gap_s, now)
            chosen.append(choose_engine(ENGINES, need(), health, now).id)
        self.assertEqual(1, len(set(chosen)))

    def test_every_gateway_computes_the_same_engine(self) -> None:
        chosen = {
            choose_engine(order, need(), HealthTracker(), 0.0).id
            for order in (ENGINES, ENGINES[::-1], ENGINES[2:] + ENGINES[:2])
        }
        self.assertEqual(1, len(chosen))

    def test_program_leaves_an_engine_that_is_full(self) -> None:
        health = HealthTracker()
        preferred = choose_engine(ENGINES, need(), health, 0.0)
        for _ in range(2 * SLOTS):
            health.begin(preferred.key)
        self.assertNotEqual(preferred, choose_engine(ENGINES, need(), health, 0.0))

    def test_engine_that_failed_is_avoided_and_tried_again(self) -> None:
        health = HealthTracker()
        preferred = choose_engine(ENGINES, need(), health, 0.0)
        health.record_failure(preferred.key, 0.0)
        self.assertNotEqual(preferred, choose_engine(ENGINES, need(), health, 0.1))
        self.assertEqual(preferred, choose_engine(ENGINES, need(), health, 5.0))

    def test_only_engine_is_used_despite_its_penalties(self) -> None:
        health = HealthTracker()
        health.record_failure(ENGINES[0].key, 0.0)
        health.record_full(ENGINES[0].key, 0.0)
        found = choose_engine(ENGINES[:1], need(), health, 0.01)
        self.assertEqual(ENGINES[0], found)

    def test_choice_without_engines_is_none(self) -> None:
        self.assertIsNone(choose_engine([], need(), HealthTracker(), 0.0))

    def test_engines_of_the_same_data_centre_are_preferred(self) -> None:
        for program in range(20):
            found = choose_engine(ENGINES, need(f"p{program}"), HealthTracker(), 0.0)
            self.assertEqual("a", found.data_centre)


class PlainLoadsTest(unittest.TestCase):
    def test_calls_spread_over_free_endpoints(self) -> None:
        health = HealthTracker()
        counts: Counter[str] = Counter()
        for _ in range(20):
            found = choose_plain(ENGINES, need(), health, 0.0)
            health.begin(found.key)
            counts[found.id] += 1
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 2)

    def test_slow_endpoint_is_not_chosen(self) -> None:
        health = HealthTracker()
        slow = choose_plain(ENGINES, need(), health, 0.0)
        for _ in range(10):
            for item in ENGINES:
                taken_s = 0.4 if item is slow else 0.05
                health.record_success(item.key, "route", taken_s, 0.0)
        self.assertGreater(health.state(slow.key).slowness(0.0), SLOW_FACTOR)
        self.assertNotEqual(slow, choose_plain(ENGINES, need(), health, 0.1))

    def test_reported_load_expires(self) -> None:
        health = HealthTracker()
        first = choose_plain(ENGINES, need(), health, 0.0)
        health.record_load(first.key, EndpointLoad(SLOTS, 20, SLOTS), 0.0)
        self.assertNotEqual(first, choose_plain(ENGINES, need(), health, 0.1))
        self.assertEqual(first, choose_plain(ENGINES, need(), health, 2.0))
