"""Following a program's owner."""

from __future__ import annotations

import asyncio
import unittest

from . import builders
from .virtual import run_virtual
from .world import World


class FrozenOwnerTest(unittest.TestCase):
    def test_call_leaves_a_frozen_owner_for_the_next(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            owner = world.owner_of(program)
            other = next(number for number in world.nodes if number != owner)
            world.nodes[owner].gate.freeze()
            calling = asyncio.ensure_future(
                world.call(program, 1, "payout", {"pesos": 7}, node=other)
            )
            reply = await asyncio.wait_for(calling, 3 * builders.LEASE_S)
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)
