"""Calls that may not be repeated: tools that hang, and verdicts on open intents."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

import msgspec

from carobspur.http import HttpRequest
from carobspur.journal import JOURNAL_PREFIX
from carobspur.session import Session, session_key
from carobspur.table import CommitRequest, Write
from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .virtual import run_virtual
from .world import World

TOOL_LATE_S = 6.0
LONG_S = 60.0


class ToolHangsTest(unittest.TestCase):
    def payout(self, *, delay_s: float = 0.0, **options: Any) -> tuple[Any, int]:
        """Return the verdict of a payout and how often its tool ran.

        Args:
            delay_s: Delay of the tool's run, in seconds; with 0 the tool never answers.
            options: Options of the inventory's tool.
        """

        async def scenario() -> tuple[Any, int]:
            world = await World(builders.an_inventory(**options)).start(2)
            program = await world.start_program("k1")
            if delay_s:
                world.tool._delay_s = delay_s
            else:
                world.client.faults(builders.TOOL_URL).set(FaultOrder(FaultKind.HANG))
            calling = world.call(program, 1, "payout", {"pesos": 1})
            reply = await asyncio.wait_for(calling, LONG_S)
            await asyncio.sleep(LONG_S)
            return reply.json["verdict"], len(world.tool.runs)

        return run_virtual(scenario)

    def test_late_run_is_refused_after_not_run(self) -> None:
        verdict, runs = self.payout(delay_s=TOOL_LATE_S, checks_fencing=True)
        self.assertEqual((verdict, runs), ("not_run", 0))

    def test_tool_that_checks_no_fencing_may_have_run(self) -> None:
        verdict, runs = self.payout(delay_s=TOOL_LATE_S, checks_fencing=False)
        self.assertEqual((verdict, runs), ("may_have_run", 1))

    def test_tool_that_answers_nothing_may_have_run(self) -> None:
        self.assertEqual(self.payout(), ("may_have_run", 0))


class OpenIntentTest(unittest.TestCase):
    """The owner is killed while the tool hangs, so the intent of a call stays open.

    Guards against a "not run", or a second send, by a new owner that considers only
    the present program and inventory and not the intent.
    """

    def reply_after(self, change: Any, **options: Any) -> tuple[Any, World]:
        """Return the reply to the repeated call after a change and the takeover.

        Args:
            change: Coroutine function that changes the program or inventory.
            options: Options of the inventory's tool.
        """

        async def scenario() -> tuple[Any, World]:
            inventory = builders.an_inventory(checks_fencing=False, **options)
            world = await World(inventory).start(3)
            program = await world.start_program("k1")
            owner = world.owner_of(program)
            entry = next(number for number in world.nodes if number != owner)
            tool = world.client.faults(builders.TOOL_URL)
            tool.set(FaultOrder(FaultKind.HANG))
            calling = asyncio.ensure_future(
                world.call(program, 1, "payout", {"pesos": 1}, node=entry)
            )
            await asyncio.sleep(0.5)
            calling.cancel()
            await change(world, program, entry)
            world.kill(owner)
            await asyncio.sleep(3 * builders.LEASE_S)
            tool.set(FaultOrder(FaultKind.NONE))
            reply = await world.call(program, 1, "payout", {"pesos": 1}, node=entry)
            return reply.json, world

        return run_virtual(scenario)

    def test_open_intent_of_an_ended_program_may_have_run(self) -> None:
        async def change(world: World, program: str, entry: int) -> None:
            await world.ask("DELETE", f"/v1/programs/{program}", node=entry)

        problem, _ = self.reply_after(change)
        self.assertEqual(problem["verdict"], "may_have_run")

    def test_service_that_became_repeatable_is_not_sent_again(self) -> None:
        async def change(world: World, program: str, entry: int) -> None:
            services = [
                msgspec.structs.replace(item, repeatable=True)
                for item in world.inventory.services
            ]
            new = msgspec.structs.replace(world.inventory, services=services)
            await world.import_inventory(new, revision=1, change="c2", node=entry)

        problem, world = self.reply_after(change)
        self.assertEqual(problem["verdict"], "may_have_run")
        self.assertEqual(len(world.tool.runs), 0)

    def test_service_that_is_gone_may_have_run(self) -> None:
        async def change(world: World, program: str, entry: int) -> None:
            services = [
                service
                for service in world.inventory.services
                if service.name != "payout"
            ]
            new = msgspec.structs.replace(world.inventory, services=services)
            await world.import_inventory(new, revision=1, change="c2", node=entry)

        problem, _ = self.reply_after(change)
        self.assertEqual(problem["verdict"], "may_have_run")


class FrozenOwnerTest(unittest.TestCase):
    """The owner is frozen between the commit of its intent and the send.

    Meanwhile its lease lapses and another scheduler takes over. The frozen owner must
    not send the call when it continues.
    """

    def test_owner_that_lost_its_lease_does_not_send(self) -> None:
        sessions: list[Session] = []

        def _has_lease(session: Session) -> bool:
            return not session.is_lost and session not in sessions

        async def scenario() -> tuple[str, int]:
            def _take_over(request: HttpRequest, response: Any) -> None:
                if b"intended" not in _written(request) or sessions:
                    return
                session = world.nodes[world.owner_of(program)].scheduler.session
                sessions.append(session)
                world.table._write(Write(session_key(session.id), None))

            inventory = builders.an_inventory(checks_fencing=False, has_lookup=False)
            world = await World(inventory, note=_take_over).start(2)
            program = await world.start_program("k1")
            entry = next(
                number for number in world.nodes if number != world.owner_of(program)
            )
            reply = await world.call(program, 1, "payout", {"pesos": 1}, node=entry)
            return reply.json["verdict"], len(world.tool.runs)

        with mock.patch.object(Session, "has_lease", property(_has_lease)):
            verdict, runs = run_virtual(scenario)
        self.assertEqual((verdict, runs), ("may_have_run", 0))


def _written(request: HttpRequest) -> bytes:
    """Return the journal records of a commit."""
    if not request.url.endswith("/v1/commit"):
        return b""
    writes = msgspec.json.decode(request.body, type=CommitRequest).writes
    return b"".join(
        item.value or b"" for item in writes if item.key.startswith(JOURNAL_PREFIX)
    )
