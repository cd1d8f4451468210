"""Hedged calls are limited by a budget, and only unusually slow calls are hedged."""

from __future__ import annotations

import random
import unittest

from carobspur.gateway.calls import AnswerHead
from carobspur.gateway.hedging import (
    HEDGES_PER_CALL,
    MAX_SAVED_HEDGES,
    MIN_THRESHOLD_S,
    HedgeBudget,
    slow_call_threshold_s,
)
from carobspur.gateway.outcomes import Answered, Lost, NotRunThere, best_outcome

USUAL_S = 0.04
LOST_SHARE = 0.04
"""Share of answers that a service's endpoints lose, as on the users' test benches."""


class HedgingTest(unittest.TestCase):
    def test_slow_service_gets_a_tenth_more_load_at_most(self) -> None:
        budget = HedgeBudget()
        sent = 0
        for _ in range(5000):
            budget.earn()
            sent += budget.spend()
        self.assertLessEqual(sent, HEDGES_PER_CALL * 5000 + MAX_SAVED_HEDGES)

    def test_nearly_all_calls_with_lost_answers_are_hedged(self) -> None:
        rng = random.Random(3)
        budget = HedgeBudget()
        lost = unhedged = 0
        for _ in range(5000):
            budget.earn()
            is_lost = rng.random() < LOST_SHARE
            duration_s = rng.expovariate(1 / USUAL_S)
            if is_lost or duration_s > slow_call_threshold_s(USUAL_S):
                spent = budget.spend()
                lost += is_lost
                unhedged += is_lost and not spent
        self.assertGreater(lost, 150)
        self.assertLess(unhedged, lost / 50)

    def test_call_is_not_slow_while_the_usual_duration_is_unknown(self) -> None:
        self.assertIsNone(slow_call_threshold_s(0.0))
        self.assertEqual(MIN_THRESHOLD_S, slow_call_threshold_s(0.001))

    def test_best_outcome_of_two_attempts_is_returned(self) -> None:
        good = Answered(AnswerHead(200, [], True, False), b"")
        bad = Answered(AnswerHead(500, [], True, False), b"")
        lost, refused = Lost("lost"), NotRunThere("full")
        ranked = [good, bad, lost, refused]
        for rank, better in enumerate(ranked):
            for worse in ranked[rank:]:
                self.assertIs(better, best_outcome([better, worse]))
                self.assertIs(better, best_outcome([worse, better]))
