"""Waits that carobspur adds to a call, without processor time: under virtual time.

The engine and the table answer at once, so only waits that are part of the design
remain, above all for the next commit.

PYTHONPATH=src python -m experiments.own_waits
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Sequence
from dataclasses import replace

import fire
from tests.virtual import run_virtual

from carobspur.load_report import Percentiles
from carobspur.workload import EngineSpeed

from .virtual_world import Example, start_world

# So fast that the time of the engine itself can be neglected.
INSTANT_SPEED = EngineSpeed(5, 64, 1e9, 1e9)
PROGRAMS = 40
CALLS = 20


def measure(instances: int, rate: float) -> tuple[Percentiles, float]:
    """Return the latencies of calls, and the processor seconds of one call.

    Args:
        instances: Number of instances.
        rate: Calls a second, all programs together.
    """
    logging.disable(logging.WARNING)
    example = Example.read("oro", kv_tokens=10_000_000)
    example = replace(example, workload=replace(example.workload, speed=INSTANT_SPEED))
    model = example.inventory.models[0].name
    latencies: list[float] = []

    async def scenario() -> float:
        world, _ = await start_world(example, "", instances=instances)
        content = {"prompt": "one two", "max_tokens": 1}

        async def run(number: int) -> None:
            program = await world.start_program(f"k{number}")
            for call in range(1, CALLS + 1):
                start_s = world.clock.monotonic()
                reply = await world.call(program, call, model, content)
                assert reply.status == 200, reply.body
                latencies.append(world.clock.monotonic() - start_s)
                await asyncio.sleep(PROGRAMS / rate)

        start_s = time.process_time()
        running = []
        for number in range(PROGRAMS):
            running.append(asyncio.ensure_future(run(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*running)
        return (time.process_time() - start_s) / len(latencies)

    cpu_s = run_virtual(scenario)
    return Percentiles.of(latencies), cpu_s


def main(instances: Sequence[int] = (1, 3, 7), rate: float = 100.0) -> None:
    """Print waits by the number of instances."""
    print("| instances | median ms | p99 ms | processor ms a call, whole deployment |")
    print("| --- | --- | --- | --- |")
    for number in instances:
        found, cpu_s = measure(number, rate)
        waits = f"{1000 * found.p50_s:.0f} | {1000 * found.p99_s:.0f}"
        print(f"| {number} | {waits} | {1000 * cpu_s:.2f} |")


if __name__ == "__main__":
    fire.Fire(main)
