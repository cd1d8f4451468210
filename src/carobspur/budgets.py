"""Budgets by grants: no allowance is exceeded, whichever process dies when.

A scheduler draws a bounded part of an allowance, its grant, in a transaction on the
allowance's row, and spends only from it. What a dead session had drawn counts as
spent until the window ends: the allowance can be under-used by one grant for each
death, and is never exceeded.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from .clock import Clock
from .errors import BudgetExhaustedError, StoreConflictError
from .inventory import Allowance, Inventory
from .session import Session
from .table import ABSENT_VERSION, Check, Table, Write

BUDGET_PREFIX = "budget/"
MAX_DRAW_TRIES = 20
GRANTS_PER_ALLOWANCE = 50


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


@dataclass(slots=True)
class _Account:
    """One allowance as this scheduler sees it; all amounts in cost units."""

    key: str
    allowance: Allowance
    window: int = -1
    held: int = 0
    reserved: int = 0
    used: int = 0

    @property
    def free(self) -> int:
        return self.held - self.reserved

    def roll(self, window: int) -> None:
        if window != self.window:
            self.window = window
            self.held = 0
            self.used = 0
            self.reserved = 0


@dataclass(slots=True)
class Reservation:
    """Units set aside for one call; settle it once the cost is known."""

    units: int
    _parts: list[tuple[_Account, int]]

    def settle(self, used: int) -> None:
        """Spend part of the units and give back the rest; only once.

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
        grant_units: Units to draw at once; a small allowance is drawn in smaller
            parts, so that no single session holds much of it.
    """

    __slots__ = ("_accounts", "_clock", "_grant_units", "_locks", "_session", "_table")

    def __init__(
        self, *, table: Table, session: Session, clock: Clock, grant_units: int
    ) -> None:
        self._table = table
        self._session = session
        self._clock = clock
        self._grant_units = grant_units
        self._accounts: dict[str, _Account] = {}
        self._locks: dict[str, asyncio.Lock] = {}

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
        parts: list[tuple[_Account, int]] = []
        reservation = Reservation(units, parts)
        try:
            for account in self._accounts_for(inventory, user):
                await self._reserve_in(account, units)
                parts.append((account, account.window))
        except BaseException:
            reservation.settle(0)
            raise
        return reservation

    def _accounts_for(self, inventory: Inventory, user: str) -> list[_Account]:
        found = []
        for allowance in inventory.allowances:
            if allowance.user not in ("", "*", user):
                continue
            owner = "" if allowance.user == "" else user
            key = (
                f"{BUDGET_PREFIX}{inventory.organisation}/{owner}/{allowance.window_s}"
            )
            account = self._accounts.get(key)
            if account is None:
                account = self._accounts[key] = _Account(key, allowance)
            account.allowance = allowance
            found.append(account)
        return found

    async def _reserve_in(self, account: _Account, units: int) -> None:
        lock = self._locks.setdefault(account.key, asyncio.Lock())
        async with lock:
            account.roll(self._window(account.allowance))
            if account.free < units:
                await self._draw(account, units - account.free)
            account.reserved += units

    def _window(self, allowance: Allowance) -> int:
        return int(self._clock.wall() // allowance.window_s)

    async def _draw(self, account: _Account, need: int) -> None:
        for _ in range(MAX_DRAW_TRIES):
            stored = await self._table.read(account.key)
            row = BudgetRow(account.window)
            version = ABSENT_VERSION
            if stored is not None:
                version = stored.version
                row = msgspec.json.decode(stored.value, type=BudgetRow)
            if row.window > account.window:
                account.roll(row.window)
            elif row.window < account.window:
                row = BudgetRow(account.window)
            if await self._try_draw(account, row, version, need):
                return
        raise BudgetExhaustedError(
            f"{account.key}: too many schedulers draw at once", retry_after_s=1.0
        )

    async def _try_draw(
        self, account: _Account, row: BudgetRow, version: int, need: int
    ) -> bool:
        units = account.allowance.units
        used, held = account.used, account.held
        grant = min(self._grant_units, units // GRANTS_PER_ALLOWANCE)
        new = draw(
            row,
            session=self._session.id,
            allowance=units,
            used=used,
            held=held,
            need=need,
            wish=max(need, grant),
        )
        if new is None:
            raise self._exhausted(account)
        window = account.window
        try:
            await self._session.commit(
                checks=[Check(account.key, version)],
                writes=[Write(account.key, msgspec.json.encode(new))],
            )
        except StoreConflictError:
            return False
        if account.window == window:
            account.used -= used
            account.held += new.open[self._session.id] - held
        return True

    def _exhausted(self, account: _Account) -> BudgetExhaustedError:
        window_s = account.allowance.window_s
        wait_s = (account.window + 1) * window_s - self._clock.wall()
        owner = account.key.split("/")[2] or "the organisation"
        return BudgetExhaustedError(
            f"the allowance of {owner} does not cover this call",
            retry_after_s=max(1.0, wait_s),
        )
