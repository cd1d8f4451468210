"""Extends the covers of accounts: by the store, a former home, or without either."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from .account_rows import AccountRows
from .accounts import UNCOVERED_SHARE, Account, GivenUp
from .decisions import DecisionLog
from .early_ends import EarlyEnds
from .given_up import GivenUpAccounts
from .partition import silence_s
from .rows import Row, RowConflictError, RowStoreAwayError
from .spending_records import (
    MovedAccount,
    SpendingRow,
    StoreDoubt,
    fill_account,
)

LOOK_S = 0.05
"""Time between looks at whether the store turns out to be away meanwhile."""

HandOver = Callable[[str, str, int, int], Awaitable[GivenUp | None]]
"""Asks a holder for a program's account, by version and serial of the row that was
found; ``None`` where it says nothing."""


Pull = Callable[[str], Awaitable[MovedAccount | None]]
"""Asks the gateways that may have been a program's home for its account."""


class Covers:
    """Extends the covers of the accounts at one home.

    Args:
        name: Name of the home.
        rows: Rows of its accounts.
        early: Ends of turns that came before their accounts.
        given_up: Accounts that the home has given up.
        hand_over: Asks another gateway to give an account up.
        pull: Asks likely former homes for an account while the store does not answer.
        doubt: Returns what is known of the store.
        log: Decision log.
    """

    __slots__ = (
        "_doubt",
        "_early",
        "_given_up",
        "_hand_over",
        "_log",
        "_name",
        "_pull",
        "_rows",
    )

    def __init__(
        self,
        name: str,
        rows: AccountRows,
        early: EarlyEnds,
        given_up: GivenUpAccounts,
        *,
        hand_over: HandOver,
        pull: Pull,
        doubt: Callable[[], StoreDoubt],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._rows = rows
        self._early = early
        self._given_up = given_up
        self._hand_over = hand_over
        self._pull = pull
        self._doubt = doubt
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
        if await self._go_on_without(program, account, tokens):
            return
        if self._doubt().is_wait_in_vain:
            raise RowStoreAwayError("the store is away")
        covering = asyncio.create_task(self.cover(program, account, needed))
        pulling = asyncio.create_task(self._bypass_silent_part(program, account))
        has_looked = False
        try:
            # A slow store still answers; whether it is away is known meanwhile.
            while not covering.done():
                await _first_of(covering, pulling, timeout_s=LOOK_S)
                if pulling.done() and pulling.result():
                    return
                if covering.done():
                    break
                doubt = self._doubt()
                if doubt.is_away and not has_looked:
                    has_looked = True
                    if await self._go_on_without(program, account, tokens):
                        return
                if doubt.is_wait_in_vain:
                    raise RowStoreAwayError("the store is away")
            await covering
        except RowStoreAwayError:
            if not await self._go_on_without(program, account, tokens):
                raise
        finally:
            covering.cancel()
            pulling.cancel()

    async def _bypass_silent_part(self, program: str, account: Account) -> bool:
        """Go on with a former home's cover once the part with the row seems silent.

        The row would name that home; the likely ones are asked instead.

        Returns:
            Whether the turn may be looked at again.
        """
        await asyncio.sleep(silence_s(self._doubt().usual_s))
        if self._doubt().is_away or not account.is_new:
            return False
        return await self._pull_account(program, account)

    async def _go_on_without(self, program: str, account: Account, tokens: int) -> bool:
        """Let a program begin while the store is away, up to a small share.

        A former home may hold its account, so the likely ones are asked first.
        """
        doubt = self._doubt()
        if not doubt.is_away or account.version:
            return False
        if account.is_new and await self._pull_account(program, account):
            return True
        uncovered = int(account.budget * UNCOVERED_SHARE)
        if (
            not doubt.may_grant_uncovered
            or account.spent + tokens > account.base + uncovered
        ):
            return False
        account.covered = account.base + uncovered
        self._log.note("account_uncovered", program=program, tokens=uncovered)
        return True

    async def _pull_account(self, program: str, account: Account) -> bool:
        """Go on with the account of a likely former home; return whether one had it."""
        moved = await self._pull(program)
        if moved is None:
            return False
        fill_account(account, moved)
        self._early.settle(account)
        self._log.note(
            "account_pulled", program=program, covered=moved.covered, spent=moved.spent
        )
        return True

    async def cover(self, program: str, account: Account, tokens: int) -> None:
        """Write that so many tokens count as spent; adopts a row found instead."""
        try:
            await self._rows.cover(program, account, tokens)
        except RowConflictError as error:
            await self.adopt(program, account, error.rows)
            return
        self._given_up.forget(program)

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
            account.is_row_unsure = False
            return
        row = msgspec.msgpack.decode(found.value, type=SpendingRow)
        if row.holder == self._name and row.serial > account.opened_serial:
            # An earlier write of this account whose answer was lost.
            account.covered, account.version = row.tokens, found.version
            account.is_row_unsure = False
            return
        told = await self._former(row, program, found.version)
        spent = told.counted(row.tokens) if told else row.tokens
        self._log.note(
            "account_adopted",
            program=program,
            holder=row.holder,
            covered=row.tokens,
            spent=spent,
            row_version=found.version,
        )
        under_way = (dict(told.open) if told else {}) | account.unrecorded_turns
        account.adopt(spent + account.unrecorded, found.version, under_way)
        self._early.settle(account)
        account.covered = 0

    async def _former(
        self, row: SpendingRow, program: str, version: int
    ) -> GivenUp | None:
        """Return what the holder of a row says of its account."""
        if row.holder == self._name:
            return self._given_up.about(program, version, row.serial)
        if not row.holder:
            return None
        return await self._hand_over(row.holder, program, version, row.serial)


async def _first_of(*tasks: asyncio.Task, timeout_s: float) -> None:
    """Wait until one of those tasks ends that are under way."""
    under_way = [task for task in tasks if not task.done()]
    await asyncio.wait(
        under_way, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
