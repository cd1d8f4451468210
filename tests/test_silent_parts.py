"""Budgets while the part with a program's row is silent and the others answer.

The load they replay: two fifths of the store's parts are silent for six seconds while
gateways restart in turn.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable
from unittest import TestCase

from carobspur.gateway.partition import SHORTEST_SILENCE_S, part_of
from carobspur.gateway.spending import SpendingHome
from carobspur.gateway.spending_records import MovedAccount

from .homes import BUDGET, TOKENS, Homes
from .virtual import run_virtual

OWN_PART = part_of("p")
GOES_ON_WITHIN_S = SHORTEST_SILENCE_S + 0.15


async def taken_s(turn: Awaitable[bool]) -> tuple[bool, float]:
    """Return whether a turn was granted, and after how many seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await turn, loop.time() - began


class SilentPartTest(TestCase):
    def test_new_home_goes_on_with_what_the_former_one_covers(self) -> None:
        """A gateway restarts and is the home again; the row can't say who was."""

        async def scenario() -> None:
            homes = Homes()
            former, home = homes.start("a"), homes.start("b")
            await homes.turn(former, budget=BUDGET)
            covered = former._accounts["p"].covered
            homes.store.silent_parts = {OWN_PART}
            granted, seconds = await taken_s(homes.turn(home))
            self.assertGreaterEqual(covered, 2 * TOKENS)
            self.assertTrue(granted)
            self.assertLess(seconds, GOES_ON_WITHIN_S)
            homes.store.silent_parts = set()
            for each in (home, former):
                while await homes.turn(each):
                    continue
            self.assertLessEqual(homes.handed, BUDGET)

        run_virtual(scenario)

    def test_random_histories_never_exceed_the_budget(self) -> None:
        for seed in range(300):
            with self.subTest(seed):
                handed = run_virtual(lambda seed=seed: _random_history(seed))
                self.assertLessEqual(handed, BUDGET)


async def _random_history(seed: int) -> int:
    """Return the tokens that all homes have granted over a history of faults."""
    rng = random.Random(seed)
    homes = Homes()
    homes.store.answer_s = 0.01
    names = (f"h{number}" for number in itertools.count())
    alive = [homes.start(next(names)) for _ in range(3)]
    asleep: list[SpendingHome] = []
    under_way: list[str] = []
    for _ in range(60):
        match rng.randrange(12):
            case 0:
                victim = alive.pop(rng.randrange(len(alive)))
                homes.remove(victim)
                asleep.append(victim)
                alive.append(homes.start(next(names)))
            case 1 | 2:
                homes.store.silent_parts = rng.choice((set(), {OWN_PART}))
                homes.store.does_in_silence = rng.random() < 0.5
            case 3:
                homes.store.lose_answers = 1
            case 4:
                await rng.choice(alive + asleep).write_idle(idle_s=0.0)
            case 5 if asleep:
                await homes.turn(rng.choice(asleep))
            case 6:
                turn = await homes.open_turn(rng.choice(alive))
                under_way += [turn] if turn else []
            case 7 if under_way:
                turn = under_way.pop(rng.randrange(len(under_way)))
                homes.end_turn(turn, rng.choice((0, 40, TOKENS)))
            case 8:
                await _stop(homes, alive, rng)
                alive.append(homes.start(next(names)))
            case _:
                await homes.turn(rng.choice(alive))
    for turn in under_way:
        homes.end_turn(turn, TOKENS)
    return homes.handed


async def _stop(homes: Homes, alive: list[SpendingHome], rng: random.Random) -> None:
    """Stop a home as planned; another one takes its accounts, or is not there."""
    leaver = alive.pop(rng.randrange(len(alive)))
    taker = rng.choice([*alive, None])

    async def move(account: MovedAccount) -> bool:
        return taker is not None and taker.take_over(account)

    await leaver.move_all(move)
    homes.remove(leaver)
