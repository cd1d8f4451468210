"""Admission control against overload, in virtual time; see :mod:`.overload_model`."""

from __future__ import annotations

import unittest
from functools import cache

from .overload_model import OTHER, SLOTS, TURN_S, URGENT, Overload, Program, Refusal

CUSTOMERS = 10
USUAL_TURNS_PER_S = URGENT.rate_per_s * 3 + OTHER.rate_per_s * 11
BURST = (8.0, 13.0)
END = 30.0
STEP_AT = 5.0
SETTLED_AT = 10.0
"""Time from which sustained overload is measured: 5 s after it began."""


def engines_for(load: float) -> int:
    """Return the number of engines that serve a multiple of the usual load."""
    return round(load * USUAL_TURNS_PER_S * TURN_S / SLOTS)


@cache
def burst(*, controlled: bool, gateways: int = 37) -> Overload:
    """Return a run with bursts of both classes and of one customer."""
    run = Overload(engines=engines_for(1.2), gateways=gateways, controlled=controlled)
    for kind, factor in ((URGENT, 2.4), (OTHER, 1.5)):
        rate = kind.rate_per_s / CUSTOMERS
        for number in range(CUSTOMERS):
            run.arrive(kind, 0, END, rate, f"c{number}")
            run.arrive(kind, *BURST, rate * (factor - 1), f"c{number}")
        run.arrive(kind, *BURST, rate * 6, "c0")
    run.run()
    return run


@cache
def sustained(load: float, *, has_reports: bool = True, seed: int = 1) -> Overload:
    """Return a run with a multiple of the capacity, which begins at ``STEP_AT``."""
    engines = engines_for(1.0)
    run = Overload(engines=engines, has_reports=has_reports, seed=seed)
    load *= engines * SLOTS / (USUAL_TURNS_PER_S * TURN_S)
    for kind in (URGENT, OTHER):
        rate = kind.rate_per_s / CUSTOMERS
        for number in range(CUSTOMERS):
            run.arrive(kind, 0, STEP_AT, min(load, 0.8) * rate, f"c{number}")
            run.arrive(kind, STEP_AT, 20, load * rate, f"c{number}")
    run.run()
    return run


def on_time(programs: list[Program]) -> float:
    """Return the share of programs that ended within their objective."""
    return sum(item.is_on_time for item in programs) / len(programs)


def served(programs: list[Program]) -> float:
    """Return the share of programs that earned a credit."""
    return sum(item.credit > 0 for item in programs) / len(programs)


def goodput(programs: list[Program]) -> float:
    """Return the turns of programs by their credit."""
    return sum(item.credit * len(item.turns) for item in programs)


def wrong_refusals(run: Overload) -> list[Refusal]:
    """Return refusals while less than half was occupied and nothing waited."""
    return [item for item in run.refusals if item.occupied < 0.5 and not item.queued]


class BurstTest(unittest.TestCase):
    def test_more_programs_end_on_time_than_without_admission_control(self) -> None:
        """Guards against a burst after which nearly every program is late."""
        with_control, without = burst(controlled=True), burst(controlled=False)
        self.assertGreater(
            on_time(with_control.begun(0, END)), 1.8 * on_time(without.begun(0, END))
        )
        for start in range(9, 30):
            with self.subTest(start):
                self.assertGreaterEqual(
                    on_time(with_control.begun(start, start + 1)) + 0.05,
                    on_time(without.begun(start, start + 1)),
                )
        self.assertLess(on_time(without.begun(15, END)), 0.2)

    def test_new_programs_end_on_time_two_seconds_after_the_burst(self) -> None:
        """Guards against overload that outlasts its cause."""
        for gateways in (37, 77):
            run = burst(controlled=True, gateways=gateways)
            with self.subTest(gateways):
                self.assertGreater(on_time(run.begun(BURST[1] + 2, END)), 0.9)

    def test_the_customer_that_bursts_bears_more_of_it_than_others(self) -> None:
        """Guards against one customer's burst at the expense of all."""
        run = burst(controlled=True)
        own = on_time(run.begun(*BURST, lambda item: item.customer == "c0"))
        others = on_time(run.begun(*BURST, lambda item: item.customer != "c0"))
        self.assertGreater(others, own)

    def test_urgent_programs_are_served_at_least_as_often(self) -> None:
        """Guards against a class that is served less often than a less urgent one."""
        run = burst(controlled=True)
        urgent = on_time(run.begun(*BURST, lambda item: item.kind is URGENT))
        other = on_time(run.begun(*BURST, lambda item: item.kind is OTHER))
        self.assertGreater(urgent, other - 0.05)

    def test_nothing_is_refused_while_half_is_free(self) -> None:
        """Guards against refusals by views that are out of date."""
        self.assertEqual([], wrong_refusals(burst(controlled=True)))

    def test_gateways_that_have_just_started_do_no_harm(self) -> None:
        """Guards against a rolling restart in the middle of a burst."""
        run = Overload(engines=engines_for(1.2))
        for kind, factor in ((URGENT, 2.4), (OTHER, 1.5)):
            run.arrive(kind, 0, END, kind.rate_per_s, "c")
            run.arrive(kind, *BURST, kind.rate_per_s * (factor - 1), "c")
        for at in (9.0, 10.0, 11.0):
            run.at(at, lambda: run.restart_gateways(12))
        run.run()
        self.assertGreater(on_time(run.begun(BURST[1] + 2, END)), 0.9)


class SustainedTest(unittest.TestCase):
    def test_goodput_holds_up_to_twenty_times_the_capacity(self) -> None:
        """Guards against goodput that collapses the more is offered.

        Goodput is the work of the programs that earned a credit. Their number alone
        depends on the mix: the more is offered, the more of what is admitted is short
        urgent programs.
        """
        self._check_goodput(seed=1)

    def test_goodput_holds_up_to_twenty_times_the_capacity_with_seed_2(self) -> None:
        """Guards against constants that fit one course of arrivals only."""
        self._check_goodput(seed=2)

    def _check_goodput(self, seed: int) -> None:
        found = {
            load: goodput(sustained(load, seed=seed).begun(SETTLED_AT, 19))
            for load in (1.2, 2, 5, 20)
        }
        for load, credit in found.items():
            with self.subTest(load, found=found):
                self.assertGreater(credit, 0.9 * max(found.values()))

    def test_no_class_and_no_customer_is_starved(self) -> None:
        """Guards against a class or customer that others crowd out."""
        for load in (1.2, 2, 5, 20):
            run = sustained(load)
            every = served(run.begun(SETTLED_AT, 19))
            for kind in (URGENT, OTHER):
                share = served(run.begun(SETTLED_AT, 19, lambda p, k=kind: p.kind is k))
                with self.subTest(load, kind=kind.route):
                    self.assertGreater(share, every / 4)
            for number in range(CUSTOMERS):
                name = f"c{number}"
                share = served(
                    run.begun(SETTLED_AT, 19, lambda p, n=name: p.customer == n)
                )
                with self.subTest(load, customer=name):
                    self.assertGreater(share, every / 4)

    def test_nothing_is_refused_below_half_load_or_without_reports(self) -> None:
        """Guards against refusals by chance, and by gateways that know nothing."""
        self.assertEqual([], sustained(0.5).refusals)
        self.assertEqual([], sustained(2.0, has_reports=False).refusals)

    def test_no_refusal_while_half_is_free_under_any_load(self) -> None:
        """Guards against refusals that continue after the queues are gone."""
        for load in (1.2, 2, 5, 20):
            with self.subTest(load):
                self.assertEqual([], wrong_refusals(sustained(load)))
