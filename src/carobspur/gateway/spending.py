"""Token budgets of programs, enforced by the gateways that own their accounts.

See :mod:`.accounts` for the rules of granting, :mod:`.allowances` for how an owner gets
tokens to grant, and :mod:`.spending_client` for how other gateways reach it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

from ..verdict import NOT_RUN
from .account_rows import AccountRows
from .accounts import (
    ASSUMED_SPENT_SHARE,
    UNRECORDED_SHARE,
    Account,
    Granted,
    NeedsAllowance,
    ReleasedAccount,
    Spent,
)
from .allowances import Allowances, Pull, RequestRelease
from .customers.ownership import unscoped_name
from .decisions import DecisionLog
from .early_settlements import EarlySettlements
from .released_accounts import ReleasedAccounts
from .rows import RowConflictError, RowStore, RowStoreAwayError
from .spending_records import (
    BudgetSpentError,
    MovedAccount,
    StoreState,
    fill_account,
    moved_account,
)

IDLE_S = 1.0
"""Time since the start of its last turn after which a program that runs no turn is
idle: longer than usual tool calls."""
RETENTION_MARGIN_S = 10.0
"""Added to the retention of an unused account before the account is removed."""
SWEEP_S = 5.0
"""Interval at which accounts of programs that can no longer return are removed."""
MAX_GRANT_ATTEMPTS = 4
"""Attempts to grant a turn, each but the first after raising the allowance."""

Move = Callable[[MovedAccount], Awaitable[bool]]
"""Sends an account to its next owner; returns whether that owner has accepted it."""


class AccountOwner:
    """Owns the accounts of programs: reserves and settles the tokens of their turns.

    Args:
        name: Name of this gateway.
        store: The row store.
        request_release: Asks another gateway to release an account.
        pull: Asks likely former owners for an account while the store does not answer.
        store_state: Returns the state of the store as known to this gateway.
        is_first_choice: Returns whether this gateway is the first of all that should
            own a program's account.
        may_have_lost_owner: Returns whether a gateway that died recently may have owned
            a program's account.
        log: Decision log.
    """

    __slots__ = (
        "_accounts",
        "_allowances",
        "_early_settlements",
        "_idle_writes",
        "_is_first_choice",
        "_locks",
        "_log",
        "_may_have_lost_owner",
        "_released_accounts",
        "_rows",
        "_store_state",
    )

    def __init__(
        self,
        name: str,
        store: RowStore,
        *,
        request_release: RequestRelease,
        pull: Pull,
        store_state: Callable[[], StoreState],
        is_first_choice: Callable[[str], bool],
        may_have_lost_owner: Callable[[str], bool],
        log: DecisionLog,
    ) -> None:
        self._rows = AccountRows(name, store, log)
        self._is_first_choice = is_first_choice
        self._may_have_lost_owner = may_have_lost_owner
        self._store_state = store_state
        self._log = log
        self._accounts: dict[str, Account] = {}
        # An entry disappears once nobody holds or awaits its lock.
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()
        self._early_settlements = EarlySettlements()
        self._released_accounts = ReleasedAccounts()
        self._allowances = Allowances(
            name,
            self._rows,
            self._early_settlements,
            self._released_accounts,
            release=self.release,
            request_release=request_release,
            pull=pull,
            store_state=store_state,
            log=log,
        )
        # Running writes for idle programs; a request for a program cancels its write.
        self._idle_writes: dict[str, asyncio.Task] = {}

    async def reserve(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        *,
        retention_s: float,
        is_passed_over: bool = False,
    ) -> int:
        """Reserve a turn's tokens.

        Args:
            program: The program.
            turn: Name of the reservation, unique among those of the program.
            tokens: The most that the turn may generate.
            budget: Tokens that all turns of the program may generate.
            retention_s: How long after its last turn the program may return.
            is_passed_over: Whether the sender would rather have asked a gateway that
                did not answer.

        Returns:
            The tokens that the program's other turns have spent or reserved.

        Raises:
            BudgetSpentError: The turn does not fit into the budget.
            RowStoreAwayError: The allowance had to be raised and the store did not
                answer, or a settlement of the turn arrived before the request.
        """
        async with self._exclusive(program):
            account = self._accounts.get(program)
            if account is None:
                account = self._open(
                    program, budget, tokens, is_passed_over=is_passed_over
                )
            account.retention_s = max(account.retention_s, retention_s)
            account.used_at = asyncio.get_running_loop().time()
            other_tokens = await self._grant(program, account, turn, tokens)
            if turn in self._early_settlements.settle(account):
                raise RowStoreAwayError(
                    "the reservation was cancelled before it was granted"
                )
            return other_tokens

    def _exclusive(self, program: str) -> asyncio.Lock:
        """Return a program's lock, after cancelling a running write of its row."""
        if program in self._idle_writes:
            self._idle_writes[program].cancel()
        return self._locks.setdefault(program, asyncio.Lock())

    async def _grant(
        self, program: str, account: Account, turn: str, tokens: int
    ) -> int:
        for _ in range(MAX_GRANT_ATTEMPTS):
            match account.grant(turn, tokens):
                case Granted(other_tokens=other_tokens):
                    return other_tokens
                case Spent(other_tokens=other_tokens):
                    raise BudgetSpentError(
                        f"{other_tokens} of {account.budget} tokens are spent or "
                        f"reserved, {tokens} more do not fit"
                    )
                case NeedsAllowance(tokens=needed):
                    await self._allowances.extend(program, account, needed, tokens)
        raise RowStoreAwayError(
            "the account changed in each attempt to raise its allowance"
        )

    def settle(self, program: str, turn: str, tokens: int) -> bool:
        """Replace a turn's reservation by the tokens that it generated.

        If the turn is not running here, because the settlement has overtaken it or its
        account has moved, the settlement is stored and applied once the turn is known.

        Returns:
            Whether the turn was running here; if not, another owner may have it.
        """
        account = self._accounts.get(program)
        if account is not None and account.settle(turn, tokens):
            if account.row_refuses_next_turn and account.is_row_too_high:
                self._start_idle_write(program, account)
            return True
        self._released_accounts.settle(program, turn, tokens)
        self._early_settlements.record(turn, tokens)
        return False

    async def release(
        self, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        """Release an account to another gateway, and report what was spent.

        Args:
            program: The program.
            row_version: Version of the row that the other gateway has found.
            serial: This owner's serial in that row.

        Returns:
            The report, also on an account released before; ``None`` if there is none.
        """
        if program in self._accounts:
            async with self._exclusive(program):
                account = self._accounts.pop(program, None)
            if account is not None:
                self._record_released(program, account)
        return self._released_accounts.for_row(program, row_version, serial)

    def _record_released(self, program: str, account: Account) -> None:
        now = asyncio.get_running_loop().time()
        released = self._released_accounts.record(
            program, account, forget_at=now + account.retention_s + RETENTION_MARGIN_S
        )
        self._log.record(
            "account_given_up",
            program=program,
            recorded=released.recorded,
            unrecorded=released.unrecorded,
            row_version=released.row_version,
        )

    def take_over(self, moved: MovedAccount) -> bool:
        """Accept an account from its former owner; return false if one is open here."""
        if moved.program in self._accounts:
            return False
        account = Account(moved.budget, opened_serial=self._rows.serial)
        account.used_at = asyncio.get_running_loop().time()
        fill_account(account, moved)
        self._early_settlements.settle(account)
        self._accounts[moved.program] = account
        return True

    async def move_out(self, program: str) -> MovedAccount | None:
        """Hand an account with its allowance to the gateway that pulls it.

        Returns ``None`` if the account is not here or in use.
        """
        lock = self._locks.setdefault(program, asyncio.Lock())
        if lock.locked():
            # In use. Two gateways may pull from each other, so neither may wait here.
            return None
        async with lock:
            account = self._accounts.pop(program, None)
        if account is None:
            return None
        # From now on another owner grants tokens under the same row.
        self._released_accounts.forget(program)
        return moved_account(program, account)

    async def move_all(self, move: Move) -> None:
        """Send every account to its next owner; write rows for those not accepted."""
        programs = list(self._accounts)
        await asyncio.gather(*(self._move(program, move) for program in programs))
        await self.flush()

    async def _move(self, program: str, move: Move) -> None:
        async with self._exclusive(program):
            account = self._accounts.pop(program, None)
        if account is None or not account.spent:
            return
        moved = moved_account(program, account)
        if await move(moved):
            # The account includes the report's tokens; its next owner keeps the row.
            self._released_accounts.forget(program)
        else:
            # Put back, so that the flush writes what is really spent.
            self._accounts[program] = account

    async def flush(self) -> None:
        """Write what is really spent, then drop all accounts.

        Their next owners then lose no tokens.
        """
        has_scopes = any(unscoped_name(program) for program in self._accounts)
        if has_scopes and not self._store_state().is_unreachable:
            # Unlike this, the batched write below does not count the rows that programs
            # had before the configuration had customers.
            await self.write_unrecorded_accounts()
        await self._rows.flush(self._accounts)
        self._accounts.clear()

    async def write_unrecorded_accounts(self) -> None:
        """Write rows for accounts that were opened while the store was unreachable."""
        for program, account in list(self._accounts.items()):
            if account.version or not account.spent:
                continue
            async with self._locks.setdefault(program, asyncio.Lock()):
                if account.version or self._accounts.get(program) is not account:
                    continue
                try:
                    await self._allowances.write_allowance(
                        program, account, account.spent
                    )
                except RowStoreAwayError as error:
                    self._log.record(
                        "not_covered", program=program, reason=error.message
                    )
                    return

    async def write_idle_forever(self) -> None:
        """Call :meth:`write_idle` periodically."""
        while True:
            await asyncio.sleep(IDLE_S / 2)
            await self.write_idle()

    async def write_idle(self, *, idle_s: float = IDLE_S) -> None:
        """Lower the allowances in the rows of idle programs.

        If this owner died, the next one would count the whole allowance as spent, and
        might refuse the second of two turns that fit into the budget.

        Args:
            idle_s: Time since its last turn began after which a program is idle.
        """
        now = asyncio.get_running_loop().time()
        begun = [
            self._start_idle_write(program, account)
            for program, account in self._accounts.items()
            if not account.open
            and now - account.used_at >= idle_s
            and account.is_row_too_high
        ]
        if begun:
            await asyncio.wait(begun)

    def _start_idle_write(self, program: str, account: Account) -> asyncio.Task:
        """Start a task that lowers the allowance in a row, unless one is running."""
        writing = self._idle_writes.get(program)
        if writing is None:
            writing = asyncio.get_running_loop().create_task(
                self._write_when_slot_is_free(program, account)
            )
            self._idle_writes[program] = writing
            # Runs also if the task is cancelled before it has started.
            writing.add_done_callback(lambda _: self._idle_writes.pop(program, None))
        return writing

    async def _write_when_slot_is_free(self, program: str, account: Account) -> None:
        async with self._rows.write_slots:
            if not self._store_state().is_unreachable:
                await self._lower_allowance(program, account)

    async def _lower_allowance(self, program: str, account: Account) -> None:
        async with self._locks.setdefault(program, asyncio.Lock()):
            is_current = self._accounts.get(program) is account
            if not is_current or not account.is_row_too_high:
                return
            tokens = account.idle_allowance
            before = account.allowance, account.is_row_uncertain
            # From here on the row may already be lower, so grant no more than that.
            account.allowance = min(account.allowance, tokens)
            try:
                await self._rows.write_allowance(program, account, tokens)
            except RowConflictError as error:
                # Another owner wrote the row, or an unanswered write took effect.
                await self._allowances.adopt(program, account, error.rows)
            except RowStoreAwayError as error:
                if error.verdict == NOT_RUN:
                    account.allowance, account.is_row_uncertain = before
                self._log.record(
                    "idle_not_written", program=program, reason=error.message
                )

    async def sweep_forever(self) -> None:
        """Remove accounts of programs that can no longer return, with their rows."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            for program, account in list(self._accounts.items()):
                has_expired = (
                    now - account.used_at > account.retention_s + RETENTION_MARGIN_S
                )
                if has_expired and self._accounts.get(program) is account:
                    del self._accounts[program]
                    self._released_accounts.forget(program)
                    await self._rows.drop(program, account)
            self._released_accounts.sweep(now)

    def _open(
        self, program: str, budget: int, tokens: int, *, is_passed_over: bool
    ) -> Account:
        """Open an account; if it has a row already, the first write finds it.

        Where owners may have died with unrecorded grants, a share of the budget counts
        as spent, unless the turn is too large to have been granted without a row. An
        owner that does not answer may be dead before its heartbeats are missed. One
        that died before the store was lost may have left a row that cannot be read.
        """
        account = Account(budget, opened_serial=self._rows.serial)
        store_state = self._store_state()
        account.may_lack_grants = self._may_have_lost_owner(program) or (
            store_state.was_unreachable
            and (is_passed_over or not self._is_first_choice(program))
        )
        may_lack_grants = account.may_lack_grants or store_state.may_have_lost_grants
        if may_lack_grants and tokens <= int(budget * UNRECORDED_SHARE):
            account.spent_before = int(budget * ASSUMED_SPENT_SHARE)
        self._accounts[program] = account
        return account
