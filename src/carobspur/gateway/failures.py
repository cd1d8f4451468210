"""Groups failed requests by status and cause, from the decision logs alone.

Used by ``carobspur failures``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .explanation import FINAL_EVENTS, LoggedEvent

ENDPOINT_ANSWER = "the endpoint's own answer"
NO_FINAL_EVENT = "no final line (the gateway ended, or lines were dropped)"
FIRST_FAILURE_STATUS = 400


@dataclass(slots=True)
class FailureGroup:
    """Failed requests with the same status and cause.

    Attributes:
        status: HTTP status of the answers; 0 where there was no answer.
        cause: Why they failed.
        first: Unix time of the first request in seconds.
        last: Unix time of the last request in seconds.
        example: Id of the first request.
        requests: Number of requests.
        programs: Names of the programs that they belong to.
    """

    status: int
    cause: str
    first: float
    last: float
    example: str
    requests: int = 0
    programs: set[str] = field(default_factory=set)

    def count(self, event: LoggedEvent) -> None:
        """Count one more request by its final event.

        A request without one is counted by its first event.
        """
        self.requests += 1
        self.last = event.time
        if event.program_name:
            self.programs.add(event.program_name)

    def as_dict(self) -> dict[str, object]:
        """Return the group as a dictionary for JSON output."""
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
    """Return failed requests in groups, the largest group first.

    Args:
        events: Events of any number of gateways.
    """
    groups: dict[tuple[int, str], FailureGroup] = {}
    ended: set[str] = set()
    first_events: dict[str, LoggedEvent] = {}
    for event in events:
        request = str(event.fields.get("request") or "")
        if not request:
            continue
        if event.event not in FINAL_EVENTS:
            first_events.setdefault(request, event)
            continue
        ended.add(request)
        kind = failure_kind(event)
        if kind is not None:
            _count(groups, kind, event)
    for request, event in first_events.items():
        if request not in ended:
            _count(groups, (0, NO_FINAL_EVENT), event)
    return sorted(
        groups.values(), key=lambda group: (-group.requests, group.status, group.cause)
    )


def failure_kind(event: LoggedEvent) -> tuple[int, str] | None:
    """Return the status and cause of a failed request from its final event.

    Returns:
        ``None`` if the request did not fail. The status is 0 where there was no
        answer. Details that follow a colon are cut off the cause, so that requests
        with the same kind of cause fall into one group.
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
