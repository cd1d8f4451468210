"""Forwards requests to the scheduler that owns their program."""

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
from .peer_client import PeerClient
from .peers import RUN_CALL, RUN_SINGLE_CALL, Emit, Method
from .retry import Backoff
from .verdict import MAY_HAVE_RUN, NOT_RUN
from .view import ViewClient

TAKEOVER_MARGIN_S = 1.0
"""Time beyond the lease of a dead owner until its programs have a new owner."""
DEFAULT_TIMEOUT_S = 10.0
RETRY_AFTER_S = 2.0
MIN_TIMEOUT_S = 0.05
MAX_DISCONNECTS = 3
"""Most broken connections after which a request is still retried."""
MAX_RETRY_DELAY_S = 0.2

_logger = logging.getLogger(__name__)

_CALLS = (RUN_CALL, RUN_SINGLE_CALL)
_RETRYABLE_ERRORS = (
    NotOwnerError,
    NotReadyError,
    PeerUnreachableError,
    PeerDisconnectedError,
    SessionLostError,
)


def takeover_limit_s(lease_s: float) -> float:
    """Return how long a program can be without an owner after its scheduler died.

    Args:
        lease_s: Lease time of the schedulers' sessions.
    """
    return lease_s + TAKEOVER_MARGIN_S


class Forwarder:
    """Sends requests to the owners of programs and retries when an owner changes.

    Program id and call number make every request idempotent, so it may be sent to the
    next owner whatever its outcome was at the last one. Retries end after the duration
    of a takeover; the caller then gets an error that says when to try again.

    Args:
        peers: Client for calls to other processes of the system.
        view: Local copy of the control process's view of the system.
        clock: Source of time.
        limit_s: Seconds to retry while the program has no reachable owner.
    """

    __slots__ = ("_pending", "_clock", "_limit_s", "_peers", "_view")

    def __init__(
        self,
        peers: PeerClient,
        view: ViewClient,
        clock: Clock,
        *,
        limit_s: float,
    ) -> None:
        self._peers = peers
        self._view = view
        self._clock = clock
        self._limit_s = limit_s
        self._pending: dict[str, set[asyncio.Future[Any]]] = {}
        view.on_change = self.disconnect_ended_sessions

    async def forward(
        self,
        program: str,
        method: Method,
        request: Any,
        *,
        on_part: Emit | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Any:
        """Send a request to the owner of a program and return the result.

        Args:
            program: Id of the program.
            method: Peer method.
            request: Its request message.
            on_part: Called with each part of a streamed answer.
            timeout_s: Seconds for all attempts together.

        Returns:
            The method's result message.

        Raises:
            NotReadyError: No owner could be reached; the verdict says whether an
                earlier one may have run the request.
            CarobspurError: The error that the owner answered with.
        """
        backoff = Backoff(max_s=MAX_RETRY_DELAY_S)
        attempts = _ForwardAttempts(self._limit_s, method in _CALLS)
        deadline_s = self._clock.monotonic() + timeout_s
        candidates: list[Any] = []
        while True:
            remaining_s = max(MIN_TIMEOUT_S, deadline_s - self._clock.monotonic())
            if not candidates:
                candidates = self._candidates(program)
            try:
                return await self._call_owner(
                    program, candidates.pop(0), method, request, on_part, remaining_s
                )
            except _RETRYABLE_ERRORS as error:
                attempts.record_failure(error, self._clock.monotonic())
                if attempts.is_exhausted or self._clock.monotonic() >= deadline_s:
                    raise attempts.unreachable_error(error) from error
                _logger.info(
                    "retrying; no owner of %s answered: %s", program, error.message
                )
                if not candidates:
                    await self._clock.sleep(backoff.next_s())
            except CarobspurError as error:
                raise attempts.with_final_verdict(error) from error

    def _candidates(self, program: str) -> list[Any]:
        """Return the owner's session, then those that may own the program instead."""
        return [self._view.owner_of(program), *self._view.successors_of(program)]

    async def _call_owner(
        self,
        program: str,
        owner: Any | None,
        method: Method,
        request: Any,
        on_part: Emit | None,
        timeout_s: float,
    ) -> Any:
        if owner is None:
            raise NotOwnerError(f"program {program} has no owner at present")
        call = self._peers.call(
            owner.host,
            owner.port,
            method,
            request,
            on_part=on_part,
            timeout_s=timeout_s,
        )
        return await self._await_owner(owner.id, call)

    async def _await_owner(self, owner: str, call: Awaitable[Any]) -> Any:
        """Await an owner's answer until its session ends.

        A frozen process keeps its connections open, so the end of its session is the
        only sign that its answer will not come.

        Raises:
            PeerDisconnectedError: The session ended first.
        """
        task = asyncio.ensure_future(call)
        pending = self._pending.setdefault(owner, set())
        pending.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if task in pending:
                raise
            raise PeerDisconnectedError(f"session {owner} ended") from None
        finally:
            pending.discard(task)
            task.cancel()
            if not pending and self._pending.get(owner) is pending:
                del self._pending[owner]

    def disconnect_ended_sessions(self) -> None:
        """Fail the pending calls to owners whose sessions have ended.

        Called when the view of the sessions changes.
        """
        live = {item.id for item in self._view.sessions}
        for owner in self._pending.keys() - live:
            pending = self._pending.pop(owner)
            tasks = list(pending)
            pending.clear()
            for task in tasks:
                task.cancel()


class _ForwardAttempts:
    """Outcomes of one request at the owners tried so far.

    Args:
        limit_s: Seconds to retry while the program has no reachable owner.
        is_call: Whether the request is a call. Only an owner can then say "not run":
            nobody else knows whether an earlier request sent the same call.

    Attributes:
        is_exhausted: Whether no further owner should be tried.
    """

    __slots__ = (
        "_disconnects",
        "_limit_s",
        "_may_have_run",
        "_unreachable_since_s",
        "is_exhausted",
    )

    def __init__(self, limit_s: float, is_call: bool) -> None:
        self._limit_s = limit_s
        self._may_have_run = is_call
        self._unreachable_since_s: float | None = None
        self._disconnects = 0
        self.is_exhausted = False

    def record_failure(self, error: CarobspurError, now_s: float) -> None:
        """Record that one owner gave no answer.

        A broken connection starts the time limit anew: an owner was reachable then.
        """
        if error.verdict != NOT_RUN:
            self._may_have_run = True
        if isinstance(error, PeerDisconnectedError):
            self._disconnects += 1
            self._unreachable_since_s = now_s
        if self._unreachable_since_s is None:
            self._unreachable_since_s = now_s
        is_late = now_s - self._unreachable_since_s > self._limit_s
        self.is_exhausted = is_late or self._disconnects > MAX_DISCONNECTS

    def unreachable_error(self, error: CarobspurError) -> NotReadyError:
        """Return the error for the caller after no owner has answered."""
        return NotReadyError(
            f"the program's owner can't be reached: {error.message}",
            verdict=MAY_HAVE_RUN if self._may_have_run else NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )

    def with_final_verdict(self, error: CarobspurError) -> CarobspurError:
        """Return an owner's error with a verdict that holds for all attempts.

        After a failed attempt that may have run, for calls after any failed attempt,
        "not run" stays only if the owner's verdict covers earlier sends too.
        """
        was_sent = self._unreachable_since_s is not None and self._may_have_run
        if was_sent and error.verdict == NOT_RUN and not error.covers_all_sends:
            return error.as_may_have_run()
        return error
