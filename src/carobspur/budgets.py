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
from dataclasses import dataclass, field
from urllib.parse import quote

import msgspec

from .clock import Clock
from .errors import BudgetExhaustedError, CarobspurError, StoreConflictError
from .inventory import Allowance, Inventory
from .session import Session
from .table import ABSENT_VERSION, Check, Table, Write

BUDGET_PREFIX = "budget/"
MAX_DRAW_TRIES = 20
GRANTS_PER_SCHEDULER = 4
LOW_GRANT_DIVISOR = 2
IDLE_RETURN_S = 10.0
RETURN_PERIOD_S = 5.0
EXHAUSTED_PAUSE_S = 1.0

_logger = logging.getLogger(__name__)


class BudgetRow(msgspec.Struct, frozen=True):
    """Content of an allowance's row.

    Attributes:
        window: Number of the current window since 1970.
        spent: Units that sessions reported as spent in it.
        open: Units that sessions hold as grants, by session.
    """

    window: int
    spent: int = 0
    open: dict[str, int] = {}

    @property
    def committed(self) -> int:
        """Units that are spent or may be."""
        return self.spent + sum(self.open.values())


def draw(
    row: BudgetRow,
    *,
    session: str,
    allowance: int,
    used: int,
    held: int,
    need: int,
    wish: int,
) -> BudgetRow | None:
    """Return the row after a draw, or ``None`` where too little is left.

    Args:
        row: The row as it stands, already in the current window.
        session: Who draws.
        allowance: Units that the window allows.
        used: Units the session spent since it last wrote the row.
        held: Units of its grant that are left, reserved ones included.
        need: Further units that it must have.
        wish: Further units that it would like, at least ``need``.
    """
    others = sum(units for name, units in row.open.items() if name != session)
    spent = row.spent + used
    left = allowance - spent - others - held
    if left < need:
        return None
    granted = held + min(wish, left)
    return BudgetRow(row.window, spent, {**row.open, session: granted})


@dataclass(slots=True, eq=False)
class _Account:
    """One allowance as this scheduler sees it; all amounts in cost units."""

    key: str
    allowance: Allowance
    window: int = -1
    held: int = 0
    reserved: int = 0
    used: int = 0
    waiting: int = 0
    drawn_under: int = 0
    last_grant: int = 0
    last_use_s: float = 0.0
    no_draw_until_s: float = 0.0
    drawing: asyncio.Task[None] | None = None

    @property
    def free(self) -> int:
        return self.held - self.reserved

    @property
    def is_low(self) -> bool:
        return self.free < self.last_grant // LOW_GRANT_DIVISOR

    def roll(self, window: int) -> None:
        """Enter a window; windows never go back, whatever a clock says."""
        if window > self.window:
            self.window = window
            self.held = 0
            self.used = 0
            self.reserved = 0

    def apply(self, allowance: Allowance) -> None:
        """Follow a changed allowance; under a lower one the free units are void."""
        self.allowance = allowance
        if allowance.units < self.drawn_under:
            self.held = self.reserved
            self.drawn_under = allowance.units


@dataclass(slots=True)
class Reservation:
    """Units set aside for one call; settle it once the cost is known."""

    units: int
    _parts: list[tuple[_Account, int]] = field(default_factory=list)

    def settle(self, used: int) -> None:
        """Spend part of the units and give back the rest; only the first time.

        Args:
            used: Units that the call cost, at most ``units``.
        """
        for account, window in self._parts:
            if account.window != window:
                continue
            account.reserved -= self.units
            account.held -= used
            account.used += used
        self._parts.clear()


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
        self._accounts: dict[str, _Account] = {}

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
                reservation._parts.append((account, account.window))
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
                if account.allowance.user == "" and is_idle and account.free > 0:
                    await self._give_back(account)

    async def release(self) -> None:
        """Give back every grant; for a planned stop, when no call is under way."""
        for account in list(self._accounts.values()):
            if account.free > 0:
                await self._give_back(account)

    def _accounts_for(self, inventory: Inventory, user: str) -> list[_Account]:
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

    def _account(self, key: str, allowance: Allowance) -> _Account:
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(key, allowance)
        account.apply(allowance)
        return account

    async def _reserve_in(self, account: _Account, units: int) -> None:
        account.roll(self._window(account.allowance))
        account.last_use_s = self._clock.monotonic()
        if account.waiting or account.free < units:
            account.waiting += 1
            try:
                await self._draw_until(account, units)
            finally:
                account.waiting -= 1
        account.reserved += units
        self._draw_ahead(account)

    async def _draw_until(self, account: _Account, units: int) -> None:
        """Draw until units are free; a draw under way is waited for first."""
        while account.free < units:
            other = account.drawing
            if other is not None:
                await asyncio.wait({other})
                continue
            await asyncio.shield(self._start_draw(account, units))

    def _draw_ahead(self, account: _Account) -> None:
        """Draw before the grant is used up, off the path of any call."""
        now_s = self._clock.monotonic()
        may_draw = account.drawing is None and now_s >= account.no_draw_until_s
        if account.is_low and may_draw:
            self._start_draw(account, 0)

    def _start_draw(self, account: _Account, units: int) -> asyncio.Task[None]:
        account.drawing = asyncio.ensure_future(self._draw(account, units))
        account.drawing.add_done_callback(lambda task: _end_draw(account, task))
        return account.drawing

    def _window(self, allowance: Allowance) -> int:
        return int(self._clock.wall() // allowance.window_s)

    async def _draw(self, account: _Account, units: int) -> None:
        for _ in range(MAX_DRAW_TRIES):
            row, version = await self._read(account)
            allowance = account.allowance
            wish = self._wish(account, row)
            need = max(0, units - account.free)
            new = draw(
                row,
                session=self._session.id,
                allowance=allowance.units,
                used=account.used,
                held=account.held,
                need=need,
                wish=max(need, wish),
            )
            if new is None or (not units and not wish):
                account.no_draw_until_s = self._clock.monotonic() + EXHAUSTED_PAUSE_S
                raise self._exhausted(account)
            if await self._write(account, new, version):
                account.drawn_under = allowance.units
                return
        raise BudgetExhaustedError(
            f"{account.key}: too many schedulers draw at once", retry_after_s=1.0
        )

    async def _give_back(self, account: _Account) -> None:
        """Shorten a grant to what is reserved; what fails is kept."""
        try:
            row, version = await self._read(account)
            account.held = account.reserved
            spent = row.spent + account.used
            grants = {**row.open, self._session.id: account.held}
            if not account.held:
                del grants[self._session.id]
            await self._write(account, BudgetRow(row.window, spent, grants), version)
        except CarobspurError as error:
            _logger.info("%s: not given back: %s", account.key, error.message)

    async def _read(self, account: _Account) -> tuple[BudgetRow, int]:
        """Return an account's row in the later of its and the account's window."""
        stored = await self._table.read(account.key)
        if stored is None:
            return BudgetRow(account.window), ABSENT_VERSION
        row = msgspec.json.decode(stored.value, type=BudgetRow)
        account.roll(row.window)
        if row.window < account.window:
            row = BudgetRow(account.window)
        return row, stored.version

    def _wish(self, account: _Account, row: BudgetRow) -> int:
        """Return a grant that leaves most of what is left to the other sessions."""
        left = account.allowance.units - row.committed
        share = left // (GRANTS_PER_SCHEDULER * max(1, self._schedulers()))
        return max(0, min(self._grant_units, share))

    async def _write(self, account: _Account, row: BudgetRow, version: int) -> bool:
        """Write a row; return whether nobody else did so first."""
        used, held = account.used, account.held
        try:
            await self._session.commit(
                checks=[Check(account.key, version)],
                writes=[Write(account.key, msgspec.json.encode(row))],
            )
        except StoreConflictError:
            return False
        if account.window == row.window:
            grant = row.open.get(self._session.id, 0) - held
            account.used -= used
            account.held += grant
            account.last_grant = grant or account.last_grant
        return True

    def _exhausted(self, account: _Account) -> BudgetExhaustedError:
        window_s = account.allowance.window_s
        wait_s = (account.window + 1) * window_s - self._clock.wall()
        owner = account.key.split("/")[2] or "the organisation"
        return BudgetExhaustedError(
            f"the allowance of {owner} does not cover this call",
            retry_after_s=max(1.0, wait_s),
        )


def _end_draw(account: _Account, task: asyncio.Task[None]) -> None:
    account.drawing = None
    if not task.cancelled():
        task.exception()
