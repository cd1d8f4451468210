"""Histories in engines' caches: moves, releases, and endpoints that are removed."""

from __future__ import annotations

import unittest

import msgspec

from carobspur.holder import CacheHoldManager
from carobspur.plugin_registry import PluginKind, load_plugins, plugin
from carobspur.pool import CachedPrefix, EndpointPool, EndpointState
from carobspur.programs import Program
from carobspur_standins.app import FaultKind, FaultOrder, InProcessClient
from carobspur_standins.engine import ModelEngine

from . import builders
from .virtual import run_virtual
from .world import World

load_plugins()

WARM_URL, OTHER_URL = builders.ENGINE_URLS
KEY = "history-key"
MODEL = "model"


class HoldManagerSetup:
    """A hold manager and two engines, of which the first has a program's history."""

    def __init__(self, *, holds: str = "cost") -> None:
        self.engines = {url: ModelEngine() for url in builders.ENGINE_URLS}
        self.engines[WARM_URL].cache.put("p", KEY, 500)
        self.client = InProcessClient(self.engines)
        self.pool = EndpointPool()
        self.pool.update([builders.an_inventory()], schedulers=1)
        policy = plugin(PluginKind.HOLDS, holds)()
        self.hold_manager = CacheHoldManager(
            self.client, policy, self.pool, fence=lambda: 1
        )
        self.record_prefix(WARM_URL)

    def state(self, url: str) -> EndpointState:
        state = self.pool.find(url)
        assert state is not None
        return state

    def record_prefix(self, url: str) -> EndpointState | None:
        cached = CachedPrefix(KEY, 500, 0.0)
        return self.pool.record_prefix("p", MODEL, self.state(url), cached)

    def cached_tokens(self, url: str) -> int:
        return self.engines[url].cache.used


class HolderTest(unittest.TestCase):
    def test_history_moves_and_the_old_copy_is_released(self) -> None:
        async def scenario() -> None:
            setup = HoldManagerSetup()
            other = setup.state(OTHER_URL)
            self.assertTrue(
                await setup.hold_manager.move_history("p", MODEL, KEY, other)
            )
            former = setup.record_prefix(OTHER_URL)
            self.assertIs(former, setup.state(WARM_URL))
            setup.hold_manager.after_move("p", former)
            await setup.hold_manager.flush()
            self.assertEqual(
                (setup.cached_tokens(WARM_URL), setup.cached_tokens(OTHER_URL)),
                (0, 500),
            )

        run_virtual(scenario)

    def test_move_that_fails_leaves_the_old_copy(self) -> None:
        for url in builders.ENGINE_URLS:

            async def scenario(url: str = url) -> None:
                setup = HoldManagerSetup()
                setup.client.faults(url).set(FaultOrder(FaultKind.DOWN))
                other = setup.state(OTHER_URL)
                self.assertFalse(
                    await setup.hold_manager.move_history("p", MODEL, KEY, other)
                )
                self.assertEqual(setup.cached_tokens(WARM_URL), 500)

            run_virtual(scenario)

    def test_ended_program_is_released_unless_the_policy_gives_no_orders(self) -> None:
        for holds, left in (("cost", 0), ("none", 500)):

            async def scenario(holds: str = holds, left: int = left) -> None:
                setup = HoldManagerSetup(holds=holds)
                program = Program("p", "o", "u", "quote", started_s=0.0)
                setup.hold_manager.after_end(program)
                await setup.hold_manager.flush()
                self.assertEqual(setup.cached_tokens(WARM_URL), left)
                self.assertIsNone(setup.pool.warm_engine("p", MODEL))

            run_virtual(scenario)

    def test_removed_endpoint_has_no_histories_and_accepts_no_calls(self) -> None:
        async def scenario() -> None:
            inventory = builders.an_inventory()
            setup = HoldManagerSetup()
            warm_engine, other = setup.state(WARM_URL), setup.state(OTHER_URL)
            warm_engine.in_flight = 1
            serving = setup.pool.endpoints_for(inventory, MODEL)
            fewer = msgspec.structs.replace(inventory, engines=inventory.engines[1:])
            setup.pool.update([fewer], schedulers=1)
            self.assertFalse(warm_engine.can_accept(0.0))
            self.assertIsNone(setup.pool.warm_engine("p", MODEL))
            self.assertEqual(serving, [other])
            setup.pool.update([inventory], schedulers=1)
            self.assertIs(setup.pool.find(WARM_URL), warm_engine)
            self.assertEqual(
                (warm_engine.in_flight, warm_engine.is_draining), (1, False)
            )
            self.assertEqual(serving, [warm_engine, other])

        run_virtual(scenario)


class MovedProgramTest(unittest.TestCase):
    def test_taken_over_program_finds_its_history(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            content = {"prompt": "what do we pay", "max_tokens": 4}
            await world.call(program, 1, MODEL, content)
            world.kill(world.owner_of(program))
            reply = await world.call(program, 2, MODEL, content)
            self.assertEqual(reply.status, 200, reply.body)
            recomputed = sum(x.recomputed_tokens for x in world.engines.values())
            self.assertEqual(recomputed, 0)

        run_virtual(scenario)
