"""A small deployment for the scripts of cases 6 to 10: gateways as processes.

Store and replicas are the project's stand-ins, in the script's own process. Gateways
are started with the command of the deploy file and settings of its template.
"""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path

from tests.platform_world import (
    ENGINES,
    TOOLS,
    CallerAnswer,
    World,
    call,
    configuration,
    gateway_ports,
)
from tests.ports import HOST

ROOT = Path(__file__).parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MACHINE_MB = 205
"""Memory of the smallest machines of the deployment recupero-agentes."""
MAX_FDS = 8200
"""Their descriptors."""
GRACE_S = 8
MAX_SEEDS = 3
STOP_WAIT_S = 10.0


def with_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Record of what was sent, answered and run, in ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")

    def add(self, text: str) -> None:
        """Add a line, and print it."""
        print(text, flush=True)
        with self._path.open("a", encoding="utf-8") as file:
            file.write(text + "\n")


class GatewayProcess:
    """A gateway started with the command of the deploy file.

    Args:
        world: The deployment.
        folder: Folder for its settings and its log.
        name: Name of the gateway.
        store_port: Port at which it reaches the store.
        machine_mb: Memory of its machine.
        max_fds: Descriptors of its machine.
    """

    def __init__(
        self,
        world: ProcessWorld,
        folder: Path,
        name: str,
        *,
        store_port: int | None = None,
        machine_mb: int = MACHINE_MB,
        max_fds: int = MAX_FDS,
    ) -> None:
        self.name = name
        self.ports = gateway_ports()
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        port = store_port or world.store.listen(HOST)
        self.store_port = port
        self._machine_mb = machine_mb
        self._max_fds = max_fds

    def write_settings(self, seeds: list[int]) -> None:
        """Write the settings file.

        Args:
            seeds: Ports for peers of the gateways to begin with.
        """
        listen = "\n".join(f"{key} = {HOST}:{item}" for key, item in self.ports.items())
        seed_text = ",".join(f"{HOST}:{item}" for item in seeds)
        self.settings.write_text(
            f"[instance]\nname = {self.name}\ndata_centre = east\nregion = r\n"
            f"host = {HOST}\n\n[listen]\n{listen}\n\n"
            f"[store]\naddress = {HOST}:{self.store_port}\nrow_bytes = 65536\n"
            f"seeds = {seed_text}\n\n"
            f"[times]\nstop_s = {GRACE_S}\naddress_ttl_s = 5\n\n"
            "[placement]\npolicy = expected_cost\n\n[admission]\npolicy =\n\n"
            "[rate_limits]\nwindow_s =\noverage =\nslack =\n\n"
            f"[memory]\nmachine_mb = {self._machine_mb}\nmax_fds = {self._max_fds}\n"
        )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self.process.pid

    @property
    def is_alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process with the command and the environment of the platform."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **kept,
                    "CAROBSPUR_BOOT": str(self.settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is running."""
        if self.is_alive:
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def ended(self, wait_s: float = STOP_WAIT_S) -> bool:
        """Wait for the end of the process; kill it after ``wait_s``.

        Returns:
            Whether it ended by itself.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while self.is_alive and loop.time() < deadline:
            await asyncio.sleep(0.05)
        has_ended = not self.is_alive
        if not has_ended:
            self.process.kill()
        self.process.wait()
        return has_ended


class ProcessWorld(World):
    """A test world whose gateways are processes."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.folder = folder

    def add_gateway(self, **more: object) -> GatewayProcess:
        """Start one more gateway, with the earlier ones as its seeds."""
        name = f"edge-{len(self.gateways) + 1}"
        gateway = GatewayProcess(self, self.folder, name, **more)
        self.gateways.append(gateway)
        # All gateways have the same seeds: the first three, as on the platform.
        seeds = [item.ports["peers"] for item in self.gateways[:MAX_SEEDS]]
        for item in self.gateways:
            item.write_settings(seeds)
        gateway.start()
        return gateway

    def _check_alive(self, handle: GatewayProcess) -> None:
        if not handle.is_alive:
            raise AssertionError(f"{handle.name} ended: {handle.log.read_text()}")


@asynccontextmanager
async def deployment(
    *,
    gateways: int = 1,
    engines: int = 1,
    tools: int = 1,
    events: int = 4,
    content: dict | None = None,
    **more: object,
) -> AsyncIterator[ProcessWorld]:
    """Run a deployment until the context ends; its gateways are ready at first."""
    with tempfile.TemporaryDirectory(prefix="carobspur-review-") as folder:
        world = ProcessWorld(Path(folder))
        world.configure(content or configuration())
        try:
            for _ in range(engines):
                await world.add_replica(ENGINES, events=events)
            for _ in range(tools):
                await world.add_replica(TOOLS)
            for _ in range(gateways):
                world.add_gateway(**more)
            await world.until_ready()
            yield world
        finally:
            for gateway in world.gateways:
                gateway.send_signal(signal.SIGCONT)
                gateway.send_signal(signal.SIGKILL)
            for gateway in world.gateways:
                gateway.process.wait()
            for replica in world.replicas.values():
                replica.close()
            await world.store.close()


async def patient_call(
    port: int,
    path: str,
    *,
    wait_s: float,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    method: str = "",
) -> CallerAnswer:
    """Send one request; an answer with status 0 if none came in ``wait_s``."""
    try:
        async with asyncio.timeout(wait_s):
            return await call(port, path, body=body, headers=headers, method=method)
    except TimeoutError:
        return CallerAnswer(0, {}, b"", False)


def run_case(case: Coroutine[None, None, int]) -> None:
    """Run a case and exit with its result; with 2 if it could not run."""
    try:
        result = asyncio.run(case)
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    sys.exit(result)
