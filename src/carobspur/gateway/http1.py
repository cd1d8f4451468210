"""Pooled HTTP/1.1 connections to endpoints, peers and the row store.

Nothing here sends a request twice. The parser is ``httptools``, the sockets are
tornado streams; the pool and what counts as a whole answer are ours, because a
request that may run once must know whether its bytes left.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable

import httptools
from tornado.iostream import IOStream, StreamClosedError

from ._futures import consume_error
from .answer_limits import DEFAULT_LIMITS, AnswerLimits
from .answer_parser import AnswerParser, Message
from .send_errors import EndlessAnswerError, LostAnswerError, NotSentError

CONNECT_TIMEOUT_S = 0.3
"""A handshake inside a region takes about 2 ms; a lost packet returns after 1 s."""
READ_CHUNK_BYTES = 16384
"""Most bytes that are parsed without a turn for other requests: about 10 ms of the
smallest messages."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 1500
"""Kernel limit on sent bytes without acknowledgement: a silent connection then ends."""
IDLE_MARGIN_S = 0.4
"""Kept connections are retired this long before the server's idle timeout."""
DEFAULT_IDLE_S = 4.0
"""Idle time where the server names none."""


class Connection:
    """One connection; serves one request at a time.

    Exactly one read is always under way, so that stray bytes and a close are seen
    while the connection is idle. No more is read than is taken.

    Args:
        stream: The open connection.
        limits: What an answer may have.
    """

    __slots__ = (
        "_error",
        "_idle_s",
        "_limits",
        "_parser",
        "_read",
        "_stream",
        "_written",
        "idle_since",
    )

    def __init__(
        self, stream: IOStream, *, limits: AnswerLimits = DEFAULT_LIMITS
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._parser = AnswerParser(limits)
        self._read = self._begin_read()
        self._written: asyncio.Future | None = None
        self._idle_s = DEFAULT_IDLE_S
        self._error = False
        self.idle_since = 0.0

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        *,
        timeout_s: float,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> Connection:
        """Connect.

        Raises:
            NotSentError: No connection in time.
        """
        stream = IOStream(_socket())
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((host, port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            reason = stream.error or error
            raise NotSentError(f"no connection to {host}:{port}: {reason!r}") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(stream, limits=limits)

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection may carry another request."""
        return (
            not self._error
            and not self._stream.closed()
            and not self._read.done()
            and (self._written is None or self._written.done())
            and time.monotonic() - self.idle_since < self._idle_s - IDLE_MARGIN_S
        )

    def close(self) -> None:
        """Close at once."""
        self._stream.close()

    def send(self, data: bytes) -> None:
        """Send a request; returns while bytes may still be under way.

        Raises:
            NotSentError: The connection had ended before the first byte left.
        """
        try:
            self._written = self._stream.write(data)
        except StreamClosedError as error:
            raise NotSentError("the kept connection had ended") from error
        self._written.add_done_callback(consume_error)

    async def head(self, is_mine: Callable[[dict[str, str]], bool]) -> Message:
        """Wait for the head of the answer, passing over answers to others.

        Raises:
            LostAnswerError: The connection ended, carried no HTTP or too much.
        """
        strays = stray_bytes = 0
        while True:
            message = await self._next_message()
            if message.status >= 200 and is_mine(message.headers):
                return message
            async for piece in self.body(message):
                stray_bytes += len(piece)
                if stray_bytes > self._limits.stray_bytes:
                    raise EndlessAnswerError(
                        f"over {self._limits.stray_bytes} bytes came before the answer"
                    )
            strays += 1
            if strays > self._limits.stray_answers:
                raise EndlessAnswerError(
                    f"over {self._limits.stray_answers} others came before the answer"
                )
            self._parser.messages.popleft()

    async def body(self, message: Message) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; ends normally only if it came whole.

        Raises:
            LostAnswerError: The body broke off.
        """
        while True:
            while message.chunks:
                yield message.chunks.popleft()
            if message.is_complete:
                return
            if not await self._receive(may_end=message.is_close_delimited):
                message.is_complete = True
                self._error = True

    def finish_request(self, message: Message) -> bool:
        """End a request whose answer came whole; return whether to keep this."""
        self._idle_s = _idle_s(message.headers)
        extra = len(self._parser.messages) > 1
        self._parser.messages.clear()
        is_written = self._written is not None and self._written.done()
        if extra or self._error or not message.keeps_alive or not is_written:
            self.close()
            return False
        self.idle_since = time.monotonic()
        return not self._stream.closed()

    async def _next_message(self) -> Message:
        messages = self._parser.messages
        while not messages or not messages[0].has_head:
            await self._receive()
        return messages[0]

    async def _receive(self, *, may_end: bool = False) -> bool:
        """Feed what arrives to the parser; return whether there may be more."""
        if self._read.done():
            # Bytes that come as fast as they are taken would hold the loop.
            await asyncio.sleep(0)
        try:
            data = await asyncio.shield(self._read)
        except StreamClosedError as error:
            self._error = True
            if may_end and self._stream.error is None:
                return False
            reason = self._stream.error or "closed"
            raise LostAnswerError(f"the connection ended: {reason}") from error
        self._read = self._begin_read()
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._error = True
            if self._has_complete_head():
                return True
            raise LostAnswerError("the answer is not HTTP") from error
        return True

    def _begin_read(self) -> asyncio.Future:
        """Start the next read; what arrived before a close still counts."""
        try:
            read = self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        except StreamClosedError as error:
            read = asyncio.get_running_loop().create_future()
            read.set_exception(error)
        read.add_done_callback(consume_error)
        return read

    def _has_complete_head(self) -> bool:
        """Whether stray bytes follow a whole answer, which still counts."""
        messages = self._parser.messages
        return bool(messages) and messages[0].is_complete


def _socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return sock


def _idle_s(headers: dict[str, str]) -> float:
    for item in headers.get("keep-alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "timeout" and value.strip().isdigit():
            return float(value)
    return DEFAULT_IDLE_S
