"""Failed requests are grouped by cause from log lines alone."""

from __future__ import annotations

import unittest

from carobspur.gateway.explanation import read_events
from carobspur.gateway.failures import NO_FINAL_EVENT, failure_groups
from carobspur.gateway.program_losses import loss_groups

from .builders import log_line as line
from .builders import run_on_log

LINES = [
    line(10.0, "sent", request="r1", program="p"),
    line(11.0, "answered", request="r1", program="p", status=200, cause=""),
    line(12.0, "failed", request="r2", program="p", status=503, cause="state_away"),
    line(13.0, "failed", request="r3", program="p", status=503, cause="state_away"),
    line(14.0, "failed", request="r4", program="q", status=503, cause="state_away"),
    line(14.5, "failed", request="r5", status=502, cause="endpoint_failed"),
    line(15.0, "sent", request="r6", program="q"),
    line(15.1, "answered", request="r7", status=500, cause=""),
    "not a line",
]


class FailureGroupsTest(unittest.TestCase):
    def test_groups_by_cause_with_the_largest_first(self) -> None:
        groups = failure_groups(read_events(LINES))
        self.assertEqual(
            [
                (503, "state_away", 3, 2),
                (0, NO_FINAL_EVENT, 1, 1),
                (500, "the endpoint's own answer", 1, 0),
                (502, "endpoint_failed", 1, 0),
            ],
            [(g.status, g.cause, g.requests, len(g.programs)) for g in groups],
        )
        self.assertEqual(
            ("r2", 12.0, 14.0), (groups[0].example, groups[0].first, groups[0].last)
        )

    def test_refusals_by_admission_control_are_a_group_of_their_own(self) -> None:
        """Guards against overload that is taken for failures of endpoints."""
        lines = [
            line(1.0, "not_admitted", request="r1", program="p", reason="shed"),
            line(
                1.0, "failed", request="r1", program="p", status=503, cause="overloaded"
            ),
            line(2.0, "failed", request="r2", status=503, cause="no_endpoint"),
        ]
        groups = failure_groups(read_events(lines))
        self.assertEqual(
            {(503, "overloaded", 1), (503, "no_endpoint", 1)},
            {(group.status, group.cause, group.requests) for group in groups},
        )
        lost = loss_groups(read_events(lines))
        self.assertEqual(["overloaded"], [group.cause for group in lost])

    def test_request_with_its_final_event_at_another_gateway_is_not_counted(
        self,
    ) -> None:
        lines = [
            line(1.0, "reserved", instance="g1", request="r1"),
            line(2.0, "answered", instance="g2", request="r1", status=200, cause=""),
        ]
        self.assertEqual([], failure_groups(read_events(lines)))

    def test_command_reads_a_file_and_prints_json(self) -> None:
        status, printed = run_on_log(LINES, "failures")
        self.assertEqual(0, status)
        self.assertEqual(
            {
                "status": 503,
                "cause": "state_away",
                "requests": 3,
                "programs": 2,
                "first": 12.0,
                "last": 14.0,
                "example": "r2",
            },
            printed[0],
        )
