"""Report on burn rates of service-level objectives and their error budgets.

Control collects it; the command line shows it.
"""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from ..burn import BurnReport, burn_report
from ..burn_recorder import read_samples
from ..inventory import Inventory
from ..plugin_registry import PluginKind, register
from ..table import Table
from ..tables import table as text_table

_HOUR_S = 3600
_DAY_S = 86_400


@register(PluginKind.REPORTS, "burn")
class BurnPlugin:
    """Burn rates and error budgets of one organisation's agents."""

    async def collect(
        self, table: Table, inventory: Inventory, now_s: float
    ) -> BurnReport:
        """Return the report for the period that ends now.

        Args:
            table: The table service, which holds the samples.
            inventory: The organisation's inventory in force.
            now_s: Unix time, in seconds.
        """
        return burn_report(inventory, await read_samples(table, now_s), now_s)

    def decode(self, answer: Any) -> BurnReport:
        """Return the report from the decoded JSON answer of a control process."""
        return msgspec.convert(answer, BurnReport)

    def text(self, report: BurnReport) -> str:
        """Return the report as a table."""
        at = datetime.fromtimestamp(report.at_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
        head = (
            "agent",
            "objective",
            "programs",
            "missed",
            "budget left",
            f"burn {report.short_s // _HOUR_S} h",
            f"burn {report.long_s // _HOUR_S} h",
        )
        rows = [
            (
                item.agent,
                f"{item.objective_share:.2%} in {item.objective_s:g} s",
                item.programs,
                item.missed,
                f"{item.budget_left:.1%}",
                f"{item.short_rate:.2f}",
                f"{item.long_rate:.2f}",
            )
            for item in report.agents
        ]
        title = f"{report.organisation}, {report.window_s // _DAY_S} days to {at}"
        return f"{title}\n\n{text_table(head, rows)}"

    def plot(self, report: BurnReport, path: Path) -> None:
        """Plot each agent's burn rate and remaining error budget to a PNG file."""
        # Imported here because daemons load this module too and never plot.
        from matplotlib.backends.backend_agg import FigureCanvasAgg
        from matplotlib.figure import Figure

        figure = Figure(figsize=(9, 6), layout="constrained")
        FigureCanvasAgg(figure)
        rates, budgets = figure.subplots(2, 1, sharex=True)
        for item in report.agents:
            hours = [(point.at_s - report.at_s) / _HOUR_S for point in item.points]
            rates.plot(hours, [point.rate for point in item.points], label=item.agent)
            budget_left_percent = [100 * point.budget_left for point in item.points]
            budgets.plot(hours, budget_left_percent, label=item.agent)
        rates.axhline(1.0, color="grey", linestyle="--")
        rates.set_ylabel("burn rate")
        rates.legend()
        budgets.set_ylabel("error budget left (%)")
        budgets.set_xlabel("hours before the report")
        figure.suptitle(f"Service-level burn of {report.organisation}")
        figure.savefig(path, format="png")
