"""Partitions execute nearly all writes of turns while the store is slow."""

from __future__ import annotations

import unittest

from carobspur.gateway.partition import all_partitions, partition_of

SLOW_TX_S = 0.25
"""Time of a transaction in a store that is 50 times slower than usual."""
MAX_QUEUE_S = 1.0
"""The store refuses transactions that would wait longer for their partition."""
TURNS_PER_S = 200
WRITES_PER_REPEAT = 3
"""One write in this many is sent again because its answer was slow."""


class PartitionTest(unittest.TestCase):
    def test_slow_store_refuses_few_writes_of_a_busy_minute(self) -> None:
        busy_until = dict.fromkeys(all_partitions(), 0.0)
        refused = 0
        for number in range(60 * TURNS_PER_S):
            now = number / TURNS_PER_S
            for _ in range(1 + (number % WRITES_PER_REPEAT == 0)):
                partition = partition_of(f"{number * 2654435761 % 2**64:016x}")
                begins = max(now, busy_until[partition])
                if begins - now > MAX_QUEUE_S:
                    refused += 1
                else:
                    busy_until[partition] = begins + SLOW_TX_S
        self.assertLessEqual(refused, 60 * TURNS_PER_S // 1000)

    def test_equal_keys_share_a_partition_and_all_partitions_are_used(self) -> None:
        partitions = {partition_of(f"k{number}") for number in range(10_000)}
        self.assertEqual(partitions, set(all_partitions()))
        self.assertEqual(partition_of("k1"), partition_of("k1"))
