"""Counts failed requests by cause, from the decision logs alone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .explanation import FINAL_EVENTS, LoggedEvent

ENDPOINT_ANSWER = "the endpoint's own answer"
NO_FINAL_EVENT = "no final line (the gateway ended, or lines were dropped)"
FIRST_FAILURE_STATUS = 400


@dataclass(slots=True)
class FailureGroup:
    """Failed requests with one status and cause.

    Attributes:
        status: Of the answer; 0 where there was none.
        cause: Why they failed.
        first: Unix time of the first in seconds.
        last: Unix time of the last in seconds.
        example: Id of the first request.
        requests: How many there are.
        programs: Programs that they belong to.
    """

    status: int
    cause: str
    first: float
    last: float
    example: str
    requests: int = 0
    programs: set[str] = field(default_factory=set)

    def count(self, event: LoggedEvent) -> None:
        """Count one more request."""
        self.requests += 1
        self.last = event.time
        program = event.fields.get("program")
        if program:
            self.programs.add(str(program))

    def as_dict(self) -> dict[str, object]:
        """Return it for programs."""
        return {
            "status": self.status,
            "cause": self.cause,
            "requests": self.requests,
            "programs": len(self.programs),
            "first": self.first,
            "last": self.last,
            "example": self.example,
        }


def failure_groups(events: Iterable[LoggedEvent]) -> list[FailureGroup]:
    """Return the failures of any number of gateways' logs, most frequent first."""
    groups: dict[tuple[int, str], FailureGroup] = {}
    settled: set[str] = set()
    begun: dict[str, LoggedEvent] = {}
    for event in events:
        request = str(event.fields.get("request") or "")
        if not request:
            continue
        if event.event not in FINAL_EVENTS:
            begun.setdefault(request, event)
            continue
        settled.add(request)
        kind = failure_kind(event)
        if kind is not None:
            _count(groups, kind, event)
    for request, event in begun.items():
        if request not in settled:
            _count(groups, (0, NO_FINAL_EVENT), event)
    return sorted(
        groups.values(), key=lambda group: (-group.requests, group.status, group.cause)
    )


def failure_kind(event: LoggedEvent) -> tuple[int, str] | None:
    """Return status and cause of a settled request that failed.

    Returns:
        ``None`` for one that did not. The status is 0 where there was no answer; the
        cause is without what is told of the single case.
    """
    status = int(event.fields.get("status") or 0)
    if event.event != "failed" and status < FIRST_FAILURE_STATUS:
        return None
    cause = str(event.fields.get("cause") or ENDPOINT_ANSWER)
    return status, cause.partition(":")[0]


def _count(
    groups: dict[tuple[int, str], FailureGroup],
    kind: tuple[int, str],
    event: LoggedEvent,
) -> None:
    if kind not in groups:
        request = str(event.fields["request"])
        groups[kind] = FailureGroup(*kind, event.time, event.time, request)
    groups[kind].count(event)
