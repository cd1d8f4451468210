"""Burn reports: programs count once, also over restarts; rates, budgets and plots."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from carobspur.burn import BUCKET_S, BurnSample, burn_report
from carobspur.burn_recorder import (
    DAY_S,
    BurnRecorder,
    read_samples,
)
from carobspur.errors import CarobspurError
from carobspur.http import HttpRequest, HttpResponse
from carobspur.plugin_registry import PluginKind, load_plugins, plugin
from carobspur.table import HttpTable
from carobspur_standins.app import FaultKind, FaultOrder, InProcessClient
from carobspur_standins.table import MemoryTable

from . import builders
from .virtual import run_virtual

NOW_S = 20_000.5 * DAY_S


class FakeInstance:
    """Scheduler counters, clock and table of one instance, as a recorder sees them."""

    def __init__(self, table: MemoryTable) -> None:
        self.table_client = InProcessClient({builders.TABLE_URL: table})
        self.table = HttpTable(self.table_client, builders.TABLE_URL)
        self.now_s = NOW_S
        self.started_s = 1.0
        self.met = self.missed = 0

    def recorder(self) -> BurnRecorder:
        return BurnRecorder(
            table=self.table,
            client=self,
            clock=self,
            instance="instance-1",
            metrics_url="http://10.0.0.1:1",
        )

    def wall(self) -> float:
        return self.now_s

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        labels = 'organisation="oro-recupero",agent="quote"'
        name = "carobspur_program_objective_total"
        text = (
            f"# TYPE {name.removesuffix('_total')} counter\n"
            f'{name}{{{labels},met="yes"}} {self.met}\n'
            f'{name}{{{labels},met="no"}} {self.missed}\n'
            f"process_start_time_seconds {self.started_s}\n"
        )
        return HttpResponse(200, text.encode())

    async def counts(self) -> tuple[int, int]:
        samples = await read_samples(self.table, self.now_s)
        return sum(sample.met for sample in samples), sum(
            sample.missed for sample in samples
        )


class BurnRecorderTest(unittest.TestCase):
    def test_programs_count_once_after_restarts_and_a_new_day(self) -> None:
        async def scenario() -> None:
            instance = FakeInstance(MemoryTable())
            recorder = instance.recorder()
            instance.met, instance.missed = 10, 2
            await recorder.record()
            await recorder.record()
            self.assertEqual(await instance.counts(), (10, 2))
            instance.met = 15
            recorder = instance.recorder()
            await recorder.record()
            self.assertEqual(await instance.counts(), (15, 2))
            instance.met, instance.missed, instance.started_s = 16, 1, 2.0
            await recorder.record()
            self.assertEqual(await instance.counts(), (31, 3))
            instance.now_s += DAY_S
            instance.met = 17
            await instance.recorder().record()
            self.assertEqual(await instance.counts(), (32, 3))

        run_virtual(scenario)

    def test_lost_answers_and_outages_count_nothing_twice(self) -> None:
        async def scenario() -> None:
            instance = FakeInstance(MemoryTable())
            recorder = instance.recorder()
            faults = instance.table_client.faults(builders.TABLE_URL)
            for kind in (FaultKind.LOSE_ANSWER, FaultKind.DROP, FaultKind.DOWN):
                instance.met += 5
                faults.set(FaultOrder(kind, count=1, path="/v1/commit"))
                with self.assertRaises(CarobspurError):
                    await recorder.record()
            await recorder.record()
            self.assertEqual(await instance.counts(), (15, 0))

        run_virtual(scenario)

    def test_rows_are_deleted_after_the_window(self) -> None:
        async def scenario() -> None:
            table = MemoryTable()
            instance = FakeInstance(table)
            for _ in range(12):
                instance.met += 1
                await instance.recorder().record()
                instance.now_s += DAY_S
            self.assertEqual(len(await table.scan("burn/")), 8)

        run_virtual(scenario)


class BurnReportTest(unittest.TestCase):
    def report(self) -> object:
        bucket = int(NOW_S // BUCKET_S)
        samples = [
            BurnSample(bucket, "oro-recupero", "quote", 90, 10),
            BurnSample(bucket, "jalbandi", "quote", 0, 100),
            BurnSample(bucket - 24, "oro-recupero", "quote", 300, 0),
            BurnSample(bucket - 288, "oro-recupero", "quote", 1600, 0),
            BurnSample(bucket - 288 * 8, "oro-recupero", "quote", 0, 500),
        ]
        return burn_report(builders.an_inventory(), samples, NOW_S)

    def test_rates_and_budget(self) -> None:
        (agent,) = self.report().agents
        self.assertEqual((agent.programs, agent.missed), (2000, 10))
        self.assertAlmostEqual(agent.short_rate, 0.1 / 0.05)
        self.assertAlmostEqual(agent.long_rate, 0.025 / 0.05)
        self.assertAlmostEqual(agent.budget_left, 0.9)
        self.assertAlmostEqual(agent.points[-1].budget_left, 0.9)

    def test_text_and_plot(self) -> None:
        load_plugins()
        reporter = plugin(PluginKind.REPORTS, "burn")()
        text = reporter.text(self.report())
        self.assertIn("95.00% in 30 s      2000      10  90.0%", text)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "burn.png"
            reporter.plot(self.report(), path)
            self.assertEqual(path.read_bytes()[:4], b"\x89PNG")
