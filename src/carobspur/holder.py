"""Orders to engines about what they keep in their caches between calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

import msgspec

from .errors import CarobspurError
from .holds import HoldPolicy, Keep, Leave, Pause, Release
from .http import HttpClient, HttpRequest
from .pool import EndpointPool, EndpointState
from .programs import Program

DEFAULT_PAUSE_S = 2.0
ORDER_TIMEOUT_S = 2.0
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
        for engine in self._pool:
            held = [key for key in engine.prefixes if key[0] == program.id]
            if held and self._policy.releases:
                order = HoldOrder(program.id, "", 0.0, self._fence)
                self._order(engine.address, order)
            for key in held:
                del engine.prefixes[key]

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
        message = HttpRequest(
            "POST",
            f"{address}/v1/holds",
            body=msgspec.json.encode(order),
            timeout_s=ORDER_TIMEOUT_S,
        )
        try:
            await self._client.fetch(message)
        except CarobspurError as error:
            _logger.info("hold order to %s failed: %s", address, error.message)
