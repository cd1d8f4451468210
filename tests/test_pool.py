"""State of endpoints in a scheduler: windows and circuit breakers."""

from __future__ import annotations

import unittest

from carobspur.pool import (
    FAILURES_TO_OPEN,
    INITIAL_OPEN_S,
    CircuitBreaker,
    EndpointPool,
    LoadReport,
)

from . import builders


class WindowTest(unittest.TestCase):
    def test_window_grows_by_half_of_the_unused_slots_and_shrinks_again(self) -> None:
        pool = EndpointPool()
        inventory = builders.an_inventory()
        pool.update([inventory], schedulers=4)
        engine = pool.find(builders.ENGINE_URLS[0])
        self.assertEqual((engine.total_slots, engine.window), (8, 2))
        engine.in_flight = 2
        engine.apply_report(LoadReport(running=2))
        self.assertEqual(engine.window, 5)
        engine.apply_report(LoadReport(running=8))
        self.assertEqual(engine.window, 2)
        engine.apply_report(LoadReport(running=8, waiting=9))
        self.assertEqual(engine.window, 2)
        pool.update([inventory], schedulers=2)
        self.assertEqual(engine.window, 4)


class CircuitBreakerTest(unittest.TestCase):
    def test_failures_open_the_breaker_and_one_probe_decides(self) -> None:
        breaker = CircuitBreaker()
        for _ in range(FAILURES_TO_OPEN):
            self.assertTrue(breaker.allows(0.0))
            breaker.on_failure(0.0)
        self.assertFalse(breaker.allows(INITIAL_OPEN_S / 2))
        self.assertTrue(breaker.allows(INITIAL_OPEN_S))
        breaker.on_send()
        self.assertFalse(breaker.allows(INITIAL_OPEN_S))
        breaker.on_failure(INITIAL_OPEN_S)
        self.assertFalse(breaker.allows(2 * INITIAL_OPEN_S))
        self.assertTrue(breaker.allows(3 * INITIAL_OPEN_S))
        breaker.on_send()
        breaker.on_success()
        self.assertTrue(breaker.allows(3 * INITIAL_OPEN_S))

    def test_late_answer_of_an_older_call_does_not_stop_the_probe(self) -> None:
        breaker = CircuitBreaker()
        for _ in range(FAILURES_TO_OPEN + 2):
            breaker.on_failure(0.0)
        self.assertFalse(breaker.allows(INITIAL_OPEN_S / 2))
        self.assertTrue(breaker.allows(INITIAL_OPEN_S))
