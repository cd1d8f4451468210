"""Starts a small deployment of real processes on loopback.

The demo, experiments and tests of processes use it. Logs and settings files lie in one
directory; nothing keeps running after :meth:`Deployment.stop`.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any
from urllib.error import URLError
from urllib.request import urlopen

import msgspec

from carobspur.inventory import Inventory
from carobspur.inventory_checks import parse_inventory
from carobspur_standins.ports import claim_port

HOST = "127.0.0.1"
LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000
"""Both bounds lie below the ephemeral range, from which the kernel takes the ports of
outgoing connections."""
START_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05
EXAMPLES = Path(__file__).parent
ROLES = ("control", "scheduler", "entry")
PLATFORM_KEY = "platform-example-key"

_SETTINGS = """\
[instance]
id = {id}
data_centre = {data_centre}
host = {host}
[platform]
table_url = {table}
objects_url = {objects}
live_list_url = {live_list}
[entry]
port = {entry}
[scheduler]
port = {scheduler}
metrics_port = {metrics}
lease_s = {lease_s}
{scheduler_options}
[control]
port = {control}
peer_port = {control_peer}
poll_s = 0.1
platform_key_sha256 = {platform_key_sha256}
[logs]
level = {log_level}
"""


class ProcessDiedError(Exception):
    """A process of the deployment ended without having been stopped."""


def free_port(used_ports: set[int]) -> int:
    """Claim a random port on which nothing listens, and add it to ``used_ports``."""
    source = random.SystemRandom()
    while True:
        port = source.randint(LOWEST_PORT, HIGHEST_PORT)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            is_unused = port not in used_ports and probe.connect_ex((HOST, port)) != 0
        if is_unused and claim_port(port):
            used_ports.add(port)
            return port


@dataclass(slots=True, eq=False)
class Process:
    """A process of the deployment.

    Attributes:
        name: Name in messages.
        popen: The process.
        log: File of its output.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    def send(self, number: int) -> None:
        """Send the process a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.popen.kill()
        self.popen.wait()


@dataclass(slots=True)
class Instance:
    """The ports of an instance and the processes of its daemons, by role."""

    id: str
    data_centre: str
    entry_port: int
    scheduler_port: int
    metrics_port: int
    control_port: int
    control_peer_port: int
    processes: dict[str, Process] = field(default_factory=dict)

    @property
    def entry_url(self) -> str:
        """Base URL for callers."""
        return f"http://{HOST}:{self.entry_port}"

    @property
    def control_url(self) -> str:
        """Base URL for operators."""
        return f"http://{HOST}:{self.control_port}"


class Deployment:
    """Processes of the platform's stand-ins, the endpoints and the instances.

    Args:
        directory: Directory of settings files and logs.
        lease_s: Lease time in seconds of the schedulers' sessions.
        scheduler_options: Further lines of the settings' section ``[scheduler]``.
        log_level: Lowest level that daemons log.

    Attributes:
        instances: All instances, in order of their start.
    """

    def __init__(
        self,
        directory: Path,
        *,
        lease_s: float = 2.0,
        scheduler_options: str = "",
        log_level: str = "info",
    ) -> None:
        self._directory = directory
        self._lease_s = lease_s
        self._scheduler_options = scheduler_options
        self._log_level = log_level
        self._used_ports: set[int] = set()
        self._processes: list[Process] = []
        self._expected_exits: list[Process] = []
        self._platform: dict[str, str] = {}
        self.instances: list[Instance] = []

    @property
    def processes(self) -> list[Process]:
        """All processes that should be running."""
        return list(self._processes)

    @property
    def platform(self) -> dict[str, str]:
        """Base URLs of the platform's stand-ins, by kind."""
        return dict(self._platform)

    def start_standin(self, kind: str, *options: str) -> str:
        """Start a stand-in with command-line options; return its base URL."""
        port = free_port(self._used_ports)
        code = "from carobspur_standins.main import main; main()"
        self._start(f"{kind}-{port}", code, [kind, str(port), *options])
        return f"http://{HOST}:{port}"

    def start_platform(self) -> None:
        """Start table, object store and list of instances; wait until they answer."""
        for kind in ("table", "objects", "live_list"):
            self._platform[kind] = self.start_standin(kind)
        for url in self._platform.values():
            self.wait_http(url + "/")

    def start_endpoints(self, inventory: Inventory, *engine_options: str) -> Inventory:
        """Start a stand-in for each endpoint of an inventory.

        Args:
            inventory: The inventory; engines get their sizes and speeds from it.
            engine_options: Further command-line options of all engines.

        Returns:
            The inventory with the addresses of the stand-ins.
        """
        engines = []
        for engine in inventory.engines:
            options = [f"--kv_tokens={engine.kv_tokens}", f"--batch={engine.in_flight}"]
            options.append(f"--prefill_tokens_per_s={engine.prefill_tokens_per_s}")
            options.append(f"--decode_tokens_per_s={engine.decode_tokens_per_s}")
            options.append(f"--checks_fencing={engine.checks_fencing}")
            address = self.start_standin("engine", *options, *engine_options)
            engines.append(msgspec.structs.replace(engine, address=address))
        services = []
        for service in inventory.services:
            replicas = []
            for replica in service.replicas:
                option = f"--checks_fencing={service.checks_fencing}"
                address = self.start_standin("tool", option)
                replicas.append(msgspec.structs.replace(replica, address=address))
            services.append(msgspec.structs.replace(service, replicas=replicas))
        return msgspec.structs.replace(inventory, engines=engines, services=services)

    def start_instance(self, name: str, data_centre: str) -> Instance:
        """Write the settings of an instance and start its three daemons."""
        ports = [free_port(self._used_ports) for _ in range(5)]
        instance = Instance(name, data_centre, *ports)
        settings = self._directory / f"{name}.ini"
        settings.write_text(
            _SETTINGS.format(
                id=name,
                data_centre=data_centre,
                host=HOST,
                table=self._platform["table"],
                objects=self._platform["objects"],
                live_list=self._platform["live_list"],
                entry=instance.entry_port,
                scheduler=instance.scheduler_port,
                metrics=instance.metrics_port,
                control=instance.control_port,
                control_peer=instance.control_peer_port,
                lease_s=self._lease_s,
                scheduler_options=self._scheduler_options,
                log_level=self._log_level,
                platform_key_sha256=sha256(PLATFORM_KEY.encode()).hexdigest(),
            )
        )
        for role in ROLES:
            self.start_daemon(instance, role)
        self.instances.append(instance)
        return instance

    def start_daemon(self, instance: Instance, role: str) -> None:
        """Start one daemon of an instance; also used to restart it."""
        settings = self._directory / f"{instance.id}.ini"
        code = f"from carobspur.{role} import main; main()"
        instance.processes[role] = self._start(
            f"{instance.id}-{role}", code, [f"--settings={settings}"]
        )

    def wait_ready(self) -> None:
        """Wait until all daemons of all instances report that they are ready.

        Raises:
            TimeoutError: If one is not ready within ``START_LIMIT_S``.
            ProcessDiedError: If a process ends meanwhile.
        """
        for instance in self.instances:
            self.wait_http(f"{instance.control_url}/readyz")
            self.wait_http(f"http://{HOST}:{instance.metrics_port}/readyz")
            self.wait_http(f"{instance.entry_url}/readyz")

    def wait_http(self, url: str) -> None:
        """Wait until a URL answers with another status than 503.

        Raises:
            TimeoutError: If it does not within ``START_LIMIT_S``.
            ProcessDiedError: If a process ends meanwhile.
        """
        deadline_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline_s:
            self.check()
            try:
                with urlopen(url, timeout=1):
                    return
            except URLError as error:
                if getattr(error, "code", 503) != 503:
                    return
            except OSError:
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"{url} was not ready within {START_LIMIT_S} s")

    def check(self) -> None:
        """Check that all processes that should be running are.

        Raises:
            ProcessDiedError: If one has ended; the message has the end of its log.
        """
        for process in self._processes:
            code = process.popen.poll()
            if code is not None:
                tail = process.log.read_text()[-2000:]
                raise ProcessDiedError(
                    f"{process.name} ended with exit code {code}:\n{tail}"
                )

    def expect_exit(self, process: Process) -> None:
        """Allow a process to end from now on; it is still stopped at the end."""
        self._processes.remove(process)
        self._expected_exits.append(process)

    def kill(self, process: Process) -> None:
        """Kill a process that should no longer be running."""
        process.kill()
        self._processes.remove(process)

    def stop(self) -> None:
        """Stop the daemons, then the stand-ins, and wait until they have ended.

        A process that does not end within ``STOP_LIMIT_S`` is killed.
        """
        daemons = [
            process
            for instance in self.instances
            for process in instance.processes.values()
        ]
        self._end(self._expected_exits)
        self._end([item for item in self._processes if item in daemons])
        self._end([item for item in self._processes if item not in daemons])
        self._processes.clear()

    @staticmethod
    def _end(processes: list[Process]) -> None:
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_LIMIT_S
        for process in processes:
            try:
                process.popen.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def _start(self, name: str, code: str, arguments: list[str]) -> Process:
        log = self._directory / f"{name}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-c", code, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                env=dict(os.environ),
            )
        process = Process(name, popen, log)
        self._processes.append(process)
        return process


@contextmanager
def deployment(directory: Path, **options: Any) -> Iterator[Deployment]:
    """Provide an empty deployment; its processes are stopped when the context ends.

    Args:
        directory: Directory of settings files and logs.
        options: Options of :class:`Deployment`.
    """
    running = Deployment(directory, **options)
    try:
        yield running
    finally:
        running.stop()


def example_inventory(name: str) -> Inventory:
    """Return an example inventory, with the addresses of its file."""
    return parse_inventory((EXAMPLES / f"{name}.json").read_bytes())
