"""The reserve of a budget, while the part with a program's row is silent.

The load they replay: two fifths of the store's parts are silent for six seconds.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from unittest import TestCase

from carobspur.gateway.account_rows import RESERVES_TABLE
from carobspur.gateway.accounts import RESERVE_SHARE, Account, NeedsReserve, Spent
from carobspur.gateway.partition import SHORTEST_SILENCE_S, part_of
from carobspur.gateway.rows import RowStoreAwayError
from carobspur.gateway.spending import SpendingHome
from carobspur.gateway.spending_records import MovedAccount

from .homes import BUDGET, TOKENS, Homes
from .virtual import run_virtual

OWN_PART = part_of("p")
RESERVE_PART = part_of("p/reserve")
TURNS_IN_RESERVE = int(BUDGET * RESERVE_SHARE) // TOKENS
BEGINS_WITHIN_S = SHORTEST_SILENCE_S + 0.15


async def taken_s(turn: object) -> tuple[bool, float]:
    """Return whether a turn was granted, and after how many seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await turn, loop.time() - began


class SilentPartTest(TestCase):
    def test_program_begins_and_goes_on(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.silent_parts = {OWN_PART}
            home = homes.start("a")
            first = await taken_s(homes.turn(home))
            others = [await homes.turn(home) for _ in range(TURNS_IN_RESERVE - 1)]
            self.assertTrue(first[0])
            self.assertLess(first[1], BEGINS_WITHIN_S)
            self.assertEqual([True] * (TURNS_IN_RESERVE - 1), others)

        run_virtual(scenario)

    def test_new_home_goes_on_with_what_the_former_one_covers(self) -> None:
        """A gateway restarts and is the home again; the row can't say who was."""

        async def scenario() -> None:
            homes = Homes()
            former, home = homes.start("a"), homes.start("b")
            await homes.turn(former, budget=BUDGET)
            covered = former._accounts["p"].covered
            homes.store.silent_parts = {OWN_PART, RESERVE_PART}
            granted, seconds = await taken_s(homes.turn(home))
            self.assertGreaterEqual(covered, 2 * TOKENS)
            self.assertTrue(granted)
            self.assertLess(seconds, BEGINS_WITHIN_S)
            homes.store.silent_parts = set()
            for each in (home, former):
                while await homes.turn(each):
                    continue
            self.assertLessEqual(homes.handed, BUDGET)

        run_virtual(scenario)

    def test_program_whose_cover_is_used_up_goes_on(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            await homes.turn(home)
            homes.store.silent_parts = {OWN_PART}
            turns = [await taken_s(homes.turn(home)) for _ in range(3)]
            self.assertEqual([True] * 3, [granted for granted, _ in turns])
            self.assertLess(max(s for _, s in turns), BEGINS_WITHIN_S)

        run_virtual(scenario)

    def test_whole_budget_is_there_once_the_part_answers(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            homes.store.silent_parts = {OWN_PART}
            granted = [await homes.turn(home)]
            homes.store.silent_parts = set()
            granted += [await homes.turn(home) for _ in range(11)]
            self.assertEqual(10, sum(granted))

        run_virtual(scenario)

    def test_reserve_of_a_dead_home_is_not_given_again(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.silent_parts = {OWN_PART}
            await homes.turn(homes.start("a"))
            del homes.homes["a"]
            homes.store.silent_parts = set()
            second = homes.start("b")
            granted = sum([await homes.turn(second) for _ in range(12)])
            self.assertLessEqual(homes.handed, BUDGET)
            self.assertGreaterEqual(granted, 6)

        run_virtual(scenario)

    def test_reserve_is_returned_in_the_first_pause_after_the_silence(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            homes.store.silent_parts = {OWN_PART}
            for _ in range(2):
                await homes.turn(home)
            await home.write_idle(idle_s=0.0)
            self.assertEqual(["p"], _reserves(homes))
            homes.store.silent_parts = set()
            await home.write_idle(idle_s=0.0)
            self.assertEqual([], _reserves(homes))
            del homes.homes["a"]
            second = homes.start("b")
            granted = sum([await homes.turn(second) for _ in range(12)])
            # One turn more is covered than was spent.
            self.assertEqual(10 - 2 - 1, granted)

        run_virtual(scenario)

    def test_reserve_whose_return_is_unsure_is_not_used_again(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            homes.store.silent_parts = {OWN_PART}
            await homes.turn(home)
            homes.store.silent_parts = {RESERVE_PART}
            homes.store.does_in_silence = True
            await home.write_idle(idle_s=0.0)
            homes.store.silent_parts = set()
            self.assertEqual([], _reserves(homes))
            del homes.homes["a"]
            for sleeper_or_new in (home, homes.start("b"), home):
                while await homes.turn(sleeper_or_new):
                    continue
            self.assertLessEqual(homes.handed, BUDGET)

        run_virtual(scenario)

    def test_reserve_whose_answer_was_lost_is_used(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.silent_parts = {OWN_PART, RESERVE_PART}
            homes.store.does_in_silence = True
            home = homes.start("a")
            self.assertFalse(await homes.turn(home))
            homes.store.silent_parts = set()
            self.assertEqual(10, sum([await homes.turn(home) for _ in range(12)]))

        run_virtual(scenario)

    def test_store_that_is_slow_as_a_whole_gives_no_reserve_away(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.answer_s = homes.store.usual_s = 0.4
            self.assertTrue(await homes.turn(homes.start("a")))
            self.assertEqual([], _reserves(homes))

        run_virtual(scenario)

    def test_budget_that_may_not_be_spent_is_not_said_to_be_spent(self) -> None:
        """Only the reserve's own row tells that it is gone."""

        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            for _ in range(6):
                await homes.turn(home)
            homes.store.silent_parts = {RESERVE_PART}
            with self.assertRaises(RowStoreAwayError):
                await home.reserve("p", "t", TOKENS, BUDGET, kept_s=60)

        run_virtual(scenario)

    def test_program_that_is_over_leaves_no_row(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            home = homes.start("a")
            for _ in range(10):
                await homes.turn(home)
            self.assertEqual(1, len(_reserves(homes)))
            sweeping = asyncio.ensure_future(home.sweep_forever())
            await asyncio.sleep(100)
            sweeping.cancel()
            self.assertEqual({}, homes.store.rows)

        run_virtual(scenario)

    def test_reserve_moves_with_its_account_at_a_planned_stop(self) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.silent_parts = {OWN_PART}
            first, second = homes.start("a"), homes.start("b")
            await homes.turn(first)

            async def move(account: MovedAccount) -> bool:
                return second.take_over(account)

            await first.move_all(move)
            goes_on = [await homes.turn(second) for _ in range(TURNS_IN_RESERVE - 1)]
            homes.store.silent_parts = set()
            granted = sum([await homes.turn(second) for _ in range(12)])
            self.assertTrue(all(goes_on))
            self.assertEqual(10, granted + TURNS_IN_RESERVE)

        run_virtual(scenario)

    def test_home_that_slept_does_not_drop_the_reserve_of_a_program_that_goes_on(
        self,
    ) -> None:
        async def scenario() -> None:
            homes = Homes()
            homes.store.silent_parts = {OWN_PART}
            sleeper = homes.start("a")
            for _ in range(TURNS_IN_RESERVE):
                await homes.turn(sleeper)
            del homes.homes["a"]
            homes.store.silent_parts = set()
            second = homes.start("b")
            await homes.turn(second)
            sweeping = asyncio.ensure_future(sleeper.sweep_forever())
            await asyncio.sleep(100)
            sweeping.cancel()
            while await homes.turn(second):
                continue
            self.assertLessEqual(homes.handed, BUDGET)

        run_virtual(scenario)

    def test_random_histories_never_exceed_the_budget(self) -> None:
        for seed in range(300):
            with self.subTest(seed):
                handed = run_virtual(lambda seed=seed: _random_history(seed))
                self.assertLessEqual(handed, BUDGET)


class AccountTest(TestCase):
    def test_row_covers_no_more_than_the_budget_less_the_reserve(self) -> None:
        account = Account(900, reserve=300, covered=600)
        for turn in range(6):
            account.grant(f"t{turn}", 100)
        self.assertEqual(NeedsReserve(), account.grant("t6", 100))
        account.take_reserve(7)
        for turn in range(6, 9):
            account.grant(f"t{turn}", 100)
        self.assertEqual(Spent(900), account.grant("t9", 100))

    def test_reserve_that_is_gone_leaves_the_rest(self) -> None:
        account = Account(900, reserve=300, covered=600)
        account.lose_reserve(7)
        for turn in range(6):
            account.grant(f"t{turn}", 100)
        self.assertEqual(Spent(900), account.grant("t6", 100))


def _reserves(homes: Homes) -> list[str]:
    return [key.key for key in homes.store.rows if key.table == RESERVES_TABLE]


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
                name = next(n for n, h in homes.homes.items() if h is victim)
                del homes.homes[name]
                asleep.append(victim)
                alive.append(homes.start(next(names)))
            case 1 | 2:
                parts = (set(), {OWN_PART}, {RESERVE_PART}, {OWN_PART, RESERVE_PART})
                homes.store.silent_parts = rng.choice(parts)
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
    name = next(n for n, home in homes.homes.items() if home is leaver)
    del homes.homes[name]
