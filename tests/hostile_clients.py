"""Clients that exceed the limits or stop halfway, and the resources of a process."""

from __future__ import annotations

import asyncio
import socket
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, fields
from enum import StrEnum
from pathlib import Path

from experiments.fault_soak.deployment import GatewayProcess, SoakWorld

from carobspur.gateway.settings import GatewaySettings
from carobspur_standins.platform_replica import ScriptedAnswer

from .platform_world import TOOLS, configuration
from .ports import HOST

MACHINE_MB = 80
"""Memory of the machine that the test's settings state."""
MAX_FDS = 400
"""Descriptors of the machine that the test's settings state."""
RESERVED_FDS = 200
"""Descriptors that the platform reserves for files."""
BODY_LIMIT = 2 * 1024 * 1024
MISSING_BYTES = 65536
"""Bytes that an incomplete body lacks."""
FAR_OVER_BYTES = 16 * 1024 * 1024
"""Bytes of a body far over the limit."""
LARGE_CHUNK, SMALL_CHUNK = 65536, 256
PIPELINED = 2000
HALF_HEAD_BYTES = 8192
SEND_S = 20.0
"""Longest wait until the clients have sent all that they send; a client whose
connection is not read stays connected."""
SETTLE_S = 3.0
"""Time after which the process has read what the kernel had buffered."""
PAUSE_S = 1.0
"""Pause of a body far over the limit just below the limit, so that the bodies of all
clients are held at the same time."""
PAUSE = b""
SAMPLE_S = 0.1


class Hostile(StrEnum):
    """What a client does; values describe it in test output."""

    LARGE_CHUNKS = "a body in large chunks that stops short"
    SMALL_CHUNKS = "a body in small chunks that stops short"
    LENGTH = "a body with a length that stops short"
    ANNOUNCED = "a body far over the limit with its length"
    UNANNOUNCED = "a body far over the limit in chunks"
    HALF_HEAD = "half a head"
    PIPELINED = "many requests at once without reading answers"
    UNREAD = "long answers that are not read"
    UNREAD_IN_TURN = "longer answers that are not read, requested one after another"


CLIENTS = {
    Hostile.LARGE_CHUNKS: 40,
    Hostile.SMALL_CHUNKS: 40,
    Hostile.LENGTH: 40,
    Hostile.ANNOUNCED: 40,
    Hostile.UNANNOUNCED: 40,
    Hostile.HALF_HEAD: 240,
    Hostile.PIPELINED: 60,
    Hostile.UNREAD: 60,
    Hostile.UNREAD_IN_TURN: 30,
}
ANSWER_BYTES = {
    Hostile.UNREAD: 2 * 1024 * 1024,
    # The kernel takes over 2 MiB of each answer.
    Hostile.UNREAD_IN_TURN: 6 * 1024 * 1024,
}
TURN_S = 0.2
"""Pause between requests of clients that come one after another."""


@dataclass(slots=True)
class Peak:
    """Largest use of resources by a process.

    Attributes:
        memory_mb: Peak resident size in MB.
        descriptors: Most open descriptors seen.
    """

    memory_mb: float = 0.0
    descriptors: int = 0

    def sample(self, pid: int) -> None:
        """Take in the present use of a process that is running."""
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb = int(line.split()[1]) * 1024 / 1e6
        count = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        self.descriptors = max(self.descriptors, count)


@asynccontextmanager
async def small_deployment() -> AsyncIterator[SoakWorld]:
    """Run one gateway process on a small machine, with one replica."""
    with tempfile.TemporaryDirectory(prefix="hostile-clients-") as folder:
        world = SoakWorld(Path(folder))
        limits = configuration()["limits"] | {"maxBodyBytes": BODY_LIMIT}
        world.configure(configuration(limits=limits))
        try:
            await world.add_replica(TOOLS)
            await world.add_process(0, sections=_memory_section())
            await world.until_ready()
            yield world
        finally:
            await world.end()


def _memory_section() -> str:
    """Return the settings of the machine; empty for code without this section.

    So the tests also run on the code before the section existed.
    """
    if "memory" not in {item.name for item in fields(GatewaySettings)}:
        return ""
    return f"[memory]\nmachine_mb = {MACHINE_MB}\nmax_fds = {MAX_FDS}\n"


@asynccontextmanager
async def hostile_clients(
    kind: Hostile, world: SoakWorld, gateway: GatewayProcess
) -> AsyncIterator[Peak]:
    """Keep hostile clients connected; the context begins when they have sent all."""
    if kind in ANSWER_BYTES:
        (replica,) = world.replicas.values()
        replica.scripts.extend([_long_answer(ANSWER_BYTES[kind])] * CLIENTS[kind])
    peak = Peak()
    with _sockets(CLIENTS[kind]) as clients:
        measuring = asyncio.ensure_future(_measure(peak, gateway))
        port = gateway.ports["callers"]
        sending = [
            asyncio.ensure_future(_send(client, port, kind, number))
            for number, client in enumerate(clients)
        ]
        try:
            await asyncio.wait(sending, timeout=SEND_S)
            await asyncio.sleep(SETTLE_S)
            yield peak
        finally:
            for task in [*sending, measuring]:
                task.cancel()
            await asyncio.wait([*sending, measuring])


@contextmanager
def _sockets(count: int) -> Iterator[list[socket.socket]]:
    made = []
    try:
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            # So that answers which are not read stay with the gateway.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            made.append(client)
        yield made
    finally:
        for client in made:
            client.close()


async def _measure(peak: Peak, gateway: GatewayProcess) -> None:
    while gateway.is_alive:
        with suppress(OSError):
            peak.sample(gateway.process.pid)
        await asyncio.sleep(SAMPLE_S)


async def _send(client: socket.socket, port: int, kind: Hostile, number: int) -> None:
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        if kind is Hostile.UNREAD_IN_TURN:
            await asyncio.sleep(number * TURN_S)
        await loop.sock_connect(client, (HOST, port))
        for data in _parts(kind, number):
            if data == PAUSE:
                await asyncio.sleep(PAUSE_S)
            await loop.sock_sendall(client, data)


def _parts(kind: Hostile, number: int) -> Iterator[bytes]:
    """Yield what a client sends, with ``PAUSE`` for a pause."""
    below_limit = (BODY_LIMIT - MISSING_BYTES) // LARGE_CHUNK
    chunked, piece = "Transfer-Encoding: chunked", b"x" * LARGE_CHUNK
    chunk = b"%x\r\n%s\r\n" % (LARGE_CHUNK, piece)
    match kind:
        case Hostile.LARGE_CHUNKS:
            yield _head(number, chunked)
            for _ in range(below_limit):
                yield chunk
        case Hostile.SMALL_CHUNKS:
            yield _head(number, chunked)
            small = b"%x\r\n%s\r\n" % (SMALL_CHUNK, b"x" * SMALL_CHUNK)
            for _ in range((BODY_LIMIT - MISSING_BYTES) // SMALL_CHUNK // 16):
                yield small * 16
        case Hostile.LENGTH:
            yield _head(number, f"Content-Length: {BODY_LIMIT}")
            for _ in range(below_limit):
                yield piece
        case Hostile.ANNOUNCED:
            yield _head(number, f"Content-Length: {FAR_OVER_BYTES}")
            for count in range((FAR_OVER_BYTES - MISSING_BYTES) // LARGE_CHUNK):
                yield PAUSE if count == below_limit else piece
        case Hostile.UNANNOUNCED:
            yield _head(number, chunked)
            for count in range(FAR_OVER_BYTES // LARGE_CHUNK):
                yield PAUSE if count == below_limit else chunk
        case Hostile.HALF_HEAD:
            yield _head(number, "X-Filler: " + "x" * HALF_HEAD_BYTES)[:-4]
        case Hostile.PIPELINED:
            for request in range(PIPELINED):
                yield _head(f"{number}-{request}", "Content-Length: 0")
        case Hostile.UNREAD | Hostile.UNREAD_IN_TURN:
            yield _head(number, "Content-Length: 0")


def _head(number: object, field: str) -> bytes:
    return (
        "POST /pay/a HTTP/1.1\r\nHost: host.example\r\n"
        f"Request-Id: hostile-{number}\r\n{field}\r\n\r\n"
    ).encode()


def _long_answer(size: int) -> ScriptedAnswer:
    head = (
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.1\r\n"
        f"Content-Length: {size}\r\n\r\n"
    )
    return ScriptedAnswer(head.encode() + b"x" * size)
