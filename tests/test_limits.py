"""Programs that loop are stopped by limits on calls, tokens and time."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from . import builders
from .virtual import run_virtual
from .world import Reply, World

PROMPT = {"prompt": "one two three", "max_tokens": 3}


async def run_loop(count: int, pause_s: float = 0.0, **limits: float) -> list[Reply]:
    """Return the replies to a program's ``count`` model calls.

    Args:
        count: Number of calls.
        pause_s: Pause after each call.
        limits: Limits of the program's agent.
    """
    inventory = builders.an_inventory()
    agent = msgspec.structs.replace(inventory.agents[0], **limits)
    world = World(msgspec.structs.replace(inventory, agents=[agent]))
    await world.start(1)
    program = await world.start_program("k1")
    replies = []
    for number in range(1, count + 1):
        replies.append(await world.call(program, number, "model", PROMPT))
        await asyncio.sleep(pause_s)
    return replies


class LimitsTest(unittest.TestCase):
    def check_last_is_refused(self, replies: list[Reply]) -> None:
        *served, refused = replies
        self.assertEqual({reply.status for reply in served}, {200})
        self.assertEqual(refused.status, 429, refused.body)
        self.assertEqual(refused.json["cause"], "limit_reached")
        self.assertEqual(refused.json["verdict"], "not_run")

    def test_calls(self) -> None:
        self.check_last_is_refused(run_virtual(lambda: run_loop(4, max_calls=3)))

    def test_tokens(self) -> None:
        self.check_last_is_refused(run_virtual(lambda: run_loop(3, max_tokens=12)))

    def test_time(self) -> None:
        self.check_last_is_refused(
            run_virtual(lambda: run_loop(3, pause_s=40.0, max_time_s=60.0))
        )
