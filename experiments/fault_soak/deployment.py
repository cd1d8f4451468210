"""Deployment of the soak: gateway processes, each with a proxy to the store.

Store and replicas are stand-ins in the soak's own process.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from tests.platform_world import (
    ENGINES,
    TOOLS,
    World,
    configuration,
    gateway_ports,
    settings_text,
)
from tests.ports import HOST

from carobspur.platform.main import SETTINGS_VARIABLE

from .proxy import Proxy

ROOT = Path(__file__).parent.parent.parent
STOP_WAIT_S = 12.0
"""Time to end after SIGTERM; then the process is killed."""


@dataclass(slots=True)
class GatewayProcess:
    """A gateway with its ports, files and proxy, across restarts of its process.

    Attributes:
        name: Name of the gateway.
        ports: Ports by use.
        settings: Settings file.
        store_proxy: Proxy between the gateway and the store.
        log: File that its output is appended to.
        process: Its present process, or the last one.
        starts: Number of starts.
    """

    name: str
    ports: dict[str, int]
    settings: Path
    store_proxy: Proxy
    log: Path
    process: subprocess.Popen | None = None
    starts: int = 0

    @property
    def is_alive(self) -> bool:
        """Whether its process is running; also true while it is paused."""
        return self.process is not None and self.process.poll() is None

    @property
    def lines(self) -> str:
        """Output of all its processes."""
        return self.log.read_text()

    def start(self) -> None:
        """Start its process."""
        self.starts += 1
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "gateway.py")],
                env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal, if it is running."""
        if self.is_alive:
            self.process.send_signal(number)

    async def ended(self) -> None:
        """Wait until its process has ended; kill it after ``STOP_WAIT_S``."""
        deadline = asyncio.get_running_loop().time() + STOP_WAIT_S
        while self.is_alive and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.05)
        if self.is_alive:
            self.process.kill()
        self.process.wait()


class SoakWorld(World):
    """A test world whose gateways are processes.

    Attributes:
        folder: Folder of settings files and logs.
        processes: All gateways.
        versions: Versions for further configurations; the first one has version 1.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.folder = folder
        self.processes: list[GatewayProcess] = []
        self.versions = itertools.count(2)

    async def add_process(self, number: int, *, sections: str = "") -> GatewayProcess:
        """Start one more gateway, with the earlier ones as its seeds.

        Args:
            number: Number of the gateway.
            sections: Further sections of its settings file.
        """
        store_port = self.store.listen(HOST)
        proxy = Proxy(store_port, host=HOST)
        proxy_port = await proxy.listen()
        ports = gateway_ports()
        seeds = [item.ports["peers"] for item in self.processes]
        name = f"g{number}"
        settings = self.folder / f"{name}.ini"
        text = settings_text(proxy_port, ports, name=name, seeds=seeds)
        settings.write_text(text + sections)
        gateway = GatewayProcess(
            name, ports, settings, proxy, self.folder / f"{name}.log"
        )
        gateway.start()
        self.processes.append(gateway)
        self.gateways.append(gateway)
        return gateway

    async def end(self) -> None:
        """Kill all gateway processes and stop proxies, replicas and store."""
        for gateway in self.processes:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        for gateway in self.processes:
            await gateway.ended()
            gateway.store_proxy.close()
        for replica in self.replicas.values():
            replica.close()
        await self.store.close()

    def _check_alive(self, handle: GatewayProcess) -> None:
        if not handle.is_alive:
            raise AssertionError(f"{handle.name} ended: {handle.lines}")


@asynccontextmanager
async def deployment(
    *, gateways: int, engines: int, tools: int
) -> AsyncIterator[SoakWorld]:
    """Run a deployment for the time of the context, with all gateways ready at first.

    Args:
        gateways: Number of gateway processes.
        engines: Number of model engines.
        tools: Number of tool replicas.
    """
    with tempfile.TemporaryDirectory(prefix="fault-soak-") as folder:
        world = SoakWorld(Path(folder))
        world.configure(configuration())
        try:
            for _ in range(engines):
                await world.add_replica(ENGINES, events=4)
            for _ in range(tools):
                await world.add_replica(TOOLS)
            for number in range(gateways):
                await world.add_process(number)
            await world.until_ready()
            yield world
        finally:
            await world.end()
