"""Rows of turns while some partitions of the store are silent, or all of it is slow."""

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
from carobspur.gateway.turn_rows import CANDIDATE_PARTS, TurnRows, turn_parts

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
        await self._answer(write.key.part, timeout_s)
        self.rows[write.key] = write.value
        return 1

    async def read(
        self, table: str, part: str, *, first: str, end: str, timeout_s: float
    ) -> Snapshot:
        await self._answer(part, timeout_s)
        key = RowKey(table, part, first)
        rows = [Row(key, self.rows[key], 1)] if key in self.rows else []
        return Snapshot(rows, 1)

    async def _answer(self, part: str, timeout_s: float) -> None:
        self.calls.append(part)
        if part in self.silent:
            await asyncio.sleep(timeout_s)
            raise RowStoreAwayError("no answer")
        await asyncio.sleep(self.answer_s)


class TurnRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turn = "t1"
        self.parts = turn_parts(self.turn)

    def rows(self, store: _Store, *, is_away: bool = False) -> TurnRows:
        return TurnRows(
            store,
            usual_s=lambda: store.answer_s,
            is_away=lambda: is_away,
            log=DecisionLog(logging.getLogger("test")),
        )

    def test_most_turns_find_a_part_that_answers(self) -> None:
        """With two fifths of the partitions silent, one turn in sixteen finds none."""
        known = sorted({part for n in range(4000) for part in turn_parts(f"x{n}")})
        silent = set(known[: 2 * len(known) // 5])
        lost = sum(silent.issuperset(turn_parts(f"y{n}")) for n in range(4000))
        self.assertLess(lost / 4000, 0.1)

    def test_sound_store_gets_one_call(self) -> None:
        store = _Store()
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        found = run_virtual(lambda: self.rows(store).find(self.turn, timeout_s=1.0))
        self.assertEqual(b"v", found)
        self.assertEqual([self.parts[0]] * 2, store.calls)

    def test_silent_part_is_passed_over_and_its_row_is_found(self) -> None:
        store = _Store(silent=set(self.parts[:2]))

        async def scenario() -> tuple[int, float, bytes | None]:
            started = asyncio.get_running_loop().time()
            rows = self.rows(store)
            keys = await rows.write(self.turn, b"v", timeout_s=2.0)
            taken_s = asyncio.get_running_loop().time() - started
            return len(keys), taken_s, await rows.find(self.turn, timeout_s=1.0)

        written, taken_s, found = run_virtual(scenario)
        self.assertEqual((CANDIDATE_PARTS, b"v"), (written, found))
        self.assertLess(taken_s, 1.0)

    def test_row_in_another_part_is_found_once_all_answer_again(self) -> None:
        store = _Store(silent={self.parts[0]})
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        store.silent.clear()
        found = run_virtual(lambda: self.rows(store).find(self.turn, timeout_s=1.0))
        self.assertEqual(b"v", found)

    def test_absence_is_told_only_by_all_parts(self) -> None:
        rows = self.rows(_Store())
        self.assertIsNone(run_virtual(lambda: rows.find("none", timeout_s=1.0)))
        for part in turn_parts("none"):
            rows = self.rows(_Store(silent={part}))
            with self.assertRaises(RowStoreAwayError):
                run_virtual(lambda rows=rows: rows.find("none", timeout_s=1.0))

    def test_store_that_is_slow_as_a_whole_gets_no_more_calls(self) -> None:
        store = _Store(answer_s=0.8)
        run_virtual(lambda: self.rows(store).write(self.turn, b"v", timeout_s=2.0))
        self.assertEqual([self.parts[0]], store.calls)

    def test_store_that_is_away_gets_no_more_calls(self) -> None:
        store = _Store(silent=set(self.parts))
        rows = self.rows(store, is_away=True)
        with self.assertRaises(RowStoreAwayError):
            run_virtual(lambda: rows.write(self.turn, b"v", timeout_s=2.0))
        self.assertEqual([self.parts[0]], store.calls)
