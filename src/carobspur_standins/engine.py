"""Stand-in for a model engine: continuous batching and a prefix cache."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from carobspur.control import EngineLoad
from carobspur.endpoints import (
    GenerateRequest,
    GenerateResult,
    count_tokens,
    extend_prefix_key,
)
from carobspur.holder import HoldOrder
from carobspur.http import HttpResponse
from carobspur.sse import Event, encode_event

from .app import Emit, Request, json_response

CANCEL_PATH = "/v1/cancel/"
HTTP_PREFIX_LOST = 409
HTTP_FENCED = 412


@dataclass(slots=True)
class _CacheEntry:
    """A history in the cache."""

    program: str
    tokens: int
    held_until_s: float = 0.0


class PrefixCache:
    """Histories by key, least recently used first, within a number of tokens.

    Args:
        capacity: Most tokens that are kept.
    """

    __slots__ = ("_capacity", "_entries", "_used")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[str, _CacheEntry] = OrderedDict()
        self._used = 0

    @property
    def used(self) -> int:
        """Tokens that are kept."""
        return self._used

    def find(self, key: str) -> _CacheEntry | None:
        """Return a history's entry and make it the most recently used."""
        if key in self._entries:
            self._entries.move_to_end(key)
        return self._entries.get(key)

    def replace(
        self, old_key: str, key: str, program: str, tokens: int, now_s: float
    ) -> None:
        """Keep a history instead of the shorter one that it continues."""
        self._remove(old_key)
        self._remove(key)
        self._entries[key] = _CacheEntry(program, tokens)
        self._used += tokens
        self._evict(now_s)

    def hold(self, key: str, until_s: float) -> None:
        """Keep a history until a time, whatever else comes."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.held_until_s = until_s

    def release(self, program: str, key: str) -> None:
        """Forget one history of a program, or all where no key is given."""
        for known, entry in list(self._entries.items()):
            if entry.program == program and key in ("", known):
                self._remove(known)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._used -= entry.tokens

    def _evict(self, now_s: float) -> None:
        for key, entry in list(self._entries.items()):
            if self._used <= self._capacity:
                return
            if entry.held_until_s <= now_s:
                self._remove(key)


class ModelEngine:
    """Generates words at a set speed.

    Args:
        kv_tokens: Capacity of the prefix cache.
        batch: Calls that run at once; more wait.
        prefill_tokens_per_s: Speed of reading input.
        decode_tokens_per_s: Speed of generating for one call.
        checks_fencing: Whether orders with an old fencing number are refused.
    """

    def __init__(
        self,
        *,
        kv_tokens: int = 100_000,
        batch: int = 8,
        prefill_tokens_per_s: float = 5000.0,
        decode_tokens_per_s: float = 50.0,
        checks_fencing: bool = False,
    ) -> None:
        self._cache = PrefixCache(kv_tokens)
        self._kv_tokens = kv_tokens
        self._places = asyncio.Semaphore(batch)
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._decode_tokens_per_s = decode_tokens_per_s
        self._checks_fencing = checks_fencing
        self._highest_fence = 0
        self._running = 0
        self._waiting = 0
        self._cancelled: set[str] = set()
        self.calls = 0
        self.recomputed_tokens = 0

    @property
    def cache(self) -> PrefixCache:
        """The prefix cache."""
        return self._cache

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer a request."""
        match request.path:
            case "/v1/generate":
                order = msgspec.json.decode(request.body, type=GenerateRequest)
                return await self._generate(order, emit)
            case "/v1/holds":
                order = msgspec.json.decode(request.body, type=HoldOrder)
                return self._hold(order)
            case "/v1/load":
                return json_response(self._load())
        if request.path.startswith(CANCEL_PATH):
            self._cancelled.add(request.path.removeprefix(CANCEL_PATH))
            return HttpResponse(204, b"")
        return HttpResponse(404, b"")

    def _load(self) -> EngineLoad:
        return EngineLoad(
            self._running, self._waiting, self._cache.used, self._kv_tokens
        )

    def _hold(self, order: HoldOrder) -> HttpResponse:
        if self._checks_fencing and order.fence < self._highest_fence:
            return HttpResponse(HTTP_FENCED, b"")
        self._highest_fence = max(self._highest_fence, order.fence)
        if order.ttl_s > 0:
            now_s = asyncio.get_event_loop().time()
            self._cache.hold(order.key, now_s + order.ttl_s)
        else:
            self._cache.release(order.program, order.key)
        return HttpResponse(204, b"")

    async def _generate(self, order: GenerateRequest, emit: Emit) -> HttpResponse:
        cached = self._cache.find(order.prefix_key) if order.prefix_key else None
        if order.prefix_key and cached is None and not order.history:
            return HttpResponse(HTTP_PREFIX_LOST, b"")
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(order, cached is not None, emit)
        finally:
            self._running -= 1
            self._places.release()

    async def _run(
        self, order: GenerateRequest, is_cached: bool, emit: Emit
    ) -> HttpResponse:
        self.calls += 1
        new_tokens = count_tokens(order.append)
        missing = 0 if is_cached else order.prefix_tokens
        self.recomputed_tokens += missing
        await asyncio.sleep((missing + new_tokens) / self._prefill_tokens_per_s)
        emit(encode_event(Event("start", msgspec.json.encode(order.call_id))))
        words = []
        for index in range(order.max_tokens):
            if order.call_id in self._cancelled:
                break
            await asyncio.sleep(1 / self._decode_tokens_per_s)
            words.append(f"w{index}")
            data = msgspec.json.encode(words[-1] + " ")
            emit(encode_event(Event("token", data, str(index + 1))))
        text = " ".join(words)
        self._remember(order, text, new_tokens, len(words))
        result = GenerateResult(
            text=text,
            output_tokens=len(words),
            prompt_tokens=order.prefix_tokens + new_tokens,
            cached_tokens=order.prefix_tokens if is_cached else 0,
            call_id=order.call_id,
        )
        emit(encode_event(Event("done", msgspec.json.encode(result))))
        return HttpResponse(200, b"")

    def _remember(
        self, order: GenerateRequest, text: str, new_tokens: int, output_tokens: int
    ) -> None:
        key = extend_prefix_key(order.prefix_key, order.append, text)
        tokens = order.prefix_tokens + new_tokens + output_tokens
        now_s = asyncio.get_event_loop().time()
        self._cache.replace(order.prefix_key, key, order.program, tokens, now_s)
