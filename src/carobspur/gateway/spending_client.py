"""Reserves tokens at the home of a program, wherever that is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import msgspec

from ..placement import first_of
from .account_rows import ROW_WRITE_TIMEOUT_S
from .accounts import ReleasedAccount
from .decisions import DecisionLog
from .http_pool import ConnectionPool, fetch
from .members import Membership
from .rows import RowStoreAwayError
from .send_errors import NotSentError, SendError
from .spending import AccountOwner
from .spending_protocol import (
    SPENDING_PATH,
    PresenceRequest,
    PullRequest,
    ReleaseRequest,
    ReserveRequest,
    SettleRequest,
    SpendingAnswer,
    SpendingRequest,
    answer_spending,
)
from .spending_records import BudgetSpentError, MovedAccount

OWNER_TIMEOUT_S = ROW_WRITE_TIMEOUT_S + 0.15
"""Longest wait for a home that lives: its store call and the way."""
PROBE_AFTER_S = 0.1
"""Time without an answer after which a home must have been heard lately, or must answer
a question that needs nothing of the store in as much time."""
RECENT_HEARTBEAT_S = 0.6
"""Two heartbeats, and a little."""
MAX_OWNERS_TRIED = 3
AVOID_OWNER_S = 1.0
"""How long a home that did not answer is passed over: until heartbeats tell."""
SETTLE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens that a home has set aside for a turn."""

    owner: str
    program: str
    turn: str
    tokens: int
    other_tokens: int


class SpendingClient:
    """Finds the home of each program and talks to it.

    Args:
        membership: Gateways that may be homes.
        local_owner: The accounts held here.
        pool: Connections to peers.
        accepts_accounts: Returns whether this gateway takes accounts.
        spawn: Runs a coroutine beside the request that asks for it.
        log: Decision log.
    """

    __slots__ = (
        "_avoid_until",
        "_local_owner",
        "_accepts_accounts",
        "_log",
        "_membership",
        "_pool",
        "_spawn",
    )

    def __init__(
        self,
        membership: Membership,
        local_owner: AccountOwner,
        pool: ConnectionPool,
        *,
        accepts_accounts: Callable[[], bool],
        spawn: Callable[[Coroutine[None, None, None]], object],
        log: DecisionLog,
    ) -> None:
        self._membership = membership
        self._local_owner = local_owner
        self._pool = pool
        self._accepts_accounts = accepts_accounts
        self._spawn = spawn
        self._log = log
        self._avoid_until: dict[str, float] = {}

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, *, retention_s: float
    ) -> Reservation:
        """Set a turn's tokens aside; see :meth:`AccountOwner.reserve`.

        Raises:
            BudgetSpentError: They do not fit.
            RowStoreAwayError: No home could grant them.
        """
        request = ReserveRequest(program, turn, tokens, budget, retention_s)
        reason = "no home answered"
        for owner in self._candidate_owners(program):
            try:
                answer = await self._ask_while_alive(owner, request)
            except SendError as error:
                reason = f"home {owner}: {error.message}"
                self._avoid(owner, reason)
                self._cancel_reservation(owner, program, turn)
                continue
            except asyncio.CancelledError:
                self._cancel_reservation(owner, program, turn)
                raise
            match answer.outcome:
                case "granted":
                    return Reservation(owner, program, turn, tokens, answer.tokens)
                case "spent":
                    raise BudgetSpentError(answer.reason)
                case _:
                    raise RowStoreAwayError(answer.reason)
        raise RowStoreAwayError(reason)

    def _cancel_reservation(self, owner: str, program: str, turn: str) -> None:
        """Tell a home that nobody waits for what it may still grant."""
        self._spawn(self._settle(owner, SettleRequest(program, turn, 0)))

    async def settle(self, reservation: Reservation, tokens: int) -> None:
        """Tell the home what a turn generated; without an answer it counts whole."""
        request = SettleRequest(reservation.program, reservation.turn, tokens)
        await self._settle(reservation.owner, request)

    async def _settle(self, owner: str, request: SettleRequest) -> None:
        """Tell a home of a turn's end, or the next ones if its account moved on."""
        reason = await self._settle_at(owner, request)
        if not reason:
            return
        for other in self._candidate_owners(request.program):
            if other != owner and not await self._settle_at(other, request):
                return
        # Where it was reserved, it counts at its most.
        self._log.record(
            "not_settled",
            request=request.turn,
            program=request.program,
            home=owner,
            tokens=request.tokens,
            reason=reason,
        )

    async def _settle_at(self, owner: str, request: SettleRequest) -> str:
        """Tell one home of a turn's end; returns why it did not take it, or nothing."""
        try:
            answer = await self._ask(owner, request, SETTLE_TIMEOUT_S)
        except SendError as error:
            return f"home {owner}: {error.message}"
        return "" if answer.outcome == "granted" else "no home knows the turn"

    async def request_release(
        self, holder: str, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        """Ask a holder for an account; ``None`` where it says nothing."""
        request = ReleaseRequest(program, row_version, serial)
        try:
            answer = await self._ask_while_alive(holder, request)
        except SendError as error:
            self._log.record(
                "not_handed_over", program=program, holder=holder, reason=error.message
            )
            return None
        return answer.given_up

    async def pull(self, program: str) -> MovedAccount | None:
        """Ask the next homes in order for an account; they may have been its home."""
        own = self._membership.own.name
        for owner in self._candidate_owners(program):
            if owner == own:
                continue
            try:
                answer = await self._ask_while_alive(owner, PullRequest(program))
            except SendError as error:
                self._avoid(owner, error.message)
                continue
            if answer.moved is not None:
                return answer.moved
        return None

    async def move(self, account: MovedAccount) -> bool:
        """Hand an account to its next home; returns whether that has taken it.

        An account whose taking is in doubt counts as taken: two homes must never
        use the same cover.
        """
        for owner in self._candidate_owners(account.program):
            if owner == self._membership.own.name:
                continue
            try:
                answer = await self._ask(owner, account, SETTLE_TIMEOUT_S)
            except NotSentError:
                continue
            except SendError as error:
                self._log.record(
                    "move_in_doubt",
                    program=account.program,
                    home=owner,
                    reason=error.message,
                )
                return True
            return answer.outcome == "granted"
        return False

    def _candidate_owners(self, program: str) -> list[str]:
        now = asyncio.get_running_loop().time()
        names = [
            member.name
            for member in self._membership.alive(now)
            if self._avoid_until.get(member.name, 0.0) <= now
        ]
        own = self._membership.own.name
        if self._accepts_accounts():
            names.append(own)
        return first_of(program, names, MAX_OWNERS_TRIED) or [own]

    def _avoid(self, owner: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._avoid_until[owner] = now + AVOID_OWNER_S
        self._log.record("home_silent", peer=owner, reason=reason)

    async def _ask_while_alive(
        self, owner: str, request: SpendingRequest
    ) -> SpendingAnswer:
        """Ask a home, giving up early on one that is not heard either.

        Raises:
            SendError: It did not answer.
        """
        loop = asyncio.get_running_loop()
        asking = loop.create_task(self._ask(owner, request, OWNER_TIMEOUT_S))
        try:
            while not (await asyncio.wait([asking], timeout=PROBE_AFTER_S))[0]:
                if not await self._is_alive(owner):
                    raise SendError("neither an answer nor a heartbeat")
            return await asking
        finally:
            asking.cancel()

    async def _is_alive(self, owner: str) -> bool:
        """Return whether a home that does not answer yet lives all the same.

        Of many gateways only a few hear its heartbeats.
        """
        now = asyncio.get_running_loop().time()
        if self._membership.has_recent_heartbeat(owner, RECENT_HEARTBEAT_S, now):
            return True
        try:
            await self._ask(owner, PresenceRequest(), PROBE_AFTER_S)
        except SendError:
            return False
        return True

    async def _ask(
        self, owner: str, request: SpendingRequest, timeout_s: float
    ) -> SpendingAnswer:
        if owner == self._membership.own.name:
            return await answer_spending(self._local_owner, request)
        member = self._membership.get(owner)
        if member is None:
            raise SendError(f"{owner} is no member any more")
        try:
            answer = await fetch(
                self._pool,
                member.peers,
                "POST",
                SPENDING_PATH,
                body=msgspec.msgpack.encode(request),
                timeout_s=timeout_s,
            )
        except SendError:
            self._pool.close_idle(member.peers)
            raise
        if answer.status != 200:
            raise SendError(f"{owner} answered {answer.status}")
        return msgspec.msgpack.decode(answer.body, type=SpendingAnswer)
