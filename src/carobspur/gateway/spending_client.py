"""Reserves and settles tokens at the owner of a program's account, here or remote."""

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
    PullConfirmation,
    PullRequest,
    ReleaseRequest,
    ReserveRequest,
    SettleRequest,
    SpendingAnswer,
    SpendingRequest,
    answer_spending,
)
from .spending_records import BudgetSpentError, MovedAccount, OwnerSilentError

OWNER_TIMEOUT_S = ROW_WRITE_TIMEOUT_S + 0.15
"""Longest wait for an owner that is alive: its store call and the round trip."""
PROBE_AFTER_S = 0.1
"""Time without an answer after which an owner counts as dead, unless its last heartbeat
is recent or it answers a probe, which needs no store call, within the same time."""
RECENT_HEARTBEAT_S = 0.6
"""Age up to which a heartbeat is recent: two heartbeat intervals and a margin."""
MAX_OWNERS_TRIED = 3
"""Most gateways that a request is sent to until the owner of an account answers."""
MAX_OWNERS_PULLED = 8
"""Most gateways with unrecorded grants that are asked for an account: all others in the
usual deployment of seven gateways."""
MAX_UNCONFIRMED_PULLS = 1000
"""Most pulls that are remembered until they are confirmed: more than a gateway makes at
once. One that was cancelled is never confirmed."""
AVOID_OWNER_S = 1.0
"""How long an owner that did not answer is no candidate; by then heartbeats show
whether it is alive."""
SETTLE_TIMEOUT_S = 0.5
"""Longest wait for the answer to a settlement or to a moved account."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens that an owner has reserved for a turn.

    Attributes:
        owner: Name of the owner that granted them.
        program: The program.
        turn: Name of the reservation.
        tokens: Tokens reserved.
        other_tokens: Tokens that the program's other turns have spent or reserved.
    """

    owner: str
    program: str
    turn: str
    tokens: int
    other_tokens: int


class SpendingClient:
    """Sends requests about a program's account to the gateway that owns it.

    There is no directory of owners: every gateway ranks the gateways that are alive by
    rendezvous hashing of the program, so that all get the same order, and the first
    that answers becomes the owner unless it already is.

    Args:
        membership: Gateways that may be owners.
        local_owner: The accounts that this gateway owns.
        pool: Connections to other gateways.
        accepts_accounts: Returns whether this gateway may own accounts.
        spawn: Runs a coroutine in the background.
        log: Decision log.
    """

    __slots__ = (
        "_accepts_accounts",
        "_avoid_until",
        "_local_owner",
        "_log",
        "_membership",
        "_pool",
        "_pulled_from",
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
        # Former owners of accounts that were pulled and not confirmed yet.
        self._pulled_from: dict[str, str] = {}

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, *, retention_s: float
    ) -> Reservation:
        """Reserve a turn's tokens; see :meth:`AccountOwner.reserve`.

        Each owner is asked for a reservation of another name, because the cancellation
        of one that was not answered follows the account to its next owner.

        Args:
            program: The program.
            turn: Name of the first reservation that is requested.
            tokens: The most that the turn may generate.
            budget: Tokens that all turns of the program may generate.
            retention_s: How long after its last turn the program may return.

        Raises:
            BudgetSpentError: The turn does not fit into the budget.
            RowStoreAwayError: No owner answered, or the owner got no answer from the
                store.
        """
        reason = "no owner answered"
        replaced: list[str] = []
        first_choice = self._first_choice(program)
        for owner in self._candidate_owners(program):
            name = f"{turn}@{len(replaced)}" if replaced else turn
            request = ReserveRequest(
                program,
                name,
                tokens,
                budget,
                retention_s,
                list(replaced),
                is_passed_over=owner != first_choice,
            )
            try:
                answer = await self._send_while_alive(owner, request)
            except SendError as error:
                reason = f"owner {owner}: {error.message}"
                self._avoid(owner, reason)
                self._cancel_reservation(owner, program, name)
                replaced.append(name)
                continue
            except asyncio.CancelledError:
                self._cancel_reservation(owner, program, name)
                raise
            match answer.outcome:
                case "granted":
                    return Reservation(owner, program, name, tokens, answer.tokens)
                case "spent":
                    raise BudgetSpentError(answer.reason)
                case _:
                    raise RowStoreAwayError(answer.reason)
        raise RowStoreAwayError(reason)

    def _cancel_reservation(self, owner: str, program: str, turn: str) -> None:
        """Cancel in the background a reservation that the owner may still grant."""
        self._spawn(self._settle(owner, SettleRequest(program, turn, 0)))

    async def settle(self, reservation: Reservation, tokens: int) -> None:
        """Report a turn's tokens; if that fails, the whole reservation is spent."""
        request = SettleRequest(reservation.program, reservation.turn, tokens)
        await self._settle(reservation.owner, request)

    async def _settle(self, owner: str, request: SettleRequest) -> None:
        """Settle a turn at an owner, or at the next candidates if its account moved."""
        reason = await self._settle_at(owner, request)
        if not reason:
            return
        for other in self._candidate_owners(request.program):
            if other != owner and not await self._settle_at(other, request):
                return
        # The whole reservation still counts as spent.
        self._log.record(
            "not_settled",
            request=request.turn,
            program=request.program,
            home=owner,
            tokens=request.tokens,
            reason=reason,
        )

    async def _settle_at(self, owner: str, request: SettleRequest) -> str:
        """Settle a turn at one owner; return why that failed, or an empty text."""
        try:
            answer = await self._send(owner, request, SETTLE_TIMEOUT_S)
        except SendError as error:
            return f"owner {owner}: {error.message}"
        return "" if answer.outcome == "granted" else "the turn is not running there"

    async def request_release(
        self, holder: str, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        """Request the release of an account from its row's holder; return the report.

        Returns ``None`` if the holder did not answer or has no report.
        """
        request = ReleaseRequest(program, row_version, serial)
        try:
            answer = await self._send_while_alive(holder, request)
        except SendError as error:
            self._log.record(
                "not_handed_over", program=program, holder=holder, reason=error.message
            )
            return None
        return answer.given_up

    async def pull(
        self, program: str, *, may_hold_unrecorded: bool = True
    ) -> MovedAccount | None:
        """Pull an account from the first other candidate that still owns it, if any.

        Gateways that report grants without a row are asked as well.

        Args:
            program: The program.
            may_hold_unrecorded: See :class:`.spending_records.StoreState`.

        Raises:
            OwnerSilentError: None of those that answered hands the account over, but
                one did not answer, or had the account.
        """
        own = self._membership.own.name
        request = PullRequest(program, may_hold_unrecorded=may_hold_unrecorded)
        silent = ""
        now = asyncio.get_running_loop().time()
        names = [item.name for item in self._membership.with_unrecorded(now)]
        candidates = self._candidate_owners(program, with_avoided=True)
        others = first_of(program, names, MAX_OWNERS_PULLED)
        if len(names) > len(others):
            silent = names[-1]
        for owner in dict.fromkeys([*candidates, *others]):
            if owner == own:
                continue
            if self._is_avoided(owner):
                silent = owner
                continue
            try:
                answer = await self._send_while_alive(owner, request)
            except SendError as error:
                self._avoid(owner, error.message)
                silent = owner
                continue
            if answer.moved is not None:
                self._pulled_from[program] = owner
                while len(self._pulled_from) > MAX_UNCONFIRMED_PULLS:
                    del self._pulled_from[next(iter(self._pulled_from))]
                return answer.moved
            if answer.may_have_granted:
                silent = owner
        if silent:
            raise OwnerSilentError(f"{silent} may have granted tokens of the account")
        return None

    def confirm_pull(self, program: str) -> None:
        """Tell the former owner that a pulled account is in use here."""
        owner = self._pulled_from.pop(program, "")
        if owner:
            self._spawn(self._confirm_pull(owner, program))

    async def _confirm_pull(self, owner: str, program: str) -> None:
        try:
            await self._send(owner, PullConfirmation(program), SETTLE_TIMEOUT_S)
        except SendError as error:
            # The former owner goes on to count the account as possibly lost.
            self._log.record(
                "pull_not_confirmed", program=program, home=owner, reason=error.message
            )

    async def move(self, account: MovedAccount) -> bool:
        """Send an account to its next owner; return whether that owner accepted it.

        Raises:
            OwnerSilentError: No answer arrived. The account must not be used here any
                more: two owners must never grant from the same allowance.
        """
        for owner in self._candidate_owners(account.program):
            if owner == self._membership.own.name:
                continue
            try:
                answer = await self._send(owner, account, SETTLE_TIMEOUT_S)
            except NotSentError:
                continue
            except SendError as error:
                self._log.record(
                    "move_in_doubt",
                    program=account.program,
                    home=owner,
                    reason=error.message,
                )
                raise OwnerSilentError(
                    f"{owner} may have accepted the account"
                ) from error
            return answer.outcome == "granted"
        return False

    def is_first_choice(self, program: str) -> bool:
        """Return whether this gateway is the first that should own an account.

        Otherwise a gateway that may have owned it did not answer, unless the sender of
        a request does not know that gateway yet.
        """
        return self._first_choice(program) == self._membership.own.name

    def may_have_lost_owner(self, program: str, *, since: float) -> bool:
        """Return whether a gateway that has died may have owned an account.

        Args:
            program: The program.
            since: Loop time of the oldest death that may matter.
        """
        own = self._membership.own.name
        names = [own, *self._membership.ended_since(since)]
        return first_of(program, names, 1) != [own]

    def _first_choice(self, program: str) -> str:
        return self._candidate_owners(program, with_avoided=True)[0]

    def _candidate_owners(
        self, program: str, *, with_avoided: bool = False
    ) -> list[str]:
        """Return the gateways that may own an account, the best one first.

        Args:
            program: The program.
            with_avoided: Whether to include those that have just not answered.
        """
        now = asyncio.get_running_loop().time()
        names = [
            member.name
            for member in self._membership.alive(now)
            if with_avoided or not self._is_avoided(member.name)
        ]
        own = self._membership.own.name
        if self._accepts_accounts():
            names.append(own)
        return first_of(program, names, MAX_OWNERS_TRIED) or [own]

    def _is_avoided(self, owner: str) -> bool:
        now = asyncio.get_running_loop().time()
        return self._avoid_until.get(owner, 0.0) > now

    def _avoid(self, owner: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._avoid_until[owner] = now + AVOID_OWNER_S
        self._log.record("home_silent", peer=owner, reason=reason)

    async def _send_while_alive(
        self, owner: str, request: SpendingRequest
    ) -> SpendingAnswer:
        """Send a request to an owner; fail early if the owner counts as dead.

        Raises:
            SendError: The owner did not answer in time, or counts as dead.
        """
        loop = asyncio.get_running_loop()
        sending = loop.create_task(self._send(owner, request, OWNER_TIMEOUT_S))
        try:
            while not (await asyncio.wait([sending], timeout=PROBE_AFTER_S))[0]:
                if not await self._is_alive(owner):
                    raise SendError("neither an answer nor a recent heartbeat")
            return await sending
        finally:
            sending.cancel()

    async def _is_alive(self, owner: str) -> bool:
        """Return whether an owner that has not answered yet is alive.

        It is probed if no heartbeat was received, since with many gateways only a few
        receive the heartbeats of each.
        """
        now = asyncio.get_running_loop().time()
        if self._membership.has_recent_heartbeat(owner, RECENT_HEARTBEAT_S, now):
            return True
        try:
            await self._send(owner, PresenceRequest(), PROBE_AFTER_S)
        except SendError:
            return False
        return True

    async def _send(
        self, owner: str, request: SpendingRequest, timeout_s: float
    ) -> SpendingAnswer:
        if owner == self._membership.own.name:
            return await answer_spending(self._local_owner, request)
        member = self._membership.get(owner)
        if member is None:
            raise SendError(f"{owner} is no longer a member")
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
