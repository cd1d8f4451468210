"""Takes callers' requests from tornado's HTTP server and gives answers back."""

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
"""Bounds of the server itself; the configuration's limits lie below."""

FLUSH_POLL_S = 0.05
"""Time between looks at whether an answer has left: as fine as a stop is polled."""

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431


class _Responder:
    """The way back on one connection."""

    __slots__ = ("_connection", "_method", "has_started")

    def __init__(self, connection: HTTP1Connection, method: str) -> None:
        self._connection = connection
        self._method = method
        self.has_started = False

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        fields = _to_http_headers(headers)
        fields["Content-Length"] = str(len(body))
        self._write_head(status, fields, body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""
        self._write_head(status, _to_http_headers(headers), b"")

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        try:
            await self._connection.write(data)
        except StreamClosedError as error:
            raise CallerDisconnectedError("the caller has left") from error

    def finish(self) -> None:
        """End the answer as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Break the connection."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    def _write_head(self, status: int, fields: HTTPHeaders, body: bytes) -> None:
        self.has_started = True
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        future = self._connection.write_headers(line, fields, body)
        future.add_done_callback(consume_error)


class _ReadersByState:
    """Readers by what their connections do.

    Attributes:
        idle: Those that wait for a request.
        busy: Those with a request whose head has come and that is not answered.
    """

    __slots__ = ("busy", "idle")

    def __init__(self) -> None:
        self.idle: set[_RequestReader] = set()
        self.busy: set[_RequestReader] = set()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and runs it."""

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
        """Decode the head."""
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
        """Collect the body, up to the limit."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refusal_status = self._refusal_status or _BODY_TOO_LARGE
            self._chunks.clear()
        elif not self._refusal_status:
            self._chunks.append(chunk)

    def finish(self) -> None:
        """Run the request."""
        if self._is_closed:
            # Its head was read just before its connection was closed as idle.
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
        """Stop the work of a request whose caller has left."""
        self._readers.idle.discard(self)
        if self._task is not None:
            self._task.cancel()
        else:
            self._readers.busy.discard(self)

    def _on_handled(self, task: asyncio.Task) -> None:
        consume_error(task)
        self._record_flushed()

    def _record_flushed(self) -> None:
        """Count the request as answered once all bytes are with the system."""
        stream = self._connection.stream
        if stream is not None and not stream.closed() and stream.writing():
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_POLL_S, self._record_flushed)
            return
        self._readers.busy.discard(self)

    def close_idle(self) -> None:
        """End a connection on which no request has come."""
        self._is_closed = True
        self._connection.close()


class Ingress(HTTPServerConnectionDelegate):
    """Serves callers.

    Args:
        call_dispatcher: Answers requests.
        limits: Returns the limits in force.
    """

    def __init__(
        self, call_dispatcher: CallDispatcher, limits: Callable[[], CallerLimits]
    ) -> None:
        self._call_dispatcher = call_dispatcher
        self._limits = limits
        self._readers = _ReadersByState()
        self._is_refusing = False
        self._server = HTTPServer(
            self,
            idle_connection_timeout=limits().idle_timeout_s,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request."""
        reader = _RequestReader(
            request_conn, self._call_dispatcher, self._limits(), self._readers
        )
        if self._is_refusing:
            # Taken by the server before it stopped, or kept after an answer.
            reader.close_idle()
        return reader

    @asynccontextmanager
    async def listening(
        self, host: str, port: int, *, backlog: int
    ) -> AsyncIterator[None]:
        """Take connections; closes those that are open at the end."""
        self._server.listen(port, host, backlog=backlog)
        try:
            yield
        finally:
            self._server.stop()
            await self._server.close_all_connections()

    def apply_limits(self) -> None:
        """Apply the limits in force to connections that come from now on.

        The server has one timeout for a silent connection and for a slow head, and
        its clock starts with the silence; the longer limit serves for both.
        """
        self._server.conn_params.header_timeout = self._limits().idle_timeout_s

    def stop_accepting(self) -> None:
        """Take no more requests: no new connections, and an end to idle ones."""
        self._is_refusing = True
        self._server.stop()
        for reader in list(self._readers.idle):
            reader.close_idle()

    @property
    def is_busy(self) -> bool:
        """Whether a request has come that is not answered yet."""
        return bool(self._readers.busy)

    def disable_keep_alive(self) -> None:
        """Let every connection end with its next answer."""
        self._server.conn_params.no_keep_alive = True


def _to_http_headers(headers: Headers) -> HTTPHeaders:
    fields = HTTPHeaders()
    for name, value in headers:
        fields.add(name, value)
    return fields
