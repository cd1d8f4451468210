"""Accounts that were given up are told of until their programs are over."""

from __future__ import annotations

import unittest

from carobspur.gateway.accounts import Account
from carobspur.gateway.early_settlements import MAX_SETTLEMENTS, EarlySettlements
from carobspur.gateway.released_accounts import ReleasedAccounts


def account(**turns: int) -> Account:
    made = Account(1000, allowance=500, version=3)
    made.open.update(turns)
    return made


class GivenUpTest(unittest.TestCase):
    def test_end_told_later_counts(self) -> None:
        book = ReleasedAccounts()
        book.record("p", account(t=100, u=50), forget_at=9.0)
        book.settle("p", "t", 40)
        released = book.for_row("p", 3, 1)
        self.assertEqual((90, {"u": 50}), (released.recorded, released.open))

    def test_programs_that_are_over_are_forgotten(self) -> None:
        book = ReleasedAccounts()
        book.record("p", account(), forget_at=9.0)
        book.record("q", account(), forget_at=20.0)
        book.sweep(10.0)
        self.assertEqual((False, True), ("p" in book, "q" in book))

    def test_uncovered_grants_add_up(self) -> None:
        book = ReleasedAccounts()
        for turn in ("t", "u"):
            unrecorded = Account(1000, opened_serial=1)
            unrecorded.open[turn] = 30
            book.record("p", unrecorded, forget_at=9.0)
        self.assertEqual(60, book.for_row("p", 0, 0).unrecorded)


class EarlyEndsTest(unittest.TestCase):
    def test_ends_count_once_the_turns_are_known(self) -> None:
        ends = EarlySettlements()
        ends.record("t", 7)
        known = account(t=100, u=50)
        self.assertEqual(["t"], ends.settle(known))
        self.assertEqual((57, {"u": 50}), (known.spent, known.open))
        self.assertEqual([], ends.settle(account(t=100)))

    def test_memory_is_bounded(self) -> None:
        ends = EarlySettlements()
        for number in range(MAX_SETTLEMENTS + 1):
            ends.record(f"t{number}", 0)
        self.assertEqual([], ends.settle(account(t0=1)))
        self.assertEqual(["t1"], ends.settle(account(t1=1)))
