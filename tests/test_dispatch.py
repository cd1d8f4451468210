"""Dispatcher: order of the queue, limits, waiting for one endpoint, cancellation."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence
from typing import Any

from carobspur.clock import LoopClock
from carobspur.dispatch import Dispatcher, Urgency
from carobspur.errors import OverloadedError
from carobspur.plugin_registry import PluginKind, load_plugins, plugin
from carobspur.pool import CachedPrefix, EndpointState
from carobspur.routing import RouteRequest
from carobspur.verdict import NOT_RUN

from .virtual import run_virtual

load_plugins()

CALL_S = 1.0


def make_engines(number: int, *, window: int = 1) -> list[EndpointState]:
    return [
        EndpointState(
            f"http://10.0.0.{n}:1",
            "dc-1",
            window=window,
            prefill_tokens_per_s=1000.0,
            decode_tokens_per_s=50.0,
        )
        for n in range(number)
    ]


class DispatchHarness:
    """A dispatcher whose calls take ``CALL_S`` each; records the calls that started."""

    def __init__(
        self, engines: Sequence[EndpointState], *, routing: str = "finish"
    ) -> None:
        policy = plugin(PluginKind.ROUTING, routing)()
        self.engines = engines
        self.dispatcher = Dispatcher(clock=LoopClock(), policy=policy, max_waiting=9)
        self.started: list[tuple[str, str]] = []

    def call(
        self, program: str, *, organisation: str = "a", tokens: int = 0, **urgency: Any
    ) -> asyncio.Task[None]:
        key = f"{program}-key" if tokens else ""
        request = RouteRequest(program, "model", key, tokens, output_tokens=50)
        return asyncio.ensure_future(
            self._occupy_slot(request, Urgency(organisation, **urgency))
        )

    async def _occupy_slot(self, request: RouteRequest, urgency: Urgency) -> None:
        slot = self.dispatcher.slot(request, self.engines, urgency=urgency)
        async with slot as engine:
            self.started.append((request.program, engine.address))
            await asyncio.sleep(CALL_S)

    @property
    def order(self) -> list[str]:
        return [program for program, _ in self.started]


class DispatchTest(unittest.TestCase):
    def test_urgent_classes_and_old_programs_go_first(self) -> None:
        async def scenario() -> None:
            harness = DispatchHarness(make_engines(1))
            tasks = [harness.call("first")]
            await asyncio.sleep(0)
            tasks += [
                harness.call("low", rank=1),
                harness.call("young"),
                harness.call("old", program_age_s=5.0),
            ]
            await asyncio.gather(*tasks)
            self.assertEqual(harness.order, ["first", "old", "young", "low"])

        run_virtual(scenario)

    def test_low_class_is_not_starved(self) -> None:
        async def scenario() -> None:
            harness = DispatchHarness(make_engines(1))
            tasks = [harness.call("first"), harness.call("low", rank=1)]
            for number in range(30):
                tasks.append(harness.call(f"high-{number}"))
                await asyncio.sleep(CALL_S)
            await asyncio.gather(*tasks)
            self.assertLess(harness.order.index("low"), 15)

        run_virtual(scenario)

    def test_call_waits_for_the_engine_with_its_history_if_that_is_long(self) -> None:
        for tokens, waits in ((100, False), (5000, True)):

            async def scenario(tokens: int = tokens, waits: bool = waits) -> None:
                warm_engine, other = make_engines(2)
                harness = DispatchHarness([warm_engine, other])
                busy = harness.call("busy")
                await asyncio.sleep(0)
                warm_engine.prefixes[("p", "model")] = CachedPrefix(
                    "p-key", tokens, 0.0
                )
                await asyncio.gather(harness.call("p", tokens=tokens), busy)
                expected = warm_engine if waits else other
                self.assertEqual(harness.started[-1], ("p", expected.address))
                self.assertEqual(
                    (warm_engine.awaiting_calls, other.awaiting_calls), (0, 0)
                )

            run_virtual(scenario)

    def test_one_busy_engine_does_not_block_calls_for_others(self) -> None:
        async def scenario() -> None:
            warm_engine, other = make_engines(2)
            harness = DispatchHarness([warm_engine, other])
            for number in range(5):
                cached = CachedPrefix(f"p{number}-key", 9000, 0.0)
                warm_engine.prefixes[(f"p{number}", "model")] = cached
            tasks = [harness.call(f"p{n}", tokens=9000) for n in range(5)]
            await asyncio.sleep(0)
            tasks.append(harness.call("free"))
            await asyncio.sleep(0)
            self.assertEqual(harness.order, ["p0", "free"])
            await asyncio.gather(*tasks)

        run_virtual(scenario)

    def test_overload_is_rejected_as_not_run_for_one_organisation(self) -> None:
        async def scenario() -> None:
            harness = DispatchHarness(make_engines(1))
            tasks = [harness.call(f"p{n}") for n in range(10)]
            await asyncio.sleep(0)
            with self.assertRaises(OverloadedError) as caught:
                await harness.call("one more")
            self.assertEqual(caught.exception.verdict, NOT_RUN)
            self.assertGreater(caught.exception.retry_after_s, 0)
            with self.assertRaises(OverloadedError):
                await harness.call("late", organisation="b", max_wait_s=0.1, rank=1)
            tasks.append(harness.call("other", organisation="b"))
            await asyncio.gather(*tasks)
            self.assertEqual(len(harness.started), 11)

        run_virtual(scenario)

    def test_cancelled_calls_are_dequeued_and_free_their_slots(self) -> None:
        async def scenario() -> None:
            engines = make_engines(1)
            harness = DispatchHarness(engines)
            tasks = [harness.call(f"p{n}") for n in range(5)]
            await asyncio.sleep(CALL_S / 2)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual(harness.dispatcher.waiting, 0)
            self.assertEqual((engines[0].in_flight, engines[0].awaiting_calls), (0, 0))
            self.assertEqual(engines[0].work_s, 0.0)

        run_virtual(scenario)
