"""Raises the allowances of accounts.

The usual way is a write of the program's row. While the store, or the partition with
the row, does not answer, the account is pulled from a likely former owner together with
its allowance; while the store is unreachable, a new program may also begin with a small
allowance that no row records.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from .account_rows import AccountRows
from .accounts import Account, ReleasedAccount
from .customers.ownership import unscoped_name
from .decisions import DecisionLog
from .early_settlements import EarlySettlements
from .partition import partition_timeout_s
from .released_accounts import ReleasedAccounts
from .rows import Row, RowConflictError, RowStoreAwayError
from .spending_records import (
    MovedAccount,
    OwnerSilentError,
    SpendingRow,
    StoreState,
    fill_account,
)

OUTAGE_POLL_S = 0.05
"""Interval at which a pending write checks whether the store is now unreachable."""

RequestRelease = Callable[[str, str, int, int], Awaitable[ReleasedAccount | None]]
"""Asks the holder named in a row to release a program's account.

Called with the holder, the program, and the version and the serial of the row; returns
``None`` if the holder does not answer or has no report on the account.
"""

Release = Callable[[str, int, int], Awaitable[ReleasedAccount | None]]
"""Releases an account of this owner; like ``RequestRelease`` without the holder."""

Pull = Callable[[str], Awaitable[MovedAccount | None]]
"""Asks the gateways that may have owned a program's account to hand it over.

Raises ``OwnerSilentError`` if none of them does, but one did not answer or had it.
"""


class Allowances:
    """Raises the allowances of the accounts of one owner.

    Args:
        name: Name of the owner.
        rows: Writes the rows of its accounts.
        early_settlements: Settlements that arrived before their turns.
        released_accounts: Accounts that the owner has released.
        release: Releases an account of this owner.
        request_release: Asks another gateway to release an account.
        pull: Asks likely former owners for an account while the store does not answer.
        confirm_pull: Called with a program once its account, which was pulled, is in
            use here.
        store_state: Returns the state of the store as known to this gateway.
        log: Decision log.
    """

    __slots__ = (
        "_store_state",
        "_confirm_pull",
        "_early_settlements",
        "_log",
        "_name",
        "_pull",
        "_release",
        "_released_accounts",
        "_request_release",
        "_rows",
    )

    def __init__(
        self,
        name: str,
        rows: AccountRows,
        early_settlements: EarlySettlements,
        released_accounts: ReleasedAccounts,
        *,
        release: Release,
        request_release: RequestRelease,
        pull: Pull,
        confirm_pull: Callable[[str], None],
        store_state: Callable[[], StoreState],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._rows = rows
        self._early_settlements = early_settlements
        self._released_accounts = released_accounts
        self._release = release
        self._request_release = request_release
        self._pull = pull
        self._confirm_pull = confirm_pull
        self._store_state = store_state
        self._log = log

    def __repr__(self) -> str:
        return f"Allowances({self._name!r})"

    async def extend(
        self, program: str, account: Account, needed: int, tokens: int
    ) -> None:
        """Raise an allowance through the store, or without it while it is unreachable.

        On return the turn may be tried again: the allowance has grown, or the account
        was updated from its row or from a former owner.

        Args:
            program: The program.
            account: Its account; the caller holds its lock.
            needed: The allowance to write to the row.
            tokens: The most that the waiting turn may generate.

        Raises:
            RowStoreAwayError: The store did not answer, and the turn may not run
                without it.
        """
        if await self._begin_without_store(program, account, tokens):
            return
        if await self._search(program, account):
            return
        if self._store_state().should_fail_fast:
            raise RowStoreAwayError("the row store is unreachable")
        writing = asyncio.create_task(self.write_allowance(program, account, needed))
        pulling = asyncio.create_task(self._pull_when_silent(program, account))
        tried_without_store = False
        try:
            # A slow store still answers; an outage may be detected during the wait.
            while not writing.done():
                await _first_of(writing, pulling, timeout_s=OUTAGE_POLL_S)
                if pulling.done() and pulling.result():
                    return
                if writing.done():
                    break
                store_state = self._store_state()
                if store_state.is_unreachable and not tried_without_store:
                    tried_without_store = True
                    if await self._begin_without_store(program, account, tokens):
                        return
                if store_state.should_fail_fast:
                    raise RowStoreAwayError("the row store is unreachable")
            await writing
        except RowStoreAwayError:
            if not await self._begin_without_store(program, account, tokens):
                raise
        finally:
            writing.cancel()
            pulling.cancel()

    async def _pull_when_silent(self, program: str, account: Account) -> bool:
        """Pull the account if the partition with its row does not answer in time.

        The row would name the former owner; without it, the likely ones are asked.

        Returns:
            Whether the account was pulled, so that the turn may be tried again.
        """
        await asyncio.sleep(partition_timeout_s(self._store_state().usual_s))
        if self._store_state().is_unreachable or not account.is_new:
            return False
        return await self._pull_account(program, account)

    async def _begin_without_store(
        self, program: str, account: Account, tokens: int
    ) -> bool:
        """Let a turn run without a store call while the store is unreachable.

        A former owner may still have the account, so it is pulled if possible.
        Otherwise the program gets a small share of its budget without a row.

        Returns:
            Whether the turn may be tried again.
        """
        store_state = self._store_state()
        if not store_state.is_unreachable or account.version:
            return False
        if account.is_new and await self._pull_account(program, account):
            return True
        if (
            not store_state.may_grant_unrecorded
            or store_state.may_have_lost_grants
            or account.may_lack_grants
            or account.is_second_choice
        ):
            self._log.record(
                "unrecorded_refused",
                program=program,
                may_grant=store_state.may_grant_unrecorded,
                may_have_lost=store_state.may_have_lost_grants,
                may_lack=account.may_lack_grants,
                is_second_choice=account.is_second_choice,
            )
            return False
        if account.spent + tokens > account.unrecorded_allowance:
            return False
        account.allowance = account.unrecorded_allowance
        self._log.record(
            "account_uncovered", program=program, tokens=account.unrecorded_limit
        )
        return True

    async def _search(self, program: str, account: Account) -> bool:
        """Ask for a new account that another gateway may have opened in an outage.

        Until that gateway has written the row, nothing in the store shows its grants.

        Returns:
            Whether the turn is to be tried again: the account was pulled, or grants may
            be lost.
        """
        store_state = self._store_state()
        if (
            account.was_searched
            or account.may_lack_grants
            or not account.is_new
            or not store_state.may_be_granted_elsewhere
        ):
            return False
        account.was_searched = True
        return await self._pull_account(program, account) or account.may_lack_grants

    async def _pull_account(self, program: str, account: Account) -> bool:
        """Pull the account from a likely former owner; return whether one had it."""
        try:
            moved = await self._pull(program)
        except OwnerSilentError as error:
            account.may_lack_grants = True
            self._log.record("not_pulled", program=program, reason=error.message)
            return False
        if moved is None:
            return False
        fill_account(account, moved)
        self._confirm_pull(program)
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
        """Write an allowance to the row; on a conflict, adopt the row that was found.

        Raises:
            RowStoreAwayError: The store did not answer; the row may have been written.
        """
        try:
            await self._rows.write_allowance(program, account, tokens)
        except RowConflictError as error:
            await self.adopt(program, account, error.rows)
            return
        self._released_accounts.forget(program)

    async def adopt(self, program: str, account: Account, rows: list[Row]) -> None:
        """Update the account from the row that a write found and its holder's report.

        Args:
            program: The program.
            account: Its account here.
            rows: Current rows, as the conflict error lists them.
        """
        found = _find_row(program, rows)
        if found is None and await self._count_unscoped(program, account, rows):
            return
        if found is None:
            # The row was removed as unused; the account here remains valid.
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
        open_turns = (
            dict(released.open) if released else {}
        ) | account.unrecorded_turns
        account.adopt(spent + account.unrecorded, found.version, open_turns)
        self._early_settlements.settle(account)
        account.allowance = 0

    async def _count_unscoped(
        self, program: str, account: Account, rows: list[Row]
    ) -> bool:
        """Count the row from before the configuration had customers, if found.

        Returns:
            Whether there is such a row that the account did not count yet.
        """
        unscoped = unscoped_name(program)
        found = _find_row(unscoped, rows) if unscoped else None
        if found is None:
            # It may have been removed since; the next write expects none.
            account.unscoped_version = 0
            return False
        if found.version == account.unscoped_version:
            return False
        row = msgspec.msgpack.decode(found.value, type=SpendingRow)
        if row.holder == self._name:
            # The account of the same program without a scope may still be open here.
            released = await self._release(unscoped, found.version, row.serial)
        else:
            released = await self._ask_former_owner(row, unscoped, found.version)
        spent = released.spent_with_row(row.tokens) if released else row.tokens
        account.count_unscoped(spent, found.version)
        account.is_row_uncertain = False
        self._log.record(
            "account_adopted",
            program=program,
            holder=row.holder,
            covered=row.tokens,
            spent=spent,
            row_version=found.version,
        )
        return True

    async def _ask_former_owner(
        self, row: SpendingRow, program: str, version: int
    ) -> ReleasedAccount | None:
        """Return the report of the holder that a row names; ``None`` without one."""
        if row.holder == self._name:
            return self._released_accounts.for_row(program, version, row.serial)
        if not row.holder:
            return None
        return await self._request_release(row.holder, program, version, row.serial)


def _find_row(program: str, rows: list[Row]) -> Row | None:
    """Return a program's row if it exists and is listed."""
    return next(
        (row for row in rows if row.key.key == program and row.value is not None), None
    )


async def _first_of(*tasks: asyncio.Task, timeout_s: float) -> None:
    """Wait until one of the tasks that still run ends, at most ``timeout_s``."""
    pending = [task for task in tasks if not task.done()]
    await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
