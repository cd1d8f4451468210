"""The running sums of load reports equal sums that are computed from scratch."""

from __future__ import annotations

import random
import unittest

from carobspur.gateway.load_sharing import (
    REPORT_TTL_S,
    LoadReport,
    PeerLoads,
    name_hash,
)

KEYS = [f"e{number}" for number in range(6)]


class PeerLoadsTest(unittest.TestCase):
    def test_sums_include_only_the_newest_unexpired_reports(self) -> None:
        rng = random.Random(11)
        loads = PeerLoads()
        newest: dict[int, tuple[float, dict[int, int]]] = {}
        now = 0.0
        for _ in range(2000):
            now += rng.expovariate(20)
            sender = rng.randrange(9)
            counts = {name_hash(key): rng.randrange(4) for key in rng.sample(KEYS, 3)}
            loads.record(LoadReport(sender, counts), now)
            newest[sender] = (now, counts)
            read_at = now + rng.choice((0.0, 0.4, 1.5))
            for key in KEYS:
                expected = sum(
                    counts.get(name_hash(key), 0)
                    for received_at, counts in newest.values()
                    if read_at - received_at < REPORT_TTL_S
                )
                self.assertEqual(expected, loads.total(key, read_at))
            now = read_at

    def test_load_of_a_silent_gateway_expires(self) -> None:
        loads = PeerLoads()
        loads.record(LoadReport(1, {name_hash("e0"): 3}), 0.0)
        self.assertEqual(3, loads.total("e0", REPORT_TTL_S / 2))
        self.assertEqual(0, loads.total("e0", REPORT_TTL_S))
