"""Orders to engines to hold, move and release programs' histories in their caches.

A history is the text of a program's earlier model calls, whose keys and values an
engine has in its prefix cache. Orders are hints: if one fails, that is logged, and the
engine evicts the history by its own rules or computes it again.
"""

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

INITIAL_MEAN_PAUSE_S = 2.0
ORDER_TIMEOUT_S = 2.0
MOVE_TTL_S = 5.0
# Weight of the newest pause in an agent's exponential moving average.
PAUSE_SMOOTHING = 0.2

_logger = logging.getLogger(__name__)


class HoldOrder(msgspec.Struct, frozen=True):
    """Message to an engine: keep a program's history, or release it.

    Attributes:
        program: Id of the program.
        key: Key of the history; empty for all histories of the program.
        ttl_s: Seconds for which to keep it; 0 releases it.
        fence: Fencing number of the sender.
    """

    program: str
    key: str
    ttl_s: float
    fence: int


class CacheHoldManager:
    """Applies the hold policy to one scheduler's programs.

    It tracks the mean pause of each agent's programs, holds or exports histories during
    pauses, moves them to the engine of the next call, and releases them when programs
    end.

    Args:
        client: HTTP client for orders to engines.
        policy: The hold policy.
        pool: All endpoints, and which engine has which history.
        fence: Returns the fencing number for orders. It must be the same for all
            schedulers, since an engine may track one highest number for all senders.
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
        """Cancel the program's hold timer, and update the mean pause of its agent.

        Called when a program's next model call arrives.

        Args:
            program: The program.
            model: Name of the model.
            now_s: Monotonic time.
        """
        timer = self._hold_timers.pop((program.id, model), None)
        if timer is not None:
            timer.cancel()
        warm_engine = self._pool.warm_engine(program.id, model)
        if warm_engine is None:
            return
        pause_s = now_s - warm_engine.prefixes[(program.id, model)].last_used_s
        mean_s = self._mean_pauses_s.get(program.agent, INITIAL_MEAN_PAUSE_S)
        self._mean_pauses_s[program.agent] = mean_s + PAUSE_SMOOTHING * (
            pause_s - mean_s
        )

    def decide(
        self, program: Program, tokens: int, engine: EndpointState, weights: Weights
    ) -> HoldDecision:
        """Return what the engine should do with the history after its next call.

        Args:
            program: The program.
            tokens: Length of the history.
            engine: The engine that is about to run the call.
            weights: The organisation's weights.
        """
        expected_s = self._mean_pauses_s.get(program.agent, INITIAL_MEAN_PAUSE_S)
        pause = Pause(program.id, program.agent, tokens, expected_s, weights)
        return self._policy.decide(pause, engine)

    def after_call(
        self, program: str, model: str, key: str, decision: HoldDecision
    ) -> None:
        """Apply a decision after the call.

        For ``Keep`` the engine has the order already, in the call's request; here only
        the timer is started that exports the history when the hold ends.
        """
        match decision:
            case Keep(ttl_s):
                loop = asyncio.get_event_loop()
                timer = loop.call_later(
                    ttl_s, self._on_hold_expired, program, model, key
                )
                self._hold_timers[(program, model)] = timer
            case Export():
                self._spawn(self._export_and_release(program, model, key))
            case Release():
                self._release_everywhere(program)
            case EngineDefault():
                pass

    def after_end(self, program: Program) -> None:
        """Release all histories of an ended program, in engines and exported ones."""
        for model in self._pool.cached_models(program.id):
            timer = self._hold_timers.pop((program.id, model), None)
            if timer is not None:
                timer.cancel()
            self._exported.pop((program.id, model), None)
        self._release_everywhere(program.id)

    def after_move(self, program: str, previous: EndpointState) -> None:
        """Release a program's histories in the engine that it has moved away from."""
        self._release(previous, program)

    def can_move(self, program: str, model: str, now_s: float) -> bool:
        """Return whether the history can be imported by another engine.

        It can if it is exported already, or if the circuit breaker of the engine that
        has it allows calls. Always false if the policy gives no orders.
        """
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
        """Import a history into an engine; first export it if it is not yet exported.

        The importing engine holds it for ``MOVE_TTL_S``, until the call arrives.

        Args:
            program: Id of the program.
            model: Name of the model.
            key: Key of the history.
            engine: The engine that is to run the next call.

        Returns:
            Whether the engine has imported it. ``False`` also where nothing had to be
            moved.
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
            _logger.info("moving the history of %s failed: %s", program, error.message)
            return False
        return response.status < 300

    async def flush(self) -> None:
        """Wait until all orders that were started have been sent or have failed."""
        await asyncio.gather(*self._tasks)

    def _release_everywhere(self, program: str) -> None:
        for engine in self._pool.warm_engines(program):
            self._release(engine, program)
        self._pool.forget_program(program)

    async def _export_and_release(self, program: str, model: str, key: str) -> None:
        """Export a history into this process, and free the engine's memory.

        Nothing is released if the export failed, or if a later call has replaced the
        history meanwhile.
        """
        warm_engine = self._pool.warm_engine(program, model)
        if warm_engine is None:
            return
        try:
            image = await self._export(warm_engine, KvImage(program, key))
        except CarobspurError as error:
            _logger.info(
                "exporting the history of %s failed: %s", program, error.message
            )
            return
        cached = warm_engine.prefixes.get((program, model))
        if image is None or cached is None or cached.key != key:
            return
        self._exported[(program, model)] = image
        warm_engine.prefixes[(program, model)] = CachedPrefix("", 0, cached.last_used_s)
        self._release(warm_engine, program)

    def _on_hold_expired(self, program: str, model: str, key: str) -> None:
        """Export a history whose program made no call until its hold ended."""
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
        """Release all histories of some programs in an engine.

        Called for the results of a cache sweep. The order is sent whether or not the
        policy gives orders.

        Args:
            address: The engine.
            programs: Programs that have ended or are unknown.
        """
        for program in programs:
            self._order_in_background(
                address, HoldOrder(program, "", 0.0, self._fence())
            )

    def _order_in_background(self, address: str, order: HoldOrder) -> None:
        self._spawn(self._send_order(address, order))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
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
