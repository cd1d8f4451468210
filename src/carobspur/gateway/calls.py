"""Caller requests and endpoint answers, independent of the names on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field
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
        session: Id of the line of turns that the request belongs to; empty if not
            stated.
        deadline: Event loop time at which the whole program should have finished;
            ``None`` if not stated.
    """

    id: str
    token_budget: int | None = None
    previous_turn: str = ""
    session: str = ""
    deadline: float | None = None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests with equal leading parts share cached tokens.

    Attributes:
        id: Id of the part.
        tokens: Its length.
    """

    id: str
    tokens: int


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
        prompt_parts: Parts of the prompt in order; empty if not stated.
        expected_tokens: The caller's estimate of the tokens that the call generates;
            0 if not stated.
        affinity_key: Identifies the object that the request is about; empty if not
            stated.
        key_digest: Digest of the API key that the caller presented; empty for none.
        credential_headers: Header fields about the caller's identity, forwarded only
            where the configuration has no customers.
        customer: Name of the customer whose key was presented; empty for an anonymous
            request, ``None`` where the configuration has no customers.
        priority: Priority of the request, 0 is the highest; set once it is routed.
        engine_priority: Priority among the requests of an engine, from 0, the first,
            to 9; ``None`` to leave it to the engine.
        was_sent: Whether the request was sent to an endpoint, which may have run it.
        limit_part: Part of an endpoint's rate limit that the request may use; ``None``
            until it met endpoints with a limit.
        limit_waited_s: Time for which it has waited for such a limit.
        limited_for_s: Time until a limit may admit it, if it is refused because of
            these limits; else ``None``.
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
    prompt_parts: tuple[PromptPart, ...] = ()
    expected_tokens: int = 0
    affinity_key: str = ""
    key_digest: bytes = field(default=b"", repr=False)
    credential_headers: Headers = field(default_factory=list, repr=False)
    customer: str | None = None
    priority: int = 0
    engine_priority: int | None = None
    was_sent: bool = False
    limit_part: float | None = None
    limit_waited_s: float = 0.0
    limited_for_s: float | None = None

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
        slowdown: How long work takes on its machine at this moment, as a multiple of
            the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


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
        rate_limit: Requests a second that the endpoint takes from all gateways
            together; ``None`` if it names no limit, NaN if that is unreadable.
    """

    status: int
    headers: Headers
    is_genuine: bool
    has_not_run: bool
    is_event_stream: bool = False
    load: EndpointLoad | None = None
    is_draining: bool = False
    rate_limit: float | None = None


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
