"""Calls between our own processes: thrift messages in frames over tornado streams.

One connection carries many calls at once. A call has one request, any number of
parts, and one result or failure; either side may end it early.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from importlib.resources import as_file, files
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.transport.memory.cymemory import TCyMemoryBuffer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from .errors import (
    CarobspurError,
    PeerDisconnectedError,
    PeerUnreachableError,
    RequestError,
    error_from_cause,
)
from .verdict import MAY_HAVE_RUN, verdict_from_name, verdict_name

with as_file(files(__package__) / "peers.thrift") as _path:
    messages: Any = thriftpy2.load(str(_path), module_name="carobspur_peers_thrift")

MAX_FRAME_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0

_LENGTH = struct.Struct(">I")
_PROTOCOL = TCyBinaryProtocolFactory()
_logger = logging.getLogger(__name__)

Emit = Callable[[Any], None]
Handler = Callable[[Any, Emit], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Method:
    """One kind of call between processes.

    Attributes:
        name: Its name in a frame.
        request: Thrift class of the request.
        result: Thrift class of the result.
        part: Thrift class of the parts, or ``None`` where there are none.
    """

    name: str
    request: type
    result: type
    part: type | None = None


START_PROGRAM = Method("start_program", messages.StartProgram, messages.ProgramStarted)
RUN_CALL = Method("run_call", messages.RunCall, messages.CallAnswer, messages.CallPart)
RUN_SINGLE_CALL = Method(
    "run_single_call", messages.RunSingleCall, messages.CallAnswer, messages.CallPart
)
SHOW_PROGRAM = Method("show_program", messages.ShowProgram, messages.ProgramDocument)
END_PROGRAM = Method("end_program", messages.EndProgram, messages.Empty)
ADOPT_CHILD = Method("adopt_child", messages.AdoptChild, messages.Empty)
END_CHILD = Method("end_child", messages.EndChild, messages.Empty)
DRAIN = Method("drain", messages.Drain, messages.Empty)
GET_STATUS = Method("get_status", messages.GetStatus, messages.SchedulerStatus)
GET_VIEW = Method("get_view", messages.GetView, messages.View)
GOSSIP = Method("gossip", messages.Gossip, messages.Gossip)
SWEEP_CACHE = Method("sweep_cache", messages.SweepCache, messages.CacheSwept)
RECONCILE = Method("reconcile", messages.Reconcile, messages.Reconciled)


def encode(message: Any) -> bytes:
    """Return a thrift message as bytes."""
    buffer = TCyMemoryBuffer()
    protocol = _PROTOCOL.get_protocol(buffer)
    protocol.write_struct(message)
    buffer.flush()
    return buffer.getvalue()


def decode(cls: type, content: bytes) -> Any:
    """Read a thrift message.

    Args:
        cls: Its thrift class.
        content: What :func:`encode` returned.

    Raises:
        RequestError: The bytes are no such message.
    """
    try:
        message = _PROTOCOL.get_protocol(TCyMemoryBuffer(content)).read_struct(cls())
    except Exception as error:
        raise RequestError(f"not a {cls.__name__} message: {error!r}") from error
    _require_fields(message)
    return message


def _require_fields(message: Any) -> None:
    for field in message.thrift_spec.values():
        name, required = field[1], field[-1]
        value = getattr(message, name)
        if required and value is None:
            raise RequestError(f"{type(message).__name__} lacks its field {name}")
        if field[0] == TType.STRUCT and value is not None:
            _require_fields(value)


def failure_message(error: CarobspurError) -> Any:
    """Return the message that tells a peer of an error."""
    return messages.Failure(
        cause=error.cause,
        verdict=verdict_name(error.verdict),
        message=error.message,
        retry_after_s=error.retry_after_s,
        detail=error.detail,
        proven=error.is_proven,
    )


def error_from_failure(failure: Any) -> CarobspurError:
    """Rebuild the error that a peer told of."""
    return error_from_cause(
        failure.cause,
        failure.message,
        verdict=verdict_from_name(failure.verdict),
        retry_after_s=failure.retry_after_s,
        detail=failure.detail or "",
        is_proven=bool(failure.proven),
    )


async def _read_frame(stream: IOStream) -> Any:
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise RequestError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
    return decode(messages.Frame, await stream.read_bytes(length))


def _write_frame(stream: IOStream, frame: Any) -> None:
    content = encode(frame)
    stream.write(_LENGTH.pack(len(content)) + content)


class PeerServer(TCPServer):
    """Accepts calls from other processes.

    Args:
        ssl_options: Server-side TLS context, or ``None`` for plain TCP.
    """

    def __init__(self, *, ssl_options: ssl.SSLContext | None = None) -> None:
        super().__init__(ssl_options=ssl_options)
        self._methods: dict[str, tuple[Method, Handler]] = {}
        self._streams: set[IOStream] = set()

    def handle(self, method: Method, handler: Handler) -> None:
        """Serve a method.

        Args:
            method: The method.
            handler: Coroutine function of the request and of a function that
                sends one part; it returns the result.
        """
        self._methods[method.name] = (method, handler)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection until it closes."""
        stream.set_nodelay(True)
        self._streams.add(stream)
        running: dict[int, asyncio.Task[None]] = {}
        try:
            while True:
                frame = await _read_frame(stream)
                self._take_frame(stream, frame, running)
        except StreamClosedError:
            pass
        except CarobspurError as error:
            _logger.warning("closing peer connection: %s", error.message)
        finally:
            self._streams.discard(stream)
            stream.close()
            for task in running.values():
                task.cancel()

    def close_connections(self) -> None:
        """Close every open connection."""
        for stream in list(self._streams):
            stream.close()

    def _take_frame(
        self, stream: IOStream, frame: Any, running: dict[int, asyncio.Task[None]]
    ) -> None:
        match frame.kind:
            case messages.FrameKind.REQUEST:
                task = asyncio.ensure_future(self._serve(stream, frame))
                running[frame.id] = task
                task.add_done_callback(lambda _: running.pop(frame.id, None))
            case messages.FrameKind.CANCEL:
                task = running.get(frame.id)
                if task is not None:
                    task.cancel()
            case _:
                raise RequestError(f"a frame of kind {frame.kind} from a client")

    async def _serve(self, stream: IOStream, frame: Any) -> None:
        try:
            result = await self._answer(stream, frame)
            kind, body = messages.FrameKind.RESULT, encode(result)
        except CarobspurError as error:
            kind, body = messages.FrameKind.FAILURE, encode(failure_message(error))
        except Exception:
            _logger.exception("peer method %s failed", frame.method)
            error = CarobspurError("internal error; see the log", verdict=MAY_HAVE_RUN)
            kind, body = messages.FrameKind.FAILURE, encode(failure_message(error))
        if not stream.closed():
            _write_frame(stream, messages.Frame(id=frame.id, kind=kind, body=body))

    async def answer(self, name: str, body: bytes, emit: Emit) -> Any:
        """Run the handler of a method.

        Args:
            name: Name of the method.
            body: The encoded request.
            emit: Sends one part.

        Raises:
            RequestError: The method or the request is not known.
        """
        if name not in self._methods:
            raise RequestError(f"unknown peer method {name!r}")
        method, handler = self._methods[name]
        return await handler(decode(method.request, body), emit)

    async def _answer(self, stream: IOStream, frame: Any) -> Any:
        def _emit(part: Any) -> None:
            if stream.closed():
                return
            _write_frame(
                stream,
                messages.Frame(
                    id=frame.id, kind=messages.FrameKind.PART, body=encode(part)
                ),
            )

        return await self.answer(frame.method or "", frame.body or b"", _emit)


class _PendingCall:
    """A call that was sent and has no result yet."""

    __slots__ = ("future", "method", "on_part")

    def __init__(self, method: Method, on_part: Emit | None) -> None:
        self.method = method
        self.on_part = on_part
        self.future: asyncio.Future[Any] = asyncio.get_event_loop().create_future()

    def take(self, frame: Any) -> bool:
        """Take one frame; return whether the call is finished."""
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
        """End the call with an error."""
        if not self.future.done():
            self.future.set_exception(error)

    def _finish(self, result: Any) -> None:
        if not self.future.done():
            self.future.set_result(result)


class _Connection:
    """One connection to a peer, shared by all calls to it."""

    __slots__ = ("_next_id", "_pending", "_reader", "_stream")

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._next_id = 0
        self._pending: dict[int, _PendingCall] = {}
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent."""
        return not self._stream.closed()

    async def call(
        self, method: Method, request: Any, on_part: Emit | None, timeout_s: float
    ) -> Any:
        """Send a request and wait for its result."""
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
            _write_frame(self._stream, frame)
        except StreamClosedError as error:
            raise PeerUnreachableError("the peer closed the connection") from error
        self._pending[call_id] = pending
        try:
            return await asyncio.wait_for(pending.future, timeout_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            self._cancel(call_id)
            if isinstance(error, asyncio.CancelledError):
                raise
            raise PeerDisconnectedError(
                f"{method.name}: no answer in {timeout_s} s"
            ) from (error)
        finally:
            self._pending.pop(call_id, None)

    def close(self) -> None:
        """Close the connection; calls under way fail."""
        self._stream.close()
        self._reader.cancel()

    def _cancel(self, call_id: int) -> None:
        if self.is_open:
            frame = messages.Frame(id=call_id, kind=messages.FrameKind.CANCEL)
            _write_frame(self._stream, frame)

    async def _read(self) -> None:
        try:
            while True:
                frame = await _read_frame(self._stream)
                pending = self._pending.get(frame.id)
                if pending is not None and pending.take(frame):
                    self._pending.pop(frame.id, None)
        except (StreamClosedError, CarobspurError):
            pass
        finally:
            self._stream.close()
            for pending in list(self._pending.values()):
                pending.fail(PeerDisconnectedError("the peer closed the connection"))


class PeerClient:
    """Calls other processes, keeping one connection to each.

    Args:
        ssl_options: Client-side TLS context, or ``None`` for plain TCP.
    """

    __slots__ = ("_connecting", "_connections", "_ssl_options", "_tcp")

    def __init__(self, *, ssl_options: ssl.SSLContext | None = None) -> None:
        self._tcp = TCPClient()
        self._ssl_options = ssl_options
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._connecting: dict[tuple[str, int], asyncio.Lock] = {}

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
            host: The peer's IP number.
            port: The peer's port.
            method: What to call.
            request: Message of the method's request class.
            on_part: Called with each part of a streamed answer.
            timeout_s: Seconds to wait for the result.

        Returns:
            Message of the method's result class.

        Raises:
            PeerUnreachableError: Nothing was sent.
            PeerDisconnectedError: The request was sent, and no answer came.
            CarobspurError: The peer answered with this error.
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
        lock = self._connecting.setdefault(address, asyncio.Lock())
        async with lock:
            known = self._connections.get(address)
            if known is not None and known.is_open:
                return known
            connection = _Connection(await self._connect(host, port))
            self._connections[address] = connection
            return connection

    async def _connect(self, host: str, port: int) -> IOStream:
        connecting = self._tcp.connect(host, port, ssl_options=self._ssl_options)
        try:
            stream = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise PeerUnreachableError(f"{host}:{port}: {error!r}") from error
        stream.set_nodelay(True)
        return stream


@asynccontextmanager
async def peer_client(
    *, ssl_options: ssl.SSLContext | None = None
) -> AsyncIterator[PeerClient]:
    """Own a client; its connections close at the end."""
    client = PeerClient(ssl_options=ssl_options)
    try:
        yield client
    finally:
        client.close()
