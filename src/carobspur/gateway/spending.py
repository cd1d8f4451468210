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
    OwnerSilentError,
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
CLOSE_POLL_S = 0.05
"""Pause before unwritten rows are tried again while the gateway stops."""

Move = Callable[[MovedAccount], Awaitable[bool]]
"""Sends an account to its next owner; returns whether that owner has accepted it.

Raises ``OwnerSilentError`` if it may have accepted it.
"""


class AccountOwner:
    """Owns the accounts of programs: reserves and settles the tokens of their turns.

    Args:
        name: Name of this gateway.
        store: The row store.
        request_release: Asks another gateway to release an account.
        pull: Asks likely former owners for an account while the store does not answer.
        confirm_pull: Tells the former owner that a program's account has arrived.
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
        "_handed_out",
        "_has_lost_grants",
        "_idle_writes",
        "_may_have_unrecorded",
        "_is_first_choice",
        "_locks",
        "_log",
        "_may_have_lost_owner",
        "_released_accounts",
        "_rows",
        "_store_state",
        "_unrecorded_moves",
    )

    def __init__(
        self,
        name: str,
        store: RowStore,
        *,
        request_release: RequestRelease,
        pull: Pull,
        confirm_pull: Callable[[str], None],
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
        # Programs whose grants without a row were handed to an owner that pulled them
        # and has not confirmed it, with the loop time from which they cannot return.
        self._handed_out: dict[str, float] = {}
        self._has_lost_grants = False
        self._may_have_unrecorded = False
        # Accounts with grants without a row on their way to their next owners.
        self._unrecorded_moves = 0
        self._allowances = Allowances(
            name,
            self._rows,
            self._early_settlements,
            self._released_accounts,
            release=self.release,
            request_release=request_release,
            pull=pull,
            confirm_pull=confirm_pull,
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
                account = self._open(program, budget, is_passed_over=is_passed_over)
            account.retention_s = max(account.retention_s, retention_s)
            account.used_at = asyncio.get_running_loop().time()
            account.was_searched = False
            try:
                other_tokens = await self._grant(program, account, turn, tokens)
            finally:
                # A refused turn may have pulled an account with unrecorded grants.
                self._record_uncounted(account.uncounted)
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
            self._count_lost_grants(program, account)
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
        """Accept an account from its former owner.

        Returns:
            Whether it was accepted. It is not if the account here is in use, or if
            grants without a row would be lost with this gateway without a sign.
        """
        may_hold_unrecorded = self._store_state().may_hold_unrecorded
        if moved.uncounted and not may_hold_unrecorded:
            return False
        if moved.program in self._accounts:
            if self._locks.setdefault(moved.program, asyncio.Lock()).locked():
                return False
            self._absorb(self._accounts[moved.program], moved)
            return True
        account = Account(moved.budget, opened_serial=self._rows.serial)
        account.used_at = asyncio.get_running_loop().time()
        fill_account(account, moved)
        self._record_uncounted(account.uncounted)
        self._early_settlements.settle(account)
        self._accounts[moved.program] = account
        return True

    def _absorb(self, account: Account, moved: MovedAccount) -> None:
        account.absorb(moved.spent, moved.uncounted, moved.version, moved.open)
        self._record_uncounted(account.uncounted)
        self._early_settlements.settle(account)

    async def move_out(
        self, program: str, *, may_hold_unrecorded: bool = True
    ) -> MovedAccount | None:
        """Hand an account with its allowance to the gateway that pulls it.

        Args:
            program: The program.
            may_hold_unrecorded: Whether that gateway may hold grants without a row.

        Returns:
            ``None`` if the account is not here, in use, or must not be moved.
        """
        lock = self._locks.setdefault(program, asyncio.Lock())
        if lock.locked():
            # In use. Two gateways may pull from each other, so neither may wait here.
            return None
        async with lock:
            account = self._accounts.get(program)
            if account is None:
                return None
            if account.uncounted and not may_hold_unrecorded:
                return None
            del self._accounts[program]
        if account.uncounted:
            # Until it is confirmed, the account may be lost on its way.
            self._handed_out[program] = (
                asyncio.get_running_loop().time()
                + account.retention_s
                + RETENTION_MARGIN_S
            )
        # From now on another owner grants tokens under the same row.
        self._released_accounts.forget(program)
        return moved_account(program, account)

    @property
    def has_unrecorded(self) -> bool:
        """Whether something was granted here that no row counts and nobody else has."""
        if (
            self._has_lost_grants
            or self._unrecorded_moves
            or self._handed_out
            or self._released_accounts.has_unrecorded
        ):
            return True
        # The accounts are searched only after such grants.
        self._may_have_unrecorded = self._may_have_unrecorded and any(
            account.uncounted for account in self._accounts.values()
        )
        return self._may_have_unrecorded

    def _record_uncounted(self, tokens: int) -> None:
        self._may_have_unrecorded = self._may_have_unrecorded or tokens > 0

    def may_have_granted(self, program: str) -> bool:
        """Return whether a program's account is here, or may be lost on its way."""
        return program in self._accounts or program in self._handed_out

    def confirm_pull(self, program: str) -> None:
        """Record that an account which was pulled from here has arrived."""
        self._handed_out.pop(program, None)

    async def move_all(self, move: Move, *, until: float = 0.0) -> bool:
        """Send every account to its next owner; write rows for those not accepted.

        Args:
            move: Sends an account.
            until: Loop time until which rows are tried again if the store does not
                answer.

        Returns:
            Whether all that was granted here is recorded or has another owner.
        """
        programs = list(self._accounts)
        await asyncio.gather(*(self._move(program, move) for program in programs))
        return await self.flush(until=until)

    async def _move(self, program: str, move: Move) -> None:
        async with self._exclusive(program):
            account = self._accounts.pop(program, None)
        if account is None or not account.spent:
            return
        moved = moved_account(program, account)
        is_unrecorded = moved.uncounted > 0
        self._unrecorded_moves += is_unrecorded
        try:
            is_accepted = await move(moved)
        except OwnerSilentError as error:
            self._unrecorded_moves -= is_unrecorded
            self._has_lost_grants = self._has_lost_grants or is_unrecorded
            self._log.record(
                "account_in_doubt",
                program=program,
                uncounted=moved.uncounted,
                reason=error.message,
            )
            return
        self._unrecorded_moves -= is_unrecorded
        if is_accepted:
            # The account includes the report's tokens; its next owner keeps the row.
            self._released_accounts.forget(program)
        elif program in self._accounts:
            # A turn has opened the account again in the meantime.
            self._absorb(self._accounts[program], moved)
        else:
            # Put back, so that the flush writes what is really spent.
            self._accounts[program] = account
            self._record_uncounted(account.uncounted)

    async def flush(self, *, until: float = 0.0) -> bool:
        """Write what is really spent, then drop the accounts.

        Their next owners then lose no tokens. Accounts whose rows count less than was
        granted are tried again until all are written, and kept if that fails.

        Args:
            until: Loop time after which no further attempt begins.

        Returns:
            Whether all that was granted here is recorded or has another owner.
        """
        clock = asyncio.get_running_loop().time
        while await self._write_unrecorded_concurrently() and clock() < until:
            await asyncio.sleep(CLOSE_POLL_S)
        recorded = {}
        for program in list(self._accounts):
            # Removed before its row is written: a turn that comes in between must not
            # be granted from an account that is about to be dropped.
            async with self._exclusive(program):
                account = self._accounts.get(program)
                if account is not None and not account.uncounted:
                    recorded[program] = self._accounts.pop(program)
        await self._rows.flush(recorded)
        left = self._unrecorded_programs()
        is_complete = not (left or self.has_unrecorded)
        self._log.record(
            "accounts_closed",
            recorded=len(recorded),
            unrecorded=len(left),
            uncounted_tokens=sum(self._accounts[item].uncounted for item in left),
            has_lost_grants=self._has_lost_grants,
            is_complete=is_complete,
        )
        return is_complete

    def _unrecorded_programs(self) -> list[str]:
        return [
            program for program, account in self._accounts.items() if account.uncounted
        ]

    async def _write_unrecorded_concurrently(self) -> bool:
        """Write rows for what no row counts; return whether any are still missing."""

        async def write(program: str) -> None:
            async with self._rows.write_slots:
                # Each write would wait for the store; all must end with the stop.
                if not self._store_state().is_unreachable:
                    await self._write_unrecorded(program, self._accounts.get(program))

        await asyncio.gather(*(write(item) for item in self._unrecorded_programs()))
        return bool(self._unrecorded_programs())

    async def write_unrecorded_accounts(self) -> None:
        """Write rows for accounts that were opened while the store was unreachable."""
        for program, account in list(self._accounts.items()):
            if not await self._write_unrecorded(program, account):
                return

    async def _write_unrecorded(self, program: str, account: Account | None) -> bool:
        """Write a program's row if it counts less than was granted.

        Returns:
            False if the store did not answer.
        """
        if account is None or not account.uncounted:
            return True
        async with self._locks.setdefault(program, asyncio.Lock()):
            # A write that finds the row of another owner only adopts it.
            for _ in range(MAX_GRANT_ATTEMPTS):
                is_current = self._accounts.get(program) is account
                if not is_current or not account.uncounted:
                    break
                allowance = account.allowance
                # From here on the row may count just this, so grant no more.
                account.allowance = min(allowance, account.spent)
                try:
                    await self._allowances.write_allowance(
                        program, account, account.spent
                    )
                except RowStoreAwayError as error:
                    if error.verdict == NOT_RUN:
                        account.allowance = allowance
                    self._log.record(
                        "not_covered", program=program, reason=error.message
                    )
                    return False
        return True

    async def write_idle_forever(self) -> None:
        """Call :meth:`write_idle` periodically; write rows that are still missing."""
        while True:
            await asyncio.sleep(IDLE_S / 2)
            if self.has_unrecorded and not self._store_state().is_unreachable:
                await self.write_unrecorded_accounts()
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
            self._handed_out = {
                program: at for program, at in self._handed_out.items() if at > now
            }

    def _open(self, program: str, budget: int, *, is_passed_over: bool) -> Account:
        """Open an account; if it has a row already, the first write finds it."""
        account = Account(budget, opened_serial=self._rows.serial)
        account.may_lack_grants = self._may_have_lost_owner(program)
        account.is_second_choice = is_passed_over or not self._is_first_choice(program)
        self._accounts[program] = account
        return account

    def _count_lost_grants(self, program: str, account: Account) -> None:
        """Count a share of the budget as spent where grants without a row may be lost.

        Decided anew for each turn until the first one is granted: by then an owner that
        was leaving may have written its rows. An owner that does not answer may be dead
        before its heartbeats are missed.
        """
        if not account.is_new:
            return
        store_state = self._store_state()
        may_lack_grants = (
            account.may_lack_grants
            or store_state.may_have_lost_grants
            or (store_state.was_unreachable and account.is_second_choice)
        )
        assumed = int(account.budget * ASSUMED_SPENT_SHARE)
        account.assumed = assumed if may_lack_grants else 0
        if may_lack_grants:
            self._log.record(
                "lost_grants_assumed",
                program=program,
                tokens=account.assumed,
                may_have_lost=store_state.may_have_lost_grants,
                may_lack=account.may_lack_grants,
                is_second_choice=account.is_second_choice,
            )
