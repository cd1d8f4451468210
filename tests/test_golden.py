"""Whole sessions, compared event by event with golden files."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .session_log import SessionLog
from .virtual import run_virtual
from .world import Reply, World


@dataclass(frozen=True)
class ExampleScript:
    """Names of the agents and endpoints of an example inventory, and a caller's key."""

    secret: str
    agent: str
    sub_agent: str
    model: str
    tool: str
    plain: str


ORO = ExampleScript(
    "oro-example-caller", "quote", "assay", "quote-model", "payout", "vault"
)
JALBANDI = ExampleScript(
    "jalbandi-example-caller",
    "inspection",
    "tag-lookup",
    "registry-model",
    "tag-issue",
    "registry",
)


class Session:
    """A caller's session, whose replies are logged event by event."""

    def __init__(
        self, world: World, log: SessionLog, *, secret: str = builders.CALLER_SECRET
    ) -> None:
        self.world = world
        self.log = log
        self.secret = secret

    async def start_program(
        self, key: str, agent: str = "quote", parent: str = ""
    ) -> str:
        reply = await self.world.ask(
            "POST",
            "/v1/programs",
            {"agent": agent, "parent": parent},
            headers={"Idempotency-Key": key},
            secret=self.secret,
        )
        self.log.reply(f"start {agent}", reply)
        return reply.json["program"]

    async def call(
        self, program: str, number: int, endpoint: str, content: Any, **options: Any
    ) -> Reply:
        reply = await self.world.call(
            program, number, endpoint, content, secret=self.secret, **options
        )
        return self.log.reply(f"call {number} {endpoint}", reply)

    async def stream(
        self, program: str, number: int, content: Any, *, model: str = "model"
    ) -> Reply:
        body = {"endpoint": model, "input": content, "stream": True}
        path = f"/v1/programs/{program}/calls/{number}"
        reply = await self.world.ask("POST", path, body, secret=self.secret)
        return self.log.reply(f"stream {number} {model}", reply)

    async def end(self, program: str) -> None:
        reply = await self.world.ask(
            "DELETE", f"/v1/programs/{program}", secret=self.secret
        )
        self.log.reply("end", reply)

    async def history(self, program: str) -> None:
        reply = await self.world.ask(
            "GET", f"/v1/programs/{program}/history", secret=self.secret
        )
        self.log.reply("history", reply)

    def tool_runs(self) -> None:
        self.log.event("tool", runs=[run.call_id for run in self.world.tool.runs])


# Sends the requests of one caller's session, in order.
Script = Callable[[Session], Awaitable[None]]


async def run_example(session: Session, script: ExampleScript) -> None:
    """Run a whole program with a sub-agent, a tool and a plain service."""
    program = await session.start_program("k1", script.agent)
    content = {"prompt": "what is this and whose", "max_tokens": 3}
    await session.stream(program, 1, content, model=script.model)
    await session.call(program, 2, script.plain, {"item": 88})
    child = await session.start_program("k2", script.sub_agent, parent=program)
    content = {"prompt": "check the details", "max_tokens": 2}
    await session.call(child, 1, script.model, content)
    await session.call(program, 3, script.tool, {"item": 88, "pieces": 12})
    await session.call(program, 3, script.tool, {"item": 88, "pieces": 12})
    content = {"prompt": "thank you", "max_tokens": 2}
    await session.call(program, 4, script.model, content)
    await session.history(program)
    await session.end(program)
    session.tool_runs()


class GoldenSessionTest(unittest.TestCase):
    def verify(self, script: Script, **options: Any) -> None:
        log = SessionLog()

        async def scenario() -> None:
            inventory = builders.an_inventory(**options)
            world = await World(inventory, note=log.note).start(3)
            await script(Session(world, log))

        run_virtual(scenario)
        log.verify()

    def test_whole_program(self) -> None:
        async def script(session: Session) -> None:
            program = await session.start_program("k1")
            content = {"prompt": "a chain of 4.2 grams", "max_tokens": 3}
            await session.stream(program, 1, content)
            await session.call(program, 2, "vault", {"lot": "L-88"})
            child = await session.start_program("k2", parent=program)
            content = {"prompt": "check the lot", "max_tokens": 2}
            await session.call(child, 1, "model", content)
            await session.call(program, 3, "payout", {"pesos": 185000})
            await session.call(program, 3, "payout", {"pesos": 185000})
            await session.call(program, 3, "payout", {"pesos": 1})
            await session.call(program, 5, "vault", {})
            content = {"prompt": "close the visit", "max_tokens": 2}
            await session.call(program, 4, "model", content)
            await session.history(program)
            await session.end(program)
            await session.call(program, 5, "vault", {})
            session.tool_runs()

        self.verify(script)

    def test_whole_quote_program_of_oro_recupero(self) -> None:
        self.verify_example("oro-recupero", ORO)

    def test_whole_inspection_program_of_jalbandi(self) -> None:
        self.verify_example("jalbandi", JALBANDI)

    def verify_example(self, name: str, script: ExampleScript) -> None:
        log = SessionLog()

        async def scenario() -> None:
            world = World(builders.an_example_inventory(name), note=log.note)
            await world.start(3)
            await run_example(Session(world, log, secret=script.secret), script)

        run_virtual(scenario)
        log.verify()

    def test_payout_whose_answer_is_lost_is_looked_up(self) -> None:
        self.verify(_payout_with_fault(FaultKind.LOSE_ANSWER))

    def test_payout_whose_request_is_lost_is_not_run(self) -> None:
        self.verify(_payout_with_fault(FaultKind.DROP))

    def test_payout_without_look_up_may_have_run(self) -> None:
        self.verify(_payout_with_fault(FaultKind.LOSE_ANSWER), has_lookup=False)

    def test_owner_dies_while_the_tool_runs(self) -> None:
        async def script(session: Session) -> None:
            program = await session.start_program("k1")
            world = session.world
            owner = world.owner_of(program)
            other = next(number for number in world.nodes if number != owner)
            world.client.faults(builders.TOOL_URL).set(
                FaultOrder(FaultKind.SLOW, count=1, delay_s=1.0, path="/v1/run")
            )
            calling = asyncio.ensure_future(
                session.call(program, 1, "payout", {"pesos": 7}, node=other)
            )
            await asyncio.sleep(0.5)
            world.kill(owner)
            session.log.event("scheduler", died="while the tool ran")
            await calling
            await session.call(program, 2, "vault", {"lot": "L-1"}, node=other)
            session.tool_runs()

        self.verify(script)

    def test_frozen_owner_wakes_after_takeover(self) -> None:
        async def script(session: Session) -> None:
            program = await session.start_program("k1")
            world = session.world
            owner = world.owner_of(program)
            other = next(number for number in world.nodes if number != owner)
            frozen = world.nodes[owner]
            frozen.gate.freeze()
            session.log.event("scheduler", frozen=True)
            calling = asyncio.ensure_future(
                session.call(program, 1, "payout", {"pesos": 7}, node=other)
            )
            await asyncio.sleep(3 * builders.LEASE_S)
            frozen.gate.thaw()
            session.log.event("scheduler", frozen=False)
            await calling
            await session.call(program, 2, "vault", {"lot": "L-1"}, node=other)
            session.tool_runs()

        self.verify(script)

    def test_table_answers_are_lost(self) -> None:
        async def script(session: Session) -> None:
            program = await session.start_program("k1")
            faults = session.world.client.faults(builders.TABLE_URL)
            for number in (1, 2, 3):
                faults.set(
                    FaultOrder(FaultKind.LOSE_ANSWER, count=4, path="/v1/commit")
                )
                await session.call(program, number, "payout", {"pesos": number})
            session.tool_runs()
            await session.history(program)

        self.verify(script)

    def test_operators_race(self) -> None:
        async def script(session: Session) -> None:
            world = session.world
            first = builders.an_inventory(units=500_000)
            second = builders.an_inventory(units=700_000)
            replies = await asyncio.gather(
                world.import_inventory(first, revision=1, change="a", node=1),
                world.import_inventory(second, revision=1, change="b", node=2),
            )
            for change, reply in zip("ab", replies, strict=True):
                session.log.reply(f"import {change}", reply)
            again = await world.import_inventory(first, revision=1, change="a", node=3)
            session.log.reply("import a again", again)

        self.verify(script)


def _payout_with_fault(kind: FaultKind) -> Script:
    async def script(session: Session) -> None:
        program = await session.start_program("k1")
        session.world.client.faults(builders.TOOL_URL).set(
            FaultOrder(kind, count=1, path="/v1/run")
        )
        await session.call(program, 1, "payout", {"pesos": 7})
        session.tool_runs()
        await session.call(program, 1, "payout", {"pesos": 7})
        await session.call(program, 2, "vault", {"lot": "L-1"})
        session.tool_runs()

    return script
