"""Damaged rows in the table, with content that no process of this system writes."""

from __future__ import annotations

import asyncio
import unittest

from carobspur.table import Write

from .virtual import run_virtual
from .world import World

JOIN_LIMIT_S = 15.0
DAMAGES = (b"", b"not json", b"{}", b"[]", b"null", b'{"id": 5}', b"\xff\xfe")
KEYS = (
    "session/s99999999",
    "shard/00099",
    "shard/damaged",
    "instance/damaged",
    "inventory/change/000000000099",
    "inventory/organisation/damaged",
    "journal/s99999999/000000000001",
    "ended/s99999999",
    "burn/damaged",
)


class DamagedRowsTest(unittest.TestCase):
    def test_damaged_rows_do_not_stop_programs(self) -> None:
        failed = [
            (key, damage)
            for key in KEYS
            for damage in DAMAGES
            if not run_virtual(
                lambda key=key, damage=damage: self._survives(key, damage)
            )
        ]
        self.assertEqual(failed, [])

    async def _survives(self, key: str, damage: bytes) -> bool:
        """Return whether calls continue after a takeover, and an instance can join."""
        world = await World().start(2)
        program = await world.start_program("k1")
        await world.table.commit([], [Write(key, damage)])
        await asyncio.sleep(5)
        first = await world.call(program, 1, "payout", {"pesos": 1})
        world.kill(world.owner_of(program))
        for _ in range(20):
            second = await world.call(program, 2, "payout", {"pesos": 2})
            if second.status == 200:
                break
            await asyncio.sleep(1)
        joined = await world.add_node(3)
        await asyncio.sleep(JOIN_LIMIT_S)
        return first.status == second.status == 200 and joined.entry.is_ready
