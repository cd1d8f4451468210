"""Histories of turns in the row store: how long they remain, and how they are split."""

from __future__ import annotations

import asyncio
import logging
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.row_sweep import RowSweeper, row_lifetime_s
from carobspur.gateway.rows import RowStoreError
from carobspur.gateway.turn_rows import TABLE, TurnRows, turn_partitions
from carobspur.gateway.turn_store import (
    EMPTY_HISTORY,
    NoSuchTurnError,
    TurnStore,
    turn_expiry,
)

from .memory_rows import ANSWER_S, MemoryRowStore
from .virtual import START_S, WALL_START_S, run_virtual

RETENTION_S = 60.0
ROW_BYTES = 65_536
LONG_INPUT = b"x" * 26_000
TIMEOUT_S = 2.0


class _Gateway:
    """A gateway's store of turns, with the removal of the rows that it wrote.

    Args:
        store: The row store, shared with other gateways.
    """

    def __init__(self, store: MemoryRowStore) -> None:
        log = DecisionLog(logging.getLogger("test"))
        rows = TurnRows(
            store,
            usual_s=lambda: ANSWER_S,
            is_unreachable=lambda: False,
            log=log,
        )
        self.turns = TurnStore(rows, row_bytes=ROW_BYTES)
        self.sweeper = RowSweeper(store, {TABLE: turn_expiry}, log, gateways=lambda: 1)
        self._sweeping = asyncio.ensure_future(self.sweeper.sweep_own_forever())

    async def run_turn(self, turn: str, text: bytes, *, previous: str = "") -> None:
        """Store a turn that continues from ``previous``."""
        history = await self.history(previous) if previous else EMPTY_HISTORY
        keys = await self.turns.commit(
            history, turn, text, retention_s=RETENTION_S, timeout_s=TIMEOUT_S
        )
        for key in keys:
            self.sweeper.record(key, row_lifetime_s(RETENTION_S))

    async def history(self, turn: str):
        """Return the history up to a turn."""
        return await self.turns.history(turn, timeout_s=TIMEOUT_S)


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario under virtual time, which the time of day follows."""

    def wall_time() -> float:
        return WALL_START_S + asyncio.get_running_loop().time() - START_S

    with mock.patch("time.time", wall_time):
        run_virtual(scenario)


class TurnStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryRowStore()

    def test_long_history_remains_as_long_as_its_newest_turn(self) -> None:
        """Guards against 404 for a turn whose earlier turns' rows were removed."""

        async def scenario() -> None:
            gateway = _Gateway(self.store)
            await gateway.run_turn("t1", b"1" + LONG_INPUT)
            for second in range(1, 59):
                await asyncio.sleep(1.0)
                if second % 12 == 0:
                    number = second // 12 + 1
                    text = b"%d" % number + LONG_INPUT
                    await gateway.run_turn(
                        f"t{number}", text, previous=f"t{number - 1}"
                    )
            # Long enough that the sweeps have removed the first rows.
            for number in range(6, 12):
                await asyncio.sleep(RETENTION_S - 1)
                text = b"%d" % number + LONG_INPUT
                await gateway.run_turn(f"t{number}", text, previous=f"t{number - 1}")
                await asyncio.sleep(RETENTION_S - 1)
                found = await _Gateway(self.store).history(f"t{number}")
                self.assertEqual(
                    b"".join(b"%d" % n + LONG_INPUT for n in range(1, number + 1)),
                    found.text,
                )

        _run(scenario)

    def test_history_that_only_a_cache_still_has_is_written_again(self) -> None:
        """Guards against a turn that refers to rows that have been removed."""

        async def scenario() -> None:
            gateway = _Gateway(self.store)
            await gateway.run_turn("t1", LONG_INPUT)
            await asyncio.sleep(5 * RETENTION_S)
            with self.assertRaises(NoSuchTurnError):
                await _Gateway(self.store).history("t1")
            await gateway.run_turn("t2", LONG_INPUT, previous="t1")
            found = await _Gateway(self.store).history("t2")
            self.assertEqual(2 * LONG_INPUT, found.text)

        _run(scenario)

    def test_turn_larger_than_a_row_is_stored(self) -> None:
        async def scenario() -> None:
            text = bytes(range(256)) * 400
            await _Gateway(self.store).run_turn("t1", text)
            await _Gateway(self.store).run_turn("t2", b"next", previous="t1")
            found = await _Gateway(self.store).history("t2")
            self.assertEqual(text + b"next", found.text)

        _run(scenario)
        self.assertLessEqual(
            max(4 * len(value) / 3 for value in self.store.rows.values()), ROW_BYTES
        )

    def test_turn_larger_than_a_row_needs_all_its_rows_confirmed(self) -> None:
        async def scenario() -> None:
            self.store.silent = set(turn_partitions("t1/rows/1"))
            self.store.silent -= set(turn_partitions("t1"))
            with self.assertRaises(RowStoreError):
                await _Gateway(self.store).run_turn("t1", 4 * LONG_INPUT)

        _run(scenario)

    def test_quick_turns_of_a_long_history_write_one_row_each(self) -> None:
        async def scenario() -> None:
            gateway = _Gateway(self.store)
            await gateway.run_turn("t0", LONG_INPUT)
            for number in range(1, 20):
                await gateway.run_turn(
                    f"t{number}", LONG_INPUT, previous=f"t{number - 1}"
                )

        _run(scenario)
        self.assertEqual(20, self.store.writes)

    def test_history_of_thousands_of_rows_is_read(self) -> None:
        async def scenario() -> None:
            gateway = _Gateway(self.store)
            await gateway.run_turn("t0", LONG_INPUT + LONG_INPUT)
            for number in range(1, 1500):
                await gateway.run_turn(f"t{number}", b"y", previous=f"t{number - 1}")
            found = await _Gateway(self.store).history("t1499")
            self.assertEqual(2 * len(LONG_INPUT) + 1499, len(found.text))

        _run(scenario)
