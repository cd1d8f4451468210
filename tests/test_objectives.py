"""Objectives of answers, their count by the gateway, and burn rates from metrics."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from carobspur.cli import run
from carobspur.gateway.objectives import (
    KindBurn,
    MetricsPageError,
    Objective,
    burn_rates,
    objective_of,
)
from carobspur_standins.platform_replica import ReplicaFault

from .platform_world import TOOLS, call, configuration, route, world

PAGE = """# TYPE carobspur_objectives counter
carobspur_objectives_total{kind="stream",outcome="met"} 90.0
carobspur_objectives_total{kind="stream",outcome="late"} 6.0
carobspur_objectives_total{kind="stream",outcome="missed"} 4.0
carobspur_objectives_total{kind="once",outcome="met"} 50.0
"""


class ObjectiveTest(unittest.TestCase):
    def test_complete_answers_meet_the_objective_or_are_late(self) -> None:
        self.assertEqual(Objective.MET, objective_of(200, is_on_time=True))
        self.assertEqual(Objective.LATE, objective_of(200, is_on_time=False))

    def test_refusals_and_failures_miss_the_objective(self) -> None:
        for status in (429, 500, 502, 503, 504):
            with self.subTest(status):
                missed = objective_of(status, is_on_time=True)
                self.assertEqual(Objective.MISSED, missed)

    def test_answers_caused_by_the_caller_do_not_count(self) -> None:
        for status in (0, 400, 402, 404, 413, 431):
            with self.subTest(status):
                self.assertIsNone(objective_of(status, is_on_time=False))


class BurnTest(unittest.TestCase):
    def test_pages_of_all_gateways_are_added(self) -> None:
        once, stream = burn_rates([PAGE, PAGE], objective_share=0.95)
        self.assertEqual(KindBurn("once", 100, 0, 0, 0.0), once)
        self.assertEqual((200, 12, 8), (stream.answers, stream.late, stream.missed))
        self.assertAlmostEqual(2.0, stream.rate)

    def test_text_without_metrics_is_rejected(self) -> None:
        with self.assertRaises(MetricsPageError):
            burn_rates(["<html>not found</html>"], objective_share=0.99)

    def test_command_reads_saved_pages(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "g1.txt"
            path.write_text(PAGE)
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                command = ["report", "gateways", str(path), "--json"]
                status = run([*command, "--objective=0.9"])
            wrong = run(["report", "gateways", str(path), "--objective=1"])
            missing = run(["report", "gateways", str(path) + "x"])
        self.assertEqual(0, status)
        rates = {item["kind"]: item["rate"] for item in json.loads(output.getvalue())}
        self.assertAlmostEqual(1.0, rates["stream"])
        self.assertEqual((2, 2), (wrong, missing))


class ObjectiveCountsTest(unittest.IsolatedAsyncioTestCase):
    async def test_gateway_counts_answers_by_their_objective(self) -> None:
        content = configuration()
        slow = {"targetLatencyMs": 1, "targetGapMs": 1}
        content["routes"] += [
            route("slow", "non_idempotent", TOOLS, **slow),
            route("gaps", "streaming", "engines", **slow),
        ]
        async with world() as made:
            made.configure({**content, "version": 2})
            await asyncio.sleep(0.1)
            tool = next(r for r in made.replicas.values() if not r.events)
            paths = ["/pay/a", "/slow/a", "/walk/a", "/gaps/a", "/nothing/a"]
            for path in paths:
                await made.call(path, body=b"x")
            tool.faults.append(ReplicaFault.LOST)
            await made.call("/pay/b", body=b"x")
            page = await call(made.gateways[0].ports["metrics"], "/metrics")
        burns = burn_rates([page.body.decode()], objective_share=0.9)
        found = {item.kind: (item.answers, item.late, item.missed) for item in burns}
        self.assertEqual({"once": (3, 1, 1), "stream": (2, 1, 0)}, found)
