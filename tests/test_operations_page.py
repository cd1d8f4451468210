"""The operations page lists exactly the log events and metrics of the gateway."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from carobspur.gateway.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = [
    *(ROOT / "src" / "carobspur" / "gateway").rglob("*.py"),
    *(ROOT / "src" / "carobspur" / "platform").glob("*.py"),
]
OTHER_EVENTS = {"answered", "failed", "lines_dropped"}
"""Events that the pattern does not find, because their name is not the first token of a
``log.record`` call."""


class OperationsPageTest(unittest.TestCase):
    def test_page_lists_every_event_and_no_other(self) -> None:
        logged = set(OTHER_EVENTS)
        for path in SOURCES:
            logged |= set(re.findall(r'\.record\(\s*"(\w+)"', path.read_text()))
        table = PAGE.partition("### What is logged")[2].partition("###")[0]
        listed = {
            name
            for row in re.findall(r"^\| (`[^|]*) \|", table, re.MULTILINE)
            for name in re.findall(r"`(\w+)`", row)
        }
        self.assertEqual(logged, listed)

    def test_page_lists_every_metric_and_no_other(self) -> None:
        names = {metric.name for metric in Telemetry().registry.collect()}
        table = PAGE.partition("### What is counted")[2].partition("###")[0]
        self.assertEqual(names, set(re.findall(r"`(carobspur_\w+)`", table)))
