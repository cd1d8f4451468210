"""Turn times are estimated from the answers of engines of different deployments."""

from __future__ import annotations

import random
import statistics
import unittest

from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.engine_times import EngineTimes
from carobspur.gateway.health import SLOW_FACTOR, HealthTracker, MeasuredTurn
from carobspur.gateway.placement import Need, choose_engine

SLOW_SHARE = 0.2
SLOW_ENGINE_FACTOR = 5.0
PROMPT_TOKENS = 14_280
MAX_MEDIAN_ERROR = 0.2
"""Requirement: largest median error of a prediction after a few hundred answers."""


class Engine:
    """Timing of the engines of an invented deployment.

    Args:
        idle_ms: Gap between events on an engine that runs no other request.
        per_run_ms: Time that each further request adds to the gap.
        slots: Requests that an engine runs at the same time.
        events: Events of a turn.
    """

    def __init__(
        self, idle_ms: float, per_run_ms: float, slots: int, events: int
    ) -> None:
        self.idle_ms = idle_ms
        self.per_run_ms = per_run_ms
        self.slots = slots
        self.events = events

    def gap_ms(self, running: int) -> float:
        return self.idle_ms + self.per_run_ms * running


DEPLOYMENTS = (Engine(9.0, 0.1, 2, 40), Engine(17.0, 1.1, 48, 16), Engine(90, 9, 6, 3))


class EngineTimesTest(unittest.TestCase):
    def test_turn_times_of_three_deployments_are_estimated_despite_slow_engines(
        self,
    ) -> None:
        for engine in DEPLOYMENTS:
            with self.subTest(engine.idle_ms):
                self.assertLess(self._median_error(engine), MAX_MEDIAN_ERROR)

    def _median_error(self, engine: Engine) -> float:
        rng = random.Random(7)
        times = EngineTimes()
        for _ in range(400):
            running = rng.randrange(engine.slots)
            slowdown = SLOW_ENGINE_FACTOR if rng.random() < SLOW_SHARE else 1.0
            gap_ms = engine.gap_ms(running) * slowdown * rng.uniform(0.8, 1.2)
            times.record_gap(running, gap_ms, events=engine.events)
        errors = []
        for running in range(engine.slots):
            actual_ms = engine.gap_ms(running) * engine.events
            # A fifth of the answers is five times slower, which makes the mean 1.8
            # times as long; the error is relative to a healthy engine.
            errors.append(abs(times.turn_ms(running) - actual_ms) / actual_ms)
        return statistics.median(errors)

    def test_busy_engine_does_not_count_as_slow(self) -> None:
        health = HealthTracker()
        engine = DEPLOYMENTS[1]
        for step in range(400):
            key, running = ("busy", 40) if step % 4 == 0 else ("free", step % 8)
            turn = MeasuredTurn(running, engine.events, engine.gap_ms(running))
            health.record_turn(key, "engines", turn, step * 0.01)
        self.assertEqual(1.0, health.state("busy").slowness(4.0))

    def test_slow_engine_is_detected_at_any_load(self) -> None:
        health = HealthTracker()
        engine = DEPLOYMENTS[1]
        for step in range(400):
            running = step % 30
            slowdown = 3.0 if step % 6 == 0 else 1.0
            key = "slow" if step % 6 == 0 else "healthy"
            turn = MeasuredTurn(
                running, engine.events, engine.gap_ms(running) * slowdown
            )
            health.record_turn(key, "engines", turn, step * 0.01)
        self.assertGreater(health.state("slow").slowness(4.0), SLOW_FACTOR)


class LoneEngineTest(unittest.TestCase):
    """Placement where one engine is the only one in the gateway's data centre."""

    def setUp(self) -> None:
        self.health = HealthTracker()
        self.engine = DEPLOYMENTS[1]
        self.engines = [
            Endpoint(f"e{n}", "engines", "h", n, "abbcc"[n], self.engine.slots)
            for n in range(5)
        ]
        for step in range(400):
            running = step % 20
            turn = MeasuredTurn(running, 16, self.engine.gap_ms(running))
            self.health.record_turn("e1", "engines", turn, 0.0)

    def place_turn(self, program: str) -> Endpoint:
        need = Need("a", program, PROMPT_TOKENS)
        found = choose_engine(self.engines, need, self.health, 0.0)
        self.health.begin(found.key)
        return found

    def test_local_engine_is_not_filled_while_others_are_free(self) -> None:
        for number in range(60):
            self.place_turn(f"p{number}")
        counts = [self.health.state(item.key).in_flight for item in self.engines]
        self.assertEqual(60, sum(counts))
        # A request adds about 18 ms to each turn. With 3 ms assumed, all sixty turns
        # would go to the only engine in the data centre.
        self.assertLess(max(counts), self.engine.slots / 2)

    def test_program_keeps_its_engine_at_usual_load(self) -> None:
        first = self.place_turn("p")
        self.health.end(first.key)
        for _ in range(3):
            self.health.begin(first.key)
        self.assertEqual(first, self.place_turn("p"))
