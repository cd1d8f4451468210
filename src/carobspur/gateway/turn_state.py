"""What is known of one stream while it is under way."""

from __future__ import annotations

from dataclasses import dataclass, field

from .calls import Call
from .events import StreamEvent
from .routes import Route
from .spending_client import Reservation
from .turn_store import EMPTY_HISTORY, History


@dataclass(slots=True)
class TurnState:
    """A stream under way.

    Attributes:
        call: The request.
        route: Its terms.
        deadline: Loop time of the last useful answer.
        history: What comes before the new input.
        reservation: Tokens set aside, for programs with a budget.
        output_events: Whole events of a turn that is kept: those that were passed on
            or, before the caller's last event, read again.
        output_bytes: Their size.
        events: How many events came.
        last_event_id: Id of the newest event that the caller has.
        prepare_attempts: How often its budget and history were asked for.
        prepared_at: Loop time at which both were there; 0 before.
        runs: Engines that may have run it.
        may_be_running: Whether a request is at an engine that has not answered.
        refused: Engines that did not run it.
        has_ended: Whether the engine's stream came whole.
        last_event_at: Loop time of the newest event; 0 before the first.
        first_event_s: Time from the request's head to the first event.
        widest_gap_s: Longest pause between two events.
    """

    call: Call
    route: Route
    deadline: float
    history: History = EMPTY_HISTORY
    reservation: Reservation | None = None
    output_events: list[StreamEvent] = field(default_factory=list)
    output_bytes: int = 0
    events: int = 0
    last_event_id: str = ""
    prepare_attempts: int = 0
    prepared_at: float = 0.0
    runs: int = 0
    may_be_running: bool = False
    refused: set[str] = field(default_factory=set)
    has_ended: bool = False
    last_event_at: float = 0.0
    first_event_s: float = 0.0
    widest_gap_s: float = 0.0

    @property
    def reservation_id(self) -> str:
        """Name of its tokens at a home, another one for each time they are asked for.

        A home may still be told to release those that nobody waited for.
        """
        if self.prepare_attempts <= 1:
            return self.call.id
        return f"{self.call.id}/{self.prepare_attempts}"

    @property
    def replays_from_start(self) -> bool:
        """Whether the engine must make all events, because they are kept."""
        return self.route.keeps_history

    @property
    def body(self) -> bytes:
        """What the engine is given."""
        return self.history.text + self.call.body

    @property
    def is_on_time(self) -> bool:
        """Whether the first event and all that followed came within their times."""
        return (
            self.first_event_s <= self.route.target_latency_s
            and self.widest_gap_s <= self.route.max_gap_s
        )

    def reset_output(self) -> None:
        """Forget what an engine made that was lost, where the next makes it anew."""
        if self.replays_from_start:
            self.output_events.clear()
            self.output_bytes = 0
            self.events = 0

    def record_event(self, event: StreamEvent, now: float) -> None:
        """Take note of an event and of when it came."""
        self.events += 1
        if self.route.keeps_history:
            self.output_events.append(event)
            self.output_bytes += len(event.raw)
        if self.last_event_at:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_event_at)
        else:
            self.first_event_s = now - self.call.arrived_at
        self.last_event_at = now
