"""HTTP server for callers: reads requests, runs them and sends their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager
from functools import partial

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
from ..gateway.memory.account import ConnectionUse, MemoryAccount
from ..gateway.memory.settings import MemorySettings
from ..gateway.refusals import CallerDisconnectedError
from ..gateway.routes import CallerLimits
from .connections import (
    LINGER_S,
    MEMORY_RETRY_AFTER_S,
    READ_BYTES,
    CallerConnection,
    CallerConnections,
    CallerStream,
)
from .headers import decode_call

MAX_HEAD_BYTES = 65536
"""Limit of the HTTP server itself; the configuration's limit applies up to this."""
NO_BODY_LIMIT = 1 << 62
"""Body limit of the HTTP server itself, which would answer 400; the configuration's
limit applies."""
LINGER_BYTES = 4 * 1024 * 1024
"""Bytes of a refused body that are read and discarded before its connection is closed.
A connection closed with unread bytes is reset, and the refusal could be lost."""
FLUSH_POLL_S = 0.05
"""Time between checks whether an answer was sent; the same as ``STOP_POLL_S``."""

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503


class _Responder:
    """Sends the answer to one request; see :class:`carobspur.gateway.calls.Responder`.

    Attributes:
        has_started: Whether the head of the answer was sent.
    """

    __slots__ = ("_caller", "_connection", "_method", "has_started")

    def __init__(
        self, connection: HTTP1Connection, caller: CallerConnection, method: str
    ) -> None:
        self._connection = connection
        self._caller = caller
        self._method = method
        self.has_started = False

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        fields = _to_http_headers(headers)
        fields["Content-Length"] = str(len(body))
        # Tornado closes the connection if the answer to HEAD has a body.
        self._write_head(status, fields, b"" if self._method == "HEAD" else body)
        self.finish()

    def refuse_unread(self, status: int) -> None:
        """Send a refusal before the request has been read to its end.

        The connection must be closed afterwards.
        """
        fields = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        self._write_head(status, fields, b"")

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""
        self._write_head(status, _to_http_headers(headers), b"")

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer.

        Waits only while the caller has left more unread than the bound, so that the
        endpoint's answer is read on.
        """
        written = self._connection.write(data)
        written.add_done_callback(consume_error)
        try:
            if written.done():
                written.result()
        except StreamClosedError as error:
            raise CallerDisconnectedError("caller closed the connection") from error
        await self._caller.wait_until_read()

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
    arrive. A request whose head is too large or lacks an id is read to its end and then
    refused. One whose body is too large is refused at once, and its connection closed.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        call_dispatcher: CallDispatcher,
        limits: CallerLimits,
        readers: _ReadersByState,
        caller: CallerConnection,
    ) -> None:
        self._connection = connection
        self._caller = caller
        self._call_dispatcher = call_dispatcher
        self._limits = limits
        self._readers = readers
        readers.idle.add(self)
        self._call: Call | None = None
        # Pieces are joined as they arrive: a list of many small ones takes a multiple
        # of their size.
        self._body = bytearray()
        self._body_bytes = 0
        self._discarded_bytes = 0
        self._refusal_status = 0
        self._has_refused = False
        self._responder: _Responder | None = None
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
        self._responder = _Responder(self._connection, self._caller, start_line.method)
        self._caller.begin_body()
        self._caller.refuse = self._refuse_for_memory
        if size > self._limits.max_header_bytes:
            self._refusal_status = _HEAD_TOO_LARGE
            self._caller.record_limit("max_header_bytes")
        elif not self._call.id:
            self._refusal_status = _BAD_REQUEST
        length = headers.get("Content-Length", "")
        if _is_above(length, self._limits.max_body_bytes):
            self._refuse_body(is_expecting="Expect" in headers)

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        if self._has_refused:
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > LINGER_BYTES:
                self._connection.close()
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse_body()
        elif not self._refusal_status and not self._caller.use.is_dropped:
            self._body += chunk
            self._caller.record_body(len(self._body))

    def finish(self) -> None:
        """Run or refuse the request, which has been read to its end."""
        if self._is_closed:
            # The head was read just before the idle connection was closed.
            return
        if self._has_refused:
            self._connection.finish()
            self._connection.close()
            return
        if self._caller.use.is_dropped:
            self._refuse_for_memory()
            return
        self._caller.refuse = None
        if self._refusal_status:
            self._readers.busy.discard(self)
            self._responder.reply(self._refusal_status, [], b"")
            return
        if not self._caller.retain(len(self._body)):
            self._refuse_for_memory()
            return
        self._call.body = bytes(self._body)
        self._body = bytearray()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(
            self._call_dispatcher.handle(self._call, self._responder)
        )
        self._task.add_done_callback(self._on_handled)
        self._connection.set_close_callback(self._task.cancel)

    def _refuse_body(self, *, is_expecting: bool = False) -> None:
        """Refuse a body that is too large, while it is still being sent.

        Args:
            is_expecting: Whether the caller waits for a sign to send its body.
        """
        self._has_refused = True
        self._release_body()
        self._caller.record_limit("max_body_bytes")
        self._responder.refuse_unread(_BODY_TOO_LARGE)
        if is_expecting:
            self._connection.finish()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self._connection.close)

    def _refuse_for_memory(self) -> None:
        """Refuse a request that cannot be run for lack of memory, and has not run."""
        self._release_body()
        if not self._has_refused and not self._responder.has_started:
            self._has_refused = True
            retry_after = f"{MEMORY_RETRY_AFTER_S:.2f}"
            self._responder.reply(_UNAVAILABLE, [("Retry-After", retry_after)], b"")

    def _release_body(self) -> None:
        self._caller.refuse = None
        self._body = bytearray()
        self._caller.record_body(0)
        self._readers.busy.discard(self)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        self._readers.idle.discard(self)
        self._caller.refuse = None
        # Closed readers remain in memory until the next garbage collection.
        self._body = bytearray()
        if self._task is not None:
            self._task.cancel()
        else:
            self._readers.busy.discard(self)

    def _on_handled(self, task: asyncio.Task) -> None:
        consume_error(task)
        # The answer may wait for the caller for longer than the body is needed.
        self._call.body = b""
        self._caller.end_request()
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
        account: Counts the bytes that are buffered for callers.
        on_limit: Called when a bound is reached; see :class:`CallerConnections`.

    Attributes:
        connections: All open connections.
    """

    def __init__(
        self,
        call_dispatcher: CallDispatcher,
        limits: Callable[[], CallerLimits],
        *,
        account: MemoryAccount | None = None,
        on_limit: Callable[[str, ConnectionUse, str], None] = lambda *_: None,
    ) -> None:
        self._call_dispatcher = call_dispatcher
        self._limits = limits
        self._readers = _ReadersByState()
        self._has_stopped_accepting = False
        self._server = HTTPServer(
            self,
            idle_connection_timeout=limits().idle_timeout_s,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=NO_BODY_LIMIT,
            chunk_size=READ_BYTES,
        )
        self.connections = CallerConnections(
            account or MemoryAccount(MemorySettings()),
            self._server.handle_stream,
            head_s=lambda: self._limits().header_timeout_s,
            on_limit=on_limit,
        )
        self._listeners = ExitStack()

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request on a connection."""
        stream = request_conn.stream
        caller = (
            stream.caller
            if isinstance(stream, CallerStream)
            else CallerConnection(self.connections, None)
        )
        caller.begin_request()
        reader = _RequestReader(
            request_conn,
            self._call_dispatcher,
            self._limits(),
            self._readers,
            caller,
        )
        # Tornado reports no close to a reader that waits for a head, and starts a
        # reader after the last answer of a connection too.
        forget = partial(self._readers.idle.discard, reader)
        if stream is not None and stream.closed():
            forget()
        else:
            caller.on_closed = forget
        if self._has_stopped_accepting:
            # Accepted before the server stopped listening, or kept alive.
            reader.close_idle()
        return reader

    @asynccontextmanager
    async def listening(
        self, host: str, port: int, *, backlog: int
    ) -> AsyncIterator[None]:
        """Accept connections until the context ends, then close the open ones."""
        self._listeners.enter_context(
            self.connections.listening(host, port, backlog=backlog)
        )
        sweeping = asyncio.ensure_future(self.connections.sweep_forever())
        try:
            yield
        finally:
            sweeping.cancel()
            self._listeners.close()
            await self._server.close_all_connections()

    def apply_limits(self) -> None:
        """Apply the limits in force to new connections.

        Tornado has one timeout for idle connections and for heads that arrive slowly,
        and it starts when the connection becomes idle. So it is set to the idle
        timeout; the time for a head is bounded by :class:`CallerConnections`.
        """
        self._server.conn_params.header_timeout = self._limits().idle_timeout_s

    def stop_accepting(self) -> None:
        """Take no more requests: stop listening and close idle connections."""
        self._has_stopped_accepting = True
        self._listeners.close()
        for reader in list(self._readers.idle):
            reader.close_idle()

    @property
    def is_busy(self) -> bool:
        """Whether a request was received whose answer is not sent yet."""
        return bool(self._readers.busy)

    @property
    def idle_count(self) -> int:
        """Number of open connections that wait for the head of a request."""
        return len(self._readers.idle)

    def disable_keep_alive(self) -> None:
        """Close every connection after its next answer."""
        self._server.conn_params.no_keep_alive = True


def _is_above(length: str, limit: int) -> bool:
    """Return whether the value of ``Content-Length`` is a number above a limit."""
    # Python refuses to convert numbers of thousands of digits.
    return length.isdecimal() and (len(length) > 18 or int(length) > limit)


def _to_http_headers(headers: Headers) -> HTTPHeaders:
    fields = HTTPHeaders()
    for name, value in headers:
        fields.add(name, value)
    return fields
