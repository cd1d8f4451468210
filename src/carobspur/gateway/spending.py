"""Token budgets of programs: accounts at their homes, covered by rows of the store."""

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
"""Time after which a program without a turn pauses: longer than usual tool calls."""
RETENTION_MARGIN_S = 10.0
"""Unused accounts are dropped so long after their programs may return."""
SWEEP_S = 5.0
MAX_TRIES = 4

Move = Callable[[MovedAccount], Awaitable[bool]]
"""Hands an account to its next home; returns whether that has taken it."""


class AccountOwner:
    """The accounts of the programs whose home this gateway is.

    Args:
        name: Name of this gateway.
        store: The row store.
        request_release: Asks another gateway to give an account up.
        pull: Asks likely former homes for an account while the store is away.
        store_state: Returns what is known of the store.
        log: Decision log.
    """

    __slots__ = (
        "_accounts",
        "_allowances",
        "_store_state",
        "_early_settlements",
        "_released_accounts",
        "_idle_writes",
        "_locks",
        "_log",
        "_rows",
    )

    def __init__(
        self,
        name: str,
        store: RowStore,
        *,
        request_release: RequestRelease,
        pull: Pull,
        store_state: Callable[[], StoreState],
        log: DecisionLog,
    ) -> None:
        self._rows = AccountRows(name, store, log)
        self._store_state = store_state
        self._log = log
        self._accounts: dict[str, Account] = {}
        # Gone once nobody holds or awaits them.
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()
        self._early_settlements = EarlySettlements()
        self._released_accounts = ReleasedAccounts()
        self._allowances = Allowances(
            name,
            self._rows,
            self._early_settlements,
            self._released_accounts,
            request_release=request_release,
            pull=pull,
            store_state=store_state,
            log=log,
        )
        # Writes of programs that pause, under way; they give way to new turns.
        self._idle_writes: dict[str, asyncio.Task] = {}

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, *, retention_s: float
    ) -> int:
        """Set a turn's tokens aside; returns what the program's other turns hold.

        Args:
            program: The program.
            turn: The turn's request id.
            tokens: The most that it may generate.
            budget: Tokens that all turns of the program may generate.
            retention_s: How long after its last turn a program may return.

        Raises:
            BudgetSpentError: They do not fit.
            RowStoreAwayError: The store must cover them and could not be asked.
        """
        async with self._exclusive(program):
            account = self._accounts.get(program)
            if account is None:
                account = self._open(program, budget, tokens)
            account.retention_s = max(account.retention_s, retention_s)
            account.used_at = asyncio.get_running_loop().time()
            other_tokens = await self._grant(program, account, turn, tokens)
            if turn in self._early_settlements.settle(account):
                raise RowStoreAwayError("the gateway that asked did not wait")
            return other_tokens

    def _exclusive(self, program: str) -> asyncio.Lock:
        """Return the lock of a program; the write of its pause gives way."""
        if program in self._idle_writes:
            self._idle_writes[program].cancel()
        return self._locks.setdefault(program, asyncio.Lock())

    async def _grant(
        self, program: str, account: Account, turn: str, tokens: int
    ) -> int:
        for _ in range(MAX_TRIES):
            match account.grant(turn, tokens):
                case Granted(other_tokens=other_tokens):
                    return other_tokens
                case Spent(other_tokens=other_tokens):
                    raise BudgetSpentError(
                        f"{other_tokens} of {account.budget} tokens are spent or set "
                        f"aside, {tokens} more do not fit"
                    )
                case NeedsAllowance(tokens=needed):
                    await self._allowances.extend(program, account, needed, tokens)
        raise RowStoreAwayError("the account changed hands again and again")

    def settle(self, program: str, turn: str, tokens: int) -> bool:
        """Replace a turn's reservation by what it generated.

        An end that comes before its turn, or after the account has moved on, is
        remembered: it counts as soon as the turn is known here.

        Returns:
            Whether the turn was under way here; if not, another home may hold it.
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
        """Forget an account for another home, and tell what was spent.

        Args:
            program: The program.
            row_version: Version of the row that the other home has found.
            serial: This home's number of its write.
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
        """Go on with an account that its home has given up; false if one is open."""
        if moved.program in self._accounts:
            return False
        account = Account(moved.budget, opened_serial=self._rows.serial)
        account.used_at = asyncio.get_running_loop().time()
        fill_account(account, moved)
        self._early_settlements.settle(account)
        self._accounts[moved.program] = account
        return True

    async def move_out(self, program: str) -> MovedAccount | None:
        """Give an account to the home that asks for it, with its cover."""
        lock = self._locks.setdefault(program, asyncio.Lock())
        if lock.locked():
            # In use here; the asker may itself be asked, and neither must wait.
            return None
        async with lock:
            account = self._accounts.pop(program, None)
        if account is None:
            return None
        # From now on another home spends under the same row.
        self._released_accounts.forget(program)
        return moved_account(program, account)

    async def move_all(self, move: Move) -> None:
        """Move every account to its next home; write those that cannot be moved."""
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
            # What it carried has gone with it; the row is spoken for there.
            self._released_accounts.forget(program)
        else:
            # Back again, to be written with what is really spent.
            self._accounts[program] = account

    async def flush(self) -> None:
        """Write what is really spent, so that a successor loses nothing."""
        await self._rows.flush(self._accounts)
        self._accounts.clear()

    async def write_unrecorded_accounts(self) -> None:
        """Write the rows of accounts that were opened while the store was away."""
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
        """Write what is really spent of programs that pause, again and again."""
        while True:
            await asyncio.sleep(IDLE_S / 2)
            await self.write_idle()

    async def write_idle(self, *, idle_s: float = IDLE_S) -> None:
        """Write what is really spent of programs without a turn under way.

        If this home died, all that their rows cover would count as spent, and a
        program of two turns could not go on.

        Args:
            idle_s: Time since the last turn began from which on a program pauses.
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
        """Write beside the requests what is really spent."""
        writing = self._idle_writes.get(program)
        if writing is None:
            writing = asyncio.get_running_loop().create_task(
                self._write_when_slot_is_free(program, account)
            )
            self._idle_writes[program] = writing
            # Also where it is cancelled before it has begun.
            writing.add_done_callback(lambda _: self._idle_writes.pop(program, None))
        return writing

    async def _write_when_slot_is_free(self, program: str, account: Account) -> None:
        async with self._rows.write_slots:
            if not self._store_state().is_unreachable:
                await self._write_spent(program, account)

    async def _write_spent(self, program: str, account: Account) -> None:
        async with self._locks.setdefault(program, asyncio.Lock()):
            is_current = self._accounts.get(program) is account
            if not is_current or not account.is_row_too_high:
                return
            tokens = account.idle_allowance
            before = account.allowance, account.is_row_uncertain
            # Nothing more is granted under a row that may be lower from now on.
            account.allowance = min(account.allowance, tokens)
            try:
                await self._rows.write_allowance(program, account, tokens)
            except RowConflictError as error:
                # Another home has it, or an earlier write was done after all.
                await self._allowances.adopt(program, account, error.rows)
            except RowStoreAwayError as error:
                if error.verdict == NOT_RUN:
                    account.allowance, account.is_row_uncertain = before
                self._log.record(
                    "idle_not_written", program=program, reason=error.message
                )

    async def sweep_forever(self) -> None:
        """Drop accounts that are no longer used, with their rows."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            for program, account in list(self._accounts.items()):
                is_over = (
                    now - account.used_at > account.retention_s + RETENTION_MARGIN_S
                )
                if is_over and self._accounts.get(program) is account:
                    del self._accounts[program]
                    self._released_accounts.forget(program)
                    await self._rows.drop(program, account)
            self._released_accounts.sweep(now)

    def _open(self, program: str, budget: int, tokens: int) -> Account:
        """Create an account; a row that exists is found when it is covered.

        Where homes may have died with uncovered grants, as much counts as spent; but
        not for a program too small to have been granted a turn that way.
        """
        account = Account(budget, opened_serial=self._rows.serial)
        if self._store_state().may_have_lost_grants and tokens <= int(
            budget * UNRECORDED_SHARE
        ):
            account.spent_before = int(budget * ASSUMED_SPENT_SHARE)
        self._accounts[program] = account
        return account
