"""Order and identity of calls; sub-agents on other schedulers than their parents."""

from __future__ import annotations

import asyncio
import json
import unittest

from carobspur.programs import program_id
from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .virtual import run_virtual
from .world import Reply, World


async def spread_world() -> World:
    """Return a started world of three instances, each of which owns shards."""
    world = await World().start(3)
    nodes = world.nodes.values()
    await world.until(lambda: all(node.scheduler.shard_manager.owned for node in nodes))
    await world.until(world.is_settled)
    return world


async def start_child(world: World, parent: str, key: str) -> Reply:
    return await world.ask(
        "POST",
        "/v1/programs",
        {"agent": "quote", "parent": parent},
        headers={"Idempotency-Key": key},
    )


def remote_child_key(world: World, parent: str) -> str:
    """Return a key whose program is owned by another instance than the parent."""
    for index in range(100):
        child = program_id(builders.ORGANISATION, "clerk-1", f"child-{index}")
        if world.owner_of(child) != world.owner_of(parent):
            return f"child-{index}"
    raise AssertionError("the parent's owner owns all 100 programs tried")


async def show_program(world: World, program: str) -> dict:
    reply = await world.ask("GET", f"/v1/programs/{program}")
    return reply.json


class SubAgentTest(unittest.TestCase):
    def test_child_on_another_scheduler_ends_with_its_parent(self) -> None:
        async def scenario() -> None:
            world = await spread_world()
            parent = await world.start_program("k1")
            key = remote_child_key(world, parent)
            child = (await start_child(world, parent, key)).json["program"]
            reply = await world.ask("DELETE", f"/v1/programs/{parent}")
            self.assertEqual(reply.status, 204)
            self.assertTrue((await show_program(world, child))["ended"])
            reply = await start_child(world, parent, "late")
            self.assertEqual(reply.status, 410, reply.body)

        run_virtual(scenario)

    def test_child_ends_although_the_parents_owner_dies_after_its_end(self) -> None:
        async def scenario() -> None:
            world = await spread_world()
            parent = await world.start_program("k1")
            key = remote_child_key(world, parent)
            child = (await start_child(world, parent, key)).json["program"]
            owner = world.owner_of(parent)
            world.peers.cut.add(_peer_address(world, world.owner_of(child)))
            ending = asyncio.ensure_future(
                world.ask("DELETE", f"/v1/programs/{parent}", node=owner)
            )
            await asyncio.sleep(0.5)
            world.kill(owner)
            ending.cancel()
            world.peers.cut.clear()
            self.assertFalse((await show_program(world, child))["ended"])
            await asyncio.sleep(4 * builders.LEASE_S)
            self.assertTrue((await show_program(world, child))["ended"])

        run_virtual(scenario)

    def test_child_recorded_but_not_started_never_starts(self) -> None:
        """The sub-agent's owner freezes while it starts, and the parent ends."""

        async def scenario() -> None:
            world = await spread_world()
            parent = await world.start_program("k1")
            key = remote_child_key(world, parent)
            child = program_id(builders.ORGANISATION, "clerk-1", key)
            gate = world.nodes[world.owner_of(child)].gate
            starting = asyncio.ensure_future(start_child(world, parent, key))
            await asyncio.sleep(0.012)
            gate.freeze()
            await world.ask("DELETE", f"/v1/programs/{parent}")
            gate.thaw()
            await starting
            await asyncio.sleep(builders.LEASE_S)
            again = await start_child(world, parent, key)
            self.assertIn(again.status, (200, 410))
            if again.status == 200:
                self.assertTrue((await show_program(world, child))["ended"])

        run_virtual(scenario)

    def test_parent_of_another_user_is_not_found(self) -> None:
        async def scenario() -> None:
            world = await World().start(2)
            parent = await world.start_program("k1", user="clerk-2")
            reply = await start_child(world, parent, "k2")
            self.assertEqual(reply.status, 404, reply.body)

        run_virtual(scenario)


def _peer_address(world: World, number: int) -> tuple[str, int]:
    settings = world.nodes[number].settings
    return settings.instance.host, settings.scheduler.port


class OrderTest(unittest.TestCase):
    def test_same_call_through_three_instances_runs_once(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            replies = await asyncio.gather(
                *(
                    world.call(program, 1, "payout", {"pesos": 5}, node=node)
                    for node in (1, 2, 3)
                )
            )
            self.assertEqual([reply.status for reply in replies], [200] * 3)
            self.assertEqual(len({str(reply.json["output"]) for reply in replies}), 1)
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)

    def test_race_with_other_content_has_one_winner(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            replies = await asyncio.gather(
                world.call(program, 1, "payout", {"pesos": 5}, node=1),
                world.call(program, 1, "payout", {"pesos": 6}, node=2),
                world.call(program, 2, "payout", {"pesos": 7}, node=3),
            )
            self.assertEqual(sorted(reply.status for reply in replies), [200, 409, 409])
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)

    def test_reconnecting_reader_gets_restart_for_a_new_generation(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            content = {"prompt": "a long answer", "max_tokens": 100}
            first = asyncio.ensure_future(_stream(world, program, content, "", 2))
            await asyncio.sleep(1.0)
            world.kill(world.owner_of(program))
            entry = min(world.nodes)
            # Generations are fencing numbers; 2**32 + 1 is the first of epoch 1.
            reply = await _stream(world, program, content, "4294967297-20", entry)
            first.cancel()
            names = [event.name for event in reply.events]
            self.assertEqual(names, ["restart"] + ["token"] * 100 + ["done"])

        run_virtual(scenario)

    def test_reconnecting_reader_gets_the_following_events(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            content = {"prompt": "a long answer", "max_tokens": 50}
            first = asyncio.ensure_future(_stream(world, program, content, "", 2))
            await asyncio.sleep(0.5)
            whole = await asyncio.wait_for(
                _stream(world, program, content, "", 3), timeout=60
            )
            ids = [event.id for event in whole.events if event.name == "token"]
            self.assertEqual(len(ids), 50)
            await first
            generation = ids[0].partition("-")[0]
            again = await _stream(world, program, content, f"{generation}-50", 1)
            self.assertEqual([event.name for event in again.events], ["done"])

        run_virtual(scenario)

    def test_stream_restarts_after_a_lost_engine_answer(self) -> None:
        async def scenario() -> None:
            world = await World().start(2)
            program = await world.start_program("k1")
            for url in builders.ENGINE_URLS:
                world.client.faults(url).set(
                    FaultOrder(FaultKind.LOSE_ANSWER, count=1, path="/v1/generate")
                )
            content = {"prompt": "hello", "max_tokens": 3}
            reply = await _stream(world, program, content, "", 1)
            pieces = [
                json.loads(event.data)
                for event in reply.events
                if event.name == "token"
            ]
            self.assertEqual("".join(pieces).strip(), "w0 w1 w2")

        run_virtual(scenario)


async def _stream(
    world: World, program: str, content: object, last_event: str, node: int
) -> Reply:
    body = {"endpoint": "model", "input": content, "stream": True}
    path = f"/v1/programs/{program}/calls/1"
    headers = {"Last-Event-ID": last_event}
    return await world.ask("POST", path, body, node=node, headers=headers)
