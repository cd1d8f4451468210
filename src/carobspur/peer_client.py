"""Client side of the protocol between processes of the system."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from .errors import CarobspurError, PeerDisconnectedError, PeerUnreachableError
from .peers import (
    Emit,
    Method,
    decode,
    encode,
    error_from_failure,
    messages,
    read_frame,
    write_frame,
)

CONNECT_TIMEOUT_S = 1.0


class _PendingCall:
    """A call that is waiting for its result.

    Args:
        method: The method that was called.
        on_part: Called with each streamed part; parts are dropped if ``None``.
    """

    __slots__ = ("future", "method", "on_part")

    def __init__(self, method: Method, on_part: Emit | None) -> None:
        self.method = method
        self.on_part = on_part
        self.future: asyncio.Future[Any] = asyncio.get_event_loop().create_future()

    def handle_frame(self, frame: Any) -> bool:
        """Process one frame of this call; return whether the call is finished."""
        match frame.kind:
            case messages.FrameKind.PART:
                if self.on_part is not None and self.method.part is not None:
                    self.on_part(decode(self.method.part, frame.body))
                return False
            case messages.FrameKind.RESULT:
                self._finish(decode(self.method.result, frame.body or b""))
            case messages.FrameKind.FAILURE:
                failure = decode(messages.Failure, frame.body)
                self.fail(error_from_failure(failure))
        return True

    def fail(self, error: CarobspurError) -> None:
        """End the call with an error unless it has ended already."""
        if not self.future.done():
            self.future.set_exception(error)

    def _finish(self, result: Any) -> None:
        if not self.future.done():
            self.future.set_result(result)


class _Connection:
    """One connection to a peer, shared by all calls to that peer."""

    __slots__ = ("_next_id", "_pending", "_reader", "_stream")

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._next_id = 0
        self._pending: dict[int, _PendingCall] = {}
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent over this connection."""
        return not self._stream.closed()

    async def call(
        self, method: Method, request: Any, on_part: Emit | None, timeout_s: float
    ) -> Any:
        """Send a request and wait for its result; see :meth:`PeerClient.call`."""
        self._next_id += 1
        call_id = self._next_id
        pending = _PendingCall(method, on_part)
        frame = messages.Frame(
            id=call_id,
            kind=messages.FrameKind.REQUEST,
            method=method.name,
            body=encode(request),
        )
        try:
            write_frame(self._stream, frame)
        except StreamClosedError as error:
            raise PeerUnreachableError("the peer closed the connection") from error
        self._pending[call_id] = pending
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.future
        except (TimeoutError, asyncio.CancelledError) as error:
            self._cancel(call_id)
            if isinstance(error, asyncio.CancelledError):
                raise
            raise PeerDisconnectedError(
                f"{method.name}: no answer within {timeout_s} s"
            ) from error
        finally:
            self._pending.pop(call_id, None)

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        self._stream.close()
        self._reader.cancel()

    def _cancel(self, call_id: int) -> None:
        if self.is_open:
            frame = messages.Frame(id=call_id, kind=messages.FrameKind.CANCEL)
            write_frame(self._stream, frame)

    async def _read(self) -> None:
        try:
            while True:
                frame = await read_frame(self._stream)
                pending = self._pending.get(frame.id)
                if pending is not None and pending.handle_frame(frame):
                    self._pending.pop(frame.id, None)
        except (StreamClosedError, CarobspurError):
            pass
        finally:
            self._stream.close()
            for pending in list(self._pending.values()):
                pending.fail(PeerDisconnectedError("the peer closed the connection"))


class PeerClient:
    """Calls other processes of the system over one connection to each.

    Args:
        ssl_options: Client-side TLS context, or ``None`` for plain TCP.
    """

    __slots__ = ("_connect_locks", "_connections", "_ssl_options", "_tcp")

    def __init__(self, *, ssl_options: ssl.SSLContext | None = None) -> None:
        self._tcp = TCPClient()
        self._ssl_options = ssl_options
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._connect_locks: dict[tuple[str, int], asyncio.Lock] = {}

    async def call(
        self,
        host: str,
        port: int,
        method: Method,
        request: Any,
        *,
        on_part: Emit | None = None,
        timeout_s: float = 5.0,
    ) -> Any:
        """Send a request to a peer and return its result.

        Args:
            host: The peer's IP address.
            port: The peer's port.
            method: The method to call.
            request: Message of the method's request class.
            on_part: Called with each part of a streamed answer.
            timeout_s: Seconds to wait for the result.

        Returns:
            Message of the method's result class.

        Raises:
            PeerUnreachableError: The request was not sent.
            PeerDisconnectedError: The request was sent and no answer arrived.
            CarobspurError: The error that the peer answered with.
        """
        connection = await self._connection(host, port)
        return await connection.call(method, request, on_part, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _connection(self, host: str, port: int) -> _Connection:
        address = (host, port)
        lock = self._connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None and existing.is_open:
                return existing
            connection = _Connection(await self._connect(host, port))
            self._connections[address] = connection
            return connection

    async def _connect(self, host: str, port: int) -> IOStream:
        connect = self._tcp.connect(host, port, ssl_options=self._ssl_options)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await connect
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise PeerUnreachableError(f"{host}:{port}: {error!r}") from error
        stream.set_nodelay(True)
        return stream


@asynccontextmanager
async def peer_client(
    *, ssl_options: ssl.SSLContext | None = None
) -> AsyncIterator[PeerClient]:
    """Provide a client and close its connections at the end."""
    client = PeerClient(ssl_options=ssl_options)
    try:
        yield client
    finally:
        client.close()
