"""Orders to engines about what they keep in their caches between calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

import msgspec

from .engine_messages import KvImage
from .errors import CarobspurError
from .holds import HoldPolicy, Keep, Leave, Pause, Release
from .http import HttpClient, HttpRequest, HttpResponse
from .pool import EndpointPool, EndpointState
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


class CacheHolder:
    """Applies a hold policy after calls and releases caches at the end.

    Args:
        client: The HTTP client.
        policy: The hold policy.
        pool: All endpoints.
        fence: Fencing number of the scheduler's session.
    """

    __slots__ = ("_client", "_fence", "_pauses", "_policy", "_pool", "_tasks")

    def __init__(
        self, client: HttpClient, policy: HoldPolicy, pool: EndpointPool, fence: int
    ) -> None:
        self._client = client
        self._policy = policy
        self._pool = pool
        self._fence = fence
        self._pauses: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_pause(self, agent: str, pause_s: float) -> None:
        """Learn how long programs of an agent pause between model calls."""
        known = self._pauses.get(agent, DEFAULT_PAUSE_S)
        self._pauses[agent] = known + PAUSE_SMOOTHING * (pause_s - known)

    def after_call(
        self,
        program: Program,
        model: str,
        engine: EndpointState,
        key: str,
        tokens: int,
    ) -> None:
        """Decide what the engine keeps of the history it has just made longer."""
        expected_s = self._pauses.get(program.agent, DEFAULT_PAUSE_S)
        pause = Pause(program.id, program.agent, tokens, expected_s)
        match self._policy.decide(pause, engine):
            case Keep(ttl_s):
                order = HoldOrder(program.id, key, ttl_s, self._fence)
                self._order(engine.address, order)
            case Release():
                order = HoldOrder(program.id, key, 0.0, self._fence)
                self._order(engine.address, order)
            case Leave():
                pass

    def after_end(self, program: Program) -> None:
        """Release everything that engines keep of an ended program."""
        for engine in self._pool.homes(program.id):
            self._release(engine, program.id)
        self._pool.unsettle(program.id)

    def after_move(self, program: str, former: EndpointState) -> None:
        """Release what the engine keeps that had a program's history before."""
        self._release(former, program)

    async def bring(
        self, program: str, model: str, key: str, engine: EndpointState
    ) -> bool:
        """Move a history by export and import to the engine of the next call.

        Returns:
            Whether the engine has it now.
        """
        home = self._pool.home(program, model)
        if home is None or home is engine:
            return False
        try:
            image = await self._export(home, KvImage(program, key))
            if image is None:
                return False
            image = msgspec.structs.replace(image, ttl_s=MOVE_TTL_S, fence=self._fence)
            response = await self._post(engine.address, "/v1/kv/import", image)
        except CarobspurError as error:
            _logger.info("history of %s was not moved: %s", program, error.message)
            return False
        return response.status < 300

    async def _export(self, home: EndpointState, image: KvImage) -> KvImage | None:
        response = await self._post(home.address, "/v1/kv/export", image)
        if response.status != 200:
            return None
        return msgspec.json.decode(response.body, type=KvImage)

    async def flush(self) -> None:
        """Wait until all orders so far were sent."""
        await asyncio.gather(*self._tasks)

    def _release(self, engine: EndpointState, program: str) -> None:
        if self._policy.releases:
            self._order(engine.address, HoldOrder(program, "", 0.0, self._fence))

    def release(self, address: str, programs: Iterable[str], *, fence: int) -> None:
        """Release all that an engine keeps of some programs.

        Args:
            address: The engine.
            programs: Programs that are gone.
            fence: Fencing number of the order.
        """
        for program in programs:
            self._order(address, HoldOrder(program, "", 0.0, fence))

    def _order(self, address: str, order: HoldOrder) -> None:
        task = asyncio.ensure_future(self._send(address, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, order: HoldOrder) -> None:
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
