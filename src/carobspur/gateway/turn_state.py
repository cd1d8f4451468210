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
        passed: Whole events that were passed on or, before the caller's last event,
            read again.
        last_event: Id of the newest event that the caller has.
        runs: Engines that may have run it.
        may_be_running: Whether a request is at an engine that has not answered.
        refused: Engines that did not run it.
        has_ended: Whether the engine's stream came whole.
    """

    call: Call
    route: Route
    deadline: float
    chain: Chain = EMPTY_CHAIN
    reservation: Reservation | None = None
    passed: list[StreamEvent] = field(default_factory=list)
    last_event: str = ""
    runs: int = 0
    may_be_running: bool = False
    refused: set[str] = field(default_factory=set)
    has_ended: bool = False

    @property
    def reads_from_start(self) -> bool:
        """Whether the engine must make all events, because they are kept."""
        return self.route.keeps_history

    @property
    def body(self) -> bytes:
        """What the engine is given."""
        return self.chain.text + self.call.body
