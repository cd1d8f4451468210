"""Measures what drawing budgets in grants costs, under virtual time.

Prints which share of an allowance is spent when only some schedulers get calls, how
many calls wait for a draw of their scheduler, and whether other organisations at their
limit slow these calls. A commit takes 5 to 15 ms, as group commits do.

Usage: ``PYTHONPATH=src:. python experiments/budget_draws.py``, a few seconds.
"""

from __future__ import annotations

import asyncio
import random

from tests.virtual import run_virtual

from carobspur.budgets import Budgets
from carobspur.clock import LoopClock
from carobspur.errors import BudgetExhaustedError
from carobspur.inventory import Allowance, Inventory
from carobspur_standins.table import MemoryTable

CALLS = 2000
CALL_UNITS = 40
WINDOW_S = 86_400


class _Session:
    """Session whose commits take as long as a group commit."""

    id = "s1"
    is_lost = False

    def __init__(self, table: MemoryTable) -> None:
        self._table = table

    async def commit(self, records=(), *, checks=(), writes=()) -> int:
        await asyncio.sleep(random.uniform(0.005, 0.015))
        return await self._table.commit(list(checks), list(writes))


async def _calls(
    budgets: Budgets, inventory: Inventory, count: int
) -> tuple[list[float], int]:
    loop = asyncio.get_event_loop()
    waits, refused = [], 0
    for _ in range(count):
        start_s = loop.time()
        try:
            reservation = await budgets.reserve(inventory, "clerk", CALL_UNITS)
        except BudgetExhaustedError:
            refused += 1
        else:
            reservation.settle(CALL_UNITS // 2)
        waits.append(loop.time() - start_s)
        await asyncio.sleep(0.02)
    return waits, refused


async def _scenario(with_neighbour: bool) -> None:
    table = MemoryTable()
    budgets = Budgets(
        table=table, session=_Session(table), clock=LoopClock(), grant_units=20_000
    )
    ample = Inventory("ample", allowances=[Allowance(1_000_000, WINDOW_S)])
    spent = Inventory("spent", allowances=[Allowance(2_000, WINDOW_S)])
    runs = [_calls(budgets, ample, CALLS)]
    if with_neighbour:
        runs += [_calls(budgets, spent, CALLS) for _ in range(20)]
    (waits, _), *others = await asyncio.gather(*runs)
    waits.sort()
    refused = sum(count for _, count in others)
    print(
        f"neighbour at its limit: {with_neighbour}; {CALLS} calls, "
        f"{sum(wait > 0 for wait in waits)} waited, p99 {waits[-CALLS // 100]:.4f} s, "
        f"max {waits[-1]:.4f} s; {table.commits} draws; {refused} refused elsewhere"
    )


async def _spend_allowance(schedulers: int, calling: int) -> None:
    """Spend an allowance on some schedulers, after each has used it once.

    Args:
        schedulers: Number of schedulers.
        calling: Number of schedulers that get calls until the budget is spent.
    """
    table = MemoryTable()
    allowance = Inventory("org", allowances=[Allowance(100_000, WINDOW_S)])
    all_budgets = []
    for number in range(schedulers):
        session = _Session(table)
        session.id = f"s{number}"
        budgets = Budgets(
            table=table,
            session=session,
            clock=LoopClock(),
            grant_units=20_000,
            schedulers=lambda: schedulers,
        )
        all_budgets.append(budgets)
        (await budgets.reserve(allowance, "clerk", CALL_UNITS)).settle(CALL_UNITS)
    spent, refused = schedulers * CALL_UNITS, 0
    while refused < 100:
        try:
            budgets = random.choice(all_budgets[:calling])
            reservation = await budgets.reserve(allowance, "clerk", CALL_UNITS)
        except BudgetExhaustedError:
            refused += 1
            continue
        reservation.settle(CALL_UNITS)
        spent += CALL_UNITS
    print(
        f"{calling} of {schedulers} schedulers call: {spent / 1000:.1f} % of the "
        f"allowance spent, {table.commits} draws"
    )


def main() -> None:
    """Run all measurements."""
    for schedulers, calling in ((1, 1), (7, 7), (7, 1), (30, 30), (30, 1)):
        run_virtual(
            lambda schedulers=schedulers, calling=calling: _spend_allowance(
                schedulers, calling
            )
        )
    run_virtual(lambda: _scenario(False))
    run_virtual(lambda: _scenario(True))


if __name__ == "__main__":
    main()
