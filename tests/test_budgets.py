"""Budgets by grants: no failure makes spending exceed an allowance; retry budgets."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from carobspur.budgets import Budgets
from carobspur.clock import LoopClock
from carobspur.errors import BudgetExhaustedError, SessionLostError
from carobspur.inventory import Allowance, Inventory
from carobspur.retry import RetryBudgets
from carobspur_standins.table import MemoryTable

from .virtual import WALL_START_S, run_virtual

SEEDS = 60
STEPS = 150
WINDOW_S = 60


class _SkewedClock(LoopClock):
    """A clock whose wall time is wrong by ``skew_s``."""

    skew_s = 0.0

    def wall(self) -> float:
        return super().wall() + self.skew_s


@dataclass
class _Session:
    """A session that commits slowly.

    Once it is lost, half of its commits still take effect, but all of them raise.
    """

    id: str
    table: MemoryTable
    is_lost: bool = False

    async def commit(self, records: Any = (), *, checks: Any, writes: Any) -> int:
        await asyncio.sleep(random.uniform(0, 0.2))
        if self.is_lost and random.random() < 0.5:
            raise SessionLostError("lost")
        version = await self.table.commit(list(checks), list(writes))
        await asyncio.sleep(random.uniform(0, 0.2))
        if self.is_lost:
            raise SessionLostError("lost")
        return version


@dataclass
class _Simulation:
    """Several schedulers that spend one organisation's allowances.

    Attributes:
        units: Smaller allowance of the whole organisation, in cost units per window.
        billed: Units that calls have cost, by the account's key and window.
        refused: Number of calls rejected because an allowance was exhausted.
        schedulers: Live schedulers: their sessions and budgets.
        scheduler_count: Number of schedulers added so far.
    """

    table: MemoryTable = field(default_factory=MemoryTable)
    units: int = 1000
    highest: int = 1000
    billed: Counter[tuple[str, int]] = field(default_factory=Counter)
    refused: int = 0
    schedulers: list[tuple[_Session, Budgets]] = field(default_factory=list)
    scheduler_count: int = 0

    def add(self) -> None:
        self.scheduler_count += 1
        session = _Session(f"s{self.scheduler_count}", self.table)
        clock = _SkewedClock(wall_start_s=WALL_START_S)
        clock.skew_s = random.choice([0.0, 0.0, 3.0, -3.0])
        budgets = Budgets(
            table=self.table,
            session=session,
            clock=clock,
            grant_units=300,
            schedulers=lambda: 3,
        )
        self.schedulers.append((session, budgets))

    def inventory(self) -> Inventory:
        return Inventory(
            "org",
            allowances=[
                Allowance(self.units, WINDOW_S),
                Allowance(self.units * 2, WINDOW_S),
                Allowance(self.units // 2, WINDOW_S, "*"),
            ],
        )

    async def call(self, session: _Session, budgets: Budgets) -> None:
        """Make a call whose cost is billed even if its scheduler dies meanwhile."""
        user, max_units = random.choice("ab"), random.randint(1, 60)
        try:
            reservation = await budgets.reserve(self.inventory(), user, max_units)
        except BudgetExhaustedError:
            self.refused += 1
            return
        except SessionLostError:
            return
        account_windows = [
            (account.key, window) for account, window in reservation._accounts
        ]
        await asyncio.sleep(random.uniform(0, 5))
        used = random.choice([0, max_units // 2, max_units])
        for account_window in account_windows:
            self.billed[account_window] += used
        if not session.is_lost:
            reservation.settle(used)

    async def step(self) -> None:
        """Kill or stop a scheduler, wait, change the allowance, or make a call."""
        match random.randrange(20):
            case 0:
                session, _ = self.schedulers.pop(0)
                session.is_lost = True
                self.add()
            case 1:
                session, budgets = self.schedulers.pop(0)
                await asyncio.sleep(6)
                await budgets.release()
                session.is_lost = True
                self.add()
            case 2:
                await asyncio.sleep(random.uniform(0, WINDOW_S))
            case 3:
                self.units = random.choice([400, 1000])
            case _:
                asyncio.ensure_future(self.call(*random.choice(self.schedulers)))
                await asyncio.sleep(random.uniform(0, 0.5))

    async def run_steps(self) -> Counter[tuple[str, int]]:
        """Run random steps on three schedulers; return the units billed."""
        for _ in range(3):
            self.add()
        for _ in range(STEPS):
            await self.step()
        await asyncio.sleep(10)
        return self.billed


class NeverExceededTest(unittest.TestCase):
    def test_deaths_lost_answers_windows_and_changes(self) -> None:
        exceeded, refused, calls = [], 0, 0
        for seed in range(SEEDS):
            simulation = _Simulation()
            billed = run_virtual(simulation.run_steps, seed=seed)
            refused += simulation.refused
            calls += len(billed)
            for (key, window), units in billed.items():
                limit = 1000 if "//" in key else 500
                if units > limit:
                    exceeded.append((seed, key, window, units))
        self.assertEqual(exceeded, [])
        self.assertGreater(refused, 0)


class GrantTest(unittest.TestCase):
    def test_calls_seldom_wait_for_a_draw(self) -> None:
        async def scenario() -> tuple[int, int]:
            simulation = _Simulation(units=100_000)
            simulation.add()
            session, budgets = simulation.schedulers[0]
            loop = asyncio.get_event_loop()
            waits = 0
            for _ in range(200):
                start_s = loop.time()
                reservation = await budgets.reserve(simulation.inventory(), "a", 10)
                waits += loop.time() > start_s
                reservation.settle(10)
                await asyncio.sleep(0.1)
            return waits, simulation.table.commits

        waits, commits = run_virtual(scenario)
        self.assertLessEqual(waits, 2)
        self.assertLess(commits, 50)

    def test_planned_stop_returns_all_grants(self) -> None:
        async def scenario() -> None:
            simulation = _Simulation()
            simulation.add()
            _, budgets = simulation.schedulers[0]
            (await budgets.reserve(simulation.inventory(), "a", 30)).settle(20)
            await asyncio.sleep(1)
            await budgets.release()
            for row in simulation.table.rows:
                content = msgspec.json.decode(row.value)
                self.assertEqual((content["spent"], content["open"]), (20, {}))

        run_virtual(scenario)

    def test_lower_allowance_applies_from_the_next_call(self) -> None:
        async def scenario() -> None:
            simulation = _Simulation(units=10_000)
            simulation.add()
            _, budgets = simulation.schedulers[0]
            (await budgets.reserve(simulation.inventory(), "a", 10)).settle(10)
            simulation.units = 25
            with self.assertRaises(BudgetExhaustedError):
                await budgets.reserve(simulation.inventory(), "a", 20)

        run_virtual(scenario)


class RetryBudgetTest(unittest.TestCase):
    def test_repeats_are_a_share_of_first_sends(self) -> None:
        budgets = RetryBudgets(share=0.1, max_saved=5)
        repeats = 0
        for _ in range(1000):
            budgets.record_first_send("tool")
            repeats += budgets.try_spend("tool")
        self.assertLessEqual(repeats, 105)
        self.assertGreaterEqual(repeats, 95)
