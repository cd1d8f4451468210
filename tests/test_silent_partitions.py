"""Token budgets while the partition with a program's row is silent.

The failure: two fifths of the store's partitions are silent for six seconds while
gateways restart one after another. A new owner can then not read who owned an account.
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
MAX_DELAY_S = MIN_PARTITION_TIMEOUT_S + 0.15


async def timed(turn: Awaitable[bool]) -> tuple[bool, float]:
    """Return whether a turn was granted, and after how many seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await turn, loop.time() - began


class SilentPartitionTest(TestCase):
    def test_new_owner_continues_with_the_allowance_of_the_former(self) -> None:
        """A restarted gateway owns the account again; the row can't show who did."""

        async def scenario() -> None:
            owners = AccountOwners()
            former, owner = owners.start("a"), owners.start("b")
            await owners.turn(former, budget=BUDGET)
            allowance = former._accounts["p"].allowance
            owners.store.silent_partitions = {OWN_PARTITION}
            granted, taken_s = await timed(owners.turn(owner))
            self.assertGreaterEqual(allowance, 2 * TOKENS)
            self.assertTrue(granted)
            self.assertLess(taken_s, MAX_DELAY_S)
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
    """Return the tokens that all owners granted during a random series of faults."""
    rng = random.Random(seed)
    owners = AccountOwners()
    owners.store.answer_s = 0.01
    names = (f"h{number}" for number in itertools.count())
    alive = [owners.start(next(names)) for _ in range(3)]
    unreachable: list[AccountOwner] = []
    under_way: list[str] = []
    for _ in range(60):
        match rng.randrange(12):
            case 0:
                victim = alive.pop(rng.randrange(len(alive)))
                owners.remove(victim)
                unreachable.append(victim)
                alive.append(owners.start(next(names)))
            case 1 | 2:
                owners.store.silent_partitions = rng.choice((set(), {OWN_PARTITION}))
                owners.store.executes_while_silent = rng.random() < 0.5
            case 3:
                owners.store.lose_answers = 1
            case 4:
                await rng.choice(alive + unreachable).write_idle(idle_s=0.0)
            case 5 if unreachable:
                await owners.turn(rng.choice(unreachable))
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
    """Stop an owner as planned; another one accepts its accounts, or none does."""
    stopping = alive.pop(rng.randrange(len(alive)))
    successor = rng.choice([*alive, None])

    async def move(account: MovedAccount) -> bool:
        return successor is not None and successor.take_over(account)

    await stopping.move_all(move)
    owners.remove(stopping)
