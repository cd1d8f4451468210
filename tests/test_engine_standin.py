"""The engine stand-in behaves like an engine.

Covers batching, the prefix cache and its accounting, streams, cache events and orders.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from carobspur.endpoints import GenerateRequest, GenerateResult
from carobspur.engine_messages import (
    CacheEventKind,
    CacheEvents,
    EngineOrder,
    EngineOrderKind,
    KvImage,
)
from carobspur.holder import HoldOrder
from carobspur.http import HttpResponse
from carobspur.sse import EventParser
from carobspur_standins.app import Request
from carobspur_standins.engine import ModelEngine

from .virtual import run_virtual


async def ask(engine: ModelEngine, path: str, body: Any = None) -> HttpResponse:
    pieces: list[bytes] = []
    path, _, query = path.partition("?after=")
    content = b"" if body is None else msgspec.json.encode(body)
    method = "GET" if body is None else "POST"
    request = Request(method, path, {"after": query} if query else {}, {}, content)
    response = await engine.handle(request, pieces.append)
    return HttpResponse(response.status, b"".join(pieces) + response.body)


def generate_request(call: str, *, tokens: int = 10, **options: Any) -> GenerateRequest:
    prefix = {"prefix_key": "", "prefix_tokens": 0, "history": ""}
    return GenerateRequest(
        call_id=call,
        program=call.partition(".")[0],
        model="model",
        append="word " * 100,
        max_tokens=tokens,
        **{**prefix, **options},
    )


def result_of(response: HttpResponse) -> GenerateResult:
    events = EventParser().feed(response.body)
    return msgspec.json.decode(events[-1].data, type=GenerateResult)


class EngineStandinTest(unittest.TestCase):
    def test_batch_slows_decoding_and_serves_priorities_first(self) -> None:
        async def scenario() -> None:
            engine = ModelEngine(
                batch=2, prefill_tokens_per_s=1e9, batch_slowdown=0.5, step_tokens=5
            )
            ended: list[str] = []

            async def run(call: str, priority: int) -> None:
                await ask(
                    engine, "/v1/generate", generate_request(call, priority=priority)
                )
                ended.append(call)

            start_s = asyncio.get_event_loop().time()
            await asyncio.gather(run("a", 1), run("b", 1), run("c", 2), run("d", 0))
            elapsed_s = asyncio.get_event_loop().time() - start_s
            self.assertEqual(ended[-1], "c")
            # Two rounds of ten tokens at 50/s (0.2 s each); two calls in a batch make
            # each step 1.5 times slower.
            self.assertAlmostEqual(elapsed_s, 2 * 0.2 * 1.5, places=2)

        run_virtual(scenario)

    def test_idle_histories_count_unless_they_are_used_again(self) -> None:
        async def scenario() -> None:
            engine = ModelEngine()
            await ask(engine, "/v1/generate", generate_request("p.1"))
            [held] = engine.cache.histories
            await asyncio.sleep(10)
            self.assertAlmostEqual(engine.account().idle_token_s, 1100, delta=1)
            follow = generate_request(
                "p.2", prefix_key=held.key, prefix_tokens=held.tokens
            )
            response = await ask(engine, "/v1/generate", follow)
            self.assertEqual(result_of(response).cached_tokens, 110)
            self.assertLess(engine.account().idle_token_s, 1)
            await asyncio.sleep(1)
            await ask(engine, "/v1/holds", HoldOrder("p", "", 0.0, 1))
            await asyncio.sleep(10)
            self.assertAlmostEqual(engine.account().idle_token_s, 220, delta=1)
            follow = msgspec.structs.replace(follow, call_id="p.3")
            response = await ask(engine, "/v1/generate", follow)
            self.assertEqual(response.status, 409)
            follow = msgspec.structs.replace(follow, history="word " * 110)
            await ask(engine, "/v1/generate", follow)
            self.assertEqual(engine.account().recomputed_tokens, 110)

        run_virtual(scenario)

    def test_held_histories_are_evicted_last(self) -> None:
        async def scenario() -> None:
            engine = ModelEngine(kv_tokens=330)
            await ask(engine, "/v1/generate", generate_request("held.1", hold_s=60.0))
            for call in ("a.1", "b.1", "c.1"):
                await ask(engine, "/v1/generate", generate_request(call))
            kept = [item.program for item in engine.cache.histories]
            self.assertIn("held", kept)
            self.assertLessEqual(engine.cache.used, 330)

        run_virtual(scenario)

    def test_streams_resume_by_call_id_and_cancel(self) -> None:
        async def scenario() -> None:
            engine = ModelEngine()
            request = generate_request("p.1", tokens=100)
            first = asyncio.ensure_future(ask(engine, "/v1/generate", request))
            await asyncio.sleep(1)
            first.cancel()
            response = await ask(engine, "/v1/generate", request)
            self.assertEqual(result_of(response).output_tokens, 100)
            self.assertEqual(engine.calls, 1)
            request = generate_request("q.1", tokens=100)
            other = asyncio.ensure_future(ask(engine, "/v1/generate", request))
            await asyncio.sleep(1)
            await ask(engine, "/v1/cancel/q.1", {})
            self.assertLess(result_of(await other).output_tokens, 60)

        run_virtual(scenario)

    def test_histories_move_by_export_and_import(self) -> None:
        async def scenario() -> None:
            old, new = ModelEngine(), ModelEngine()
            await ask(old, "/v1/generate", generate_request("p.1"))
            [held] = old.cache.histories
            response = await ask(old, "/v1/kv/export", KvImage("p", held.key))
            image = msgspec.json.decode(response.body, type=KvImage)
            self.assertEqual((await ask(new, "/v1/kv/import", image)).status, 204)
            follow = generate_request(
                "p.2", prefix_key=held.key, prefix_tokens=held.tokens
            )
            response = await ask(new, "/v1/generate", follow)
            self.assertEqual(result_of(response).cached_tokens, 110)

        run_virtual(scenario)

    def test_events_are_late_and_have_gaps(self) -> None:
        async def scenario() -> None:
            engine = ModelEngine(event_delay_s=5.0, event_loss=0.5, seed=1)
            for number in range(20):
                await ask(engine, "/v1/generate", generate_request(f"p{number}.1"))
            last_s = asyncio.get_event_loop().time()

            async def events(after: int) -> CacheEvents:
                response = await ask(engine, f"/v1/events?after={after}")
                return msgspec.json.decode(response.body, type=CacheEvents)

            early = await events(0)
            await asyncio.sleep(5)
            late = await events(early.latest)
            found = [item.number for item in [*early.events, *late.events]]
            self.assertEqual(found, sorted(set(found)))
            self.assertTrue(4 < len(found) < 16, found)
            self.assertEqual(late.events[0].kind, CacheEventKind.STORED)
            self.assertEqual(asyncio.get_event_loop().time(), last_s + 5)

        run_virtual(scenario)

    def test_load_reports_are_delayed_and_old_fencing_numbers_refused(self) -> None:
        async def scenario() -> None:
            for checks, status in ((True, 412), (False, 204)):
                engine = ModelEngine(load_lag_s=2.0, checks_fencing=checks)
                before = (await ask(engine, "/v1/load")).body
                role = EngineOrder(EngineOrderKind.ROLE, "leaving", 7)
                await ask(engine, "/v1/orders", role)
                self.assertEqual((await ask(engine, "/v1/load")).body, before)
                await asyncio.sleep(2)
                load = msgspec.json.decode((await ask(engine, "/v1/load")).body)
                self.assertTrue(load["leaving"])
                old = EngineOrder(EngineOrderKind.MODEL, "other", 6)
                response = await ask(engine, "/v1/orders", old)
                self.assertEqual(response.status, status)

        run_virtual(scenario)
