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

from carobspur.gateway.partition import MIN_PARTITION_TIMEOUT_S, partition_of
from carobspur.gateway.spending import AccountOwner
from carobspur.gateway.spending_records import MovedAccount

from .account_owners import BUDGET, TOKENS, AccountOwners
from .virtual import run_virtual

OWN_PARTITION = partition_of("p")
GOES_ON_WITHIN_S = MIN_PARTITION_TIMEOUT_S + 0.15


async def taken_s(turn: Awaitable[bool]) -> tuple[bool, float]:
    """Return whether a turn was granted, and after how many seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await turn, loop.time() - began


class SilentPartitionTest(TestCase):
    def test_new_home_goes_on_with_what_the_former_one_covers(self) -> None:
        """A gateway restarts and is the home again; the row can't say who was."""

        async def scenario() -> None:
            owners = AccountOwners()
            former, owner = owners.start("a"), owners.start("b")
            await owners.turn(former, budget=BUDGET)
            allowance = former._accounts["p"].allowance
            owners.store.silent_partitions = {OWN_PARTITION}
            granted, seconds = await taken_s(owners.turn(owner))
            self.assertGreaterEqual(allowance, 2 * TOKENS)
            self.assertTrue(granted)
            self.assertLess(seconds, GOES_ON_WITHIN_S)
            owners.store.silent_partitions = set()
            for each in (owner, former):
                while await owners.turn(each):
                    continue
            self.assertLessEqual(owners.granted_tokens, BUDGET)

        run_virtual(scenario)

    def test_random_histories_never_exceed_the_budget(self) -> None:
        for seed in range(300):
            with self.subTest(seed):
                granted_tokens = run_virtual(lambda seed=seed: _random_history(seed))
                self.assertLessEqual(granted_tokens, BUDGET)


async def _random_history(seed: int) -> int:
    """Return the tokens that all homes have granted over a history of faults."""
    rng = random.Random(seed)
    owners = AccountOwners()
    owners.store.answer_s = 0.01
    names = (f"h{number}" for number in itertools.count())
    alive = [owners.start(next(names)) for _ in range(3)]
    asleep: list[AccountOwner] = []
    under_way: list[str] = []
    for _ in range(60):
        match rng.randrange(12):
            case 0:
                victim = alive.pop(rng.randrange(len(alive)))
                owners.remove(victim)
                asleep.append(victim)
                alive.append(owners.start(next(names)))
            case 1 | 2:
                owners.store.silent_partitions = rng.choice((set(), {OWN_PARTITION}))
                owners.store.executes_while_silent = rng.random() < 0.5
            case 3:
                owners.store.lose_answers = 1
            case 4:
                await rng.choice(alive + asleep).write_idle(idle_s=0.0)
            case 5 if asleep:
                await owners.turn(rng.choice(asleep))
            case 6:
                turn = await owners.open_turn(rng.choice(alive))
                under_way += [turn] if turn else []
            case 7 if under_way:
                turn = under_way.pop(rng.randrange(len(under_way)))
                owners.end_turn(turn, rng.choice((0, 40, TOKENS)))
            case 8:
                await _stop(owners, alive, rng)
                alive.append(owners.start(next(names)))
            case _:
                await owners.turn(rng.choice(alive))
    for turn in under_way:
        owners.end_turn(turn, TOKENS)
    return owners.granted_tokens


async def _stop(
    owners: AccountOwners, alive: list[AccountOwner], rng: random.Random
) -> None:
    """Stop a home as planned; another one takes its accounts, or is not there."""
    leaver = alive.pop(rng.randrange(len(alive)))
    taker = rng.choice([*alive, None])

    async def move(account: MovedAccount) -> bool:
        return taker is not None and taker.take_over(account)

    await leaver.move_all(move)
    owners.remove(leaver)
