"""Deployment for the review's scripts: gateway processes, store, replicas, clients.

The gateways are processes, started with the command of the deploy file and a settings
file that is rendered from its template. Store and replicas are the project's own
stand-ins, in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextvars
import itertools
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from carobspur_standins.platform_replica import ReplicaStandin
from carobspur_standins.platform_store import RowStoreStandin

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
ENGINES = "agent-models"
TOOLS = "shop-app"
STRIDE = 17
"""Tokens in each event of the engines, as in the small deployment."""
HEARTBEAT_S = 1.2
READY_S = 20.0
SETTLE_S = 1.0
"""Time from the start of the last gateway's readiness to the first request."""

FIRST_PORT, LAST_PORT = 12_000, 32_000

_ids = itertools.count(1)
_ports = itertools.cycle(
    range(FIRST_PORT + random.randrange(10_000), LAST_PORT),
)
_store_port: contextvars.ContextVar[int] = contextvars.ContextVar("store_port")


def with_trouble() -> bool:
    """Return whether the script should inject its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._start

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class Store(RowStoreStandin):
    """The project's store stand-in, which also notes who wrote under a condition.

    Each gateway reaches the store at a port of its own.

    Attributes:
        conditional_port: Port of the newest transaction with expected versions.
    """

    conditional_port: int = 0

    def is_muted(self, stream: object) -> bool:
        """Note the port of the connection; see the base class."""
        if stream.socket is None:
            # The gateway has closed the connection.
            return True
        _store_port.set(stream.socket.getsockname()[1])
        return super().is_muted(stream)

    def apply(self, request: dict) -> tuple[int, dict]:
        """Execute a transaction; see the base class."""
        status, body = super().apply(request)
        if status == 200 and request.get("expectedRevision"):
            self.conditional_port = _store_port.get()
        return status, body


@dataclass(slots=True)
class Gateway:
    """One gateway process.

    Attributes:
        name: Name of its machine.
        settings: Its settings file.
        ports: Its ports by use.
        store_port: Port at which it reaches the store.
        log: File that gets its output.
        process: The running process, or the last one.
    """

    name: str
    settings: Path
    ports: dict[str, int]
    store_port: int
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAROBSPUR_BOOT": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


@dataclass(slots=True)
class Answer:
    """What a client received for one request.

    Attributes:
        id: Id of the request.
        status: HTTP status; 0 without an answer.
        headers: Header fields by name in lower case.
        body: Bytes of the body, as far as received.
        is_whole: Whether the answer was received to its end.
    """

    id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def is_success(self) -> bool:
        """Whether it is a complete success."""
        return self.status == 200 and self.is_whole

    @property
    def events(self) -> int:
        """Complete events of a stream that were received."""
        return self.body.count(b"\n\n")

    @property
    def output(self) -> bytes:
        """Data of each event, followed by a line feed."""
        lines = self.body.split(b"\n")
        return b"".join(
            line.removeprefix(b"data:").removeprefix(b" ") + b"\n"
            for line in lines
            if line.startswith(b"data:")
        )


class Deployment:
    """Gateways, store and replicas of a small deployment.

    Args:
        folder: Folder of settings and logs.
        record: Record of the script.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.replicas: dict[str, ReplicaStandin] = {}
        self.record = record
        self._folder = folder
        self._ports: dict[str, int] = {}
        self._sequences = itertools.count(1)
        self._born_ms = int(time.time() * 1000)
        self._operator_store_port = 0

    def configure(self, *routes: dict, version: int = 1) -> None:
        """Write a configuration, as the operator does."""
        engine = {"slots": 8, "kvCacheTokens": 103850, "stride": STRIDE}
        content = {
            "version": version,
            "routes": list(routes),
            "services": [
                {"name": ENGINES, "healthPath": "/healthz", "engine": engine},
                {"name": TOOLS, "healthPath": "/healthz"},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "config", _encode(content))

    async def add_replica(
        self, service: str, *, kind: type = ReplicaStandin, **more: object
    ) -> ReplicaStandin:
        """Start a replica and register it."""
        name = f"i-{next(_ids):04x}"
        replica = kind(name, service, **more)
        self._ports[name] = await replica.listen(HOST)
        self.replicas[name] = replica
        self.register(replica)
        return replica

    def register(self, replica: ReplicaStandin, *, state: str = "ready") -> None:
        """Write a replica's entry, as the replica does."""
        entry = {
            "service": replica.service,
            "address": f"{HOST}:{self._ports[replica.id]}",
            "zone": "centro-a",
            "version": "v1",
            "slots": replica.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": next(self._sequences),
            "born": self._born_ms,
        }
        self.store.put("servers", replica.id, _encode(entry))

    async def heartbeats(self) -> None:
        """Write the entries of all replicas periodically."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas.values():
                self.register(replica)

    def add_gateway(self) -> Gateway:
        """Start one more gateway."""
        number = len(self.gateways)
        names = ("front", "ready", "control", "directory")
        ports = {name: free_port() for name in names}
        heartbeat_port = free_port(socket.SOCK_DGRAM)
        seeds = [f"{HOST}:{item.ports['control']}" for item in self.gateways[:3]]
        store_port = self.store.listen(HOST)
        fields = {
            "nodeName": f"edge-centro-a-{number}",
            "zone": "centro-a",
            "region": "ar-centro",
            "ip": HOST,
            "listenAddrs": {key: f"{HOST}:{port}" for key, port in ports.items()},
            "internalPortRange": [heartbeat_port, free_port()],
            "platform": {"address": f"{HOST}:{store_port}", "rowBytes": 65536},
            "seedNodes": seeds,
            "bounds": {"graceS": 8, "ttl_max_s": 5},
        }
        name = fields["nodeName"]
        settings = self._folder / f"{name}.ini"
        settings.write_text(_render((ROOT / "deploy/gateway.ini").read_text(), fields))
        log = self._folder / f"{name}.log"
        gateway = Gateway(name, settings, ports, store_port, log)
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def writer(self) -> Gateway:
        """Return the gateway that last wrote to the store under a condition."""
        port = self.store.conditional_port
        return next(item for item in self.gateways if item.store_port == port)

    async def until_ready(self) -> None:
        """Wait until each gateway names all of them to clients."""
        deadline = time.monotonic() + READY_S
        for gateway in self.gateways:
            while await self._known(gateway) < len(self.gateways):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_S)

    async def _known(self, gateway: Gateway) -> int:
        target = "/carobspur/resolve?name=shop.example&region=ar-centro&zone=centro-a"
        answer = await exchange(gateway.ports["directory"], "GET", target, {}, b"")
        if answer.status != 200:
            return 0
        return len(json.loads(answer.body)["addresses"])

    async def send(
        self,
        gateway: Gateway,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        note: str = "",
    ) -> Answer:
        """Send one client attempt on a new connection, and record it."""
        request_id = f"{next(_ids):016x}"
        fields = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        self.record.line(
            f"sent {request_id} to {gateway.name} {method} {path} "
            f"{len(body)} bytes {headers or {}} {note}"
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                answer = await exchange(
                    gateway.ports["front"],
                    method,
                    path,
                    fields,
                    body,
                    request_id=request_id,
                )
        except TimeoutError:
            answer = Answer(request_id)
        self.record.line(
            f"answered {request_id} status {answer.status} "
            f"{'whole' if answer.is_whole else 'incomplete'} "
            f"{len(answer.body)} bytes {answer.events} events "
            f"retry-after {answer.headers.get('retry-after', '-')} "
            + ("" if answer.is_success else repr(answer.body[:120]))
        )
        return answer

    def record_runs(self) -> None:
        """Record what each replica ran."""
        for replica in self.replicas.values():
            for seen in replica.seen:
                self.record.line(
                    f"replica {replica.id} {'ran' if seen.has_run else 'refused'} "
                    f"{seen.headers.get('request-id', '-')} {seen.method} "
                    f"{seen.target} {len(seen.body)} bytes"
                    + (" abandoned" if seen.was_abandoned else "")
                )

    async def end(self) -> None:
        """Kill all gateways and stop the stand-ins."""
        for gateway in self.gateways:
            gateway.kill()
        for replica in self.replicas.values():
            replica.close()
        await self.store.close()


@asynccontextmanager
async def deployment(
    record: Record, *, gateways: int, prepare: Callable[[Deployment], Awaitable[None]]
) -> AsyncIterator[Deployment]:
    """Run a deployment until the context ends.

    Args:
        record: Record of the script.
        gateways: Number of gateways.
        prepare: Writes the configuration and starts the replicas.
    """
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        world = Deployment(Path(folder), record)
        beats = None
        try:
            await prepare(world)
            beats = asyncio.ensure_future(world.heartbeats())
            for _ in range(gateways):
                world.add_gateway()
            await world.until_ready()
            record.line("all gateways are ready")
            yield world
        finally:
            if beats is not None:
                beats.cancel()
            world.record_runs()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for gateway in world.gateways:
                    Path(keep, gateway.log.name).write_bytes(gateway.log.read_bytes())
            await world.end()


def run(case: Callable[[Record], Awaitable[str]], folder: Path, *, limit_s: float):
    """Run a case and exit with 1 if it broke the rule, 0 if not, 2 if it failed.

    Args:
        case: Returns what was broken; empty if the rule held.
        folder: Folder of the case; gets ``record.txt``.
        limit_s: Longest time that the case may take.
    """
    record = Record(folder / "record.txt")
    record.line(f"TROUBLE={int(with_trouble())}")

    async def limited() -> str:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except Exception as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.line(f"BROKEN: {broken}" if broken else "the rule held")
    print(f"BROKEN: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "maxAttempts": 1,
        "priority": 1,
        **more,
    }


async def exchange(
    port: int,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes,
    *,
    request_id: str = "",
) -> Answer:
    """Send one request on a new connection; return what was received."""
    answer = Answer(request_id)
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return answer
    fields = {"Host": "x"} | fields
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await _read_answer(reader, answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head[:-4].split("\r\n")
    answer.status = int(line.split()[1])
    for item in fields:
        name, _, value = item.partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now, below those of outgoing connections."""
    while True:
        port = next(_ports)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port


def _render(template: str, fields: dict) -> str:
    """Fill in the plain placeholders of a settings template."""

    def value(match: re.Match) -> str:
        found: object = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def _encode(content: dict) -> str:
    return b64encode(json.dumps(content).encode()).decode()
