"""Token budgets across several owners and a failing store.

Owners die, freeze, and release or move accounts, and the store fails in several ways.
The budget must not be exceeded, and few turns that fit into it may be refused.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from carobspur.gateway.accounts import ReleasedAccount
from carobspur.gateway.rows import RowStoreAwayError
from carobspur.gateway.spending import AccountOwner
from carobspur.gateway.spending_records import (
    BudgetSpentError,
    MovedAccount,
    spending_expiry,
)

from .account_owners import BUDGET, RETENTION_S, TOKENS, AccountOwners


class SpendingTest(IsolatedAsyncioTestCase):
    async def test_one_owner_grants_the_whole_budget_and_no_more(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        granted = [await owners.turn(owner) for _ in range(12)]
        self.assertEqual([True] * 10 + [False] * 2, granted)

    async def test_most_turns_need_no_store_call(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        for _ in range(20):
            await owners.turn(owner, budget=10 * BUDGET)
        self.assertLessEqual(owners.store.version, 2)

    async def test_release_between_two_owners_loses_no_tokens(self) -> None:
        owners = AccountOwners()
        pair = [owners.start("a"), owners.start("b")]
        granted = [await owners.turn(pair[number % 2]) for number in range(12)]
        self.assertEqual(10, sum(granted))

    async def test_dead_owner_costs_its_allowance_and_the_budget_is_kept(
        self,
    ) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await owners.turn(first)
        del owners.by_name["a"]
        second = owners.start("b")
        granted = sum([await owners.turn(second) for _ in range(12)])
        self.assertLessEqual(owners.granted_tokens, BUDGET)
        self.assertGreaterEqual(granted, 6)

    async def test_budget_is_kept_when_a_frozen_owner_resumes(self) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await owners.turn(first)
        del owners.by_name["a"]
        second = owners.start("b")
        while await owners.turn(second):
            continue
        while await owners.turn(first):
            continue
        self.assertLessEqual(owners.granted_tokens, BUDGET)

    async def test_lost_answer_of_a_row_write_costs_one_turn_at_most(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        owners.store.lose_answers = 1
        granted = [await owners.turn(owner) for _ in range(11)]
        self.assertGreaterEqual(sum(granted), 9)
        self.assertLessEqual(owners.granted_tokens, BUDGET)

    async def test_unanswered_row_write_costs_no_tokens_at_another_owner(self) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        owners.store.lose_answers = 1
        owners.store.is_unreachable_after_loss = True
        owners.may_grant_unrecorded = False
        self.assertFalse(await owners.turn(first, budget=2 * TOKENS))
        owners.store.is_unreachable = False
        granted = [await owners.turn(second, budget=2 * TOKENS) for _ in range(2)]
        self.assertEqual([True, True], granted)

    async def test_released_account_is_reported_until_another_owner_has_written(
        self,
    ) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await owners.turn(first)
        for _ in range(2):
            released = await first.release("p", 1, 1)
            self.assertEqual((TOKENS, 0), (released.recorded, released.unrecorded))
        self.assertEqual(ReleasedAccount(None, 0), await first.release("p", 2, 0))
        second = owners.start("b")
        granted = sum([await owners.turn(second) for _ in range(12)])
        self.assertEqual(9, granted)

    async def test_running_programs_continue_while_the_store_is_unreachable(
        self,
    ) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owners.turn(owner, budget=10 * BUDGET)
        owners.store.is_unreachable = True
        granted = [await owners.turn(owner, budget=10 * BUDGET) for _ in range(5)]
        self.assertEqual([True] * 5, granted)

    async def test_long_program_runs_through_most_of_an_outage(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owners.turn(owner, budget=10 * BUDGET)
        owners.store.is_unreachable = True
        granted = [await owners.turn(owner, budget=10 * BUDGET) for _ in range(24)]
        self.assertEqual([True] * 24, granted)

    async def test_program_idle_at_the_start_of_an_outage_continues(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owners.turn(owner, budget=10 * BUDGET)
        owners.store.is_unreachable = True
        owners.store.failures_until_known = 1
        await owner.write_idle(idle_s=0.0)
        granted = [await owners.turn(owner, budget=10 * BUDGET) for _ in range(10)]
        self.assertEqual([True] * 10, granted)

    async def test_two_owner_deaths_refuse_no_turn_of_a_half_spent_long_budget(
        self,
    ) -> None:
        owners = AccountOwners()
        for name in ("a", "b", "c"):
            owners.by_name.clear()
            owner = owners.start(name)
            granted = [await owners.turn(owner, budget=10 * BUDGET) for _ in range(15)]
            self.assertEqual([True] * 15, granted)

    async def test_owner_death_in_the_second_of_three_turns_does_not_refuse_the_third(
        self,
    ) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await first.reserve("p", "t1", 592, 1800, retention_s=60)
        first.settle("p", "t1", 592)
        await first.reserve("p", "t2", 592, 1800, retention_s=60)
        del owners.by_name["a"]
        second = owners.start("b")
        others = await second.reserve("p", "t3", 592, 1800, retention_s=60)
        self.assertLessEqual(others + 592, 1800)

    async def test_turn_above_the_allowance_is_refused_at_once_in_an_outage(
        self,
    ) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owners.turn(owner)
        owners.store.is_unreachable = True
        owners.store.answer_s = 5.0
        async with asyncio.timeout(1.0):
            while await owners.turn(owner):
                continue

    async def test_tokens_of_a_program_begun_without_the_store_are_counted(
        self,
    ) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        owners.store.is_unreachable = True
        while await owners.turn(owner):
            continue
        self.assertEqual(TOKENS, owners.granted_tokens)
        owners.store.is_unreachable = False
        await owner.write_unrecorded_accounts()
        del owners.by_name["a"]
        second = owners.start("b")
        while await owners.turn(second):
            continue
        self.assertLessEqual(owners.granted_tokens, BUDGET)

    async def test_outage_detected_late_refuses_no_new_program(self) -> None:
        # A gateway short of CPU time detects the outage only when its last call fails.
        owners = AccountOwners()
        owner = owners.start("a")
        owners.store.is_unreachable = True
        owners.store.failures_until_known = 1
        self.assertTrue(await owners.turn(owner, budget=10 * BUDGET))

    async def test_assumed_share_makes_up_for_lost_unrecorded_grants(
        self,
    ) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        owners.store.is_unreachable = True
        while await owners.turn(first):
            continue
        owners.store.is_unreachable = False
        owners.by_name.clear()
        owners.may_have_lost_grants = True
        second = owners.start("b")
        while await owners.turn(second):
            continue
        self.assertLessEqual(owners.granted_tokens, BUDGET)

    async def test_grants_of_a_dead_owner_count_before_its_death_is_known(
        self,
    ) -> None:
        """Guards against budgets that begin anew as an owner dies in an outage."""
        for is_passed_over in (True, False):
            for is_back in (True, False):
                with self.subTest(is_passed_over=is_passed_over, is_back=is_back):
                    owners = AccountOwners()
                    first, second = owners.start("a"), owners.start("b")
                    owners.store.is_unreachable = owners.was_unreachable = True
                    while await owners.turn(first):
                        continue
                    granted = owners.granted_tokens
                    self.assertGreater(granted, 0)
                    owners.remove(first)
                    # Either the sender of the request has noticed, or the next owner.
                    owners.first_choices = set() if is_passed_over else {"a"}
                    owners.store.is_unreachable = not is_back
                    while await owners.turn(second, is_passed_over=is_passed_over):
                        continue
                    if not is_back:
                        self.assertEqual(granted, owners.granted_tokens)
                    owners.store.is_unreachable = False
                    while await owners.turn(second, is_passed_over=is_passed_over):
                        continue
                    self.assertLessEqual(owners.granted_tokens, BUDGET)

    async def test_row_remains_while_a_program_that_ran_within_it_may_return(
        self,
    ) -> None:
        """Guards against a budget that begins anew after its row was removed."""
        owners = AccountOwners()
        owner = owners.start("a")
        with patch("time.time", return_value=1000.0):
            await owners.turn(owner)
            await owner.write_idle(idle_s=0.0)
        writes = owners.store.version
        last_turn_at = 1000.0 + RETENTION_S - 1
        with patch("time.time", return_value=last_turn_at):
            await owners.turn(owner)
        self.assertEqual(writes, owners.store.version)
        ((row, _),) = owners.store.rows.values()
        self.assertGreaterEqual(spending_expiry(row), last_turn_at + RETENTION_S)

    async def test_owner_that_does_not_answer_a_pull_may_have_granted(self) -> None:
        """Guards against two owners that both begin a program without a row."""
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        owners.store.is_unreachable = owners.was_unreachable = True
        while await owners.turn(first):
            continue
        granted = owners.granted_tokens
        owners.remove(first)
        owners.silent = {"a"}
        self.assertFalse(await owners.turn(second))
        self.assertEqual(granted, owners.granted_tokens)

    async def test_row_of_a_dead_owner_counts_although_it_cannot_be_read(self) -> None:
        """Guards against grants beyond a row whose owner died before an outage."""
        budget = 22 * TOKENS
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        while await owners.turn(first, budget=budget):
            continue
        self.assertEqual(budget, owners.granted_tokens)
        owners.remove(first)
        owners.may_have_lost_owner = owners.may_have_lost_grants = True
        owners.store.is_unreachable = owners.was_unreachable = True
        self.assertFalse(await owners.turn(second, budget=budget))
        owners.store.is_unreachable = False
        while await owners.turn(second, budget=budget):
            continue
        self.assertLessEqual(owners.granted_tokens, budget + TOKENS)

    async def test_new_program_uses_its_whole_budget_without_an_outage(self) -> None:
        owners = AccountOwners()
        owner = owners.start("b")
        owners.first_choices = {"a"}
        granted = [await owners.turn(owner, is_passed_over=True) for _ in range(11)]
        self.assertEqual(10, sum(granted))

    async def test_cancelled_reservation_does_not_count(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owner.reserve("p", "cancelled late", TOKENS, BUDGET, retention_s=60)
        self.assertTrue(owner.settle("p", "cancelled late", 0))
        self.assertFalse(owner.settle("p", "cancelled early", 0))
        with self.assertRaises(RowStoreAwayError):
            await owner.reserve("p", "cancelled early", TOKENS, BUDGET, retention_s=60)
        granted = [await owners.turn(owner) for _ in range(11)]
        self.assertEqual(10, sum(granted))

    async def test_turn_running_at_a_release_is_settled_at_the_next_owner(self) -> None:
        # "t" does not run, and is settled with 0 tokens after its account was released.
        # Its reservation must not remain there and refuse later turns.
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        await first.reserve("p", "t", 289, 500, retention_s=60)
        with self.assertRaises(BudgetSpentError):
            await second.reserve("p", "u", 289, 500, retention_s=60)
        self.assertFalse(first.settle("p", "t", 0))
        self.assertTrue(second.settle("p", "t", 0))
        self.assertEqual(0, await second.reserve("p", "v", 289, 500, retention_s=60))

    async def test_settlement_that_arrives_before_the_account_counts(self) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        await first.reserve("p", "t", 289, 500, retention_s=60)
        self.assertFalse(second.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, retention_s=60))

    async def test_settlement_after_a_release_is_in_the_next_report(
        self,
    ) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        await first.reserve("p", "t", 289, 500, retention_s=60)
        await first.release("p", 1, 1)
        self.assertFalse(first.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, retention_s=60))

    async def test_turn_running_at_a_planned_stop_is_settled_at_the_next_owner(
        self,
    ) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        await first.reserve("p", "t", 289, 500, retention_s=60)

        async def move(account: MovedAccount) -> bool:
            return second.take_over(account)

        await first.move_all(move)
        self.assertTrue(second.settle("p", "t", 10))
        self.assertEqual(10, await second.reserve("p", "u", 289, 500, retention_s=60))

    async def test_possibly_lost_grants_do_not_refuse_a_program_of_one_turn(
        self,
    ) -> None:
        owners = AccountOwners()
        owners.may_have_lost_grants = True
        self.assertTrue(await owners.turn(owners.start("a"), budget=TOKENS))

    async def test_planned_stop_moves_accounts_without_the_store(self) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        await owners.turn(first)
        owners.store.is_unreachable = True

        async def move(account: MovedAccount) -> bool:
            return second.take_over(account)

        await first.move_all(move)
        self.assertTrue(await owners.turn(second))
        owners.store.is_unreachable = False
        while await owners.turn(second):
            continue
        self.assertEqual(BUDGET, owners.granted_tokens)

    async def test_owner_death_costs_an_idle_program_no_tokens(self) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await first.reserve("p", "t", 289, 578, retention_s=60)
        first.settle("p", "t", 60)
        await first.write_idle(idle_s=0.0)
        del owners.by_name["a"]
        second = owners.start("b")
        others = await second.reserve("p", "u", 289, 578, retention_s=60)
        self.assertEqual(60, others)

    async def test_turn_after_an_idle_time_needs_no_store_call(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owners.turn(owner, budget=10 * BUDGET)
        await owner.write_idle(idle_s=0.0)
        written = owners.store.version
        self.assertTrue(await owners.turn(owner, budget=10 * BUDGET))
        self.assertEqual(written, owners.store.version)

    async def test_account_that_moves_during_writes_of_others_counts_once(
        self,
    ) -> None:
        owners = AccountOwners()
        first, second = owners.start("a"), owners.start("b")
        owners.store.is_unreachable = True
        for program in ("o", "p"):
            await first.reserve(program, f"t-{program}", TOKENS, BUDGET, retention_s=60)
        owners.store.is_unreachable = False
        owners.store.answer_s = 0.05
        writing = asyncio.ensure_future(first.write_unrecorded_accounts())
        await asyncio.sleep(0.01)
        self.assertTrue(second.take_over(await first.move_out("p")))
        await writing
        others = await second.reserve("p", "u", TOKENS, BUDGET, retention_s=60)
        self.assertEqual(TOKENS, others)

    async def test_owner_death_while_idle_costs_one_turn_at_most(self) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await owners.turn(first, budget=10 * BUDGET)
        await first.write_idle(idle_s=0.0)
        del owners.by_name["a"]
        second = owners.start("b")
        others = await second.reserve("p", "u", TOKENS, 10 * BUDGET, retention_s=60)
        self.assertLessEqual(others, 2 * TOKENS)

    async def test_row_that_would_refuse_the_next_turn_is_written_at_once(self) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        await first.reserve("p", "t", 289, 577, retention_s=60)
        first.settle("p", "t", 60)
        await asyncio.sleep(0.01)
        del owners.by_name["a"]
        others = await owners.start("b").reserve("p", "u", 289, 577, retention_s=60)
        self.assertEqual(60, others)

    async def test_row_is_not_written_again_if_the_budget_is_too_small_anyway(
        self,
    ) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owner.reserve("p", "t", 289, 500, retention_s=60)
        owner.settle("p", "t", 280)
        await asyncio.sleep(0.01)
        self.assertEqual(1, owners.store.version)

    async def test_idle_row_is_written_once_the_store_answers(self) -> None:
        for is_executed in (False, True):
            with self.subTest(is_executed=is_executed):
                owners = AccountOwners()
                first = owners.start("a")
                await first.reserve("p", "t", 289, 578, retention_s=60)
                first.settle("p", "t", 60)
                owners.store.is_unreachable = not is_executed
                owners.store.failures_until_known = 2
                owners.store.lose_answers = int(is_executed)
                await first.write_idle(idle_s=0.0)
                owners.store.is_unreachable = False
                await first.write_idle(idle_s=0.0)
                await first.write_idle(idle_s=0.0)
                written = owners.store.version
                await first.write_idle(idle_s=0.0)
                self.assertEqual(written, owners.store.version)
                del owners.by_name["a"]
                second = owners.start("b")
                others = await second.reserve("p", "u", 289, 578, retention_s=60)
                self.assertEqual(60, others)

    async def test_idle_rows_of_many_programs_are_written_concurrently(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        for number in range(20):
            await owner.reserve(f"p{number}", f"t{number}", 289, 578, retention_s=60)
            owner.settle(f"p{number}", f"t{number}", 60)
        owners.store.answer_s = 0.4
        async with asyncio.timeout(1.2):
            await owner.write_idle(idle_s=0.0)
        self.assertEqual(40, owners.store.version)

    async def test_turn_does_not_wait_for_the_write_of_its_idle_row(self) -> None:
        owners = AccountOwners()
        owner = owners.start("a")
        await owner.reserve("p", "t", 289, 1000, retention_s=60)
        owner.settle("p", "t", 60)
        owners.store.answer_s = 0.4
        writing = asyncio.ensure_future(owner.write_idle(idle_s=0.0))
        await asyncio.sleep(0.1)
        async with asyncio.timeout(0.6):
            await owner.reserve("p", "u", 289, 1000, retention_s=60)
        await writing

    async def test_unanswered_row_write_costs_no_tokens_after_an_owner_death(
        self,
    ) -> None:
        owners = AccountOwners()
        first = owners.start("a")
        owners.store.lose_answers = 1
        with self.assertRaises(RowStoreAwayError):
            await first.reserve("p", "t", 289, 500, retention_s=60)
        for _ in range(2):
            await first.write_idle(idle_s=0.0)
        del owners.by_name["a"]
        others = await owners.start("b").reserve("p", "u", 289, 500, retention_s=60)
        self.assertEqual(0, others)

    async def test_random_faults_exceed_the_budget_by_one_turn_at_most(self) -> None:
        for seed in range(600):
            rng = random.Random(seed)
            owners = AccountOwners()
            names = (f"h{number}" for number in itertools.count())
            alive = [owners.start(next(names)) for _ in range(3)]
            unreachable: list[AccountOwner] = []
            open_turns: list[str] = []
            for _ in range(60):
                match rng.randrange(12):
                    case 0:
                        victim = alive.pop(rng.randrange(len(alive)))
                        owners.remove(victim)
                        unreachable.append(victim)
                        # Its unrecorded grants may be lost from now on.
                        owners.may_have_lost_grants = True
                        owners.may_grant_unrecorded = False
                        alive.append(owners.start(next(names)))
                    case 1:
                        owners.store.is_unreachable = not owners.store.is_unreachable
                    case 2:
                        owners.store.lose_answers = 1
                    case 4:
                        await rng.choice(alive + unreachable).write_idle(idle_s=0.0)
                    case 3 if unreachable:
                        await owners.turn(rng.choice(unreachable))
                    case 5:
                        turn = await owners.open_turn(rng.choice(alive))
                        open_turns += [turn] if turn else []
                    case 6 if open_turns:
                        turn = open_turns.pop(rng.randrange(len(open_turns)))
                        owners.end_turn(turn, rng.choice((0, 40, TOKENS)))
                    case _:
                        await owners.turn(rng.choice(alive))
            for turn in open_turns:
                owners.end_turn(turn, TOKENS)
            with self.subTest(seed):
                self.assertLessEqual(owners.granted_tokens, BUDGET + TOKENS)
