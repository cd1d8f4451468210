"""A short seeded run of the fault soak, and every seed that ever failed."""

from __future__ import annotations

import asyncio
import unittest

from experiments.fault_soak.run import run_seed

SECONDS = 5.0
SEEDS = (1, 2)
"""Any seeds: a short run of each keeps the soak itself working."""
REGRESSIONS: dict[int, str] = {}
"""Seeds that failed once, with the cause; they run as long as they did then."""


class FaultSoakTest(unittest.TestCase):
    def test_short_run_breaks_no_promise(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                result = asyncio.run(run_seed(seed, seconds=SECONDS, gateways=3))
                self.assertEqual([], result.complaints, result.faults)
                self.assertGreater(result.served, 0)

    def test_seeds_that_failed_once(self) -> None:
        for seed, cause in REGRESSIONS.items():
            with self.subTest(seed, cause=cause):
                result = asyncio.run(run_seed(seed, seconds=12.0, gateways=4))
                self.assertEqual([], result.complaints, result.faults)
