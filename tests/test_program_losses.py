"""Programs that ended with failures are grouped from log lines alone."""

from __future__ import annotations

import unittest

from carobspur.gateway.explanation import read_events
from carobspur.gateway.program_losses import loss_groups

from .builders import log_line as line
from .builders import run_on_log


def refused(time: float, program: str, *, left_ms: int = 0) -> str:
    return line(
        time,
        "failed",
        request=f"r{time}",
        program=program,
        status=503,
        cause="state_away",
        left_ms=left_ms,
    )


LINES = [
    line(9.0, "store_lost"),
    refused(10.0, "lost"),
    refused(10.5, "lost"),
    refused(11.0, "lost"),
    refused(10.1, "waits", left_ms=4000),
    refused(10.2, "recovers"),
    line(12.0, "answered", request="r9", program="recovers", status=200, cause=""),
    line(13.0, "store_regained"),
    line(15.0, "answered", request="r10", program="broken", status=500, cause=""),
    line(16.0, "failed", request="r11", status=502, cause="endpoint_failed"),
]


class LossGroupsTest(unittest.TestCase):
    def test_counts_programs_that_ended_with_failures(self) -> None:
        groups = loss_groups(read_events(LINES))
        self.assertEqual(
            [
                (10.0, 503, "state_away", 2, 4, 1),
                (14.0, 500, "the endpoint's own answer", 1, 1, 0),
            ],
            [
                (g.first, g.status, g.cause, g.programs, g.requests, g.servable)
                for g in groups
            ],
        )

    def test_order_of_the_logs_does_not_matter(self) -> None:
        found = [group.as_dict() for group in loss_groups(read_events(LINES[::-1]))]
        expected = [group.as_dict() for group in loss_groups(read_events(LINES))]
        for group in (*found, *expected):
            del group["requests"]
        self.assertEqual(expected, found)

    def test_command_prints_groups_of_programs(self) -> None:
        status, printed = run_on_log(LINES, "failures", "--programs=True")
        self.assertEqual(0, status)
        self.assertEqual((2, 1), (printed[0]["programs"], printed[0]["servable"]))
