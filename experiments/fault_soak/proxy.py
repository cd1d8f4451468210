"""TCP proxy on loopback that delays, blocks or resets connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum

CHUNK_BYTES = 65536


class LinkFault(StrEnum):
    """What the proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    """Nothing is forwarded in either direction; connections stay open."""
    SILENCE_ANSWERS = "silence_answers"
    """Nothing that the server sends is forwarded; connections stay open."""
    RESET = "reset"
    """Open and new connections are reset (TCP RST)."""


class Proxy:
    """Forwards the connections of a port of its own to another port.

    Args:
        target: Port that connections are forwarded to.
        host: Address of both ports.
        delay_s: Seconds by which each chunk is delayed under :attr:`LinkFault.DELAY`.
    """

    def __init__(self, target: int, *, host: str, delay_s: float = 0.3) -> None:
        self._target = target
        self._host = host
        self._delay_s = delay_s
        self._fault = LinkFault.NONE
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Accept connections on a free port; return the port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._server.close()
        self._reset_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault of all connections, open and new, from now on."""
        self._fault = fault
        if fault in (LinkFault.SILENCE, LinkFault.SILENCE_ANSWERS):
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if fault is LinkFault.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in self._writers:
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._target
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, is_answer=False),
                self._forward(far_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._fault is LinkFault.DELAY:
                    await asyncio.sleep(self._delay_s)
                if is_answer or self._fault is LinkFault.SILENCE:
                    await self._unblocked.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            # One end was closed; the other is closed below.
            pass
        finally:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
