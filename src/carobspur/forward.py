"""Sends a request to the scheduler that owns its program, wherever that is."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any

from .clock import Clock
from .errors import (
    CarobspurError,
    NotOwnerError,
    NotReadyError,
    PeerDisconnectedError,
    PeerUnreachableError,
    SessionLostError,
)
from .peers import Emit, Method, PeerClient
from .retry import Backoff
from .verdict import MAY_HAVE_RUN, NOT_RUN
from .view import ViewClient

FAILOVER_LIMIT_S = 10.0
DEFAULT_TIMEOUT_S = 10.0
RETRY_AFTER_S = 2.0
MAX_FOLLOW_DELAY_S = 0.2

_logger = logging.getLogger(__name__)

_OWNER_MOVED = (
    NotOwnerError,
    NotReadyError,
    PeerUnreachableError,
    PeerDisconnectedError,
    SessionLostError,
)


class Forwarder:
    """Finds the owner of a program and asks it, following it when it moves.

    Every request carries what makes it idempotent (the program's id, the call's
    number), so it may be asked again of the next owner whatever became of it at the
    last one. For a limited time: then the caller is told to come back.

    Args:
        peers: Client of our own processes.
        view: Copy of control's view.
        clock: Source of time.
        limit_s: Seconds to follow a program that has no reachable owner.
    """

    __slots__ = ("_asked", "_clock", "_limit_s", "_peers", "_view")

    def __init__(
        self,
        peers: PeerClient,
        view: ViewClient,
        clock: Clock,
        *,
        limit_s: float = FAILOVER_LIMIT_S,
    ) -> None:
        self._peers = peers
        self._view = view
        self._clock = clock
        self._limit_s = limit_s
        self._asked: dict[str, set[asyncio.Future[Any]]] = {}
        view.on_change = self._leave_lost_owners

    async def ask(
        self,
        program: str,
        method: Method,
        request: Any,
        *,
        on_part: Emit | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Any:
        """Ask the owner of a program.

        Args:
            program: Id of the program.
            method: Peer method.
            request: Its request message.
            on_part: Called with each part of a streamed answer.
            timeout_s: Seconds that one owner may take.

        Returns:
            The method's result message.

        Raises:
            NotReadyError: No owner could be reached; the verdict says whether an
                earlier one may have run the request.
            CarobspurError: The owner's own answer.
        """
        backoff = Backoff(max_s=MAX_FOLLOW_DELAY_S)
        may_have_run = False
        unreachable_s: float | None = None
        candidates: list[Any] = []
        while True:
            if not candidates:
                candidates = self._candidates(program)
            try:
                return await self._ask_once(
                    program, candidates.pop(0), method, request, on_part, timeout_s
                )
            except _OWNER_MOVED as error:
                may_have_run = may_have_run or error.verdict != NOT_RUN
                now_s = self._clock.monotonic()
                if unreachable_s is None or isinstance(error, PeerDisconnectedError):
                    unreachable_s = now_s
                if now_s - unreachable_s > self._limit_s:
                    raise _given_up(error, may_have_run) from error
                _logger.info("the owner of %s moved: %s", program, error.message)
                if not candidates:
                    await self._clock.sleep(backoff.next_s())

    def _candidates(self, program: str) -> list[Any]:
        """Return whom to ask: the owner, and who owns the program if it does not."""
        return [self._view.owner_of(program), *self._view.successors_of(program)]

    async def _ask_once(
        self,
        program: str,
        owner: Any | None,
        method: Method,
        request: Any,
        on_part: Emit | None,
        timeout_s: float,
    ) -> Any:
        if owner is None:
            raise NotOwnerError(f"nobody owns program {program} at present")
        calling = self._peers.call(
            owner.host,
            owner.port,
            method,
            request,
            on_part=on_part,
            timeout_s=timeout_s,
        )
        return await self._while_owner_lives(owner.id, calling)

    async def _while_owner_lives(self, owner: str, calling: Awaitable[Any]) -> Any:
        """Await an owner's answer; an owner whose session ended gives none.

        A frozen process keeps its connections open, so only the end of its session
        tells that nobody should wait for it any longer.
        """
        task = asyncio.ensure_future(calling)
        asked = self._asked.setdefault(owner, set())
        asked.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if task in asked:
                raise
            raise PeerDisconnectedError(f"session {owner} ended") from None
        finally:
            asked.discard(task)
            task.cancel()
            if not asked and self._asked.get(owner) is asked:
                del self._asked[owner]

    def _leave_lost_owners(self) -> None:
        """Stop waiting for owners whose sessions have ended."""
        live = {item.id for item in self._view.sessions}
        for owner in self._asked.keys() - live:
            asked = self._asked.pop(owner)
            tasks = list(asked)
            asked.clear()
            for task in tasks:
                task.cancel()


def _given_up(error: CarobspurError, may_have_run: bool) -> NotReadyError:
    return NotReadyError(
        f"the program's owner can't be reached: {error.message}",
        verdict=MAY_HAVE_RUN if may_have_run else NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
