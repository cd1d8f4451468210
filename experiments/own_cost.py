"""Latency and processor time that carobspur adds to a call, on real processes.

Direct calls of an engine and calls through an instance alternate in one run. The
engine answers at once, so the difference is the cost of the path through carobspur.

PYTHONPATH=src python -m experiments.own_cost
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import fire
import msgspec
from examples.deployment import Deployment
from hdrh.histogram import HdrHistogram

from carobspur.endpoints import Endpoints, GenerateRequest
from carobspur.http import CurlClient, HttpRequest
from carobspur.load_driver import Target
from carobspur.workload import EngineSpeed

from .real_world import start
from .virtual_world import Example

US_PER_S = 1_000_000
HIGHEST_US = 60 * US_PER_S
PROGRAMS = 300
AGENT = "quote"
# So fast that the time of the engine itself can be neglected.
INSTANT_SPEED = EngineSpeed(1, 64, 1e9, 1e9)


class Caller:
    """Starts programs and runs their calls through an instance."""

    def __init__(self, client: CurlClient, target: Target) -> None:
        self._client = client
        self._url = target.entries[0]
        self._headers = {
            "Authorization": f"Bearer {target.key}",
            "Carobspur-User": "user-1",
        }

    async def post(self, path: str, body: object, key: str = "") -> bytes:
        """Send a request and return the answer's body."""
        message = HttpRequest(
            "POST",
            self._url + path,
            msgspec.json.encode(body),
            {**self._headers, "Idempotency-Key": key},
        )
        response = await self._client.fetch(message)
        assert response.status < 300, response.body
        return response.body

    async def start_program(self, agent: str, key: str) -> str:
        """Start a program and return its id."""
        answer = await self.post("/v1/programs", {"agent": agent}, key)
        return msgspec.json.decode(answer)["program"]


async def _direct(client: CurlClient, engine: str, number: int) -> None:
    order = GenerateRequest(
        f"direct.{number}", f"d{number}", "model", "", 0, "", "one two", 1
    )
    endpoints = Endpoints(client)
    await endpoints.generate(engine, order, timeout_s=10, on_text=lambda text: None)


def _row(name: str, histogram: HdrHistogram) -> str:
    values = [histogram.get_value_at_percentile(share) / 1000 for share in (50, 99)]
    return f"| {name} | {values[0]:.2f} | {values[1]:.2f} |"


async def measure(
    target: Target, model: str, *, rate: float, seconds: float
) -> tuple[HdrHistogram, HdrHistogram]:
    """Send direct calls and calls through an instance; return their latencies.

    Latencies count from the intended time of a call, so a call that starts late because
    the sender was busy is not counted as fast.

    Args:
        target: The deployment.
        model: Name of the model.
        rate: Calls a second of each kind.
        seconds: Duration.

    Returns:
        Histograms in microseconds: of direct calls, and of calls through an instance.
    """
    client = CurlClient()
    caller = Caller(client, target)
    direct, through = (HdrHistogram(1, HIGHEST_US, 3) for _ in range(2))
    programs = await asyncio.gather(
        *(
            caller.start_program(AGENT, f"{os.getpid()}-{rate}-{number}")
            for number in range(PROGRAMS)
        )
    )
    tasks = []
    content = {"endpoint": model, "input": {"prompt": "one two", "max_tokens": 1}}
    free = deque((program, 1) for program in programs)

    async def _through(intended_s: float) -> None:
        program, number = free.popleft()
        await caller.post(f"/v1/programs/{program}/calls/{number}", content)
        through.record_value(int(US_PER_S * (time.perf_counter() - intended_s)))
        free.append((program, number + 1))

    async def _directly(intended_s: float, number: int) -> None:
        await _direct(client, target.engines[0], number)
        direct.record_value(int(US_PER_S * (time.perf_counter() - intended_s)))

    start_s = time.perf_counter()
    for number in range(int(rate * seconds)):
        intended_s = start_s + number / rate
        await asyncio.sleep(max(0.0, intended_s - time.perf_counter()))
        tasks.append(asyncio.ensure_future(_through(intended_s)))
        tasks.append(
            asyncio.ensure_future(_directly(intended_s, int(start_s) + number))
        )
    await asyncio.gather(*tasks)
    client.close()
    return direct, through


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _print_costs(
    running: Deployment, target: Target, model: str, rate: float, seconds: float
) -> None:
    processes = running.instances[0].processes
    before = {role: _cpu_s(item.popen.pid) for role, item in processes.items()}
    direct, through = asyncio.run(measure(target, model, rate=rate, seconds=seconds))
    calls = int(rate * seconds)
    print(f"\n{rate:.0f} calls a second, {calls} calls\n")
    print("| way | median ms | p99 ms |\n| --- | --- | --- |")
    print(_row("direct", direct))
    print(_row("through carobspur", through))
    for role, item in processes.items():
        used_s = _cpu_s(item.popen.pid) - before[role]
        print(f"{role}: {1000 * used_s / calls:.2f} ms of processor time a call")


def main(
    rates: Sequence[float] = (20.0, 100.0, 200.0),
    seconds: float = 8.0,
) -> None:
    """Print latencies, and processor time of each daemon, by rate."""
    example = Example.read("oro", kv_tokens=10_000_000)
    example = replace(example, workload=replace(example.workload, speed=INSTANT_SPEED))
    model = example.inventory.models[0].name
    with tempfile.TemporaryDirectory() as name:
        running, target = start(Path(name), example, "own", "", instances=1)
        try:
            for rate in rates:
                _print_costs(running, target, model, rate, seconds)
        finally:
            running.stop()


if __name__ == "__main__":
    fire.Fire(main)
