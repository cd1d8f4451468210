"""Rows of turns while some partitions are silent, or the whole store is slow."""

from __future__ import annotations

import asyncio
import logging
import unittest

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.rows import (
    Row,
    RowKey,
    RowStoreAwayError,
    RowWrite,
    Snapshot,
)
from carobspur.gateway.turn_rows import CANDIDATE_PARTS, TurnRows, turn_partitions

from .virtual import run_virtual

USUAL_S = 0.015


class _Store:
    """Row store in memory whose partitions may be silent and whose answers may be slow.

    Args:
        silent: Names of partitions that do not answer.
        answer_s: Time that each answer takes.
    """

    def __init__(self, *, silent: set[str] = frozenset(), answer_s: float = USUAL_S):
        self.silent = set(silent)
        self.answer_s = answer_s
        self.rows: dict[RowKey, bytes] = {}
        self.calls: list[str] = []

    async def write(self, writes: list[RowWrite], *, timeout_s: float) -> int:
        (write,) = writes
        await self._answer(write.key.partition, timeout_s)
        self.rows[write.key] = write.value
        return 1

    async def read(
        self, table: str, partition: str, *, first: str, end: str, timeout_s: float
    ) -> Snapshot:
        await self._answer(partition, timeout_s)
        key = RowKey(table, partition, first)
        rows = [Row(key, self.rows[key], 1)] if key in self.rows else []
        return Snapshot(rows, 1)

    async def _answer(self, partition: str, timeout_s: float) -> None:
        self.calls.append(partition)
        if partition in self.silent:
            await asyncio.sleep(timeout_s)
            raise RowStoreAwayError("no answer")
        await asyncio.sleep(self.answer_s)


class TurnRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turn = "t1"
        self.partitions = turn_partitions(self.turn)

    def rows(self, store: _Store, *, is_unreachable: bool = False) -> TurnRows:
        return TurnRows(
            store,
            usual_s=lambda: store.answer_s,
            is_unreachable=lambda: is_unreachable,
            log=DecisionLog(logging.getLogger("test")),
        )

    def test_most_turns_find_a_partition_that_answers(self) -> None:
        """With two fifths of the partitions silent, one turn in sixteen finds none."""
        known = sorted(
            {partition for n in range(4000) for partition in turn_partitions(f"x{n}")}
        )
        silent = set(known[: 2 * len(known) // 5])
        lost = sum(silent.issuperset(turn_partitions(f"y{n}")) for n in range(4000))
        self.assertLess(lost / 4000, 0.1)

    def test_healthy_store_gets_one_call_per_request(self) -> None:
        store = _Store()
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        found = run_virtual(lambda: self.rows(store).find(self.turn, timeout_s=1.0))
        self.assertEqual(b"v", found)
        self.assertEqual([self.partitions[0]] * 2, store.calls)

    def test_row_is_written_and_found_although_two_partitions_are_silent(self) -> None:
        store = _Store(silent=set(self.partitions[:2]))

        async def scenario() -> tuple[int, float, bytes | None]:
            started = asyncio.get_running_loop().time()
            rows = self.rows(store)
            keys = await rows.write(self.turn, b"v", timeout_s=2.0)
            taken_s = asyncio.get_running_loop().time() - started
            return len(keys), taken_s, await rows.find(self.turn, timeout_s=1.0)

        written, taken_s, found = run_virtual(scenario)
        self.assertEqual((CANDIDATE_PARTS, b"v"), (written, found))
        self.assertLess(taken_s, 1.0)

    def test_row_in_second_partition_is_found_once_the_first_answers_again(
        self,
    ) -> None:
        store = _Store(silent={self.partitions[0]})
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        store.silent.clear()
        found = run_virtual(lambda: self.rows(store).find(self.turn, timeout_s=1.0))
        self.assertEqual(b"v", found)

    def test_row_is_absent_only_if_all_partitions_answer(self) -> None:
        rows = self.rows(_Store())
        self.assertIsNone(run_virtual(lambda: rows.find("none", timeout_s=1.0)))
        for partition in turn_partitions("none"):
            rows = self.rows(_Store(silent={partition}))
            with self.assertRaises(RowStoreAwayError):
                run_virtual(lambda rows=rows: rows.find("none", timeout_s=1.0))

    def test_slow_store_gets_no_additional_calls(self) -> None:
        store = _Store(answer_s=0.8)
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        self.assertEqual([self.partitions[0]], store.calls)

    def test_unreachable_store_gets_no_additional_calls(self) -> None:
        store = _Store(silent=set(self.partitions))
        rows = self.rows(store, is_unreachable=True)
        with self.assertRaises(RowStoreAwayError):
            run_virtual(lambda: rows.write(self.turn, b"v", timeout_s=2.0))
        self.assertEqual([self.partitions[0]], store.calls)
