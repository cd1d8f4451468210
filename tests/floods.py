"""Endpoints that send bytes without end, and measurement of their effect."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from enum import StrEnum

from .heap import freeze_heap
from .ports import HOST

PIECE_BYTES = 65536
POLL_S = 0.002


class Flood(StrEnum):
    """Which part of an answer is endless; values describe it in test output."""

    HEAD = "fields of a head"
    VALUE = "the value of a field"
    LENGTH = "a body with a length"
    CHUNKS = "a body in chunks"
    EXTENSION = "what follows the size of a chunk"
    TRAILERS = "fields after a body"
    TRAILER = "the value of a field after a body"
    STRAY = "an answer to somebody else"
    HEADS = "answers to somebody else"
    EVENT = "an event"
    EVENTS = "events"
    INFORMATIONAL = "informational answers"
    BLANK = "blank lines before an answer"


_START = "HTTP/1.1 200 OK\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


def _answer_start(flood: Flood, request_id: str) -> str:
    head = f"{_START}Request-Id: {request_id}\r\nResponse-Signature: f.1\r\n"
    match flood:
        case Flood.HEAD:
            return head
        case Flood.VALUE:
            return head + "X-Filler: "
        case Flood.LENGTH:
            return f"{head}Content-Length: {1 << 40}\r\n\r\n"
        case Flood.CHUNKS | Flood.EVENT | Flood.EVENTS:
            return head + _CHUNKED
        case Flood.EXTENSION:
            return head + _CHUNKED + "4;x="
        case Flood.TRAILERS:
            return head + _CHUNKED + "0\r\n"
        case Flood.TRAILER:
            return head + _CHUNKED + "0\r\nX-Filler: "
        case Flood.STRAY:
            return f"{_START}Request-Id: other\r\nContent-Length: {1 << 40}\r\n\r\n"
        case Flood.HEADS | Flood.INFORMATIONAL | Flood.BLANK:
            return ""


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _endless_part(flood: Flood) -> bytes:
    match flood:
        case Flood.HEAD | Flood.TRAILERS:
            return b"X-Filler: 0123456789abcdef\r\n" * (PIECE_BYTES // 28)
        case Flood.CHUNKS:
            return _chunk(b"x" * PIECE_BYTES)
        case Flood.EVENT:
            return _chunk(b"data: x" * (PIECE_BYTES // 7))
        case Flood.EVENTS:
            return _chunk(b"id: 1\ndata: abc\n\n" * (PIECE_BYTES // 17))
        case Flood.HEADS:
            head = f"{_START}Request-Id: other\r\nContent-Length: 0\r\n\r\n".encode()
            return head * (PIECE_BYTES // len(head))
        case Flood.INFORMATIONAL:
            head = b"HTTP/1.1 100 Continue\r\n\r\n"
            return head * (PIECE_BYTES // len(head))
        case Flood.BLANK:
            return b"\r\n" * (PIECE_BYTES // 2)
        case _:
            return b"x" * PIECE_BYTES


@dataclass(slots=True)
class FloodingEndpoint:
    """A flooding endpoint that runs in a thread of its own.

    Attributes:
        port: TCP port that it listens on.
        pause_s: Pause between pieces; 0 for full speed.
        sent: Bytes sent.
        requests: Requests received.
        closed: Connections closed by the other side.
    """

    port: int
    pause_s: float = 0.0
    sent: int = 0
    requests: int = 0
    closed: int = 0

    def serve(self, listener: socket.socket, flood: Flood) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            worker = threading.Thread(
                target=self._flood, args=(connection, flood), daemon=True
            )
            worker.start()

    def _flood(self, connection: socket.socket, flood: Flood) -> None:
        endless_part = _endless_part(flood)
        with connection:
            try:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += connection.recv(PIECE_BYTES)
                self.requests += 1
                connection.sendall(_answer_start(flood, _request_id(head)).encode())
                while True:
                    connection.sendall(endless_part)
                    self.sent += len(endless_part)
                    time.sleep(self.pause_s)
            except OSError:
                self.closed += 1


def _request_id(head: bytes) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "request-id":
            return value
    return ""


@contextmanager
def flooding_endpoint(
    flood: Flood, *, pause_s: float = 0.0
) -> Iterator[FloodingEndpoint]:
    """Run an endpoint whose answers never end."""
    with socket.create_server((HOST, 0)) as listener:
        endpoint = FloodingEndpoint(listener.getsockname()[1], pause_s)
        thread = threading.Thread(
            target=endpoint.serve, args=(listener, flood), daemon=True
        )
        thread.start()
        yield endpoint
        listener.shutdown(socket.SHUT_RDWR)


@dataclass(slots=True)
class ResourceUse:
    """Memory and event loop delays of the process during a measurement.

    Attributes:
        peak_bytes: Largest memory allocated beyond that at the start.
        longest_pause_s: Most processor time between two runs of a task that polls.
    """

    peak_bytes: int = 0
    longest_pause_s: float = 0.0


@asynccontextmanager
async def measured_resources() -> AsyncIterator[ResourceUse]:
    """Measure the memory of this process and the pauses of its event loop."""
    usage = ResourceUse()
    freeze_heap()
    tracemalloc.start()
    start_bytes, _ = tracemalloc.get_traced_memory()
    measuring = asyncio.ensure_future(_measure_pauses(usage))
    try:
        yield usage
    finally:
        measuring.cancel()
        usage.peak_bytes = tracemalloc.get_traced_memory()[1] - start_bytes
        tracemalloc.stop()


async def _measure_pauses(usage: ResourceUse) -> None:
    while True:
        # Processor time of this thread, so that other processes do not count.
        started = time.thread_time()
        await asyncio.sleep(POLL_S)
        pause_s = time.thread_time() - started
        usage.longest_pause_s = max(usage.longest_pause_s, pause_s)
