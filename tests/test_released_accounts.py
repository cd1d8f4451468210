"""Reports on released accounts, and settlements that arrive before their turns."""

from __future__ import annotations

import unittest

from carobspur.gateway.accounts import Account
from carobspur.gateway.early_settlements import MAX_SETTLEMENTS, EarlySettlements
from carobspur.gateway.released_accounts import ReleasedAccounts


def account_with(**turns: int) -> Account:
    account = Account(1000, allowance=500, version=3)
    account.open.update(turns)
    return account


class ReleasedAccountsTest(unittest.TestCase):
    def test_report_includes_settlements_after_the_release(self) -> None:
        reports = ReleasedAccounts()
        reports.record("p", account_with(t=100, u=50), forget_at=9.0)
        reports.settle("p", "t", 40)
        released = reports.for_row("p", 3, 1)
        self.assertEqual((90, {"u": 50}), (released.recorded, released.open))

    def test_reports_on_expired_programs_are_dropped(self) -> None:
        reports = ReleasedAccounts()
        reports.record("p", account_with(), forget_at=9.0)
        reports.record("q", account_with(), forget_at=20.0)
        reports.sweep(10.0)
        self.assertEqual((False, True), ("p" in reports, "q" in reports))

    def test_unrecorded_grants_add_up(self) -> None:
        reports = ReleasedAccounts()
        for turn in ("t", "u"):
            unrecorded = Account(1000, opened_serial=1)
            unrecorded.open[turn] = 30
            reports.record("p", unrecorded, forget_at=9.0)
        self.assertEqual(60, reports.for_row("p", 0, 0).unrecorded)


class EarlySettlementsTest(unittest.TestCase):
    def test_settlements_count_once_the_turns_are_known(self) -> None:
        settlements = EarlySettlements()
        settlements.record("t", 7)
        known = account_with(t=100, u=50)
        self.assertEqual(["t"], settlements.settle(known))
        self.assertEqual((57, {"u": 50}), (known.spent, known.open))
        self.assertEqual([], settlements.settle(account_with(t=100)))

    def test_number_of_settlements_is_bounded(self) -> None:
        settlements = EarlySettlements()
        for number in range(MAX_SETTLEMENTS + 1):
            settlements.record(f"t{number}", 0)
        self.assertEqual([], settlements.settle(account_with(t0=1)))
        self.assertEqual(["t1"], settlements.settle(account_with(t1=1)))
