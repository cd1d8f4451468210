"""Secret keys: changes without restart, look-up by digest, secrecy in logs."""

from __future__ import annotations

import asyncio
import logging
import unittest

import msgspec

from carobspur.inventory import Inventory, Key, Role
from carobspur.keys import KeyIndex
from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .virtual import run_virtual
from .world import World

NEW_SECRET = "new-caller-secret"
NEW_KEY = Key("shops-2", builders.digest_of(NEW_SECRET), Role.CALLER)


def with_keys(*keys: Key) -> Inventory:
    return msgspec.structs.replace(builders.an_inventory(), keys=list(keys))


class KeyIndexTest(unittest.TestCase):
    def test_key_that_moves_to_another_organisation(self) -> None:
        old = with_keys(NEW_KEY)
        new = msgspec.structs.replace(old, organisation="jalbandi")
        index = KeyIndex.of([old])
        index.replace(new)
        index.replace(with_keys())
        self.assertEqual(index.find(NEW_SECRET).organisation, "jalbandi")
        index.replace(msgspec.structs.replace(new, keys=[]))
        self.assertIsNone(index.find(NEW_SECRET))
        self.assertEqual(len(index), 0)

    def test_odd_secrets_match_no_key(self) -> None:
        index = KeyIndex.of([with_keys(NEW_KEY)])
        for secret in ("", " ", NEW_KEY.sha256, "\udc80\udcff", "x" * 100_000):
            self.assertIsNone(index.find(secret))


class KeyChangeTest(unittest.TestCase):
    def test_keys_change_everywhere_without_restart(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            old, operator = world.inventory.keys

            async def accepted(secret: str) -> set[int]:
                found = set()
                for number in world.nodes:
                    path = "/v1/addresses"
                    reply = await world.ask("GET", path, node=number, secret=secret)
                    if reply.status == 200:
                        found.add(number)
                    else:
                        self.assertEqual(reply.status, 401)
                return found

            async def seconds_until(secret: str, expected: set[int]) -> float:
                start_s = world.clock.monotonic()
                while await accepted(secret) != expected:
                    self.assertLess(world.clock.monotonic() - start_s, 3.0)
                    await world.clock.sleep(0.05)
                return world.clock.monotonic() - start_s

            both = with_keys(old, NEW_KEY, operator)
            reply = await world.import_inventory(both, revision=1, change="a", node=2)
            self.assertEqual(reply.status, 200, reply.body)
            await seconds_until(NEW_SECRET, {1, 2, 3})
            self.assertEqual(await accepted(builders.CALLER_SECRET), {1, 2, 3})
            one = with_keys(NEW_KEY, operator)
            await world.import_inventory(one, revision=2, change="b", node=3)
            await seconds_until(builders.CALLER_SECRET, set())
            self.assertEqual(await accepted(NEW_SECRET), {1, 2, 3})

        run_virtual(scenario)

    def test_removed_operator_key_stops_everywhere(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            fresh = Key("ops-2", builders.digest_of("fresh"), Role.OPERATOR)
            one = with_keys(world.inventory.keys[0], fresh)
            await world.import_inventory(one, revision=1, change="a", node=1)
            await world.clock.sleep(3.0)
            path = f"/v1/organisations/{builders.ORGANISATION}/rules"
            for node in world.nodes:
                gone = await world.operate("GET", path, node=node)
                kept = await world.operate("GET", path, node=node, secret="fresh")
                self.assertEqual((gone.status, kept.status), (401, 200))

        run_virtual(scenario)


class StartingTest(unittest.TestCase):
    def test_key_is_not_refused_before_the_keys_in_force_are_known(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            slow = FaultOrder(FaultKind.SLOW, delay_s=0.4, path="/v1/rows")
            world.client.faults(builders.TABLE_URL).set(slow)
            await world.add_node(2)
            statuses = []
            while 200 not in statuses:
                reply = await world.ask("GET", "/v1/addresses", node=2)
                statuses.append(reply.status)
                await asyncio.sleep(0.05)
            self.assertEqual(set(statuses), {200, 503}, statuses)

        run_virtual(scenario)


class SecrecyTest(unittest.TestCase):
    def test_secrets_are_in_no_log_and_no_answer(self) -> None:
        secrets = (builders.CALLER_SECRET, builders.OPERATOR_SECRET, "guessed-secret")
        answers: list[bytes] = []

        async def scenario() -> None:
            world = await World().start(1)
            for secret in secrets:
                for method, path, body in (
                    ("GET", "/v1/addresses", None),
                    ("POST", "/v1/programs", {"agent": 1}),
                    ("POST", "/v1/programs/p1/calls/1", {"endpoint": "model"}),
                    ("DELETE", "/v1/programs/p1", None),
                ):
                    reply = await world.ask(method, path, body, secret=secret)
                    answers.append(reply.body + repr(reply.headers).encode())
                for tail in ("inventory", "status", "programs/p1", "inventory/history"):
                    path = f"/v1/organisations/{builders.ORGANISATION}/{tail}"
                    reply = await world.operate("GET", path, secret=secret)
                    answers.append(reply.body + repr(reply.headers).encode())

        disabled = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        try:
            with self.assertLogs(level="DEBUG") as logs:
                run_virtual(scenario)
        finally:
            logging.disable(disabled)
        self.assertEqual(len(answers), 24)
        for text in [*logs.output, *map(repr, answers)]:
            for secret in secrets:
                self.assertNotIn(secret, text)
