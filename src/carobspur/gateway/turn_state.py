"""What is known of one stream while it is under way."""

from __future__ import annotations

from dataclasses import dataclass, field

from .calls import Call
from .events import StreamEvent
from .routes import Route
from .spending_client import Reservation
from .turns import EMPTY_CHAIN, Chain


@dataclass(slots=True)
class TurnState:
    """A stream under way.

    Attributes:
        call: The request.
        route: Its terms.
        deadline: Loop time of the last useful answer.
        chain: What comes before the new input.
        reservation: Tokens set aside, for programs with a budget.
        passed: Whole events of a turn that is kept: those that were passed on or,
            before the caller's last event, read again.
        passed_bytes: Their size.
        events: How many events came.
        last_event_id: Id of the newest event that the caller has.
        preparations: How often its budget and history were asked for.
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
    chain: Chain = EMPTY_CHAIN
    reservation: Reservation | None = None
    passed: list[StreamEvent] = field(default_factory=list)
    passed_bytes: int = 0
    events: int = 0
    last_event_id: str = ""
    preparations: int = 0
    prepared_at: float = 0.0
    runs: int = 0
    may_be_running: bool = False
    refused: set[str] = field(default_factory=set)
    has_ended: bool = False
    last_event_at: float = 0.0
    first_event_s: float = 0.0
    widest_gap_s: float = 0.0

    @property
    def reservation_name(self) -> str:
        """Name of its tokens at a home, another one for each time they are asked for.

        A home may still be told to release those that nobody waited for.
        """
        if self.preparations <= 1:
            return self.call.id
        return f"{self.call.id}/{self.preparations}"

    @property
    def reads_from_start(self) -> bool:
        """Whether the engine must make all events, because they are kept."""
        return self.route.keeps_history

    @property
    def body(self) -> bytes:
        """What the engine is given."""
        return self.chain.text + self.call.body

    @property
    def is_on_time(self) -> bool:
        """Whether the first event and all that followed came within their times."""
        return (
            self.first_event_s <= self.route.target_latency_s
            and self.widest_gap_s <= self.route.max_gap_s
        )

    def begin_reading(self) -> None:
        """Forget what an engine made that was lost, where the next makes it anew."""
        if self.reads_from_start:
            self.passed.clear()
            self.passed_bytes = 0
            self.events = 0

    def record_event(self, event: StreamEvent, now: float) -> None:
        """Take note of an event and of when it came."""
        self.events += 1
        if self.route.keeps_history:
            self.passed.append(event)
            self.passed_bytes += len(event.raw)
        if self.last_event_at:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_event_at)
        else:
            self.first_event_s = now - self.call.arrived_at
        self.last_event_at = now
