"""Statements of endpoints about their rate limits: the newest one counts."""

from __future__ import annotations

import math
import unittest

from carobspur.gateway.endpoint_limits.statements import (
    LimitChange,
    LimitStatements,
    Statement,
)
from carobspur.platform.headers import PlatformWire

ENDPOINT = 7


class LimitStatementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.statements = LimitStatements()

    def record(self, rate_per_s: float | None, at: float) -> LimitChange | None:
        return self.statements.record(ENDPOINT, Statement(rate_per_s, at))

    def test_reports_start_change_and_end_of_a_limit(self) -> None:
        self.assertIsNone(self.record(None, 0.0))
        self.assertEqual(LimitChange.STARTED, self.record(8.0, 1.0))
        self.assertIsNone(self.record(8.0, 2.0))
        self.assertEqual(LimitChange.CHANGED, self.record(4.0, 3.0))
        self.assertEqual(2.0, self.statements.age_s(ENDPOINT, 3.0))
        self.assertEqual(LimitChange.ENDED, self.record(None, 4.0))
        self.assertIsNone(self.statements.rate_per_s(ENDPOINT))
        self.assertEqual(LimitChange.STARTED, self.record(4.0, 5.0))
        self.assertEqual(0.0, self.statements.age_s(ENDPOINT, 5.0))

    def test_an_older_statement_of_a_peer_changes_nothing(self) -> None:
        self.record(8.0, 2.0)
        self.assertIsNone(self.record(None, 1.0))
        self.assertEqual(8.0, self.statements.rate_per_s(ENDPOINT))

    def test_forgets_a_removed_endpoint(self) -> None:
        self.record(8.0, 2.0)
        self.statements.forget(ENDPOINT)
        self.assertIsNone(self.statements.rate_per_s(ENDPOINT))
        self.assertEqual(0, len(self.statements))


class LimitFieldTest(unittest.TestCase):
    def limit(self, *values: str) -> float | None:
        fields = [("Server-Limit", value) for value in values]
        return PlatformWire().decode(200, fields).rate_limit

    def test_decodes_whole_and_fractional_rates(self) -> None:
        for text, expected in (
            ("8", 8.0),
            ("6.8", 6.8),
            ("0", 0.0),
            (" 12.25 ", 12.25),
        ):
            with self.subTest(text):
                self.assertEqual(expected, self.limit(text))
        self.assertIsNone(self.limit())

    def test_malformed_rates_are_neither_a_limit_nor_its_end(self) -> None:
        for text in ("", "-1", "nan", "inf", "1e9", "8,5", "many", "1.2.3", "٣"):
            with self.subTest(text):
                self.assertTrue(math.isnan(self.limit(text)))
