"""Budgets of organisations and users, shared among schedulers by grants.

An allowance is never exceeded, even if processes die at any time. A scheduler draws a
grant, which is a bounded part of an allowance, in a transaction on the allowance's row,
and spends only from the grant. It draws again before the grant is used up, so that
calls seldom wait for a draw. The grant of a dead session counts as spent until the
window ends, so dead and idle sessions may leave part of an allowance unused. A
scheduler that is stopped as planned returns its grants.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from urllib.parse import quote

import msgspec

from .clock import Clock
from .errors import BudgetExhaustedError, CarobspurError, StoreConflictError
from .grants import Account, BudgetRow, Reservation, draw
from .inventory import Allowance, Inventory
from .session import Session
from .table import ABSENT_VERSION, Check, Table, Write

BUDGET_PREFIX = "budget/"
MAX_DRAW_ATTEMPTS = 20
GRANTS_PER_SCHEDULER = 4
IDLE_AFTER_S = 10.0
IDLE_CHECK_INTERVAL_S = 5.0
# No draw ahead is made for this long after a draw found too few units left.
DRAW_AHEAD_PAUSE_S = 1.0

_logger = logging.getLogger(__name__)


class Budgets:
    """The accounts of one scheduler, from which its calls reserve cost units.

    Args:
        table: The table service, which stores the allowances' rows.
        session: The scheduler's session, which commits the draws.
        clock: Source of time; windows follow its wall clock.
        grant_units: Largest number of cost units to draw at once, unless one call needs
            more. Less is drawn from a small allowance, so that the sessions together
            hold little of it.
        schedulers: Returns the number of live schedulers.
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_grant_units",
        "_schedulers",
        "_session",
        "_table",
    )

    def __init__(
        self,
        *,
        table: Table,
        session: Session,
        clock: Clock,
        grant_units: int,
        schedulers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._table = table
        self._session = session
        self._clock = clock
        self._grant_units = grant_units
        self._schedulers = schedulers
        self._accounts: dict[str, Account] = {}

    def __repr__(self) -> str:
        return f"Budgets({len(self._accounts)} accounts)"

    async def reserve(self, inventory: Inventory, user: str, units: int) -> Reservation:
        """Reserve cost units in every allowance that applies to a call.

        Args:
            inventory: The organisation's inventory.
            user: The user for whom the call runs.
            units: The largest cost that the call can have, in cost units.

        Raises:
            BudgetExhaustedError: An allowance has too few units left; the error says
                when its next window starts.
            SessionLostError: The session was taken over.
        """
        reservation = Reservation(units)
        try:
            for account in self._accounts_for(inventory, user):
                await self._reserve_in(account, units)
                reservation.add(account)
        except BaseException:
            reservation.settle(0)
            raise
        return reservation

    async def run(self) -> None:
        """Return the grants of idle accounts, until cancelled or the session is lost.

        An account is idle if no call has used it for ``IDLE_AFTER_S``. Only grants of
        allowances of whole organisations are returned, not those of single users.
        """
        while not self._session.is_lost:
            await self._clock.sleep(IDLE_CHECK_INTERVAL_S)
            now_s = self._clock.monotonic()
            for account in list(self._accounts.values()):
                is_idle = now_s - account.last_use_s > IDLE_AFTER_S
                if account.allowance.user == "" and is_idle and account.available > 0:
                    await self._return_unused(account)

    async def release(self) -> None:
        """Return every grant; for a planned stop, when no call is in flight."""
        for account in list(self._accounts.values()):
            if account.available > 0:
                await self._return_unused(account)

    def _accounts_for(self, inventory: Inventory, user: str) -> list[Account]:
        """Return the accounts of a call.

        Of several allowances with the same owner and window the smallest applies.
        """
        strictest: dict[str, Allowance] = {}
        for allowance in inventory.allowances:
            if allowance.user not in ("", "*", user):
                continue
            owner = "" if allowance.user == "" else quote(user, safe="")
            key = (
                f"{BUDGET_PREFIX}{inventory.organisation}/{owner}/{allowance.window_s}"
            )
            known = strictest.get(key)
            if known is None or allowance.units < known.units:
                strictest[key] = allowance
        return [self._account_for(key, item) for key, item in strictest.items()]

    def _account_for(self, key: str, allowance: Allowance) -> Account:
        """Return the account with this key, opened if needed; apply the allowance."""
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(key, allowance)
        account.apply(allowance)
        return account

    async def _reserve_in(self, account: Account, units: int) -> None:
        account.enter_window(self._current_window(account.allowance))
        account.last_use_s = self._clock.monotonic()
        if account.waiting or account.available < units:
            account.waiting += 1
            try:
                await self._draw_until_available(account, units)
            finally:
                account.waiting -= 1
        account.reserved += units
        self._draw_ahead(account)

    async def _draw_until_available(self, account: Account, units: int) -> None:
        """Draw until the units are available; awaits a draw in progress first."""
        while account.available < units:
            current_draw = account.draw_task
            if current_draw is not None:
                await asyncio.wait({current_draw})
                continue
            await asyncio.shield(self._start_draw(account, units))

    def _draw_ahead(self, account: Account) -> None:
        """Start a draw before the grant is used up, without delaying a call."""
        now_s = self._clock.monotonic()
        may_draw = account.draw_task is None and now_s >= account.no_draw_until_s
        if account.is_draw_due and may_draw:
            self._start_draw(account, 0)

    def _start_draw(self, account: Account, units: int) -> asyncio.Task[None]:
        account.draw_task = asyncio.ensure_future(self._draw(account, units))
        account.draw_task.add_done_callback(lambda task: _end_draw(account, task))
        return account.draw_task

    def _current_window(self, allowance: Allowance) -> int:
        """Return the number of the current window, counted from 1970."""
        return int(self._clock.wall() // allowance.window_s)

    async def _draw(self, account: Account, units: int) -> None:
        """Draw a new grant; retry if another scheduler wrote the row first.

        Args:
            account: The account.
            units: Units that must be available afterwards; 0 to draw ahead.

        Raises:
            BudgetExhaustedError: Too few units are left, or every attempt conflicted.
        """
        for _ in range(MAX_DRAW_ATTEMPTS):
            row, version = await self._read(account)
            allowance = account.allowance
            preferred = self._preferred_grant(account, row)
            required = max(0, units - account.available)
            new = draw(
                row,
                session=self._session.id,
                allowance=allowance.units,
                unreported=account.unreported,
                held=account.held,
                required=required,
                preferred=max(required, preferred),
            )
            if new is None or (not units and not preferred):
                account.no_draw_until_s = self._clock.monotonic() + DRAW_AHEAD_PAUSE_S
                raise self._exhausted_error(account)
            if await self._write(account, new, version):
                account.limit_at_draw = allowance.units
                return
        raise BudgetExhaustedError(
            f"{account.key}: each draw conflicted with those of other schedulers",
            retry_after_s=1.0,
        )

    async def _return_unused(self, account: Account) -> None:
        """Return the unreserved part of a grant; errors are logged and not raised.

        The account drops the units before it writes the row. If the write fails, the
        row counts them as held until the account's next draw.
        """
        try:
            row, version = await self._read(account)
            account.held = account.reserved
            spent = row.spent + account.unreported
            grants = {**row.open, self._session.id: account.held}
            if not account.held:
                del grants[self._session.id]
            await self._write(account, BudgetRow(row.window, spent, grants), version)
        except CarobspurError as error:
            _logger.info(
                "%s: unused grant was not returned: %s", account.key, error.message
            )

    async def _read(self, account: Account) -> tuple[BudgetRow, int]:
        """Return the content and version of an account's row.

        If the row's window is later than the account's, the account enters it. If it
        is earlier, an empty row of the account's window is returned.
        """
        stored = await self._table.read(account.key)
        if stored is None:
            return BudgetRow(account.window), ABSENT_VERSION
        row = msgspec.json.decode(stored.value, type=BudgetRow)
        account.enter_window(row.window)
        if row.window < account.window:
            row = BudgetRow(account.window)
        return row, stored.version

    def _preferred_grant(self, account: Account, row: BudgetRow) -> int:
        """Return the size of a grant that leaves most remaining units to others.

        It is the remaining allowance divided by ``GRANTS_PER_SCHEDULER`` times the
        number of live schedulers, at most ``grant_units``.
        """
        left = account.allowance.units - row.committed
        share = left // (GRANTS_PER_SCHEDULER * max(1, self._schedulers()))
        return max(0, min(self._grant_units, share))

    async def _write(self, account: Account, row: BudgetRow, version: int) -> bool:
        """Write a row; return False if another session wrote it since it was read.

        Afterwards the account has the grant of the written row, unless its window
        has ended meanwhile.
        """
        unreported, held = account.unreported, account.held
        try:
            await self._session.commit(
                checks=[Check(account.key, version)],
                writes=[Write(account.key, msgspec.json.encode(row))],
            )
        except StoreConflictError:
            return False
        if account.window == row.window:
            grant = row.open.get(self._session.id, 0) - held
            account.unreported -= unreported
            account.held += grant
            account.last_grant = grant or account.last_grant
        return True

    def _exhausted_error(self, account: Account) -> BudgetExhaustedError:
        window_s = account.allowance.window_s
        wait_s = (account.window + 1) * window_s - self._clock.wall()
        owner = account.key.split("/")[2] or "the organisation"
        return BudgetExhaustedError(
            f"the allowance of {owner} does not cover this call",
            retry_after_s=max(1.0, wait_s),
        )


def _end_draw(account: Account, task: asyncio.Task[None]) -> None:
    """Clear the finished draw, and retrieve its error in case no call awaits it."""
    account.draw_task = None
    if not task.cancelled():
        task.exception()
