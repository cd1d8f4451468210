"""State of one streamed request while the gateway serves it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .calls import Call
from .customers.ownership import turn_name
from .events import StreamEvent
from .routes import Route
from .spending_client import Reservation
from .turn_store import EMPTY_HISTORY, History


@dataclass(slots=True)
class TurnState:
    """A request on a streaming route, with its preparation and the events received.

    Attributes:
        call: The request.
        route: Its route.
        deadline: Loop time after which an answer is of no use.
        history: Inputs and outputs of the program's earlier turns.
        reservation: Reserved tokens; ``None`` for programs without a budget.
        output_events: Events that the caller has received, if the turn is stored.
        output_bytes: Size of ``output_events``.
        events: Number of events that were received.
        last_event_id: Id of the newest event that the caller has.
        has_unnumbered_event: Whether the newest event that the caller has bears no id,
            so that no engine can go on after it.
        prepare_attempts: How often the history and the reservation were requested.
        prepared_at: Loop time at which both were available; 0 before then.
        runs: Number of engines that may have run the request.
        may_be_running: Whether the request was sent to an engine that has not
            answered yet.
        refused: Keys of engines that did not run it and are not tried again.
        has_ended: Whether the engine's stream was received completely.
        last_event_at: Loop time of the newest event; 0 before the first.
        first_event_s: Time from the arrival of the request's head to the first event.
        widest_gap_s: Longest gap between two events.
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
    has_unnumbered_event: bool = False
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
        """Id of the reservation at the account's owner, different for each attempt.

        The cancellation of an earlier attempt's reservation may still reach the owner;
        with the same id it would cancel the new reservation.
        """
        name = turn_name(self.call)
        if self.prepare_attempts <= 1:
            return name
        return f"{name}/{self.prepare_attempts}"

    @property
    def is_resumable(self) -> bool:
        """Whether another run may go on where a lost stream has ended."""
        return self.route.is_resumable and not self.has_unnumbered_event

    @property
    def body(self) -> bytes:
        """Body of the request to the engine: the history and the new input."""
        return self.history.text + self.call.body

    @property
    def is_on_time(self) -> bool:
        """Whether the first event and every gap were within the route's limits."""
        return (
            self.first_event_s <= self.route.target_latency_s
            and self.widest_gap_s <= self.route.max_gap_s
        )

    def record_forwarded(self, event: StreamEvent) -> None:
        """Record that the caller has been sent an event.

        A comment is no part of the engine's output, so a stream may be resumed behind
        it.
        """
        if event.is_comment:
            return
        self.has_unnumbered_event = not event.id
        if event.id:
            self.last_event_id = event.id

    def record_event(self, event: StreamEvent, now: float) -> None:
        """Add an event that was received at loop time ``now``."""
        self.events += 1
        if self.route.keeps_history:
            self.output_events.append(event)
            self.output_bytes += len(event.raw)
        if self.last_event_at:
            self.widest_gap_s = max(self.widest_gap_s, now - self.last_event_at)
        else:
            self.first_event_s = now - self.call.arrived_at
        self.last_event_at = now
