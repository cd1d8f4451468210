"""What one scheduler holds of an allowance: rows, draws, accounts, reservations."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec

from .inventory import Allowance

LOW_GRANT_DIVISOR = 2


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
    unreported: int,
    held: int,
    required: int,
    preferred: int,
) -> BudgetRow | None:
    """Return the row after a draw, or ``None`` where too little is left.

    Args:
        row: The row as it stands, already in the current window.
        session: Who draws.
        allowance: Units that the window allows.
        unreported: Units the session spent since it last wrote the row.
        held: Units of its grant that are left, reserved ones included.
        required: Further units that it must have.
        preferred: Further units that it would like, at least ``required``.
    """
    others = sum(units for name, units in row.open.items() if name != session)
    spent = row.spent + unreported
    left = allowance - spent - others - held
    if left < required:
        return None
    granted = held + min(preferred, left)
    return BudgetRow(row.window, spent, {**row.open, session: granted})


@dataclass(slots=True, eq=False)
class Account:
    """One allowance as this scheduler sees it; all amounts in cost units."""

    key: str
    allowance: Allowance
    window: int = -1
    held: int = 0
    reserved: int = 0
    unreported: int = 0
    waiting: int = 0
    limit_at_draw: int = 0
    last_grant: int = 0
    last_use_s: float = 0.0
    no_draw_until_s: float = 0.0
    draw_task: asyncio.Task[None] | None = None

    @property
    def available(self) -> int:
        """Units that can be reserved without a draw."""
        return self.held - self.reserved

    @property
    def is_draw_due(self) -> bool:
        """Whether it is time to draw ahead."""
        return self.available < self.last_grant // LOW_GRANT_DIVISOR

    def enter_window(self, window: int) -> None:
        """Enter a window; windows never go back, whatever a clock says."""
        if window > self.window:
            self.window = window
            self.held = 0
            self.unreported = 0
            self.reserved = 0

    def apply(self, allowance: Allowance) -> None:
        """Follow a changed allowance; under a lower one the free units are void."""
        self.allowance = allowance
        if allowance.units < self.limit_at_draw:
            self.held = self.reserved
            self.limit_at_draw = allowance.units


@dataclass(slots=True)
class Reservation:
    """Units set aside for one call; settle it once the cost is known."""

    units: int
    _accounts: list[tuple[Account, int]] = field(default_factory=list)

    def add(self, account: Account) -> None:
        """Take note of an account in which the units are set aside."""
        self._accounts.append((account, account.window))

    def settle(self, spent: int) -> None:
        """Spend part of the units and give back the rest; only the first time.

        Args:
            spent: Units that the call cost, at most ``units``.
        """
        for account, window in self._accounts:
            if account.window != window:
                continue
            account.reserved -= self.units
            account.held -= spent
            account.unreported += spent
        self._accounts.clear()
