"""Connections of callers: accepts, counts and closes them within the bounds.

The bounds are those of :mod:`carobspur.gateway.memory`; this module applies them to
sockets.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import sys
import termios
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from ..gateway.memory.account import (
    ConnectionUse,
    MemoryAccount,
    Phase,
    first_to_disconnect,
    overdue,
)
from ..gateway.memory.settings import MemorySettings
from ..gateway.refusals import (
    CallerDisconnectedError,
    CallerTooSlowError,
    OutOfMemoryError,
)

READ_BYTES = 16384
"""Most bytes of a connection that are read before they are handled. What a connection
has sent ahead of its present request takes no more than twice this."""
ACCEPTS_PER_TURN = 64
"""Connections that are accepted before the event loop may run requests."""
ACCEPT_PAUSE_S = 0.1
"""Pause in accepting after the process could not open another descriptor."""
SWEEP_S = 0.5
"""Interval between checks for connections that exceed a time limit."""
UNREAD_POLL_S = 0.02
"""Interval of checks whether a slow caller has read its answer."""
LINGER_S = 1.0
"""Time for which a refusal may still be read before its connection is closed."""
MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of a request refused for lack of memory; the default time after which a
body counts as stalled and is dropped first."""

_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class CallerConnection:
    """One connection of a caller with the memory that it takes up.

    Args:
        connections: All connections.
        stream: Its stream, until it is closed; ``None`` in tests without a socket.

    Attributes:
        use: What it takes up.
        refuse: Refuses its incomplete request instead of just closing the connection;
            ``None`` while it has none.
        on_closed: Called once when the connection has been closed.
    """

    __slots__ = ("_connections", "_stream", "on_closed", "refuse", "use")

    def __init__(
        self, connections: CallerConnections, stream: CallerStream | None
    ) -> None:
        self._connections = connections
        self._stream = stream
        self.use = ConnectionUse()
        self.refuse: Callable[[], None] | None = None
        self.on_closed: Callable[[], None] | None = None

    @property
    def settings(self) -> MemorySettings:
        """The bounds."""
        return self._connections.account.settings

    def begin_request(self) -> None:
        """Wait for the first byte of a request."""
        self.refuse = None
        self._connections.account.release(self.use)
        self.use.enter(Phase.IDLE, _now())

    def begin_body(self) -> None:
        """Begin to read the body of the request."""
        self._connections.account.release(self.use)
        self.use.enter(Phase.BODY, _now())

    def record_received(self, count: int) -> None:
        """Record bytes that were read from the socket."""
        now = _now()
        if self.use.phase is Phase.IDLE:
            self.use.enter(Phase.HEAD, now)
        if self.use.phase is Phase.HEAD:
            self._set_request(self.use.request_bytes + count, now)
        if self.use.is_incomplete:
            self.use.record_bytes(count, now)

    def record_body(self, size: int) -> None:
        """Record the bytes of the body so far."""
        self._set_request(size, _now())

    def retain(self, body_bytes: int) -> bool:
        """Count a request that was read completely; return whether there is room."""
        account = self._connections.account
        fits, dropped = account.retain(self.use, body_bytes, _now())
        self._connections.drop_all(dropped, "buffer_bytes")
        if not fits:
            self._connections.record_limit("buffer_bytes", self.use, "refused")
        return fits

    def end_request(self) -> None:
        """Stop counting the request, which has been handled."""
        self._connections.account.release(self.use)
        self.use.enter(Phase.ANSWER, _now())

    def record_unread(self, size: int, *, sent: int) -> None:
        """Record the bytes of the answer that wait for the caller.

        Args:
            size: Their number.
            sent: Bytes that the caller has just taken.
        """
        now = _now()
        if sent and not self.use.is_incomplete:
            self.use.record_bytes(sent, now)
        dropped = self._connections.account.set_unread(self.use, size, now)
        self._connections.drop_all(dropped, "buffer_bytes")

    async def wait_until_read(self) -> None:
        """Wait until the caller has read its answer up to the bound on unread bytes.

        Raises:
            CallerDisconnectedError: The connection was closed, or the caller reads too
                slowly.
        """
        loop = asyncio.get_running_loop()
        fewest_bytes = None
        end = loop.time() + self.settings.unread_s
        while self.use.unread_bytes > self.settings.unread_bytes:
            if self._stream is None or self._stream.closed():
                raise CallerDisconnectedError("caller closed the connection")
            unsent_bytes = self._stream.unsent_bytes
            if fewest_bytes is None or unsent_bytes < fewest_bytes:
                fewest_bytes = unsent_bytes
                end = loop.time() + self.settings.unread_s
            if loop.time() >= end:
                self.drop("unread_bytes")
                raise CallerTooSlowError(
                    f"over {self.settings.unread_bytes} bytes of the answer were "
                    f"unread for {self.settings.unread_s:g} s"
                )
            await asyncio.sleep(UNREAD_POLL_S)

    def record_limit(self, bound: str) -> None:
        """Record that the request is refused because of a bound."""
        self._connections.record_limit(bound, self.use, "refused")

    def drop(self, bound: str) -> None:
        """Close the connection because of a bound.

        Closes it in the next turn of the event loop, as this may be called while the
        stream is being read or written.
        """
        self._connections.account.remove(self.use)
        self._connections.record_limit(bound, self.use, "closed")
        asyncio.get_running_loop().call_soon(self._close)

    def close(self, bound: str) -> None:
        """Close the connection at once because of a bound."""
        self._connections.account.remove(self.use)
        self._connections.record_limit(bound, self.use, "closed")
        if self._stream is not None:
            self._stream.close()

    def record_closed(self) -> None:
        """Stop counting the connection, which has been closed."""
        self._connections.remove(self)
        if self.on_closed is not None:
            self.on_closed()
        # Without these the objects of the connection would refer to each other and
        # remain in memory until the next garbage collection.
        self.refuse = self.on_closed = None
        self._stream = None

    def _set_request(self, size: int, now: float) -> None:
        dropped = self._connections.account.set_request(self.use, size, now)
        self._connections.drop_all(dropped, "buffer_bytes")

    def _close(self) -> None:
        stream = self._stream
        if stream is None:
            return
        if self.refuse is None:
            stream.close()
            return
        # Closes the stream once the refusal has been sent.
        self.refuse()
        asyncio.get_running_loop().call_later(LINGER_S, stream.close)


class CallerStream(IOStream):
    """Stream of a caller's connection that counts the bytes that are buffered.

    Args:
        sock: The accepted socket.
        connections: All connections.

    Attributes:
        caller: The connection.
    """

    def __init__(self, sock: socket.socket, connections: CallerConnections) -> None:
        super().__init__(sock, read_chunk_size=READ_BYTES)
        self.caller = CallerConnection(connections, self)
        self._unread_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the process and in the kernel that the caller has not received.

        The kernel takes no more bytes before a third of its buffer is free, which may
        be over 1 MB, so the bytes in the process alone do not show a slow caller's
        progress.
        """
        count = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(4))
        return self._unread_bytes + int.from_bytes(count, sys.byteorder)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; see the base class."""
        count = super().read_from_fd(buf)
        if count:
            self.caller.record_received(count)
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Buffer data and send what the socket takes; see the base class."""
        self._check_closed()
        self._unread_bytes += len(data)
        future = super().write(data)
        # Usually the socket takes everything at once.
        if self._unread_bytes or self.caller.use.unread_bytes:
            self.caller.record_unread(self._unread_bytes, sent=0)
        return future

    def write_to_fd(self, data: memoryview) -> int:
        """Send to the socket; see the base class."""
        count = super().write_to_fd(data)
        self._unread_bytes -= count
        if self.caller.use.unread_bytes:
            self.caller.record_unread(self._unread_bytes, sent=count)
        return count

    def close_fd(self) -> None:
        """Close the socket; see the base class."""
        super().close_fd()
        self.caller.record_closed()


class CallerConnections:
    """All connections of callers.

    Args:
        account: Counts what they take up.
        serve: Serves the requests of a connection.
        head_s: Returns the longest time for a head in seconds.
        on_limit: Called when a bound is reached with its name, the connection that is
            closed or whose request is refused, and which of the two it is.
    """

    __slots__ = ("_by_use", "_head_s", "_on_limit", "_serve", "account")

    def __init__(
        self,
        account: MemoryAccount,
        serve: Callable[[CallerStream, tuple], None],
        *,
        head_s: Callable[[], float],
        on_limit: Callable[[str, ConnectionUse, str], None],
    ) -> None:
        self.account = account
        self._serve = serve
        self._head_s = head_s
        self._on_limit = on_limit
        self._by_use: dict[ConnectionUse, CallerConnection] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._by_use)

    @contextmanager
    def listening(self, host: str, port: int, *, backlog: int) -> Iterator[None]:
        """Accept connections until the context ends."""
        loop = asyncio.get_running_loop()
        listeners = bind_sockets(port, host, backlog=backlog)
        for listener in listeners:
            loop.add_reader(listener, self._accept, listener)
        try:
            yield
        finally:
            for listener in listeners:
                loop.remove_reader(listener)
                listener.close()

    @contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count the bytes of a stored history, of which copies are sent, as a request.

        Raises:
            OutOfMemoryError: There is no room for them.
        """
        use = ConnectionUse()
        self.account.add(use)
        try:
            fits, dropped = self.account.retain(use, size, _now())
            self.drop_all(dropped, "buffer_bytes")
            if not fits:
                self.record_limit("buffer_bytes", use, "refused")
                raise OutOfMemoryError(
                    "the history exceeds the bound on buffered bytes",
                    retry_after_s=MEMORY_RETRY_AFTER_S,
                )
            yield
        finally:
            self.account.remove(use)

    async def sweep_forever(self) -> None:
        """Close connections that exceed a time limit, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep(_now())

    def sweep(self, now: float) -> None:
        """Close connections that exceed a time limit."""
        settings = self.account.settings
        for use, connection in list(self._by_use.items()):
            bound = overdue(use, now, head_s=self._head_s(), settings=settings)
            if bound and not use.is_dropped:
                connection.drop(bound)

    def drop_all(self, uses: list[ConnectionUse], bound: str) -> None:
        """Close connections because of a bound."""
        for use in uses:
            self._by_use[use].drop(bound)

    def record_limit(self, bound: str, use: ConnectionUse, outcome: str) -> None:
        """Record that a bound was reached."""
        self._on_limit(bound, use, outcome)

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that was closed."""
        self.account.remove(connection.use)
        self._by_use.pop(connection.use, None)

    def _accept(self, listener: socket.socket) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in _NO_DESCRIPTORS:
                    raise
                self._pause_accepting(listener)
                return
            is_full = len(self) >= self.account.settings.connections
            if is_full and not self._make_room("connections"):
                sock.close()
                self._on_limit("connections", ConnectionUse(), "closed")
                continue
            self._add(sock, address)

    def _add(self, sock: socket.socket, address: tuple) -> None:
        stream = CallerStream(sock, self)
        stream.caller.use.enter(Phase.IDLE, _now())
        self._by_use[stream.caller.use] = stream.caller
        self.account.add(stream.caller.use)
        self._serve(stream, address)

    def _make_room(self, bound: str) -> bool:
        """Close the connection that is needed least; return whether there is one."""
        stall_s = self.account.settings.stall_s
        use = first_to_disconnect(self.account.uses, _now(), stall_s=stall_s)
        if use is None:
            return False
        # At once, so that its descriptor is free for the next connection.
        self._by_use[use].close(bound)
        return True

    def _pause_accepting(self, listener: socket.socket) -> None:
        """Stop accepting for a moment and free a descriptor.

        The listening socket stays readable, so the event loop would call again without
        a pause.
        """
        self._make_room("descriptors")
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting, listener)

    def _resume_accepting(self, listener: socket.socket) -> None:
        if listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(listener, self._accept, listener)


def _now() -> float:
    """Return the time of the event loop, which need not be running."""
    return time.monotonic()
