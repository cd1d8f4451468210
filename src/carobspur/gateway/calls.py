"""Requests and answers as the gateway sees them, free of wire names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class ProgramInfo:
    """What a request says of the agent program that it belongs to.

    Attributes:
        id: The program.
        token_budget: Tokens that all turns of the program may generate together.
        previous_turn: Request id of the turn that this one continues from.
    """

    id: str
    token_budget: int | None = None
    previous_turn: str = ""


@dataclass(slots=True)
class Call:
    """One attempt of a caller.

    Attributes:
        id: Request id, new for every attempt of the caller.
        method: HTTP method.
        target: Path and query, unchanged.
        host: Name in the ``Host`` header, in lower case, without port.
        headers: Header fields that go to the endpoint unchanged.
        body: The whole body.
        arrived_at: Loop time in seconds at which the head was read.
        deadline: Loop time at which the caller stops waiting; ``None`` if not told.
        program: The agent program, if the call belongs to one.
        prompt_tokens: Length of the prompt; 0 if not told.
        max_tokens: Most tokens that the call may generate; 0 if not told.
        last_event_id: Id of the last stream event that the caller has; empty for none.
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
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """What an endpoint says of its own load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer, with what was decoded from them.

    Attributes:
        status: HTTP status.
        headers: Fields that go to the caller unchanged.
        is_genuine: Whether it carries the endpoint's proof of origin and no content
            encoding, so that it may count as a success.
        has_not_run: Whether the endpoint promises that the request has not run.
        load: The endpoint's load, if told.
        is_draining: Whether the endpoint says that it takes no new work.
    """

    status: int
    headers: Headers
    is_genuine: bool
    has_not_run: bool
    load: EndpointLoad | None = None
    is_draining: bool = False


class Responder(Protocol):
    """The way back to one caller."""

    @property
    def has_started(self) -> bool:
        """Whether the head of the answer was sent."""

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer; waits while the caller reads slowly."""

    def finish(self) -> None:
        """End a streamed answer as complete."""

    def abort(self) -> None:
        """Break the connection, so that the answer cannot look complete."""
