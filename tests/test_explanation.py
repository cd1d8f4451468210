"""The outcome of a request is explained from log lines alone."""

from __future__ import annotations

import unittest

from carobspur.gateway.explanation import explain, read_events

from .builders import log_line as line
from .builders import run_on_log

LINES = [
    "   1.2 g1 " + line(10.0, "store_lost", reason="no answer"),
    line(9.0, "store_lost", instance="g2", reason="another instance"),
    line(4.0, "configuration", version=3),
    line(11.0, "sent", request="r0", program="p", outcome="streaming"),
    line(12.0, "account_adopted", instance="g3", program="p", covered=500),
    line(12.5, "sent", request="r1", program="p", endpoint="i1", outcome="lost"),
    line(13.0, "failed", request="r1", program="p", status=502, cause="endpoint_failed",
         verdict="may_have_run", reason="the connection ended"),
    "not a line",
    '{"time": "soon"}',
    line(14.0, "failed", request="r2", status=503, cause="away", verdict="not_run"),
]  # fmt: skip


class ExplanationTest(unittest.TestCase):
    def test_explanation_has_only_events_that_affected_the_request(self) -> None:
        found = explain("r1", read_events(LINES))
        self.assertEqual(["sent", "failed"], [item.event for item in found.events])
        self.assertEqual(["r0", None], [e.fields.get("request") for e in found.program])
        self.assertEqual([10.0], [item.time for item in found.beliefs])
        self.assertIn(
            "settled: status 502, endpoint_failed; may_have_run", found.text()
        )

    def test_explanation_says_that_a_request_has_no_lines(self) -> None:
        self.assertIn("no line", explain("r9", read_events(LINES)).text())

    def test_explanation_says_that_a_final_event_is_missing(self) -> None:
        found = explain("r0", read_events(LINES))
        self.assertIn("settled by nothing", found.text())

    def test_command_reads_a_file_and_prints_json(self) -> None:
        status, printed = run_on_log(LINES, "explain", "r2")
        self.assertEqual(
            (0, 503, "not_run"), (status, printed["status"], printed["verdict"])
        )
