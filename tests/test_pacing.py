"""Commits start at once in an idle session and stay within the budget under load."""

from __future__ import annotations

import asyncio
import unittest

from carobspur.clock import LoopClock
from carobspur.journal import ProgramEnded
from carobspur_standins.table import MemoryTable

from .test_session import open_session
from .virtual import run_virtual

INTERVAL_S = 0.5


class PacingTest(unittest.TestCase):
    def test_idle_session_commits_at_once(self) -> None:
        async def scenario() -> None:
            session = await open_session(MemoryTable(), interval_s=lambda: INTERVAL_S)
            clock = LoopClock(wall_start_s=0.0)
            for wait_s in (1.0, 1.01, 1.26, 3.0):
                await asyncio.sleep(wait_s)
                start_s = clock.monotonic()
                await session.commit([ProgramEnded("p", "x")])
                self.assertLess(clock.monotonic() - start_s, 0.001)

        run_virtual(scenario)

    def test_loaded_session_stays_within_its_share(self) -> None:
        async def scenario() -> None:
            table = MemoryTable()
            session = await open_session(table, interval_s=lambda: INTERVAL_S)
            await session.commit()

            async def _commit_for(seconds: float) -> None:
                end_s = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end_s:
                    await session.commit([ProgramEnded("p", "x")])

            before = table.rows_written
            await asyncio.gather(*(_commit_for(60.0) for _ in range(50)))
            rows_per_s = (table.rows_written - before) / 60.0
            self.assertLess(rows_per_s, 2 / INTERVAL_S * 1.1)
            self.assertGreater(rows_per_s, 2 / INTERVAL_S * 0.9)

        run_virtual(scenario)
