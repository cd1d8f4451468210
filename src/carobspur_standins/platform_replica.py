"""Stand-in for the platform's replicas: model engines and plain services.

It writes HTTP/1.1 by itself, because the faults include malformed answers, answers of
other requests and connections that break in the middle of an answer.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from carobspur.gateway.answer_limits import DEFAULT_LIMITS

TRICKLE_INTERVAL_S = 0.05
"""Pause between the bytes of a stalled stream: far below any limit on the time
without data."""
RESET_DELAY_S = 0.05
"""Time between the last byte of an answer and the reset of its connection."""
NEW_WEIGHTS_EVENT = 3
"""Number of the event at which the replica's weights change."""
NEW_WEIGHTS_LINE = b"weight-versions: 8\n"
NOT_EXECUTED = "503 Service Unavailable\r\nNot-Executed: 1"
"""Status and field of a refusal of a request that has not run."""


class ReplicaFault(StrEnum):
    """Faulty behaviour of a replica for one request."""

    LOST = "lost"
    """Executes the request and closes the connection without an answer."""
    CUT = "cut"
    """Closes the connection in the middle of the answer."""
    GARBAGE = "garbage"
    """Answers with bytes that are not HTTP."""
    EXTRA = "extra"
    """Answers correctly, then sends a second answer, to another request."""
    LATE_EXTRA = "late_extra"
    """Sends an answer to another request before the right one."""
    LATE_COPY = "late_copy"
    """Sends its previous complete answer again before the right one."""
    TRICKLE = "trickle"
    """Sends single bytes of a stream's first event and never completes it."""
    FULL = "full"
    """Refuses the request with 503, marked as not executed."""
    FULL_UNNAMED = "full_unnamed"
    """The same without the id of the request."""
    REFUSED_AGAIN = "refused_again"
    """Sends the last refusal of this connection again before the right answer."""
    OTHER_WEIGHTS = "other_weights"
    """Refuses the request with 421, not executed: its weights have another version."""
    NEW_WEIGHTS = "new_weights"
    """Changes its weights in the middle of a stream; a field of the event says so."""
    UNSIGNED = "unsigned"
    """Answers without its signature."""
    CLOSE = "close"
    """Answers correctly and closes the connection at once."""
    UNFRAMED = "unframed"
    """Answers without a length; the answer ends with the connection."""
    HUGE = "huge"
    """Answers with one byte more than an answer may have."""
    HANG = "hang"
    """Begins to execute the request and never answers."""


class AnswerEnd(StrEnum):
    """What a replica does with the connection behind a scripted answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """An answer that a replica writes instead of its own.

    Attributes:
        text: Its bytes; ``{id}`` stands for the id of the request.
        end: What becomes of the connection behind it.
    """

    text: bytes
    end: AnswerEnd = AnswerEnd.KEEP


@dataclass(slots=True)
class SeenRequest:
    """A request as the replica received it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields by lower-case name.
        body: The body.
        has_run: Whether the replica began to execute it.
        was_abandoned: Whether the sender closed the connection before the end of the
            answer.
        arrived_at: Loop time at which it was read.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    has_run: bool = False
    was_abandoned: bool = False
    arrived_at: float = 0.0


@dataclass(slots=True)
class ReplicaStandin:
    """One replica of a service.

    Attributes:
        id: Id of this start of the replica; requests for another id get 421.
        service: Service that it belongs to.
        events: Events of each stream; 0 for a plain service.
        event_s: Seconds between events.
        work_s: Seconds before an answer begins.
        slots: Capacity that it reports, as a number of concurrent requests.
        samples: Whether each run from the start of a stream generates other words. A
            run that is resumed continues the words of its request.
        restarts: Whether a request to resume a stream is run from the start.
        numbers_events: Whether events have ids.
        is_leaving: Whether every answer says that the replica is draining.
        rate_limit: Requests a second that every answer names as the replica's limit.
        crashes_on: Content of a request under which the replica crashes once it has
            begun to execute it; empty for none.
        has_crashed: Whether it crashed, so that nobody listens at its address.
        faults: Faults of the next requests, first one first; ``None`` for a correct
            answer.
        scripts: Answers to the next requests that are executed, first one first.
        seen: All requests in order of arrival.
        running: Requests that are executed at present.
        connections: Connections accepted so far.
    """

    id: str
    service: str
    events: int = 0
    event_s: float = 0.005
    work_s: float = 0.002
    slots: int = 8
    samples: bool = False
    restarts: bool = False
    numbers_events: bool = True
    is_leaving: bool = False
    rate_limit: float | None = None
    crashes_on: bytes = b""
    has_crashed: bool = False
    faults: deque[ReplicaFault | None] = field(default_factory=deque)
    scripts: deque[ScriptedAnswer | None] = field(default_factory=deque)
    seen: list[SeenRequest] = field(default_factory=list)
    running: int = 0
    connections: int = 0
    _server: asyncio.Server | None = None
    _numbers: itertools.count = field(default_factory=itertools.count)
    _last_answer: bytes = b""
    _words: dict[str, str] = field(default_factory=dict)
    # The last refusal on each open connection.
    _refusals: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)

    async def listen(self, host: str, port: int = 0) -> int:
        """Start to serve; port 0 picks a free one. Returns the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._server.close()

    def crash(self) -> None:
        """End at once, with all connections."""
        self.has_crashed = True
        self._server.close()
        for writer in list(self._refusals):
            writer.close()

    @property
    def ran(self) -> list[SeenRequest]:
        """Requests that the replica began to execute."""
        return [request for request in self.seen if request.has_run]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._refusals[writer] = b""
        try:
            while await self._serve_one(reader, writer):
                continue
        except (ConnectionError, asyncio.IncompleteReadError):
            # The sender closed the connection.
            return
        finally:
            del self._refusals[writer]
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await _read_request(reader)
        request.arrived_at = asyncio.get_running_loop().time()
        self.seen.append(request)
        fault = self.faults.popleft() if self.faults else None
        request_id = request.headers.get("request-id", "")
        if request.headers.get("target-instance", self.id) != self.id:
            self._refuse(writer, "421 Misdirected Request", request_id)
            return True
        match fault:
            case ReplicaFault.FULL:
                self._refuse(writer, NOT_EXECUTED, request_id)
                return True
            case ReplicaFault.FULL_UNNAMED:
                self._refuse(writer, NOT_EXECUTED, "")
                return True
            case ReplicaFault.OTHER_WEIGHTS:
                self._refuse(writer, "421 Misdirected Request", request_id)
                return True
        request.has_run = True
        self.running += 1
        watch = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._answer(request, writer, fault))
        try:
            await asyncio.wait([watch, work], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                request.was_abandoned = True
                return False
            return work.result()
        finally:
            self.running -= 1
            work.cancel()
            watch.cancel()
            # Both must have ended before the connection's next request is read: a
            # stream has only one reader at a time.
            await asyncio.wait([work, watch])

    async def _answer(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> bool:
        if fault is ReplicaFault.HANG:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.work_s)
        if self.crashes_on and self.crashes_on in request.body:
            if self.events:
                writer.write(self._head(request.headers.get("request-id", ""), None))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            self.crash()
            return False
        script = self.scripts.popleft() if self.scripts else None
        if script is not None:
            return await self._follow_script(script, request, writer)
        match fault:
            case ReplicaFault.LOST:
                return False
            case ReplicaFault.GARBAGE:
                writer.write(b"\x00\x01 this is no answer \r\n\r\n")
                return False
            case ReplicaFault.LATE_EXTRA:
                writer.write(self._head("other-id", 4) + b"else")
            case ReplicaFault.LATE_COPY:
                writer.write(self._last_answer)
            case ReplicaFault.REFUSED_AGAIN:
                writer.write(self._refusals[writer])
                # So that the two answers are received one after the other.
                await writer.drain()
                await asyncio.sleep(self.work_s)
        if self.events:
            await self._stream(request, writer, fault)
        else:
            self._plain(request, writer, fault)
        if fault is ReplicaFault.EXTRA:
            writer.write(self._head("other-id", 4) + b"else")
        await writer.drain()
        return fault not in (
            ReplicaFault.CUT,
            ReplicaFault.CLOSE,
            ReplicaFault.UNFRAMED,
        )

    async def _follow_script(
        self,
        script: ScriptedAnswer,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = request.headers.get("request-id", "").encode()
        writer.write(script.text.replace(b"{id}", request_id))
        await writer.drain()
        if script.end is AnswerEnd.RESET:
            # So that the bytes are read before the connection breaks.
            await asyncio.sleep(RESET_DELAY_S)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        return script.end is AnswerEnd.KEEP

    def _plain(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> None:
        body = f"{self.id} ran {request.target}".encode()
        head = self._head(request.headers.get("request-id", ""), len(body))
        match fault:
            case ReplicaFault.CUT:
                writer.write(head + body[:3])
            case ReplicaFault.UNSIGNED:
                writer.write(head.replace(b"Response-Signature", b"X-Other") + body)
            case ReplicaFault.UNFRAMED:
                lines = head.split(b"\r\n")
                remaining = [
                    line for line in lines if not line.startswith(b"Content-Len")
                ]
                writer.write(b"\r\n".join(remaining) + body)
            case ReplicaFault.HUGE:
                body = b"x" * (DEFAULT_LIMITS.answer_bytes + 1)
                writer.write(self._head(request.headers["request-id"], len(body)))
                writer.write(body)
            case _:
                self._last_answer = head + body
                writer.write(self._last_answer)

    async def _stream(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> None:
        last_event_id = "" if self.restarts else request.headers.get("last-event-id")
        first = int(last_event_id or 0) + 1
        head = self._head(request.headers.get("request-id", ""), None)
        word = self._word(request, is_new_run=first == 1)
        writer.write(head)
        if fault is ReplicaFault.TRICKLE:
            await self._trickle(writer)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"data: %s %d\n\n" % (word, number)
            if self.numbers_events:
                event = b"id: %d\n" % number + event
            if fault is ReplicaFault.NEW_WEIGHTS and number == NEW_WEIGHTS_EVENT:
                event = NEW_WEIGHTS_LINE + event
            if fault is ReplicaFault.CUT and number == self.events:
                event = event[:7]
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _word(self, request: SeenRequest, *, is_new_run: bool) -> bytes:
        """Return the word that a run repeats."""
        if not self.samples:
            return b"token"
        request_id = request.headers.get("request-id", "")
        if is_new_run or request_id not in self._words:
            self._words[request_id] = f"run{next(self._numbers)}"
        return self._words[request_id].encode()

    async def _trickle(self, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"1\r\n:\r\n")
            await writer.drain()
            await asyncio.sleep(TRICKLE_INTERVAL_S)

    def _refuse(
        self, writer: asyncio.StreamWriter, status: str, request_id: str
    ) -> None:
        name = f"Request-Id: {request_id}\r\n" if request_id else ""
        refusal = (
            f"HTTP/1.1 {status}\r\n{name}{self._state_lines}Content-Length: 0\r\n\r\n"
        ).encode()
        self._refusals[writer] = refusal
        writer.write(refusal)

    @property
    def _state_lines(self) -> str:
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        if self.rate_limit is None:
            return leaving
        return f"{leaving}Server-Limit: {self.rate_limit}\r\n"

    def _head(self, request_id: str, length: int | None) -> bytes:
        framing = (
            "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream"
            if length is None
            else f"Content-Length: {length}"
        )
        return (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {self.id}.{next(self._numbers)}\r\n"
            f"Instance-Load: {self.running},0,{self.slots}\r\n"
            f"{self._state_lines}Keep-Alive: timeout=5\r\n{framing}\r\n\r\n"
        ).encode()


async def _read_request(reader: asyncio.StreamReader) -> SeenRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head[:-4].split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for item in fields:
        name, _, value = item.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return SeenRequest(method, target, headers, body)
