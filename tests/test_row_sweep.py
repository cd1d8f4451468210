"""Expired rows are removed, with few calls by all gateways together."""

from __future__ import annotations

import asyncio
import logging
import time
from unittest import IsolatedAsyncioTestCase

from carobspur.gateway import row_sweep
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.partition import all_partitions
from carobspur.gateway.row_sweep import (
    MAX_ROWS_PER_WRITE,
    ORPHAN_MARGIN_S,
    RowSweeper,
    sweep_period_s,
)
from carobspur.gateway.rows import Row, RowKey, RowWrite, Snapshot

TABLE = "turns"


class _Rows:
    """Row store in memory that counts the writes."""

    def __init__(self, rows: dict[RowKey, bytes]) -> None:
        self.rows = rows
        self.writes = 0

    async def read(self, table: str, partition: str, **_: object) -> Snapshot:
        found = [
            Row(key, value, 1)
            for key, value in self.rows.items()
            if (key.table, key.partition) == (table, partition)
        ]
        return Snapshot(found, 1)

    async def write(self, writes: list[RowWrite], **_: object) -> int:
        assert len(writes) <= MAX_ROWS_PER_WRITE
        assert len({write.key.partition for write in writes}) == 1
        self.writes += 1
        for write in writes:
            self.rows.pop(write.key, None)
        return 2


def _sweeper(rows: _Rows) -> RowSweeper:
    log = DecisionLog(logging.getLogger("test"))
    return RowSweeper(
        rows, {TABLE: lambda value: float(value)}, log, gateways=lambda: 7
    )


class RowSweepTest(IsolatedAsyncioTestCase):
    def test_calls_of_all_gateways_stay_bounded(self) -> None:
        for gateways in (1, 7, 30, 100, 360, 1000):
            calls_per_s = gateways * len(all_partitions()) / sweep_period_s(gateways)
            self.assertLessEqual(calls_per_s, 130)

    async def test_orphans_are_removed_long_after_they_expire(self) -> None:
        old = RowKey(TABLE, "p1", "old")
        recent = RowKey(TABLE, "p1", "recent")
        now = time.time()
        rows = _Rows(
            {
                old: str(now - ORPHAN_MARGIN_S - 1).encode(),
                recent: str(now - ORPHAN_MARGIN_S + 60).encode(),
            }
        )
        await _sweeper(rows).sweep_orphans(TABLE, "p1")
        self.assertEqual([recent], list(rows.rows))

    async def test_own_rows_are_removed_when_they_expire(self) -> None:
        keys = [RowKey(TABLE, f"p{number % 3}", str(number)) for number in range(9)]
        kept = RowKey(TABLE, "p1", "kept")
        rows = _Rows(dict.fromkeys([*keys, kept], b"0"))
        sweeper = _sweeper(rows)
        for key in keys:
            sweeper.record(key, 0.0)
        sweeper.record(kept, 60.0)
        self.addCleanup(setattr, row_sweep, "OWN_SWEEP_S", row_sweep.OWN_SWEEP_S)
        row_sweep.OWN_SWEEP_S = 0.01
        task = asyncio.ensure_future(sweeper.sweep_own_forever())
        await asyncio.sleep(0.2)
        task.cancel()
        self.assertEqual([kept], list(rows.rows))
        # The rows of one partition are removed in one call.
        self.assertEqual(3, rows.writes)
