"""The path of a program from its start to its calls, all in one process."""

from __future__ import annotations

import unittest

from .virtual import run_virtual
from .world import World


class WholePathTest(unittest.TestCase):
    def test_program_runs_from_end_to_end(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            reply = await world.call(
                program, 1, "model", {"prompt": "what do we pay", "max_tokens": 4}
            )
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(reply.json["output"]["output_tokens"], 4)
            reply = await world.call(program, 2, "payout", {"pesos": 5}, node=2)
            self.assertEqual(reply.status, 200, reply.body)
            again = await world.call(program, 2, "payout", {"pesos": 5}, node=3)
            self.assertEqual(again.json["output"], reply.json["output"])
            self.assertTrue(again.json["replayed"])
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)

    def test_killed_owner_is_taken_over(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            reply = await world.call(program, 1, "payout", {"pesos": 5})
            self.assertEqual(reply.status, 200, reply.body)
            owner = world.owner_of(program)
            world.kill(owner)
            reply = await world.call(program, 2, "payout", {"pesos": 6})
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 2)

        run_virtual(scenario)
