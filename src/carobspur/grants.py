"""Grants of an allowance: its row, draws, a scheduler's accounts and reservations."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec

from .inventory import Allowance

# A draw ahead is due when less than the last grant divided by this is available.
LOW_GRANT_DIVISOR = 2


class BudgetRow(msgspec.Struct, frozen=True):
    """Content of an allowance's row; amounts in cost units.

    Attributes:
        window: Number of the row's window, counted from 1970.
        spent: Units that sessions reported as spent in this window.
        open: Units that sessions hold as grants, by session id.
    """

    window: int
    spent: int = 0
    open: dict[str, int] = {}

    @property
    def committed(self) -> int:
        """Units that are spent, or that sessions may still spend."""
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
    """Return the row after a draw, or ``None`` if fewer than ``required`` are left.

    Args:
        row: The stored row, already in the current window.
        session: Id of the session that draws.
        allowance: Units that may be spent in the window.
        unreported: Units that the session spent since it last wrote the row.
        held: Units that are left of the session's grant, including reserved ones.
        required: Smallest number of units to add to the grant.
        preferred: Number of units to add if they are left; at least ``required``.
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
    """One scheduler's grant of an allowance and its use; amounts in cost units.

    Attributes:
        key: Key of the allowance's row.
        allowance: The allowance in force.
        window: Number of the window for which the amounts are.
        held: Units that are left of the scheduler's grant, including reserved ones.
        reserved: Units that calls have reserved and not settled.
        unreported: Units that were spent since the row was last written.
        waiting: Number of calls that wait for a draw.
        limit_at_draw: Units of the allowance under which the grant was drawn.
        last_grant: Size of the last grant.
        last_use_s: Monotonic time of the last reservation.
        no_draw_until_s: Monotonic time before which no draw ahead is started,
            because too few units were left.
        draw_task: The draw in progress.
    """

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
        """Whether less than half of the last grant is available: time to draw ahead."""
        return self.available < self.last_grant // LOW_GRANT_DIVISOR

    def enter_window(self, window: int) -> None:
        """Reset the amounts if this window is later; an earlier one is ignored.

        Clocks of schedulers differ, but an account never returns to an old window.
        """
        if window > self.window:
            self.window = window
            self.held = 0
            self.unreported = 0
            self.reserved = 0

    def apply(self, allowance: Allowance) -> None:
        """Set the allowance; if it is lower than at the draw, drop unreserved units."""
        self.allowance = allowance
        if allowance.units < self.limit_at_draw:
            self.held = self.reserved
            self.limit_at_draw = allowance.units


@dataclass(slots=True)
class Reservation:
    """Units that one call reserved; to be settled when the call's cost is known.

    Attributes:
        units: Reserved units, the same in each account.
    """

    units: int
    _accounts: list[tuple[Account, int]] = field(default_factory=list)

    def add(self, account: Account) -> None:
        """Add an account in which the units were reserved, in its present window."""
        self._accounts.append((account, account.window))

    def settle(self, spent: int) -> None:
        """Count part of the units as spent and free the rest.

        Accounts that have entered another window since are left as they are. Further
        calls of this method have no effect.

        Args:
            spent: Cost of the call, at most ``units``.
        """
        for account, window in self._accounts:
            if account.window != window:
                continue
            account.reserved -= self.units
            account.held -= spent
            account.unreported += spent
        self._accounts.clear()
