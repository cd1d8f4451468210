"""Programs that ended with failed requests, from the decision logs alone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .explanation import FINAL_EVENTS, LoggedEvent
from .failures import failure_kind

GROUP_S = 2.0
"""Programs that ended within so long of each other are told together."""


@dataclass(slots=True)
class _Program:
    """What is known of one program so far.

    Attributes:
        failed: Requests that failed since its last good one.
        last: The newest of its settled requests.
    """

    failed: int
    last: LoggedEvent


@dataclass(slots=True)
class LossGroup:
    """Programs whose last request failed, with one status and cause.

    Attributes:
        status: Of that request; 0 where there was no answer.
        cause: Why it failed.
        first: Unix time of the first such end in seconds, rounded down to a group.
        example: Id of the last request of the first program.
        programs: How many there are.
        requests: Requests in vain that their ends took.
        servable: Programs whose last caller still waited when the row store, lost
            before, was reached again.
    """

    status: int
    cause: str
    first: float
    example: str
    programs: int = 0
    requests: int = 0
    servable: int = 0

    def as_dict(self) -> dict[str, object]:
        """Return it for programs."""
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
class _StoreTimes:
    """When gateways lost and regained the row store, over all logs."""

    lost: list[float] = field(default_factory=list)
    regained: list[float] = field(default_factory=list)

    def record(self, event: LoggedEvent) -> None:
        match event.event:
            case "store_lost":
                self.lost.append(event.time)
            case "store_regained":
                self.regained.append(event.time)

    def returned_within(self, first: float, end: float) -> bool:
        """Return whether the store was lost before a time and came back by another."""
        was_lost = any(time <= first for time in self.lost)
        return was_lost and any(first <= time <= end for time in self.regained)


def loss_groups(events: Iterable[LoggedEvent]) -> list[LossGroup]:
    """Return the lost programs of any number of gateways' logs, in order of time."""
    programs: dict[str, _Program] = {}
    store = _StoreTimes()
    for event in events:
        store.record(event)
        name = str(event.fields.get("program") or "")
        if name and event.event in FINAL_EVENTS:
            _record(programs, name, event)
    groups: dict[tuple[float, int, str], LossGroup] = {}
    for program in sorted(programs.values(), key=lambda item: item.last.time):
        if program.failed:
            _count(groups, program, store)
    return sorted(groups.values(), key=lambda group: (group.first, -group.programs))


def _record(programs: dict[str, _Program], name: str, event: LoggedEvent) -> None:
    """Take a settled request; lines of several gateways come in any order."""
    known = programs.setdefault(name, _Program(0, event))
    has_failed = failure_kind(event) is not None
    if event.time >= known.last.time:
        known.last = event
        known.failed = known.failed + 1 if has_failed else 0
    elif has_failed and known.failed:
        known.failed += 1


def _count(
    groups: dict[tuple[float, int, str], LossGroup],
    program: _Program,
    store: _StoreTimes,
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
    group.servable += store.returned_within(last.time, last.time + remaining_s)
