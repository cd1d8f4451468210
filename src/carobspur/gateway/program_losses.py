"""Groups programs whose last requests failed, from the decision logs alone.

Used by ``carobspur failures --programs``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .explanation import FINAL_EVENTS, LoggedEvent
from .failures import failure_kind

GROUP_S = 2.0
"""Length of the intervals of time by which lost programs are grouped."""


@dataclass(slots=True)
class _ProgramEnd:
    """The end of one program, as far as the logs were read.

    Attributes:
        failed: Requests that failed since its last successful one.
        last: Final event of its newest request.
    """

    failed: int
    last: LoggedEvent


@dataclass(slots=True)
class LossGroup:
    """Programs whose last request failed with the same status and cause.

    Attributes:
        status: HTTP status of that request; 0 where there was no answer.
        cause: Why it failed.
        first: Unix time in seconds at which the group's interval of ``GROUP_S`` begins.
        example: Id of the last request of the first program.
        programs: Number of programs.
        requests: Requests of these programs that failed after the last success.
        servable: Programs whose last request failed after the row store was lost, and
            whose deadline came after the store was reached again.
    """

    status: int
    cause: str
    first: float
    example: str
    programs: int = 0
    requests: int = 0
    servable: int = 0

    def as_dict(self) -> dict[str, object]:
        """Return the group as a dictionary for JSON output."""
        return {
            "status": self.status,
            "cause": self.cause,
            "first": self.first,
            "programs": self.programs,
            "requests": self.requests,
            "servable": self.servable,
            "example": self.example,
        }


@dataclass(slots=True)
class _StoreOutages:
    """When gateways lost and regained the row store, over all logs."""

    lost: list[float] = field(default_factory=list)
    regained: list[float] = field(default_factory=list)

    def record(self, event: LoggedEvent) -> None:
        """Record when the store was lost or regained; ignore other events."""
        match event.event:
            case "store_lost":
                self.lost.append(event.time)
            case "store_regained":
                self.regained.append(event.time)

    def was_regained(self, first: float, end: float) -> bool:
        """Return whether the store was lost earlier and regained within an interval.

        Args:
            first: Start of the interval, in Unix seconds.
            end: End of the interval, in Unix seconds.
        """
        was_lost = any(time <= first for time in self.lost)
        return was_lost and any(first <= time <= end for time in self.regained)


def loss_groups(events: Iterable[LoggedEvent]) -> list[LossGroup]:
    """Return lost programs in groups, ordered by time and then by size.

    Args:
        events: Events of any number of gateways.
    """
    programs: dict[str, _ProgramEnd] = {}
    store = _StoreOutages()
    for event in events:
        store.record(event)
        name = event.program_name
        if name and event.event in FINAL_EVENTS:
            _record(programs, name, event)
    groups: dict[tuple[float, int, str], LossGroup] = {}
    for program in sorted(programs.values(), key=lambda item: item.last.time):
        if program.failed:
            _add_to_group(groups, program, store)
    return sorted(groups.values(), key=lambda group: (group.first, -group.programs))


def _record(programs: dict[str, _ProgramEnd], name: str, event: LoggedEvent) -> None:
    """Record a request's final event; those of several gateways come in any order."""
    known = programs.setdefault(name, _ProgramEnd(0, event))
    has_failed = failure_kind(event) is not None
    if event.time >= known.last.time:
        known.last = event
        known.failed = known.failed + 1 if has_failed else 0
    elif has_failed and known.failed:
        known.failed += 1


def _add_to_group(
    groups: dict[tuple[float, int, str], LossGroup],
    program: _ProgramEnd,
    store: _StoreOutages,
) -> None:
    last = program.last
    status, cause = failure_kind(last)
    first = last.time // GROUP_S * GROUP_S
    example = str(last.fields.get("request") or "")
    group = groups.setdefault(
        (first, status, cause), LossGroup(status, cause, first, example)
    )
    group.programs += 1
    group.requests += program.failed
    remaining_s = float(last.fields.get("left_ms") or 0) / 1000
    group.servable += store.was_regained(last.time, last.time + remaining_s)
