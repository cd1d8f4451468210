"""Budgets by grants: no allowance is exceeded, whichever process dies when.

A scheduler draws a bounded part of an allowance, its grant, in a transaction on the
allowance's row, and spends only from it. It draws again before the grant is used up,
so that calls seldom wait for a draw. What a dead session had drawn counts as spent
until the window ends: the allowance can be under-used by the grants of dead and idle
sessions, and is never exceeded. A planned stop gives its grants back.
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
MAX_DRAW_TRIES = 20
GRANTS_PER_SCHEDULER = 4
IDLE_RETURN_S = 10.0
RETURN_PERIOD_S = 5.0
EXHAUSTED_PAUSE_S = 1.0

_logger = logging.getLogger(__name__)


class Budgets:
    """The grants of one scheduler.

    Args:
        table: The table service.
        session: The scheduler's session; draws go with its commits.
        clock: Source of time; windows follow its wall clock.
        grant_units: Most units to draw at once; of a small allowance less is drawn,
            so that the sessions together hold little of it.
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
        """Set units aside in every allowance that covers a call.

        Args:
            inventory: The organisation's inventory.
            user: The user the call runs for.
            units: The most that the call can cost.

        Raises:
            BudgetExhaustedError: An allowance does not cover the units; the error says
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
        """Give back what idle accounts hold until the task is cancelled."""
        while not self._session.is_lost:
            await self._clock.sleep(RETURN_PERIOD_S)
            now_s = self._clock.monotonic()
            for account in list(self._accounts.values()):
                is_idle = now_s - account.last_use_s > IDLE_RETURN_S
                if account.allowance.user == "" and is_idle and account.available > 0:
                    await self._return_unused(account)

    async def release(self) -> None:
        """Give back every grant; for a planned stop, when no call is under way."""
        for account in list(self._accounts.values()):
            if account.available > 0:
                await self._return_unused(account)

    def _accounts_for(self, inventory: Inventory, user: str) -> list[Account]:
        """Return the accounts of a call, the stricter of two allowances for one."""
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
        return [self._account(key, item) for key, item in strictest.items()]

    def _account(self, key: str, allowance: Allowance) -> Account:
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(key, allowance)
        account.apply(allowance)
        return account

    async def _reserve_in(self, account: Account, units: int) -> None:
        account.enter_window(self._window(account.allowance))
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
        """Draw until units are free; a draw under way is waited for first."""
        while account.available < units:
            other = account.draw_task
            if other is not None:
                await asyncio.wait({other})
                continue
            await asyncio.shield(self._start_draw(account, units))

    def _draw_ahead(self, account: Account) -> None:
        """Draw before the grant is used up, off the path of any call."""
        now_s = self._clock.monotonic()
        may_draw = account.draw_task is None and now_s >= account.no_draw_until_s
        if account.is_draw_due and may_draw:
            self._start_draw(account, 0)

    def _start_draw(self, account: Account, units: int) -> asyncio.Task[None]:
        account.draw_task = asyncio.ensure_future(self._draw(account, units))
        account.draw_task.add_done_callback(lambda task: _end_draw(account, task))
        return account.draw_task

    def _window(self, allowance: Allowance) -> int:
        return int(self._clock.wall() // allowance.window_s)

    async def _draw(self, account: Account, units: int) -> None:
        for _ in range(MAX_DRAW_TRIES):
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
                account.no_draw_until_s = self._clock.monotonic() + EXHAUSTED_PAUSE_S
                raise self._exhausted_error(account)
            if await self._write(account, new, version):
                account.limit_at_draw = allowance.units
                return
        raise BudgetExhaustedError(
            f"{account.key}: too many schedulers draw at once", retry_after_s=1.0
        )

    async def _return_unused(self, account: Account) -> None:
        """Shorten a grant to what is reserved; what fails is kept."""
        try:
            row, version = await self._read(account)
            account.held = account.reserved
            spent = row.spent + account.unreported
            grants = {**row.open, self._session.id: account.held}
            if not account.held:
                del grants[self._session.id]
            await self._write(account, BudgetRow(row.window, spent, grants), version)
        except CarobspurError as error:
            _logger.info("%s: not given back: %s", account.key, error.message)

    async def _read(self, account: Account) -> tuple[BudgetRow, int]:
        """Return an account's row in the later of its and the account's window."""
        stored = await self._table.read(account.key)
        if stored is None:
            return BudgetRow(account.window), ABSENT_VERSION
        row = msgspec.json.decode(stored.value, type=BudgetRow)
        account.enter_window(row.window)
        if row.window < account.window:
            row = BudgetRow(account.window)
        return row, stored.version

    def _preferred_grant(self, account: Account, row: BudgetRow) -> int:
        """Return a grant that leaves most of what is left to the other sessions."""
        left = account.allowance.units - row.committed
        share = left // (GRANTS_PER_SCHEDULER * max(1, self._schedulers()))
        return max(0, min(self._grant_units, share))

    async def _write(self, account: Account, row: BudgetRow, version: int) -> bool:
        """Write a row; return whether nobody else did so first."""
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
    account.draw_task = None
    if not task.cancelled():
        task.exception()
