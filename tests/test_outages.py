"""Turns during an outage of the row store: ``Retry-After``, holding and commits.

The decisions must let callers get through an outage of several seconds.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from carobspur.gateway.outages import (
    HONOURED_RETRY_SHARE,
    OUTAGE_CONFIRMED_S,
    commit_wait_s,
    is_outage_confirmed,
    max_hold_s,
    release_delay_s,
    retry_after_s,
)
from carobspur.gateway.routes import Route, RouteKind, WeightedService
from carobspur.gateway.turn_times import TurnTimes

DEADLINE_S = 3.0
STARTS = 3
"""Callers start a failed turn anew at most twice."""
PAUSE_S = (0.1, 0.4)
"""Shortest and longest pause of a caller before it starts the turn anew."""

ROUTE = Route(
    "chat", "x", "/a/", RouteKind.STREAM, (WeightedService("s", 1),), 30.0, 0.25, 1,
    keeps_history=True, max_gap_s=0.15,
)  # fmt: skip


def last_attempt_s(rng: random.Random) -> float:
    """Return how long after the first attempt a refused caller makes its last one."""
    now = 0.0
    for start in range(STARTS):
        now += rng.uniform(*PAUSE_S) if start else 0.0
        retry_s = retry_after_s(DEADLINE_S, draw=rng.random())
        now += min(retry_s, DEADLINE_S * HONOURED_RETRY_SHARE)
    return now


def last_moment_s(rng: random.Random, *, holds: bool, deadline_s: float) -> float:
    """Return until when the turn of a caller that is always refused could be served.

    Each start of the turn has two attempts. The first is refused at once; the second is
    refused at once too, or held if ``holds`` is true.
    """
    now = 0.0
    for start in range(STARTS):
        now += rng.uniform(*PAUSE_S) if start else 0.0
        end = now + deadline_s
        now += retry_after_s(deadline_s, draw=rng.random())
        if holds:
            now += max_hold_s(
                ROUTE,
                remaining_s=end - now,
                age_s=0.0,
                usual_deadline_s=deadline_s,
                usual_turn_s=0.5,
            )
    return now


class HoldTest(unittest.TestCase):
    """How long turns that arrive in an outage are held, by their remaining time."""

    def hold_time_s(self, remaining_s: float, **more: float) -> float:
        given = {"age_s": 0.0, "usual_deadline_s": 4.0, "usual_turn_s": 0.8, **more}
        return max_hold_s(
            replace(ROUTE, max_gap_s=0.4), remaining_s=remaining_s, **given
        )

    def test_callers_get_through_an_outage_of_seven_seconds(self) -> None:
        rng = random.Random(7)
        held, refused = (
            [last_moment_s(rng, holds=holds, deadline_s=4.0) for _ in range(200)]
            for holds in (True, False)
        )
        self.assertGreater(min(held), 7.0)
        self.assertLess(max(refused), 5.0)

    def test_first_attempt_is_refused_at_once(self) -> None:
        self.assertEqual(0.0, self.hold_time_s(3.9))

    def test_waiting_first_attempt_does_not_count_as_a_second(self) -> None:
        self.assertEqual(0.0, self.hold_time_s(2.8, age_s=1.1))

    def test_second_attempt_is_held_until_a_turn_no_longer_fits(self) -> None:
        self.assertAlmostEqual(1.8, self.hold_time_s(2.6))

    def test_attempt_with_too_little_time_for_a_turn_is_refused_at_once(self) -> None:
        self.assertEqual(0.0, self.hold_time_s(0.7))
        self.assertEqual(0.0, self.hold_time_s(0.3, usual_turn_s=0.0))

    def test_no_turn_is_held_until_its_caller_abandons_the_stream(self) -> None:
        self.assertAlmostEqual(3.0, self.hold_time_s(9.0, usual_deadline_s=20.0))
        self.assertAlmostEqual(
            1.0, self.hold_time_s(8.0, usual_deadline_s=20.0, age_s=2.0)
        )

    def test_turn_is_refused_if_the_usual_deadline_is_unknown(self) -> None:
        self.assertEqual(0.0, self.hold_time_s(2.0, usual_deadline_s=0.0))

    def test_turns_with_little_spare_time_are_released_first(self) -> None:
        self.assertEqual(0.0, release_delay_s(0.0, draw=0.9))
        self.assertLess(release_delay_s(0.1, draw=0.9), release_delay_s(2.0, draw=0.9))
        self.assertLessEqual(release_delay_s(9.0, draw=1.0), 0.3)


class TurnTimesTest(unittest.TestCase):
    def test_shorter_deadlines_hardly_change_the_usual_one(self) -> None:
        times = TurnTimes()
        for number in range(100):
            times.record_arrival("chat", 0.5 if number % 10 else 4.0)
        self.assertGreater(times.usual_deadline_s("chat"), 0.9 * 4.0)

    def test_longer_deadline_of_one_caller_is_forgotten(self) -> None:
        times = TurnTimes()
        times.record_arrival("chat", 400.0)
        for _ in range(500):
            times.record_arrival("chat", 4.0)
        self.assertAlmostEqual(4.0, times.usual_deadline_s("chat"))

    def test_usual_duration_follows_measured_durations(self) -> None:
        times = TurnTimes()
        self.assertEqual(0.0, times.usual_turn_s("chat"))
        for _ in range(200):
            times.record_duration("chat", 0.8)
        self.assertAlmostEqual(0.8, times.usual_turn_s("chat"))


class OutagesTest(unittest.TestCase):
    def test_outage_is_confirmed_only_after_some_time(self) -> None:
        confirmed = [
            is_outage_confirmed(away_s) for away_s in (None, 0.0, OUTAGE_CONFIRMED_S)
        ]
        self.assertEqual([False, False, True], confirmed)

    def test_refused_callers_still_retry_after_about_three_seconds(self) -> None:
        # A fixed Retry-After of 0.7 s would cover at most 2.6 s.
        rng = random.Random(7)
        last_attempts = [last_attempt_s(rng) for _ in range(1000)]
        self.assertGreater(min(last_attempts), 2.6)
        self.assertGreater(sum(last_attempts) / 1000, 3.0)

    def test_callers_refused_together_return_at_different_times(self) -> None:
        rng = random.Random(7)
        times = sorted(retry_after_s(DEADLINE_S, draw=rng.random()) for _ in range(100))
        self.assertGreater(times[-1] - times[0], 0.15)
        self.assertLessEqual(times[-1], DEADLINE_S * HONOURED_RETRY_SHARE)

    def test_retry_after_is_never_negative(self) -> None:
        self.assertEqual(0.0, retry_after_s(-1.0, draw=0.5))

    def test_commit_waits_while_the_caller_does(self) -> None:
        slow = replace(ROUTE, max_gap_s=0.4)
        self.assertAlmostEqual(1.8, commit_wait_s(ROUTE, 10.0))
        self.assertAlmostEqual(3.0, commit_wait_s(slow, 10.0))
        self.assertAlmostEqual(1.0, commit_wait_s(slow, 1.0))
        # A usual commit takes 12 ms, so it is worth trying until the deadline.
        self.assertAlmostEqual(0.1, commit_wait_s(slow, 0.1))
