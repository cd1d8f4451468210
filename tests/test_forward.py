"""Forwarding to a program's owner when that owner freezes."""

from __future__ import annotations

import asyncio
import unittest

from . import builders
from .virtual import run_virtual
from .world import World


class FrozenOwnerTest(unittest.TestCase):
    def test_call_is_retried_at_the_next_owner_when_its_owner_freezes(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            owner = world.owner_of(program)
            other = next(number for number in world.nodes if number != owner)
            world.nodes[owner].gate.freeze()
            call_task = asyncio.ensure_future(
                world.call(program, 1, "payout", {"pesos": 7}, node=other)
            )
            reply = await asyncio.wait_for(call_task, 3 * builders.LEASE_S)
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)
