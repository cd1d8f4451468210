"""Draining endpoints and instances get no new work."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from carobspur.engine_messages import EngineOrder, EngineOrderKind
from carobspur.http import HttpRequest
from carobspur_standins.engine import LEAVING_ROLE

from . import builders
from .virtual import run_virtual
from .world import World

LIMIT_S = 3.0
PROMPT = {"prompt": "what do we pay", "max_tokens": 4}


class LeavingTest(unittest.TestCase):
    def test_a_leaving_engine_gets_no_new_call_after_three_seconds(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            url = builders.ENGINE_URLS[0]
            engine = world.engines[url]
            programs = [await world.start_program(f"k{number}") for number in range(12)]
            for program in programs:
                await world.call(program, 1, "model", PROMPT)
            self.assertGreater(engine.calls, 0)
            order = EngineOrder(EngineOrderKind.ROLE, LEAVING_ROLE, fence=10**6)
            body = msgspec.json.encode(order)
            await world.client.fetch(HttpRequest("POST", f"{url}/v1/orders", body=body))
            await asyncio.sleep(LIMIT_S)
            before = engine.calls
            for program in programs:
                reply = await world.call(program, 2, "model", PROMPT)
                self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(engine.calls, before)

        run_virtual(scenario)

    def test_addresses_are_refused_while_no_instance_can_be_used(self) -> None:
        """Guards against an empty list of addresses that looks like an answer."""

        async def scenario() -> None:
            world = await World().start(3)
            for number in (1, 2, 3):
                await world.nodes[number].control.announce(leaving=True)
            await asyncio.sleep(LIMIT_S)
            for number in (1, 2, 3):
                reply = await world.ask("GET", "/v1/addresses", node=number)
                self.assertEqual(503, reply.status, reply.body)
                self.assertEqual("not_run", reply.json["verdict"])

        run_virtual(scenario)

    def test_an_instance_out_of_contact_accepts_no_change(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            ports = {(f"10.1.0.{number}", 5) for number in (1, 2, 3)}
            changed = builders.an_inventory(units=5)
            world.peers.cut |= {
                address for address in ports if address[0] != "10.1.0.1"
            }
            await asyncio.sleep(LIMIT_S)
            reply = await world.import_inventory(changed, revision=1, change="c2")
            self.assertEqual(reply.status, 200, reply.body)
            world.peers.cut |= ports
            await asyncio.sleep(2 * LIMIT_S)
            reply = await world.import_inventory(changed, revision=2, change="c3")
            self.assertEqual(reply.status, 503, reply.body)
            self.assertEqual(reply.json["verdict"], "not_run")

        run_virtual(scenario)

    def test_addresses_omit_a_leaving_instance_after_three_seconds(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            await world.nodes[2].control.announce(leaving=True)
            await asyncio.sleep(LIMIT_S)
            for number in (1, 2, 3):
                reply = await world.ask("GET", "/v1/addresses", node=number)
                hosts = {item["host"] for item in reply.json["addresses"]}
                self.assertEqual(hosts, {"10.1.0.1", "10.1.0.3"})

        run_virtual(scenario)
