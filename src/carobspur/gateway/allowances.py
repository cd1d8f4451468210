"""Extends the covers of accounts: by the store, a former home, or without either."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from .account_rows import AccountRows
from .accounts import UNRECORDED_SHARE, Account, ReleasedAccount
from .decisions import DecisionLog
from .early_settlements import EarlySettlements
from .partition import partition_timeout_s
from .released_accounts import ReleasedAccounts
from .rows import Row, RowConflictError, RowStoreAwayError
from .spending_records import (
    MovedAccount,
    SpendingRow,
    StoreState,
    fill_account,
)

OUTAGE_POLL_S = 0.05
"""Time between looks at whether the store turns out to be away meanwhile."""

RequestRelease = Callable[[str, str, int, int], Awaitable[ReleasedAccount | None]]
"""Asks a holder for a program's account, by version and serial of the row that was
found; ``None`` where it says nothing."""


Pull = Callable[[str], Awaitable[MovedAccount | None]]
"""Asks the gateways that may have been a program's home for its account."""


class Allowances:
    """Extends the covers of the accounts at one home.

    Args:
        name: Name of the home.
        rows: Rows of its accounts.
        early_settlements: Ends of turns that came before their accounts.
        released_accounts: Accounts that the home has given up.
        request_release: Asks another gateway to give an account up.
        pull: Asks likely former homes for an account while the store does not answer.
        store_state: Returns what is known of the store.
        log: Decision log.
    """

    __slots__ = (
        "_store_state",
        "_early_settlements",
        "_released_accounts",
        "_request_release",
        "_log",
        "_name",
        "_pull",
        "_rows",
    )

    def __init__(
        self,
        name: str,
        rows: AccountRows,
        early_settlements: EarlySettlements,
        released_accounts: ReleasedAccounts,
        *,
        request_release: RequestRelease,
        pull: Pull,
        store_state: Callable[[], StoreState],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._rows = rows
        self._early_settlements = early_settlements
        self._released_accounts = released_accounts
        self._request_release = request_release
        self._pull = pull
        self._store_state = store_state
        self._log = log

    def __repr__(self) -> str:
        return f"Covers({self._name!r})"

    async def extend(
        self, program: str, account: Account, needed: int, tokens: int
    ) -> None:
        """Cover tokens, or begin without where the store turns out to be away.

        Raises:
            RowStoreAwayError: The store is away and the program may not begin.
        """
        if await self._begin_without_store(program, account, tokens):
            return
        if self._store_state().should_fail_fast:
            raise RowStoreAwayError("the store is away")
        writing = asyncio.create_task(self.write_allowance(program, account, needed))
        pulling = asyncio.create_task(self._pull_when_silent(program, account))
        has_looked = False
        try:
            # A slow store still answers; whether it is away is known meanwhile.
            while not writing.done():
                await _first_of(writing, pulling, timeout_s=OUTAGE_POLL_S)
                if pulling.done() and pulling.result():
                    return
                if writing.done():
                    break
                store_state = self._store_state()
                if store_state.is_unreachable and not has_looked:
                    has_looked = True
                    if await self._begin_without_store(program, account, tokens):
                        return
                if store_state.should_fail_fast:
                    raise RowStoreAwayError("the store is away")
            await writing
        except RowStoreAwayError:
            if not await self._begin_without_store(program, account, tokens):
                raise
        finally:
            writing.cancel()
            pulling.cancel()

    async def _pull_when_silent(self, program: str, account: Account) -> bool:
        """Go on with a former home's cover once the part with the row seems silent.

        The row would name that home; the likely ones are asked instead.

        Returns:
            Whether the turn may be looked at again.
        """
        await asyncio.sleep(partition_timeout_s(self._store_state().usual_s))
        if self._store_state().is_unreachable or not account.is_new:
            return False
        return await self._pull_account(program, account)

    async def _begin_without_store(
        self, program: str, account: Account, tokens: int
    ) -> bool:
        """Let a program begin while the store is away, up to a small share.

        A former home may hold its account, so the likely ones are asked first.
        """
        store_state = self._store_state()
        if not store_state.is_unreachable or account.version:
            return False
        if account.is_new and await self._pull_account(program, account):
            return True
        unrecorded_limit = int(account.budget * UNRECORDED_SHARE)
        if (
            not store_state.may_grant_unrecorded
            or account.spent + tokens > account.spent_before + unrecorded_limit
        ):
            return False
        account.allowance = account.spent_before + unrecorded_limit
        self._log.record("account_uncovered", program=program, tokens=unrecorded_limit)
        return True

    async def _pull_account(self, program: str, account: Account) -> bool:
        """Go on with the account of a likely former home; return whether one had it."""
        moved = await self._pull(program)
        if moved is None:
            return False
        fill_account(account, moved)
        self._early_settlements.settle(account)
        self._log.record(
            "account_pulled",
            program=program,
            covered=moved.allowance,
            spent=moved.spent,
        )
        return True

    async def write_allowance(
        self, program: str, account: Account, tokens: int
    ) -> None:
        """Write that so many tokens count as spent; adopts a row found instead."""
        try:
            await self._rows.write_allowance(program, account, tokens)
        except RowConflictError as error:
            await self.adopt(program, account, error.rows)
            return
        self._released_accounts.forget(program)

    async def adopt(self, program: str, account: Account, rows: list[Row]) -> None:
        """Go on from the row that a write has met; asks its holder what was spent.

        Args:
            program: The program.
            account: Its account here.
            rows: What the conflict has shown.
        """
        found = next((item for item in rows if item.value is not None), None)
        if found is None:
            # The row was dropped as unused; what is known here stands.
            account.version = 0
            account.is_row_uncertain = False
            return
        row = msgspec.msgpack.decode(found.value, type=SpendingRow)
        if row.holder == self._name and row.serial > account.opened_serial:
            # An earlier write of this account whose answer was lost.
            account.allowance, account.version = row.tokens, found.version
            account.is_row_uncertain = False
            return
        released = await self._ask_former_owner(row, program, found.version)
        spent = released.spent_with_row(row.tokens) if released else row.tokens
        self._log.record(
            "account_adopted",
            program=program,
            holder=row.holder,
            covered=row.tokens,
            spent=spent,
            row_version=found.version,
        )
        under_way = (dict(released.open) if released else {}) | account.unrecorded_turns
        account.adopt(spent + account.unrecorded, found.version, under_way)
        self._early_settlements.settle(account)
        account.allowance = 0

    async def _ask_former_owner(
        self, row: SpendingRow, program: str, version: int
    ) -> ReleasedAccount | None:
        """Return what the holder of a row says of its account."""
        if row.holder == self._name:
            return self._released_accounts.for_row(program, version, row.serial)
        if not row.holder:
            return None
        return await self._request_release(row.holder, program, version, row.serial)


async def _first_of(*tasks: asyncio.Task, timeout_s: float) -> None:
    """Wait until one of those tasks ends that are under way."""
    under_way = [task for task in tasks if not task.done()]
    await asyncio.wait(
        under_way, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
