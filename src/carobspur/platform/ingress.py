"""HTTP server for callers: reads requests, runs them and sends their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..gateway._futures import consume_error
from ..gateway.call_dispatcher import CallDispatcher
from ..gateway.calls import Call, Headers
from ..gateway.refusals import CallerDisconnectedError
from ..gateway.routes import CallerLimits
from .headers import decode_call

MAX_HEAD_BYTES = 65536
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Limits of the HTTP server itself; the configuration's limits apply up to these."""

FLUSH_POLL_S = 0.05
"""Time between checks whether an answer was sent; the same as ``STOP_POLL_S``."""

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431


class _Responder:
    """Sends the answer to one request; see :class:`carobspur.gateway.calls.Responder`.

    Attributes:
        has_started: Whether the head of the answer was sent.
    """

    __slots__ = ("_connection", "_method", "has_started")

    def __init__(self, connection: HTTP1Connection, method: str) -> None:
        self._connection = connection
        self._method = method
        self.has_started = False

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        fields = _to_http_headers(headers)
        fields["Content-Length"] = str(len(body))
        self._write_head(status, fields, body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""
        self._write_head(status, _to_http_headers(headers), b"")

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer; waits while the caller reads slowly."""
        try:
            await self._connection.write(data)
        except StreamClosedError as error:
            raise CallerDisconnectedError("caller closed the connection") from error

    def finish(self) -> None:
        """Complete a streamed answer."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    def _write_head(self, status: int, fields: HTTPHeaders, body: bytes) -> None:
        self.has_started = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        future = self._connection.write_headers(line, fields, body)
        future.add_done_callback(consume_error)


class _ReadersByState:
    """Readers of all connections, by the state of their request.

    Attributes:
        idle: Readers that wait for the head of a request.
        busy: Readers with a request whose head was read and whose answer was not yet
            sent.
    """

    __slots__ = ("busy", "idle")

    def __init__(self) -> None:
        self.idle: set[_RequestReader] = set()
        self.busy: set[_RequestReader] = set()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and runs it.

    Tornado calls the methods of :class:`HTTPMessageDelegate` as parts of the request
    arrive. A request that exceeds a limit or lacks an id is read to its end and then
    refused.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        call_dispatcher: CallDispatcher,
        limits: CallerLimits,
        readers: _ReadersByState,
    ) -> None:
        self._connection = connection
        self._call_dispatcher = call_dispatcher
        self._limits = limits
        self._readers = readers
        readers.idle.add(self)
        self._call: Call | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._refusal_status = 0
        self._task: asyncio.Task | None = None
        self._is_closed = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Decode the head and check it against the limits."""
        self._readers.idle.discard(self)
        if not self._is_closed:
            self._readers.busy.add(self)
        fields = list(headers.get_all())
        size = sum(len(name) + len(value) + 4 for name, value in fields)
        self._call = decode_call(
            start_line.method,
            start_line.path,
            fields,
            arrived_at=asyncio.get_running_loop().time(),
        )
        if size > self._limits.max_header_bytes:
            self._refusal_status = _HEAD_TOO_LARGE
        elif not self._call.id:
            self._refusal_status = _BAD_REQUEST

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refusal_status = self._refusal_status or _BODY_TOO_LARGE
            self._chunks.clear()
        elif not self._refusal_status:
            self._chunks.append(chunk)

    def finish(self) -> None:
        """Run or refuse the request, which has been read to its end."""
        if self._is_closed:
            # The head was read just before the idle connection was closed.
            return
        responder = _Responder(self._connection, self._call.method)
        if self._refusal_status:
            self._readers.busy.discard(self)
            responder.reply(self._refusal_status, [], b"")
            return
        self._call.body = b"".join(self._chunks)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(
            self._call_dispatcher.handle(self._call, responder)
        )
        self._task.add_done_callback(self._on_handled)
        self._connection.set_close_callback(self._task.cancel)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        self._readers.idle.discard(self)
        if self._task is not None:
            self._task.cancel()
        else:
            self._readers.busy.discard(self)

    def _on_handled(self, task: asyncio.Task) -> None:
        consume_error(task)
        self._end_when_flushed()

    def _end_when_flushed(self) -> None:
        """Remove the reader from ``busy`` once the socket has accepted all bytes."""
        stream = self._connection.stream
        if stream is not None and not stream.closed() and stream.writing():
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_POLL_S, self._end_when_flushed)
            return
        self._readers.busy.discard(self)

    def close_idle(self) -> None:
        """Close a connection without a request in progress."""
        self._is_closed = True
        self._connection.close()


class Ingress(HTTPServerConnectionDelegate):
    """HTTP server for callers.

    Args:
        call_dispatcher: Answers the requests.
        limits: Returns the limits in force for callers.
    """

    def __init__(
        self, call_dispatcher: CallDispatcher, limits: Callable[[], CallerLimits]
    ) -> None:
        self._call_dispatcher = call_dispatcher
        self._limits = limits
        self._readers = _ReadersByState()
        self._has_stopped_accepting = False
        self._server = HTTPServer(
            self,
            idle_connection_timeout=limits().idle_timeout_s,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection."""
        reader = _RequestReader(
            request_conn, self._call_dispatcher, self._limits(), self._readers
        )
        if self._has_stopped_accepting:
            # Accepted before the server stopped listening, or kept alive.
            reader.close_idle()
        return reader

    @asynccontextmanager
    async def listening(
        self, host: str, port: int, *, backlog: int
    ) -> AsyncIterator[None]:
        """Accept connections until the context ends, then close the open ones."""
        self._server.listen(port, host, backlog=backlog)
        try:
            yield
        finally:
            self._server.stop()
            await self._server.close_all_connections()

    def apply_limits(self) -> None:
        """Apply the limits in force to new connections.

        Tornado has one timeout for idle connections and for heads that arrive slowly,
        and it starts when the connection becomes idle. So the idle timeout, which is
        the longer limit, is used for both.
        """
        self._server.conn_params.header_timeout = self._limits().idle_timeout_s

    def stop_accepting(self) -> None:
        """Take no more requests: stop listening and close idle connections."""
        self._has_stopped_accepting = True
        self._server.stop()
        for reader in list(self._readers.idle):
            reader.close_idle()

    @property
    def is_busy(self) -> bool:
        """Whether a request was received whose answer is not sent yet."""
        return bool(self._readers.busy)

    def disable_keep_alive(self) -> None:
        """Close every connection after its next answer."""
        self._server.conn_params.no_keep_alive = True


def _to_http_headers(headers: Headers) -> HTTPHeaders:
    fields = HTTPHeaders()
    for name, value in headers:
        fields.add(name, value)
    return fields
