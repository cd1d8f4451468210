"""Text output of the command line: tables, sections and indented JSON."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec

from .configuration import ChangeRow
from .differences import Difference
from .inventory import Inventory, Rules
from .operators import InventoryReport
from .status import StatusReport

SHOWN_DIGEST_LENGTH = 12


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as aligned columns, or ``(none)`` without rows.

    Args:
        head: Names of the columns.
        rows: Cells, one per column. Columns that hold a number in the first row are
            aligned to the right.
    """
    if not rows:
        return "(none)"
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(name), *(len(row[column]) for row in cells))
        for column, name in enumerate(head)
    ]
    numeric = [isinstance(cell, (int, float)) for cell in rows[0]]
    lines = [_line(head, widths, numeric)]
    lines.extend(_line(row, widths, numeric) for row in cells)
    return "\n".join(lines)


def failure_text(groups: Sequence[dict[str, Any]]) -> str:
    """Return the counts of failed requests by cause as a table."""
    head = ("requests", "programs", "status", "cause", "first", "last", "example")
    return _group_text(groups, head)


def loss_text(groups: Sequence[dict[str, Any]]) -> str:
    """Return the counts of lost programs by time and cause as a table."""
    head = ("first", "programs", "servable", "requests", "status", "cause", "example")
    return _group_text(groups, head)


def _group_text(groups: Sequence[dict[str, Any]], head: Sequence[str]) -> str:
    rows = [
        [
            f"{group[name]:.3f}" if name in ("first", "last") else group[name]
            for name in head
        ]
        for group in groups
    ]
    return table(head, rows)


def inventory_text(report: InventoryReport) -> str:
    """Return an inventory as one table per section."""
    found: Inventory = report.inventory
    parts = [
        f"{found.organisation}, revision {report.revision}",
        _section("keys", found.keys, ("name", "role", "user")),
        _section(
            "models",
            found.models,
            ("name", "context_tokens", "input_cost", "timeout_s"),
        ),
        _section(
            "engines",
            found.engines,
            ("name", "address", "data_centre", "kv_tokens", "in_flight"),
        ),
        _section(
            "services",
            found.services,
            ("name", "kind", "repeatable", "checks_fencing", "timeout_s", "cost"),
        ),
        _section(
            "agents",
            found.agents,
            ("name", "priority_class", "objective_s", "objective_share", "max_calls"),
        ),
        _section("allowances", found.allowances, ("user", "units", "window_s")),
        rules_text(found.rules),
    ]
    return "\n\n".join(parts)


def rules_text(rules: Rules) -> str:
    """Return an organisation's rules as one table per kind."""
    weights = rules.weights
    return "\n\n".join(
        [
            _section("priority classes", rules.classes, ("name", "rank")),
            _section("who may stop programs", rules.stop, ("role", "own_only")),
            f"weights\nlatency {weights.latency:g}, wasted cache "
            f"{weights.wasted_cache:g}",
        ]
    )


def difference_text(differences: list[Difference]) -> str:
    """Return differences as lines: ``-`` is in force, ``+`` is in the file."""
    lines = []
    for item in differences:
        lines.append(item.place)
        if item.before:
            lines.append(f"  - {item.before}")
        if item.after:
            lines.append(f"  + {item.after}")
    return "\n".join(lines) or "no difference"


def history_text(changes: list[ChangeRow]) -> str:
    """Return a change log as a table with shortened digests."""
    rows = [
        (
            item.revision,
            datetime.fromtimestamp(item.at_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ"),
            item.operator,
            item.change,
            item.digest[:SHOWN_DIGEST_LENGTH],
        )
        for item in changes
    ]
    return table(("revision", "time", "operator", "change", "digest"), rows)


def status_text(report: StatusReport) -> str:
    """Return a status report as one table per kind of resource."""
    current = "current" if report.is_current else "perhaps not current"
    head = (
        f"revision {report.revision} in force at {report.instance} ({current}); "
        f"this organisation's last change is revision {report.organisation_revision}"
    )
    if report.unserved_shards:
        head += f"\n{report.unserved_shards} shards have no live scheduler"
    return "\n\n".join(
        [
            head,
            _section(
                "data centres", report.data_centres, ("name", "instances", "ready")
            ),
            _section(
                "instances",
                report.instances,
                ("id", "data_centre", "state", "revision", "shards", "programs"),
            ),
            _section(
                "endpoints",
                report.endpoints,
                (
                    "name",
                    "address",
                    "reachable",
                    "running",
                    "waiting",
                    "kv_used_tokens",
                    "kv_capacity_tokens",
                ),
            ),
            _budgets(report),
        ]
    )


def _budgets(report: StatusReport) -> str:
    if report.budgets is None:
        return "budgets\nnot known: the table service can't be read"
    fields = ("owner", "window_s", "units", "spent", "granted")
    return _section("budgets", report.budgets, fields)


def json_text(content: Any) -> str:
    """Return content as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(content), indent=2).decode()


Renderer = Callable[[Any], str]


def _section(title: str, items: Sequence[Any], fields: Sequence[str]) -> str:
    rows = [[_cell(getattr(item, name)) for name in fields] for item in items]
    return f"{title}\n{table(fields, rows)}"


def _cell(value: Any) -> object:
    match value:
        case bool():
            return "yes" if value else "no"
        case "":
            return "-"
        case _:
            return value


def _line(cells: Sequence[str], widths: Sequence[int], numeric: Sequence[bool]) -> str:
    padded = [
        cell.rjust(width) if is_number else cell.ljust(width)
        for cell, width, is_number in zip(cells, widths, numeric, strict=True)
    ]
    return "  ".join(padded).rstrip()
