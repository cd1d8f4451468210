"""Explains one request afterwards, from the decision logs alone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

BELIEF_WINDOW_S = 3.0
"""Beliefs that changed so long before a request's end may have decided it."""
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
FINAL_EVENTS = frozenset({"answered", "failed"})


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a decision log.

    Attributes:
        time: Unix time in seconds.
        instance: Who wrote it.
        event: Kind of decision.
        fields: Everything else that it says.
    """

    time: float
    instance: str
    event: str
    fields: dict[str, object]

    def text(self, start: float) -> str:
        """Return it as one line, its time relative to a start in seconds."""
        said = " ".join(f"{key}={value}" for key, value in self.fields.items() if value)
        return (
            f"{self.time - start:+8.3f} s  {self.instance:<22} {self.event:<18} {said}"
        )


@dataclass(frozen=True, slots=True)
class Explanation:
    """The story of a request.

    Attributes:
        request: Its id.
        events: Its own decisions, in order.
        program: Other decisions on its program.
        beliefs: Changes of what its instances believed, shortly before its end.
        final_event: The decision that settled it; ``None`` where none was logged.
    """

    request: str
    events: list[LoggedEvent]
    program: list[LoggedEvent]
    beliefs: list[LoggedEvent]
    final_event: LoggedEvent | None

    def text(self) -> str:
        """Return it for people."""
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
        """Return it for programs."""
        settled = self.final_event.fields if self.final_event else {}
        return {
            "request": self.request,
            "status": settled.get("status"),
            "cause": settled.get("cause", ""),
            "verdict": settled.get("verdict", ""),
            "events": [_plain(event) for event in self.events],
            "program": [_plain(event) for event in self.program],
            "beliefs": [_plain(event) for event in self.beliefs],
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
    """Yield the events of log lines; other lines and text before one are skipped."""
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
            # Not a line of ours, or cut at the end of a file.
            continue
        yield event


def explain(request: str, events: Iterable[LoggedEvent]) -> Explanation:
    """Return the story of a request from the events of any number of instances."""
    known = sorted(events, key=lambda item: item.time)
    own = [item for item in known if item.fields.get("request") == request]
    if not own:
        return Explanation(request, [], [], [], None)
    end = own[-1].time
    instances = {item.instance for item in own}
    programs = {item.fields.get("program") for item in own} - {None, ""}
    about_program = [
        item
        for item in known
        if item.fields.get("program") in programs
        and item.fields.get("request") != request
        and item.time <= end
    ]
    beliefs = [
        item
        for item in known
        if item.event in BELIEF_EVENTS
        and item.instance in instances
        and end - BELIEF_WINDOW_S <= item.time <= end
    ]
    settled = next((item for item in reversed(own) if item.event in FINAL_EVENTS), None)
    return Explanation(request, own, about_program, beliefs, settled)


def _plain(event: LoggedEvent) -> dict[str, object]:
    return {
        "time": event.time,
        "instance": event.instance,
        "event": event.event,
        **event.fields,
    }
