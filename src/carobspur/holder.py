"""Orders to engines about what they keep in their caches between calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from .engine_messages import KvImage
from .errors import CarobspurError
from .holds import EngineDefault, Export, HoldDecision, HoldPolicy, Keep, Pause, Release
from .http import HttpClient, HttpRequest, HttpResponse
from .inventory import Weights
from .pool import CachedPrefix, EndpointPool, EndpointState
from .programs import Program

DEFAULT_PAUSE_S = 2.0
ORDER_TIMEOUT_S = 2.0
MOVE_TTL_S = 5.0
PAUSE_SMOOTHING = 0.2

_logger = logging.getLogger(__name__)


class HoldOrder(msgspec.Struct, frozen=True):
    """Asks an engine to keep a program's history, or to release it.

    Attributes:
        program: Id of the program.
        key: Key of the history; empty for all of the program's.
        ttl_s: Seconds to keep it; 0 releases it.
        fence: Fencing number of the sender.
    """

    program: str
    key: str
    ttl_s: float
    fence: int


class CacheHoldManager:
    """Applies a hold policy after calls and releases caches at the end.

    Args:
        client: The HTTP client.
        policy: The hold policy.
        pool: All endpoints.
        fence: Returns the fencing number of orders. All schedulers must use the same
            one, since an engine may keep one highest number for all its senders.
    """

    __slots__ = (
        "_client",
        "_hold_timers",
        "_fence",
        "_exported",
        "_mean_pauses_s",
        "_policy",
        "_pool",
        "_tasks",
    )

    def __init__(
        self,
        client: HttpClient,
        policy: HoldPolicy,
        pool: EndpointPool,
        fence: Callable[[], int],
    ) -> None:
        self._client = client
        self._policy = policy
        self._pool = pool
        self._fence = fence
        self._mean_pauses_s: dict[str, float] = {}
        self._exported: dict[tuple[str, str], KvImage] = {}
        self._hold_timers: dict[tuple[str, str], asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def before_call(self, program: Program, model: str, now_s: float) -> None:
        """Learn how long the program paused; its hold must not expire any more."""
        expiry = self._hold_timers.pop((program.id, model), None)
        if expiry is not None:
            expiry.cancel()
        warm_engine = self._pool.warm_engine(program.id, model)
        if warm_engine is None:
            return
        pause_s = now_s - warm_engine.prefixes[(program.id, model)].last_used_s
        known = self._mean_pauses_s.get(program.agent, DEFAULT_PAUSE_S)
        self._mean_pauses_s[program.agent] = known + PAUSE_SMOOTHING * (pause_s - known)

    def decide(
        self, program: Program, tokens: int, engine: EndpointState, weights: Weights
    ) -> HoldDecision:
        """Decide what the engine keeps after the call that it is about to run."""
        expected_s = self._mean_pauses_s.get(program.agent, DEFAULT_PAUSE_S)
        pause = Pause(program.id, program.agent, tokens, expected_s, weights)
        return self._policy.decide(pause, engine)

    def after_call(
        self, program: str, model: str, key: str, decision: HoldDecision
    ) -> None:
        """Apply a decision; a hold itself went to the engine with the call."""
        match decision:
            case Keep(ttl_s):
                loop = asyncio.get_event_loop()
                expiry = loop.call_later(
                    ttl_s, self._on_hold_expired, program, model, key
                )
                self._hold_timers[(program, model)] = expiry
            case Export():
                self._spawn(self._export_and_release(program, model, key))
            case Release():
                self._release_everywhere(program)
            case EngineDefault():
                pass

    def after_end(self, program: Program) -> None:
        """Release everything that engines keep of an ended program."""
        for model in self._pool.cached_models(program.id):
            expiry = self._hold_timers.pop((program.id, model), None)
            if expiry is not None:
                expiry.cancel()
            self._exported.pop((program.id, model), None)
        self._release_everywhere(program.id)

    def after_move(self, program: str, former: EndpointState) -> None:
        """Release what the engine keeps that had a program's history before."""
        self._release(former, program)

    def can_move(self, program: str, model: str, now_s: float) -> bool:
        """Return whether a history can be brought to any engine."""
        if not self._policy.gives_orders:
            return False
        warm_engine = self._pool.warm_engine(program, model)
        is_exported = (program, model) in self._exported
        return is_exported or (
            warm_engine is not None and warm_engine.breaker.allows(now_s)
        )

    async def move_history(
        self, program: str, model: str, key: str, engine: EndpointState
    ) -> bool:
        """Move a history by export and import to the engine of the next call.

        Returns:
            Whether the engine has it now.
        """
        image = self._exported.pop((program, model), None)
        warm_engine = self._pool.warm_engine(program, model)
        if not self._policy.gives_orders or warm_engine is None:
            return False
        if warm_engine is engine and image is None:
            return False
        try:
            if image is None or image.key != key:
                image = await self._export(warm_engine, KvImage(program, key))
            if image is None:
                return False
            image = msgspec.structs.replace(
                image, ttl_s=MOVE_TTL_S, fence=self._fence()
            )
            response = await self._post(engine.address, "/v1/kv/import", image)
        except CarobspurError as error:
            _logger.info("history of %s was not moved: %s", program, error.message)
            return False
        return response.status < 300

    async def flush(self) -> None:
        """Wait until all orders so far were sent."""
        await asyncio.gather(*self._tasks)

    def _release_everywhere(self, program: str) -> None:
        for engine in self._pool.warm_engines(program):
            self._release(engine, program)
        self._pool.forget_program(program)

    async def _export_and_release(self, program: str, model: str, key: str) -> None:
        warm_engine = self._pool.warm_engine(program, model)
        if warm_engine is None:
            return
        try:
            image = await self._export(warm_engine, KvImage(program, key))
        except CarobspurError as error:
            _logger.info("history of %s was not exported: %s", program, error.message)
            return
        cached = warm_engine.prefixes.get((program, model))
        if image is None or cached is None or cached.key != key:
            return
        self._exported[(program, model)] = image
        warm_engine.prefixes[(program, model)] = CachedPrefix("", 0, cached.last_used_s)
        self._release(warm_engine, program)

    def _on_hold_expired(self, program: str, model: str, key: str) -> None:
        """Take out a history whose program did not come back in time."""
        self._hold_timers.pop((program, model), None)
        self._spawn(self._export_and_release(program, model, key))

    async def _export(
        self, warm_engine: EndpointState, image: KvImage
    ) -> KvImage | None:
        response = await self._post(warm_engine.address, "/v1/kv/export", image)
        if response.status != 200:
            return None
        return msgspec.json.decode(response.body, type=KvImage)

    def _release(self, engine: EndpointState, program: str) -> None:
        if self._policy.gives_orders:
            self._order_in_background(
                engine.address, HoldOrder(program, "", 0.0, self._fence())
            )

    def release_programs(self, address: str, programs: Iterable[str]) -> None:
        """Release all that an engine keeps of some programs.

        Args:
            address: The engine.
            programs: Programs that are gone.
        """
        for program in programs:
            self._order_in_background(
                address, HoldOrder(program, "", 0.0, self._fence())
            )

    def _order_in_background(self, address: str, order: HoldOrder) -> None:
        self._spawn(self._send_order(address, order))

    def _spawn(self, sending: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, address: str, order: HoldOrder) -> None:
        try:
            await self._post(address, "/v1/holds", order)
        except CarobspurError as error:
            _logger.info("hold order to %s failed: %s", address, error.message)

    async def _post(
        self, address: str, path: str, content: msgspec.Struct
    ) -> HttpResponse:
        message = HttpRequest(
            "POST",
            f"{address}{path}",
            body=msgspec.json.encode(content),
            timeout_s=ORDER_TIMEOUT_S,
        )
        return await self._client.fetch(message)
