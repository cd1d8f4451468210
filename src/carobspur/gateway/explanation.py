"""Explains what happened to a request, from the gateways' decision logs alone.

Used by ``carobspur explain``. A belief is a gateway's view of its surroundings, such as
whether it reaches the row store.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .customers.ownership import scoped_name

BELIEF_WINDOW_S = 3.0
"""Time before a request's last event in which changed beliefs may have affected it."""
BELIEF_EVENTS = frozenset(
    {
        "configuration",
        "configuration_refused",
        "endpoint",
        "endpoint_lapsed",
        "feed_lost",
        "feed_regained",
        "history_gone",
        "home_silent",
        "lines_dropped",
        "peer_silent",
        "reloaded",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
    }
)
"""Events that show a change of what a gateway believes or is able to do."""
FINAL_EVENTS = frozenset({"answered", "failed"})
"""Events that end a request; their fields hold its status and cause."""


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a decision log.

    Attributes:
        time: Unix time in seconds.
        instance: Name of the instance that wrote it.
        event: Kind of event.
        fields: All other fields of the line.
    """

    time: float
    instance: str
    event: str
    fields: dict[str, object]

    @property
    def program_name(self) -> str:
        """Name of the program among those of all customers; empty for none."""
        customer = self.fields.get("customer")
        program = str(self.fields.get("program") or "")
        return scoped_name(None if customer is None else str(customer), program)

    def text(self, start: float) -> str:
        """Return the event as a line of text.

        Args:
            start: Unix time in seconds that the printed time is relative to.
        """
        shown = " ".join(
            f"{key}={value}" for key, value in self.fields.items() if value
        )
        return (
            f"{self.time - start:+8.3f} s  {self.instance:<22} {self.event:<18} {shown}"
        )


@dataclass(frozen=True, slots=True)
class Explanation:
    """Logged events that explain the outcome of a request.

    Attributes:
        request: Id of the request.
        events: Events of the request, in order of time.
        program: Other events of its program, up to the last event of the request.
        beliefs: Changes of what the instances that handled it believed, in the last
            ``BELIEF_WINDOW_S`` before its last event.
        final_event: The event that ended it; ``None`` if none was logged.
    """

    request: str
    events: list[LoggedEvent]
    program: list[LoggedEvent]
    beliefs: list[LoggedEvent]
    final_event: LoggedEvent | None

    def text(self) -> str:
        """Return the explanation as text of several lines."""
        if not self.events:
            return f"{self.request}: no line; its instance ended, or lines were dropped"
        start = self.events[0].time
        parts = [f"request {self.request}"]
        for title, events in (
            ("what its instances believed", self.beliefs),
            ("its program", self.program),
            ("the request", self.events),
        ):
            if events:
                parts += ["", f"{title}:"]
                parts += [event.text(start) for event in events]
        parts += ["", self._conclusion()]
        return "\n".join(parts)

    def as_dict(self) -> dict[str, object]:
        """Return the explanation as a dictionary for JSON output."""
        final = self.final_event.fields if self.final_event else {}
        return {
            "request": self.request,
            "status": final.get("status"),
            "cause": final.get("cause", ""),
            "verdict": final.get("verdict", ""),
            "events": [_as_dict(event) for event in self.events],
            "program": [_as_dict(event) for event in self.program],
            "beliefs": [_as_dict(event) for event in self.beliefs],
        }

    def _conclusion(self) -> str:
        if self.final_event is None:
            return "settled by nothing: the instance ended while it was under way"
        fields = self.final_event.fields
        cause = fields.get("cause") or "the endpoint's own answer"
        reason = fields.get("reason") or ""
        verdict = fields.get("verdict") or "ran"
        return f"settled: status {fields.get('status')}, {cause}; {verdict}. {reason}"


def read_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Yield the events of log lines.

    Text before the JSON of a line is skipped, and so are other lines.
    """
    for line in lines:
        _, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
            event = LoggedEvent(
                float(fields.pop("time")),
                str(fields.pop("instance")),
                str(fields.pop("event")),
                fields,
            )
        except (ValueError, KeyError, TypeError):
            # Not a line of a decision log, or truncated at the end of the file.
            continue
        yield event


def explain(request: str, events: Iterable[LoggedEvent]) -> Explanation:
    """Select the events that explain the outcome of a request.

    Args:
        request: Id of the request.
        events: Events of all instances, in any order.
    """
    ordered = sorted(events, key=lambda item: item.time)
    named = [item for item in ordered if item.fields.get("request") == request]
    if not named:
        return Explanation(request, [], [], [], None)
    # Lines about token accounts have the names under which these are stored.
    customers = {item.fields.get("customer") for item in named} | {None}
    requests = {scoped_name(customer, request) for customer in customers}
    own = [item for item in ordered if item.fields.get("request") in requests]
    end = own[-1].time
    instances = {item.instance for item in own}
    ids = {item.fields.get("program") for item in named} - {None, ""}
    programs = {scoped_name(customer, item) for item in ids for customer in customers}
    program_events = [
        item
        for item in ordered
        if item.fields.get("program") in programs
        and item.fields.get("request") not in requests
        and item.time <= end
    ]
    beliefs = [
        item
        for item in ordered
        if item.event in BELIEF_EVENTS
        and item.instance in instances
        and end - BELIEF_WINDOW_S <= item.time <= end
    ]
    final_event = next(
        (item for item in reversed(own) if item.event in FINAL_EVENTS), None
    )
    return Explanation(request, own, program_events, beliefs, final_event)


def _as_dict(event: LoggedEvent) -> dict[str, object]:
    return {
        "time": event.time,
        "instance": event.instance,
        "event": event.event,
        **event.fields,
    }
