"""Cache sweeps: engine memory of ended and unknown programs is released."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from carobspur.endpoints import GenerateRequest
from carobspur.http import HttpError, HttpRequest, HttpResponse
from carobspur.sweep import SWEEP_PERIOD_S, group_by_owner
from carobspur.verdict import NOT_RUN
from carobspur_standins.engine import ModelEngine

from . import builders
from .virtual import run_virtual
from .world import World

RELEASED_WITHIN_S = SWEEP_PERIOD_S + 5
PROMPT = {"prompt": "what do we pay for this", "max_tokens": 4}


class ReleaseLosingClient:
    """HTTP client that loses hold orders while ``is_losing_orders`` is set."""

    def __init__(self, inner: object) -> None:
        self._inner = inner
        self.is_losing_orders = False

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request, or raise as if it was lost."""
        if self.is_losing_orders and request.url.endswith("/v1/holds"):
            raise HttpError("hold order lost", verdict=NOT_RUN)
        return await self._inner.fetch(request)


def cached(world: World) -> set[str]:
    """Return the programs that any engine has in its cache."""
    return {
        history.program
        for engine in world.engines.values()
        for history in engine.cache.histories
    }


def start_sweeps(world: World) -> None:
    """Start the periodic sweeps of all instances."""
    for node in world.nodes.values():
        node.tasks.append(asyncio.ensure_future(node.control.run_sweep()))


async def run_programs(world: World, count: int) -> list[str]:
    """Start programs and run a model call of each."""
    programs = [await world.start_program(f"k{n}") for n in range(count)]
    for program in programs:
        reply = await world.call(program, 1, "model", PROMPT)
        assert reply.status == 200, reply.body
    return programs


class SweepTest(unittest.TestCase):
    def test_lost_releases_are_repeated(self) -> None:
        self.check_lost_releases(has_one_fence=False)

    def test_lost_releases_on_engines_with_one_fencing_number(self) -> None:
        self.check_lost_releases(has_one_fence=True)

    def check_lost_releases(self, *, has_one_fence: bool) -> None:
        async def scenario() -> None:
            engines = {
                url: ModelEngine(checks_fencing=True, has_one_fence=has_one_fence)
                for url in builders.ENGINE_URLS
            }
            world = World(engines=engines)
            world.client = losing = ReleaseLosingClient(world.client)
            await world.start(3)
            programs = await run_programs(world, 12)
            self.assertEqual(cached(world), set(programs))
            losing.is_losing_orders = True
            for program in programs[:8]:
                await world.ask("DELETE", f"/v1/programs/{program}")
            await asyncio.sleep(5)
            losing.is_losing_orders = False
            self.assertEqual(cached(world), set(programs))
            start_sweeps(world)
            await asyncio.sleep(RELEASED_WITHIN_S)
            self.assertEqual(cached(world) & set(programs[:8]), set())
            for program in programs[8:]:
                reply = await world.call(program, 2, "model", PROMPT)
                # The history was held, or exported and imported, but not computed.
                self.assertEqual(reply.json["output"]["cached_tokens"], 10)

        run_virtual(scenario)

    def test_program_ends_after_its_scheduler_was_killed(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            programs = await run_programs(world, 12)
            owner = world.owner_of(programs[0])
            start_sweeps(world)
            world.kill(owner)
            await asyncio.sleep(10)
            for program in programs:
                reply = await world.ask("DELETE", f"/v1/programs/{program}")
                self.assertEqual(reply.status, 204, reply.body)
            await asyncio.sleep(RELEASED_WITHIN_S)
            self.assertEqual(cached(world), set())

        run_virtual(scenario)

    def test_unknown_programs_are_released(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            for url in builders.ENGINE_URLS:
                body = GenerateRequest(
                    "p-lost.1", "p-lost", "model", "", 0, "", "a b c", 4
                )
                request = HttpRequest(
                    "POST",
                    f"{url}/v1/generate",
                    body=msgspec.json.encode(body),
                    on_data=lambda data: None,
                )
                await world.client.fetch(request)
            self.assertEqual(cached(world), {"p-lost"})
            start_sweeps(world)
            await asyncio.sleep(RELEASED_WITHIN_S)
            self.assertEqual(cached(world), set())

        run_virtual(scenario)

    def test_histories_of_a_vanished_caller_are_released(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            await run_programs(world, 6)
            await asyncio.sleep(120)
            self.assertEqual(cached(world), set())

        run_virtual(scenario)

    def test_programs_are_grouped_by_owner(self) -> None:
        found = group_by_owner(["a", "b", "c"], {0: "s1"}, 1)
        self.assertEqual(found, {"s1": ["a", "b", "c"]})
        self.assertEqual(group_by_owner(["a"], {}, 1), {})
