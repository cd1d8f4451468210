"""Stand-in for a model engine with continuous batching and a prefix cache.

It generates numbered words instead of text. Timing, memory use and caching depend only
on its options, so experiments get the same figures from the same load.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import msgspec

from carobspur.endpoint_loads import EngineLoad
from carobspur.endpoints import (
    GenerateRequest,
    GenerateResult,
    count_tokens,
    extend_prefix_key,
)
from carobspur.engine_messages import (
    EngineAccount,
    EngineOrder,
    EngineOrderKind,
    KvImage,
)
from carobspur.holder import HoldOrder
from carobspur.http import HttpResponse
from carobspur.sse import Event, encode_event

from .app import Emit, Request, json_response
from .batch import Batch, Generation, Speed
from .kv_cache import EventFeed, PrefixCache

CANCEL_PATH = "/v1/cancel/"
HTTP_NOT_FOUND = 404
HTTP_PREFIX_LOST = 409
HTTP_FENCED = 412
MAX_GENERATIONS = 2000
"""Latest calls that are remembered, so that a repeated request resumes its stream."""
LEAVING_ROLE = "leaving"
ENGINE_SCOPE = ""
"""Scope of fencing numbers that hold for the engine, not for one program."""


class ModelEngine:
    """A model engine that generates words at a set speed.

    The arguments are also the options of ``carobspur-standin engine``.

    Args:
        kv_tokens: Tokens of memory for running calls and cached histories together.
        batch: Most calls that run at once; further calls wait.
        prefill_tokens_per_s: Input tokens a second, all calls together.
        decode_tokens_per_s: Output tokens a second of a call that runs alone.
        checks_fencing: Whether orders with an old fencing number are refused (412).
        has_one_fence: Whether it keeps one fencing number for all orders instead of
            one for each program.
        batch_slowdown: Share by which each further call slows a decode step.
        step_tokens: Tokens generated for each call in one decode step.
        transfer_tokens_per_s: Speed of exporting and importing histories.
        order_s: Seconds that loading a model, adapter or version takes.
        load_lag_s: Greatest age of a load report; until then the same one is returned.
        event_delay_s: Delay in seconds after which cache events are published.
        event_loss: Share of cache events that are never published.
        seed: Seed of the event losses and of the event feed's id.

    Attributes:
        calls: Calls that were started; a resumed stream is not counted again.
        recomputed_tokens: History tokens that the cache did not have.
        prefilled_tokens: Input tokens of all calls, recomputed ones included.
        generated_tokens: Output tokens of all ended calls.
    """

    def __init__(
        self,
        *,
        kv_tokens: int = 100_000,
        batch: int = 8,
        prefill_tokens_per_s: float = 5000.0,
        decode_tokens_per_s: float = 50.0,
        checks_fencing: bool = False,
        has_one_fence: bool = False,
        batch_slowdown: float = 0.0,
        step_tokens: int = 1,
        transfer_tokens_per_s: float = 50_000.0,
        order_s: float = 0.5,
        load_lag_s: float = 0.0,
        event_delay_s: float = 0.0,
        event_loss: float = 0.0,
        seed: int | None = None,
    ) -> None:
        self._speed = Speed(
            prefill_tokens_per_s,
            decode_tokens_per_s,
            batch,
            batch_slowdown,
            step_tokens,
        )
        self._feed = EventFeed(_now, delay_s=event_delay_s, loss=event_loss, seed=seed)
        self._cache = PrefixCache(kv_tokens, _now, self._feed)
        self._batch = Batch(self._speed, self._record_end)
        self._checks_fencing = checks_fencing
        self._has_one_fence = has_one_fence
        self._transfer_tokens_per_s = transfer_tokens_per_s
        self._order_s = order_s
        self._load_lag_s = load_lag_s
        self._load = EngineLoad(kv_capacity_tokens=kv_tokens)
        self._load_sampled_at_s = float("-inf")
        self._fences: dict[str, int] = {}
        self._generations: OrderedDict[str, Generation] = OrderedDict()
        self._orders: dict[EngineOrderKind, list[str]] = {}
        self.calls = 0
        self.recomputed_tokens = 0
        self.prefilled_tokens = 0
        self.generated_tokens = 0

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache."""
        return self._cache

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer a request; other paths than those below are read-only reports."""
        match request.path:
            case "/v1/generate":
                call = msgspec.json.decode(request.body, type=GenerateRequest)
                return await self._generate(call, emit)
            case "/v1/holds":
                return self._hold(msgspec.json.decode(request.body, type=HoldOrder))
            case "/v1/kv/export":
                return await self._export(_decode_image(request))
            case "/v1/kv/import":
                return await self._import(_decode_image(request))
            case "/v1/orders":
                order = msgspec.json.decode(request.body, type=EngineOrder)
                return await self._execute_order(order)
        if request.path.startswith(CANCEL_PATH):
            return self._cancel(request.path.removeprefix(CANCEL_PATH))
        return self._report(request)

    def _report(self, request: Request) -> HttpResponse:
        match request.path:
            case "/v1/load":
                return json_response(self._delayed_load())
            case "/v1/events":
                return json_response(
                    self._feed.after(int(request.query.get("after", "0")))
                )
            case "/v1/cache":
                return json_response(self._cache.histories)
            case "/v1/orders":
                return json_response(self._orders)
            case "/v1/account":
                return json_response(self.account())
        return HttpResponse(HTTP_NOT_FOUND, b"")

    def account(self) -> EngineAccount:
        """Return the counters that ``GET /v1/account`` reports."""
        return EngineAccount(
            idle_token_s=self._cache.idle_token_s(),
            recomputed_tokens=self.recomputed_tokens,
            prefilled_tokens=self.prefilled_tokens,
            generated_tokens=self.generated_tokens,
            calls=self.calls,
            kv_tokens=self._cache.capacity,
            prefill_tokens_per_s=self._speed.prefill_tokens_per_s,
        )

    def _delayed_load(self) -> EngineLoad:
        if _now() - self._load_sampled_at_s >= self._load_lag_s:
            roles = self._orders.get(EngineOrderKind.ROLE, [""])
            self._load = EngineLoad(
                self._batch.running,
                self._batch.waiting,
                self._cache.used + self._batch.running_tokens,
                self._cache.capacity,
                leaving=roles[-1] == LEAVING_ROLE,
            )
            self._load_sampled_at_s = _now()
        return self._load

    def _is_fenced_off(self, scope: str, fence: int) -> bool:
        """Return whether an order must be refused; remember the highest number.

        Args:
            scope: Program, or ``ENGINE_SCOPE``.
            fence: Fencing number of the order.
        """
        if self._has_one_fence:
            scope = ""
        highest = self._fences.get(scope, 0)
        if self._checks_fencing and fence < highest:
            return True
        self._fences[scope] = max(highest, fence)
        return False

    def _hold(self, order: HoldOrder) -> HttpResponse:
        if self._is_fenced_off(order.program, order.fence):
            return HttpResponse(HTTP_FENCED, b"")
        if order.ttl_s > 0:
            self._cache.hold(order.program, order.key, _now() + order.ttl_s)
        else:
            self._cache.release(order.program, order.key)
        return HttpResponse(204, b"")

    async def _export(self, image: KvImage) -> HttpResponse:
        entry = self._cache.find(image.program, image.key)
        if entry is None:
            return HttpResponse(HTTP_NOT_FOUND, b"")
        await asyncio.sleep(entry.tokens / self._transfer_tokens_per_s)
        return json_response(msgspec.structs.replace(image, tokens=entry.tokens))

    async def _import(self, image: KvImage) -> HttpResponse:
        if self._is_fenced_off(image.program, image.fence):
            return HttpResponse(HTTP_FENCED, b"")
        await asyncio.sleep(image.tokens / self._transfer_tokens_per_s)
        self._cache.make_room(image.tokens + self._batch.running_tokens)
        self._cache.put(image.program, image.key, image.tokens, image.ttl_s)
        return HttpResponse(204, b"")

    async def _execute_order(self, order: EngineOrder) -> HttpResponse:
        if self._is_fenced_off(ENGINE_SCOPE, order.fence):
            return HttpResponse(HTTP_FENCED, b"")
        if order.kind != EngineOrderKind.ROLE:
            await asyncio.sleep(self._order_s)
        self._orders.setdefault(order.kind, []).append(order.name)
        return HttpResponse(204, b"")

    def _cancel(self, call_id: str) -> HttpResponse:
        generation = self._generations.get(call_id)
        if generation is not None:
            generation.is_cancelled = True
        return HttpResponse(204, b"")

    async def _generate(self, call: GenerateRequest, emit: Emit) -> HttpResponse:
        generation = self._generations.get(call.call_id)
        if generation is None or not _can_resume(generation, call):
            cached = self._cache.take(call.program, call.prefix_key)
            if call.prefix_key and cached is None and not call.history:
                return HttpResponse(HTTP_PREFIX_LOST, b"")
            found = call.prefix_tokens if cached else 0
            generation = self._start(call, found)

        emit(encode_event(Event("start", msgspec.json.encode(call.call_id))))

        def _emit_words(number: int, text: str) -> None:
            data = msgspec.json.encode(text)
            emit(encode_event(Event("token", data, str(number))))

        await generation.follow(_emit_words)
        emit(encode_event(Event("done", msgspec.json.encode(_result(generation)))))
        return HttpResponse(200, b"")

    def _start(self, call: GenerateRequest, cached_tokens: int) -> Generation:
        missing = call.prefix_tokens - cached_tokens
        new_tokens = count_tokens(call.append)
        prefill = missing + new_tokens
        tokens = call.prefix_tokens + new_tokens + call.max_tokens
        self.calls += 1
        self.recomputed_tokens += missing
        self.prefilled_tokens += prefill
        generation = Generation(call, cached_tokens, prefill, tokens)
        self._generations[call.call_id] = generation
        if len(self._generations) > MAX_GENERATIONS:
            self._generations.popitem(last=False)
        self._batch.add(generation)
        self._cache.make_room(self._batch.running_tokens)
        return generation

    def _record_end(self, generation: Generation) -> None:
        call = generation.call
        self.generated_tokens += len(generation.words)
        if generation.is_cancelled:
            if generation.cached_tokens:
                self._cache.put(call.program, call.prefix_key, call.prefix_tokens)
            return
        key = extend_prefix_key(
            call.prefix_key, call.append, " ".join(generation.words)
        )
        new_tokens = count_tokens(call.append) + len(generation.words)
        tokens = call.prefix_tokens + new_tokens
        self._cache.make_room(tokens + self._batch.running_tokens)
        self._cache.put(call.program, key, tokens, call.hold_s)


def _now() -> float:
    return asyncio.get_event_loop().time()


def _decode_image(request: Request) -> KvImage:
    return msgspec.json.decode(request.body, type=KvImage)


def _can_resume(generation: Generation, call: GenerateRequest) -> bool:
    known = generation.call
    is_same = (known.prefix_key, known.append) == (call.prefix_key, call.append)
    return is_same and not generation.is_cancelled


def _result(generation: Generation) -> GenerateResult:
    call = generation.call
    return GenerateResult(
        text=" ".join(generation.words),
        output_tokens=len(generation.words),
        prompt_tokens=call.prefix_tokens + count_tokens(call.append),
        cached_tokens=generation.cached_tokens,
        call_id=call.call_id,
    )
