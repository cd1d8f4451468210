"""Budgets hold whoever dies, freezes or hands over, and whatever the store does."""

from __future__ import annotations

import asyncio
import itertools
import random
from unittest import IsolatedAsyncioTestCase

from carobspur.gateway.accounts import GivenUp
from carobspur.gateway.rows import RowStoreAwayError
from carobspur.gateway.spending import SpendingHome
from carobspur.gateway.spending_records import BudgetSpentError, MovedAccount

from .homes import BUDGET, TOKENS, Homes


class SpendingTest(IsolatedAsyncioTestCase):
    async def test_one_home_spends_the_whole_budget_and_no_more(self) -> None:
        homes = Homes()
        home = homes.start("a")
        granted = [await homes.turn(home) for _ in range(12)]
        self.assertEqual([True] * 10 + [False] * 2, granted)

    async def test_most_turns_need_no_store_call(self) -> None:
        homes = Homes()
        home = homes.start("a")
        for _ in range(20):
            await homes.turn(home, budget=10 * BUDGET)
        self.assertLessEqual(homes.store.version, 2)

    async def test_handing_over_is_exact(self) -> None:
        homes = Homes()
        pair = [homes.start("a"), homes.start("b")]
        granted = [await homes.turn(pair[number % 2]) for number in range(12)]
        self.assertEqual(10, sum(granted))

    async def test_dead_home_costs_its_cover_and_never_more_than_the_budget(
        self,
    ) -> None:
        homes = Homes()
        first = homes.start("a")
        await homes.turn(first)
        del homes.homes["a"]
        second = homes.start("b")
        granted = sum([await homes.turn(second) for _ in range(12)])
        self.assertLessEqual(homes.handed, BUDGET)
        self.assertGreaterEqual(granted, 6)

    async def test_home_that_slept_may_use_only_what_was_counted(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await homes.turn(first)
        del homes.homes["a"]
        second = homes.start("b")
        while await homes.turn(second):
            continue
        while await homes.turn(first):
            continue
        self.assertLessEqual(homes.handed, BUDGET)

    async def test_lost_answers_of_covers_do_not_spend_the_budget(self) -> None:
        homes = Homes()
        home = homes.start("a")
        homes.store.lose_answers = 1
        granted = [await homes.turn(home) for _ in range(11)]
        self.assertGreaterEqual(sum(granted), 9)
        self.assertLessEqual(homes.handed, BUDGET)

    async def test_cover_written_late_spends_nothing_at_another_home(self) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        homes.store.lose_answers = 1
        homes.store.is_away_after_loss = True
        homes.may_grant_uncovered = False
        self.assertFalse(await homes.turn(first, budget=2 * TOKENS))
        homes.store.is_unreachable = False
        granted = [await homes.turn(second, budget=2 * TOKENS) for _ in range(2)]
        self.assertEqual([True, True], granted)

    async def test_account_given_up_stays_known_until_another_has_written(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await homes.turn(first)
        for _ in range(2):
            told = await first.give_up("p", 1, 1)
            self.assertEqual((TOKENS, 0), (told.recorded, told.unrecorded))
        self.assertEqual(GivenUp(None, 0), await first.give_up("p", 2, 0))
        second = homes.start("b")
        granted = sum([await homes.turn(second) for _ in range(12)])
        self.assertEqual(9, granted)

    async def test_programs_under_way_go_on_while_the_store_is_away(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await homes.turn(home, budget=10 * BUDGET)
        homes.store.is_unreachable = True
        granted = [await homes.turn(home, budget=10 * BUDGET) for _ in range(5)]
        self.assertEqual([True] * 5, granted)

    async def test_long_program_goes_on_through_most_of_an_outage(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await homes.turn(home, budget=10 * BUDGET)
        homes.store.is_unreachable = True
        granted = [await homes.turn(home, budget=10 * BUDGET) for _ in range(24)]
        self.assertEqual([True] * 24, granted)

    async def test_pause_that_begins_with_an_outage_stops_no_program(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await homes.turn(home, budget=10 * BUDGET)
        homes.store.is_unreachable = True
        homes.store.is_known_away_from = 1
        await home.write_idle(idle_s=0.0)
        granted = [await homes.turn(home, budget=10 * BUDGET) for _ in range(10)]
        self.assertEqual([True] * 10, granted)

    async def test_two_deaths_refuse_no_long_program_that_is_half_through(
        self,
    ) -> None:
        homes = Homes()
        for name in ("a", "b", "c"):
            homes.homes.clear()
            home = homes.start(name)
            granted = [await homes.turn(home, budget=10 * BUDGET) for _ in range(15)]
            self.assertEqual([True] * 15, granted)

    async def test_death_in_the_second_turn_of_three_leaves_the_third(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await first.reserve("p", "t1", 592, 1800, kept_s=60)
        first.settle("p", "t1", 592)
        await first.reserve("p", "t2", 592, 1800, kept_s=60)
        del homes.homes["a"]
        second = homes.start("b")
        others = await second.reserve("p", "t3", 592, 1800, kept_s=60)
        self.assertLessEqual(others + 592, 1800)

    async def test_turn_that_no_cover_holds_is_refused_at_once_in_an_outage(
        self,
    ) -> None:
        homes = Homes()
        home = homes.start("a")
        await homes.turn(home)
        homes.store.is_unreachable = True
        homes.store.answer_s = 5.0
        async with asyncio.timeout(1.0):
            while await homes.turn(home):
                continue

    async def test_new_program_begins_without_the_store_and_is_counted(self) -> None:
        homes = Homes()
        home = homes.start("a")
        homes.store.is_unreachable = True
        while await homes.turn(home):
            continue
        self.assertEqual(TOKENS, homes.handed)
        homes.store.is_unreachable = False
        await home.cover_uncovered()
        del homes.homes["a"]
        second = homes.start("b")
        while await homes.turn(second):
            continue
        self.assertLessEqual(homes.handed, BUDGET)

    async def test_outage_that_is_learnt_late_refuses_no_new_program(self) -> None:
        # Gateways short of processor time learn of it with the last call's failure.
        homes = Homes()
        home = homes.start("a")
        homes.store.is_unreachable = True
        homes.store.is_known_away_from = 1
        self.assertTrue(await homes.turn(home, budget=10 * BUDGET))

    async def test_lost_uncovered_grants_are_made_good_by_doubt(self) -> None:
        homes = Homes()
        first = homes.start("a")
        homes.store.is_unreachable = True
        while await homes.turn(first):
            continue
        homes.store.is_unreachable = False
        homes.homes.clear()
        homes.may_be_lost = True
        second = homes.start("b")
        while await homes.turn(second):
            continue
        self.assertLessEqual(homes.handed, BUDGET)

    async def test_reservation_that_nobody_waits_for_is_taken_back(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await home.reserve("p", "given up late", TOKENS, BUDGET, kept_s=60)
        self.assertTrue(home.settle("p", "given up late", 0))
        self.assertFalse(home.settle("p", "given up early", 0))
        with self.assertRaises(RowStoreAwayError):
            await home.reserve("p", "given up early", TOKENS, BUDGET, kept_s=60)
        granted = [await homes.turn(home) for _ in range(11)]
        self.assertEqual(10, sum(granted))

    async def test_turn_under_way_at_a_hand_over_ends_at_the_next_home(self) -> None:
        # Two turns fit; the first was refused elsewhere while its account moved on.
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        await first.reserve("p", "t", 289, 500, kept_s=60)
        with self.assertRaises(BudgetSpentError):
            await second.reserve("p", "u", 289, 500, kept_s=60)
        self.assertFalse(first.settle("p", "t", 0))
        self.assertTrue(second.settle("p", "t", 0))
        self.assertEqual(0, await second.reserve("p", "v", 289, 500, kept_s=60))

    async def test_end_that_overtakes_the_hand_over_counts(self) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        await first.reserve("p", "t", 289, 500, kept_s=60)
        self.assertFalse(second.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, kept_s=60))

    async def test_end_told_to_a_home_that_gave_up_counts_when_told_again(
        self,
    ) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        await first.reserve("p", "t", 289, 500, kept_s=60)
        await first.give_up("p", 1, 1)
        self.assertFalse(first.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, kept_s=60))

    async def test_turn_under_way_at_a_planned_stop_ends_at_the_next_home(
        self,
    ) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        await first.reserve("p", "t", 289, 500, kept_s=60)

        async def move(account: MovedAccount) -> bool:
            return second.take_over(account)

        await first.move_all(move)
        self.assertTrue(second.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, kept_s=60))

    async def test_doubt_does_not_refuse_a_program_of_one_turn(self) -> None:
        homes = Homes()
        homes.may_be_lost = True
        self.assertTrue(await homes.turn(homes.start("a"), budget=TOKENS))

    async def test_planned_stop_moves_accounts_without_the_store(self) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        await homes.turn(first)
        homes.store.is_unreachable = True

        async def move(account: MovedAccount) -> bool:
            return second.take_over(account)

        await first.move_all(move)
        self.assertTrue(await homes.turn(second))
        homes.store.is_unreachable = False
        while await homes.turn(second):
            continue
        self.assertEqual(BUDGET, homes.handed)

    async def test_death_costs_nothing_of_a_program_that_pauses(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await first.reserve("p", "t", 289, 578, kept_s=60)
        first.settle("p", "t", 60)
        await first.write_idle(idle_s=0.0)
        del homes.homes["a"]
        second = homes.start("b")
        others = await second.reserve("p", "u", 289, 578, kept_s=60)
        self.assertEqual(60, others)

    async def test_turn_after_a_pause_needs_no_store_call(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await homes.turn(home, budget=10 * BUDGET)
        await home.write_idle(idle_s=0.0)
        written = homes.store.version
        self.assertTrue(await homes.turn(home, budget=10 * BUDGET))
        self.assertEqual(written, homes.store.version)

    async def test_account_that_moves_while_others_are_covered_counts_once(
        self,
    ) -> None:
        homes = Homes()
        first, second = homes.start("a"), homes.start("b")
        homes.store.is_unreachable = True
        for program in ("o", "p"):
            await first.reserve(program, f"t-{program}", TOKENS, BUDGET, kept_s=60)
        homes.store.is_unreachable = False
        homes.store.answer_s = 0.05
        covering = asyncio.ensure_future(first.cover_uncovered())
        await asyncio.sleep(0.01)
        self.assertTrue(second.take_over(await first.give_away("p")))
        await covering
        others = await second.reserve("p", "u", TOKENS, BUDGET, kept_s=60)
        self.assertEqual(TOKENS, others)

    async def test_death_in_a_pause_costs_one_turn_at_most(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await homes.turn(first, budget=10 * BUDGET)
        await first.write_idle(idle_s=0.0)
        del homes.homes["a"]
        second = homes.start("b")
        others = await second.reserve("p", "u", TOKENS, 10 * BUDGET, kept_s=60)
        self.assertLessEqual(others, 2 * TOKENS)

    async def test_row_that_would_refuse_the_next_turn_is_written_at_once(self) -> None:
        homes = Homes()
        first = homes.start("a")
        await first.reserve("p", "t", 289, 577, kept_s=60)
        first.settle("p", "t", 60)
        await asyncio.sleep(0.01)
        del homes.homes["a"]
        others = await homes.start("b").reserve("p", "u", 289, 577, kept_s=60)
        self.assertEqual(60, others)

    async def test_row_that_refuses_in_any_case_is_not_written_again(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await home.reserve("p", "t", 289, 500, kept_s=60)
        home.settle("p", "t", 280)
        await asyncio.sleep(0.01)
        self.assertEqual(1, homes.store.version)

    async def test_program_that_pauses_is_written_once_the_store_answers(self) -> None:
        for is_done in (False, True):
            with self.subTest(is_done=is_done):
                homes = Homes()
                first = homes.start("a")
                await first.reserve("p", "t", 289, 578, kept_s=60)
                first.settle("p", "t", 60)
                homes.store.is_unreachable = not is_done
                homes.store.is_known_away_from = 2
                homes.store.lose_answers = int(is_done)
                await first.write_idle(idle_s=0.0)
                homes.store.is_unreachable = False
                await first.write_idle(idle_s=0.0)
                await first.write_idle(idle_s=0.0)
                written = homes.store.version
                await first.write_idle(idle_s=0.0)
                self.assertEqual(written, homes.store.version)
                del homes.homes["a"]
                second = homes.start("b")
                others = await second.reserve("p", "u", 289, 578, kept_s=60)
                self.assertEqual(60, others)

    async def test_slow_store_is_written_for_many_programs_at_once(self) -> None:
        homes = Homes()
        home = homes.start("a")
        for number in range(20):
            await home.reserve(f"p{number}", f"t{number}", 289, 578, kept_s=60)
            home.settle(f"p{number}", f"t{number}", 60)
        homes.store.answer_s = 0.4
        async with asyncio.timeout(1.2):
            await home.write_idle(idle_s=0.0)
        self.assertEqual(40, homes.store.version)

    async def test_turn_does_not_wait_for_the_write_of_its_pause(self) -> None:
        homes = Homes()
        home = homes.start("a")
        await home.reserve("p", "t", 289, 1000, kept_s=60)
        home.settle("p", "t", 60)
        homes.store.answer_s = 0.4
        writing = asyncio.ensure_future(home.write_idle(idle_s=0.0))
        await asyncio.sleep(0.1)
        async with asyncio.timeout(0.6):
            await home.reserve("p", "u", 289, 1000, kept_s=60)
        await writing

    async def test_cover_whose_answer_was_lost_costs_nothing_after_a_death(
        self,
    ) -> None:
        homes = Homes()
        first = homes.start("a")
        homes.store.lose_answers = 1
        with self.assertRaises(RowStoreAwayError):
            await first.reserve("p", "t", 289, 500, kept_s=60)
        for _ in range(2):
            await first.write_idle(idle_s=0.0)
        del homes.homes["a"]
        others = await homes.start("b").reserve("p", "u", 289, 500, kept_s=60)
        self.assertEqual(0, others)

    async def test_random_histories_never_exceed_the_budget(self) -> None:
        for seed in range(600):
            rng = random.Random(seed)
            homes = Homes()
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
                        # Its uncovered grants are in doubt from now on.
                        homes.may_be_lost = True
                        homes.may_grant_uncovered = False
                        alive.append(homes.start(next(names)))
                    case 1:
                        homes.store.is_unreachable = not homes.store.is_unreachable
                    case 2:
                        homes.store.lose_answers = 1
                    case 4:
                        await rng.choice(alive + asleep).write_idle(idle_s=0.0)
                    case 3 if asleep:
                        await homes.turn(rng.choice(asleep))
                    case 5:
                        turn = await homes.open_turn(rng.choice(alive))
                        under_way += [turn] if turn else []
                    case 6 if under_way:
                        turn = under_way.pop(rng.randrange(len(under_way)))
                        homes.end_turn(turn, rng.choice((0, 40, TOKENS)))
                    case _:
                        await homes.turn(rng.choice(alive))
            for turn in under_way:
                homes.end_turn(turn, TOKENS)
            with self.subTest(seed):
                self.assertLessEqual(homes.handed, BUDGET + TOKENS)
