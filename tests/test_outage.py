"""Outages of the table service: what still works, and how requests are refused.

Guards against requests that hang during an outage, wrong verdicts on whether a call
has run, and tools that run twice after it.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any

from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .virtual import run_virtual
from .world import Reply, World

MAX_REFUSAL_S = 2.5
LONG_OUTAGE_S = 60.0


def set_table_fault(world: World, kind: FaultKind) -> None:
    world.client.faults(builders.TABLE_URL).set(FaultOrder(kind))


async def timed(request: Awaitable[Reply]) -> tuple[Reply, float]:
    """Return a reply and its latency in seconds; fail after ten long outages."""
    loop = asyncio.get_event_loop()
    start_s = loop.time()
    reply = await asyncio.wait_for(request, 10 * LONG_OUTAGE_S)
    return reply, loop.time() - start_s


class OutageTest(unittest.TestCase):
    def assert_refused(self, reply: Reply, verdict: str, waited_s: float) -> None:
        """Check a refusal for an outage: verdict, Retry-After and time it took."""
        self.assertEqual((reply.status, reply.json["verdict"]), (503, verdict))
        self.assertEqual(reply.json["cause"], "store_outage")
        self.assertGreaterEqual(int(reply.headers["Retry-After"]), 1)
        self.assertLess(waited_s, MAX_REFUSAL_S)

    def run_outage(self, kind: FaultKind, scenario: Any) -> None:
        """Run a scenario with a program that has one committed call."""

        async def run() -> None:
            world = await World().start(2)
            program = await world.start_program("k1")
            first = await world.call(program, 1, "payout", {"pesos": 1})
            self.assertEqual(first.status, 200)
            await scenario(world, program, kind)

        run_virtual(run)

    def check_long_outage(self, kind: FaultKind) -> None:
        """Check calls during an outage that outlasts the lease, and after it."""

        async def scenario(world: World, program: str, kind: FaultKind) -> None:
            set_table_fault(world, kind)
            await asyncio.sleep(LONG_OUTAGE_S)
            refused = await timed(world.call(program, 2, "model", {"prompt": "x"}))
            self.assert_refused(refused[0], "not_run", refused[1])
            refused = await timed(world.call(program, 2, "payout", {"pesos": 2}))
            self.assert_refused(refused[0], "may_have_run", refused[1])
            again, _ = await timed(world.call(program, 1, "payout", {"pesos": 1}))
            self.assertTrue(again.json["replayed"])
            set_table_fault(world, FaultKind.NONE)
            await asyncio.sleep(3 * builders.LEASE_S)
            reply = await world.call(program, 2, "payout", {"pesos": 2})
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 2)

        self.run_outage(kind, scenario)

    def test_table_refuses_connections(self) -> None:
        self.check_long_outage(FaultKind.DOWN)

    def test_table_does_not_answer(self) -> None:
        self.check_long_outage(FaultKind.HANG)

    def test_intent_that_can_not_be_committed_is_never_sent(self) -> None:
        async def scenario(world: World, program: str, kind: FaultKind) -> None:
            set_table_fault(world, kind)
            refused = await timed(world.call(program, 2, "payout", {"pesos": 2}))
            self.assert_refused(refused[0], "may_have_run", refused[1])
            set_table_fault(world, FaultKind.NONE)
            await asyncio.sleep(LONG_OUTAGE_S)
            self.assertEqual(len(world.tool.runs), 1)
            reply = await world.call(program, 2, "payout", {"pesos": 2})
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 2)

        self.run_outage(FaultKind.DOWN, scenario)

    def test_outcome_not_committed_has_verdict_ran_and_is_replayed_later(self) -> None:
        async def scenario(world: World, program: str, kind: FaultKind) -> None:
            world.client.faults(builders.TOOL_URL).set(
                FaultOrder(FaultKind.SLOW, count=1, delay_s=1.0, path="/v1/run")
            )
            request = timed(world.call(program, 2, "payout", {"pesos": 2}))
            calling = asyncio.ensure_future(request)
            await asyncio.sleep(0.5)
            set_table_fault(world, kind)
            reply, waited_s = await calling
            self.assert_refused(reply, "ran", waited_s - 1.0)
            set_table_fault(world, FaultKind.NONE)
            await asyncio.sleep(3 * builders.LEASE_S)
            reply = await world.call(program, 2, "payout", {"pesos": 2})
            self.assertTrue(reply.json["replayed"], reply.body)
            self.assertEqual(len(world.tool.runs), 2)

        self.run_outage(FaultKind.DOWN, scenario)

    def test_start_is_refused_and_can_be_retried(self) -> None:
        async def scenario(world: World, program: str, kind: FaultKind) -> None:
            set_table_fault(world, kind)
            starting = world.ask(
                "POST",
                "/v1/programs",
                {"agent": "quote"},
                headers={"Idempotency-Key": "k2"},
            )
            refused = await timed(starting)
            self.assert_refused(refused[0], "may_have_run", refused[1])
            set_table_fault(world, FaultKind.NONE)
            await asyncio.sleep(3 * builders.LEASE_S)
            await world.start_program("k2")

        self.run_outage(FaultKind.DOWN, scenario)
