"""HTTP/1.1 client connections to endpoints, peer gateways and the row store.

A request is never sent twice. ``httptools`` parses, tornado streams are the sockets.
Pooling and the decision whether an answer is complete are implemented here rather than
by an HTTP client library: for a request that may run only once, the gateway must know
whether any byte of it was sent.
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
from .decimals import parse_decimal
from .send_errors import (
    ConnectionEndedError,
    EndlessAnswerError,
    LostAnswerError,
    NotSentError,
    RefusedConnectionError,
)

CONNECT_TIMEOUT_S = 0.3
"""A handshake within a region takes about 2 ms. The timeout does not wait for the
retransmission of a lost packet, which comes after 1 s."""
READ_CHUNK_BYTES = 16384
"""Most bytes that are parsed before the event loop may run other requests; parsing this
many takes about 10 ms if they hold the smallest messages."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 1500
"""TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay unacknowledged
for this long."""
STATUSES = range(100, 600)
"""Statuses that HTTP defines; an answer with another one is not passed on."""
IDLE_MARGIN_S = 0.4
"""Idle connections are no longer used this long before the server's idle timeout."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Assumed idle timeout of servers that send no ``Keep-Alive: timeout``."""


class Connection:
    """An HTTP/1.1 client connection that carries one request at a time.

    Exactly one read is pending at any time, so that unexpected bytes and a close by the
    server are noticed while the connection is idle. The next read starts only after the
    bytes of the last one were taken, so that no more is buffered than is needed.

    Args:
        stream: The open connection.
        limits: Size limits of answers.

    Attributes:
        idle_since: Monotonic time in seconds at which the last request ended.
        is_reused: Whether it has carried a request before the present one.
    """

    __slots__ = (
        "_is_broken",
        "_idle_timeout_s",
        "_limits",
        "_parser",
        "_pending_read",
        "_stream",
        "_pending_write",
        "idle_since",
        "is_reused",
    )

    def __init__(
        self, stream: IOStream, *, limits: AnswerLimits = DEFAULT_LIMITS
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._parser = AnswerParser(limits)
        self._pending_read = self._start_read()
        self._pending_write: asyncio.Future | None = None
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._is_broken = False
        self.idle_since = 0.0
        self.is_reused = False

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        *,
        timeout_s: float,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> Connection:
        """Open a connection.

        Raises:
            RefusedConnectionError: Nobody listens at the address.
            NotSentError: No connection could be opened within ``timeout_s``.
        """
        stream = IOStream(_create_socket())
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((host, port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            reason = stream.error or error
            text = f"cannot connect to {host}:{port}: {reason!r}"
            if isinstance(reason, ConnectionRefusedError):
                raise RefusedConnectionError(text) from error
            raise NotSentError(text) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return cls(stream, limits=limits)

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection may carry another request."""
        return (
            not self._is_broken
            and not self._stream.closed()
            and not self._pending_read.done()
            and (self._pending_write is None or self._pending_write.done())
            and time.monotonic() - self.idle_since
            < self._idle_timeout_s - IDLE_MARGIN_S
        )

    def mark_idle(self) -> None:
        """Record that the connection is idle from now on."""
        self.idle_since = time.monotonic()

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.close()

    def send(self, data: bytes) -> None:
        """Start sending a request; does not wait until it has been sent.

        Raises:
            NotSentError: The connection was closed before the first byte was sent.
        """
        try:
            self._pending_write = self._stream.write(data)
        except StreamClosedError as error:
            raise NotSentError(
                "the reused connection was closed before the request was sent"
            ) from error
        self._pending_write.add_done_callback(consume_error)

    async def head(self, is_expected: Callable[[dict[str, str]], bool]) -> Message:
        """Wait for the head of the answer, skipping answers to other requests.

        Informational answers (1xx) are skipped too, and count towards the same limits.

        Args:
            is_expected: Returns whether header fields, by name in lower case, belong to
                the answer that is waited for.

        Raises:
            LostAnswerError: The connection ended, carried invalid HTTP or an invalid
                status, or exceeded a size limit.
        """
        stray_answers = stray_bytes = 0
        while True:
            message = await self._next_message()
            if message.status not in STATUSES:
                raise LostAnswerError(
                    f"the answer has the invalid status {message.status:03}"
                )
            if message.status >= 200 and is_expected(message.headers):
                return message
            async for piece in self.body(message):
                stray_bytes += len(piece)
                if stray_bytes > self._limits.stray_bytes:
                    raise EndlessAnswerError(
                        f"over {self._limits.stray_bytes} bytes of answers to other "
                        "requests arrived before the answer"
                    )
            stray_answers += 1
            if stray_answers > self._limits.stray_answers:
                raise EndlessAnswerError(
                    f"over {self._limits.stray_answers} answers to other requests "
                    "arrived before the answer"
                )
            self._parser.messages.popleft()

    async def body(self, message: Message) -> AsyncIterator[bytes]:
        """Yield the body piece by piece; ends normally only if it is complete.

        Raises:
            LostAnswerError: The body broke off.
        """
        while True:
            while message.chunks:
                yield message.chunks.popleft()
            if message.is_complete:
                return
            if not await self._receive(may_end_at_close=message.is_close_delimited):
                message.is_complete = message.ended_with_connection = True
                self._is_broken = True

    def finish_request(self, message: Message) -> bool:
        """End a request whose answer is complete.

        Returns:
            Whether the connection may carry another request; otherwise it is closed.
        """
        self._idle_timeout_s = _keep_alive_timeout_s(message.headers)
        has_extra_answer = len(self._parser.messages) > 1
        self._parser.messages.clear()
        is_written = self._pending_write is not None and self._pending_write.done()
        if (
            has_extra_answer
            or self._is_broken
            or not message.keeps_alive
            or not is_written
        ):
            self.close()
            return False
        self.mark_idle()
        self.is_reused = True
        return not self._stream.closed()

    async def _next_message(self) -> Message:
        messages = self._parser.messages
        while not messages or not messages[0].has_head:
            await self._receive()
        return messages[0]

    async def _receive(self, *, may_end_at_close: bool = False) -> bool:
        """Wait for bytes and parse them.

        Args:
            may_end_at_close: Whether an orderly close ends the answer.

        Returns:
            Whether more bytes may follow.

        Raises:
            ConnectionEndedError: The connection ended.
            LostAnswerError: Its bytes are not HTTP.
        """
        if self._pending_read.done():
            # Without this, a server that sends as fast as it is read would block the
            # event loop.
            await asyncio.sleep(0)
        try:
            data = await asyncio.shield(self._pending_read)
        except StreamClosedError as error:
            self._is_broken = True
            if may_end_at_close and self._stream.error is None:
                return False
            reason = self._stream.error or "closed"
            raise ConnectionEndedError(f"the connection ended: {reason}") from error
        self._pending_read = self._start_read()
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._is_broken = True
            if self._has_complete_answer():
                return True
            raise LostAnswerError("the answer is not valid HTTP") from error
        return True

    def _start_read(self) -> asyncio.Future:
        """Start the next read; bytes that arrived before a close are still returned."""
        try:
            read = self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        except StreamClosedError as error:
            read = asyncio.get_running_loop().create_future()
            read.set_exception(error)
        read.add_done_callback(consume_error)
        return read

    def _has_complete_answer(self) -> bool:
        """Return whether the answer is complete, so that later bytes do not matter."""
        messages = self._parser.messages
        return bool(messages) and messages[0].is_complete


def _create_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    return sock


def _keep_alive_timeout_s(headers: dict[str, str]) -> float:
    """Return the timeout that a ``Keep-Alive`` header states, in seconds."""
    for item in headers.get("keep-alive", "").split(","):
        name, _, value = item.strip().partition("=")
        timeout_s = parse_decimal(value.strip())
        if name == "timeout" and timeout_s is not None:
            return float(timeout_s)
    return DEFAULT_IDLE_TIMEOUT_S
