"""Token budgets of programs: accounts at their homes, covered by rows of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

from ..verdict import NOT_RUN
from .account_rows import AccountRows
from .accounts import (
    DOUBT_SHARE,
    UNCOVERED_SHARE,
    Account,
    GivenUp,
    Granted,
    NeedsCover,
    Spent,
)
from .covers import Covers, HandOver, Pull
from .decisions import DecisionLog
from .early_ends import EarlyEnds
from .given_up import GivenUpAccounts
from .rows import RowConflictError, RowStore, RowStoreAwayError
from .spending_records import (
    BudgetSpentError,
    MovedAccount,
    StoreDoubt,
    fill_account,
    moved_account,
)

IDLE_S = 1.0
"""Time after which a program without a turn pauses: longer than usual tool calls."""
IDLE_MARGIN_S = 10.0
"""Unused accounts are dropped so long after their programs may return."""
SWEEP_S = 5.0
MAX_TRIES = 4

Move = Callable[[MovedAccount], Awaitable[bool]]
"""Hands an account to its next home; returns whether that has taken it."""


class SpendingHome:
    """The accounts of the programs whose home this gateway is.

    Args:
        name: Name of this gateway.
        store: The row store.
        hand_over: Asks another gateway to give an account up.
        pull: Asks likely former homes for an account while the store is away.
        doubt: Returns what is known of the store.
        log: Decision log.
    """

    __slots__ = (
        "_accounts",
        "_covers",
        "_doubt",
        "_early",
        "_given_up",
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
        hand_over: HandOver,
        pull: Pull,
        doubt: Callable[[], StoreDoubt],
        log: DecisionLog,
    ) -> None:
        self._rows = AccountRows(name, store, log)
        self._doubt = doubt
        self._log = log
        self._accounts: dict[str, Account] = {}
        # Gone once nobody holds or awaits them.
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()
        self._early = EarlyEnds()
        self._given_up = GivenUpAccounts()
        self._covers = Covers(
            name,
            self._rows,
            self._early,
            self._given_up,
            hand_over=hand_over,
            pull=pull,
            doubt=doubt,
            log=log,
        )
        # Writes of programs that pause, under way; they give way to new turns.
        self._idle_writes: dict[str, asyncio.Task] = {}

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, *, kept_s: float
    ) -> int:
        """Set a turn's tokens aside; returns what the program's other turns hold.

        Args:
            program: The program.
            turn: The turn's request id.
            tokens: The most that it may generate.
            budget: Tokens that all turns of the program may generate.
            kept_s: How long after its last turn a program may return.

        Raises:
            BudgetSpentError: They do not fit.
            RowStoreAwayError: The store must cover them and could not be asked.
        """
        async with self._alone(program):
            account = self._accounts.get(program)
            if account is None:
                account = self._open(program, budget, tokens)
            account.kept_s = max(account.kept_s, kept_s)
            account.used_at = asyncio.get_running_loop().time()
            others = await self._grant(program, account, turn, tokens)
            if turn in self._early.settle(account):
                raise RowStoreAwayError("the gateway that asked did not wait")
            return others

    def _alone(self, program: str) -> asyncio.Lock:
        """Return the lock of a program; the write of its pause gives way."""
        if program in self._idle_writes:
            self._idle_writes[program].cancel()
        return self._locks.setdefault(program, asyncio.Lock())

    async def _grant(
        self, program: str, account: Account, turn: str, tokens: int
    ) -> int:
        for _ in range(MAX_TRIES):
            match account.grant(turn, tokens):
                case Granted(others=others):
                    return others
                case Spent(others=others):
                    raise BudgetSpentError(
                        f"{others} of {account.budget} tokens are spent or set aside, "
                        f"{tokens} more do not fit"
                    )
                case NeedsCover(tokens=needed):
                    await self._covers.extend(program, account, needed, tokens)
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
            if account.row_refuses_next_turn and account.is_row_higher:
                self._begin_writing(program, account)
            return True
        self._given_up.settle(program, turn, tokens)
        self._early.note(turn, tokens)
        return False

    async def give_up(
        self, program: str, row_version: int, serial: int
    ) -> GivenUp | None:
        """Forget an account for another home, and tell what was spent.

        Args:
            program: The program.
            row_version: Version of the row that the other home has found.
            serial: This home's number of its write.
        """
        if program in self._accounts:
            async with self._alone(program):
                account = self._accounts.pop(program, None)
            if account is not None:
                self._note_given_up(program, account)
        return self._given_up.about(program, row_version, serial)

    def _note_given_up(self, program: str, account: Account) -> None:
        now = asyncio.get_running_loop().time()
        told = self._given_up.note(
            program, account, forget_at=now + account.kept_s + IDLE_MARGIN_S
        )
        self._log.note(
            "account_given_up",
            program=program,
            recorded=told.recorded,
            unrecorded=told.unrecorded,
            row_version=told.row_version,
        )

    def take_over(self, moved: MovedAccount) -> bool:
        """Go on with an account that its home has given up; false if one is open."""
        if moved.program in self._accounts:
            return False
        account = Account(moved.budget, opened_serial=self._rows.serial)
        account.used_at = asyncio.get_running_loop().time()
        fill_account(account, moved)
        self._early.settle(account)
        self._accounts[moved.program] = account
        return True

    async def give_away(self, program: str) -> MovedAccount | None:
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
        self._given_up.forget(program)
        return moved_account(program, account)

    async def move_all(self, move: Move) -> None:
        """Move every account to its next home; write those that cannot be moved."""
        programs = list(self._accounts)
        await asyncio.gather(*(self._move(program, move) for program in programs))
        await self.flush()

    async def _move(self, program: str, move: Move) -> None:
        async with self._alone(program):
            account = self._accounts.pop(program, None)
        if account is None or not account.spent:
            return
        moved = moved_account(program, account)
        if await move(moved):
            # What it carried has gone with it; the row is spoken for there.
            self._given_up.forget(program)
        else:
            # Back again, to be written with what is really spent.
            self._accounts[program] = account

    async def flush(self) -> None:
        """Write what is really spent, so that a successor loses nothing."""
        await self._rows.flush(self._accounts)
        self._accounts.clear()

    async def cover_uncovered(self) -> None:
        """Write the rows of accounts that were opened while the store was away."""
        for program, account in list(self._accounts.items()):
            if account.version or not account.spent:
                continue
            async with self._locks.setdefault(program, asyncio.Lock()):
                if account.version or self._accounts.get(program) is not account:
                    continue
                try:
                    await self._covers.cover(program, account, account.spent)
                except RowStoreAwayError as error:
                    self._log.note("not_covered", program=program, reason=error.message)
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
            self._begin_writing(program, account)
            for program, account in self._accounts.items()
            if not account.open
            and now - account.used_at >= idle_s
            and account.is_row_higher
        ]
        if begun:
            await asyncio.wait(begun)

    def _begin_writing(self, program: str, account: Account) -> asyncio.Task:
        """Write beside the requests what is really spent."""
        writing = self._idle_writes.get(program)
        if writing is None:
            writing = asyncio.get_running_loop().create_task(
                self._write_beside(program, account)
            )
            self._idle_writes[program] = writing
            # Also where it is cancelled before it has begun.
            writing.add_done_callback(lambda _: self._idle_writes.pop(program, None))
        return writing

    async def _write_beside(self, program: str, account: Account) -> None:
        async with self._rows.places:
            if not self._doubt().is_unreachable:
                await self._write_spent(program, account)

    async def _write_spent(self, program: str, account: Account) -> None:
        async with self._locks.setdefault(program, asyncio.Lock()):
            is_current = self._accounts.get(program) is account
            if not is_current or not account.is_row_higher:
                return
            tokens = account.resting_cover
            before = account.covered, account.is_row_unsure
            # Nothing more is granted under a row that may be lower from now on.
            account.covered = min(account.covered, tokens)
            try:
                await self._rows.cover(program, account, tokens)
            except RowConflictError as error:
                # Another home has it, or an earlier write was done after all.
                await self._covers.adopt(program, account, error.rows)
            except RowStoreAwayError as error:
                if error.verdict == NOT_RUN:
                    account.covered, account.is_row_unsure = before
                self._log.note(
                    "idle_not_written", program=program, reason=error.message
                )

    async def sweep_forever(self) -> None:
        """Drop accounts that are no longer used, with their rows."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            for program, account in list(self._accounts.items()):
                is_over = now - account.used_at > account.kept_s + IDLE_MARGIN_S
                if is_over and self._accounts.get(program) is account:
                    del self._accounts[program]
                    self._given_up.forget(program)
                    await self._rows.drop(program, account)
            self._given_up.sweep(now)

    def _open(self, program: str, budget: int, tokens: int) -> Account:
        """Create an account; a row that exists is found when it is covered.

        Where homes may have died with uncovered grants, as much counts as spent; but
        not for a program too small to have been granted a turn that way.
        """
        account = Account(budget, opened_serial=self._rows.serial)
        if self._doubt().may_be_lost and tokens <= int(budget * UNCOVERED_SHARE):
            account.base = int(budget * DOUBT_SHARE)
        self._accounts[program] = account
        return account
