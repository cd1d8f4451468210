"""Short runs of the fault soak, and a run of every seed that has failed before."""

from __future__ import annotations

import asyncio
import unittest

from experiments.fault_soak.run import run_seed

SECONDS = 5.0
SEEDS = (1, 2)
"""Arbitrary seeds: a short run of each shows that the soak itself works."""
REGRESSION_SECONDS = 8.0
REGRESSIONS = {
    2016: "killed, then started on a damaged settings file; the soak left it down",
    2106: "the same",
    2210: "the same",
    4956: "gateways that started after crashes refused all requests of a path",
}
"""Seeds that failed once, with the cause. They run as long as they did then."""


class FaultSoakTest(unittest.TestCase):
    def test_short_run_breaks_no_guarantee(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                result = asyncio.run(run_seed(seed, seconds=SECONDS, gateways=3))
                self.assertEqual([], result.complaints, result.faults)
                self.assertGreater(result.served, 0)

    def test_seeds_that_failed_once(self) -> None:
        async def run_all() -> list:
            runs = [
                run_seed(seed, seconds=REGRESSION_SECONDS, gateways=4)
                for seed in REGRESSIONS
            ]
            return await asyncio.gather(*runs)

        results = asyncio.run(run_all())
        for (seed, cause), result in zip(REGRESSIONS.items(), results, strict=True):
            with self.subTest(seed, cause=cause):
                self.assertEqual([], result.complaints, result.faults)
