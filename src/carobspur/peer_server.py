"""Server side of the protocol between processes of the system."""

from __future__ import annotations

import asyncio
import logging
import ssl
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from .errors import CarobspurError, RequestError
from .peers import (
    Emit,
    Handler,
    Method,
    decode,
    encode,
    failure_message,
    messages,
    read_frame,
    write_frame,
)
from .verdict import MAY_HAVE_RUN

_logger = logging.getLogger(__name__)


class PeerServer(TCPServer):
    """Serves calls from other processes of the system.

    Args:
        ssl_options: Server-side TLS context, or ``None`` for plain TCP.
    """

    def __init__(self, *, ssl_options: ssl.SSLContext | None = None) -> None:
        super().__init__(ssl_options=ssl_options)
        self._methods: dict[str, tuple[Method, Handler]] = {}
        self._streams: set[IOStream] = set()

    def register(self, method: Method, handler: Handler) -> None:
        """Register the handler of a method.

        Args:
            method: The method.
            handler: Coroutine function that takes the request and a function that
                sends one streamed part; it returns the result.
        """
        self._methods[method.name] = (method, handler)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one connection until it closes, then cancel its calls."""
        stream.set_nodelay(True)
        self._streams.add(stream)
        tasks: dict[int, asyncio.Task[None]] = {}
        try:
            while True:
                frame = await read_frame(stream)
                self._handle_frame(stream, frame, tasks)
        except StreamClosedError:
            pass
        except CarobspurError as error:
            _logger.warning("closing peer connection: %s", error.message)
        finally:
            self._streams.discard(stream)
            stream.close()
            for task in tasks.values():
                task.cancel()

    def close_connections(self) -> None:
        """Close every open connection."""
        for stream in list(self._streams):
            stream.close()

    def _handle_frame(
        self, stream: IOStream, frame: Any, tasks: dict[int, asyncio.Task[None]]
    ) -> None:
        match frame.kind:
            case messages.FrameKind.REQUEST:
                task = asyncio.ensure_future(self._serve(stream, frame))
                tasks[frame.id] = task
                task.add_done_callback(lambda _: tasks.pop(frame.id, None))
            case messages.FrameKind.CANCEL:
                task = tasks.get(frame.id)
                if task is not None:
                    task.cancel()
            case _:
                raise RequestError(
                    f"unexpected frame of kind {frame.kind} from a client"
                )

    async def _serve(self, stream: IOStream, frame: Any) -> None:
        try:
            result = await self._call_method(stream, frame)
            kind, body = messages.FrameKind.RESULT, encode(result)
        except CarobspurError as error:
            kind, body = messages.FrameKind.FAILURE, encode(failure_message(error))
        except Exception:
            _logger.exception("peer method %s failed", frame.method)
            error = CarobspurError("internal error; see the log", verdict=MAY_HAVE_RUN)
            kind, body = messages.FrameKind.FAILURE, encode(failure_message(error))
        if not stream.closed():
            write_frame(stream, messages.Frame(id=frame.id, kind=kind, body=body))

    async def dispatch(self, name: str, body: bytes, emit: Emit) -> Any:
        """Decode a request and run the handler of its method.

        Args:
            name: Name of the method.
            body: The encoded request.
            emit: Sends one streamed part.

        Raises:
            RequestError: The method is unknown, or the request cannot be decoded.
        """
        if name not in self._methods:
            raise RequestError(f"unknown peer method {name!r}")
        method, handler = self._methods[name]
        return await handler(decode(method.request, body), emit)

    async def _call_method(self, stream: IOStream, frame: Any) -> Any:
        def _emit(part: Any) -> None:
            if stream.closed():
                return
            write_frame(
                stream,
                messages.Frame(
                    id=frame.id, kind=messages.FrameKind.PART, body=encode(part)
                ),
            )

        return await self.dispatch(frame.method or "", frame.body or b"", _emit)
