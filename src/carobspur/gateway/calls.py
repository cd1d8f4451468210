"""Caller requests and endpoint answers, independent of the names on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class ProgramInfo:
    """Fields of a request that describe its agent program.

    Attributes:
        id: Program id.
        token_budget: Most tokens that all turns of the program may generate together;
            ``None`` if not stated.
        previous_turn: Request id of the turn that this one continues; empty for none.
    """

    id: str
    token_budget: int | None = None
    previous_turn: str = ""


@dataclass(slots=True)
class Call:
    """One request from a caller; a retry by the caller is a new call.

    Attributes:
        id: Request id, different for every attempt.
        method: HTTP method.
        target: Path and query, as received.
        host: ``Host`` header in lower case, without the port.
        headers: Header fields that are forwarded to the endpoint unchanged.
        body: The complete body.
        arrived_at: Event loop time in seconds at which the head was read.
        deadline: Event loop time at which the caller stops waiting; ``None`` if not
            stated.
        program: The agent program, if the call belongs to one.
        prompt_tokens: Length of the prompt; 0 if not stated.
        max_tokens: Most tokens that the call may generate; 0 if not stated.
        last_event_id: Id of the last stream event that the caller has received;
            empty for none.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline: float | None = None
    program: ProgramInfo | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    last_event_id: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load that an endpoint reports about itself in an answer.

    Attributes:
        running: Requests that it is processing.
        waiting: Requests in its queue.
        slots: Requests that it can process at the same time.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer, and the values decoded from them.

    Attributes:
        status: HTTP status.
        headers: Header fields that are forwarded to the caller unchanged.
        is_genuine: Whether it carries the endpoint's signature and has no content
            encoding. Only then may a 2xx answer count as a success.
        has_not_run: Whether the endpoint promises that the request has not run and
            never will.
        is_event_stream: Whether its body is a stream of events.
        load: Load of the endpoint, if reported.
        is_draining: Whether the endpoint announces that it accepts no new requests.
    """

    status: int
    headers: Headers
    is_genuine: bool
    has_not_run: bool
    is_event_stream: bool = False
    load: EndpointLoad | None = None
    is_draining: bool = False


class Responder(Protocol):
    """Sends the answer to one caller; implemented by the server that reads requests."""

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer has been sent."""

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send part of a streamed answer; waits while the caller reads too slowly."""

    def finish(self) -> None:
        """Mark a streamed answer as complete."""

    def abort(self) -> None:
        """Close the connection so that the answer cannot appear complete."""
