"""Duration of one dispatch event, by the number of waiting calls.

PYTHONPATH=src python -m experiments.dispatch_cost
"""

from __future__ import annotations

import asyncio
import time

from carobspur.clock import LoopClock
from carobspur.dispatch import Dispatcher, Urgency
from carobspur.plugin_registry import PluginKind, load_plugins, plugin
from carobspur.pool import EndpointState
from carobspur.routing import RouteRequest

WAITING = (500, 1000, 2000, 5000)
ENGINES = 5
EVENTS = 300


async def measure(waiting: int) -> tuple[float, float]:
    """Return the mean duration, in microseconds, of two dispatch events.

    The first is the end of a call, which frees a slot; the second is a new call.

    Args:
        waiting: Number of waiting calls.
    """
    engines = [
        EndpointState(
            f"http://10.0.0.{number}:1", "dc-1", window=8, decode_tokens_per_s=50
        )
        for number in range(ENGINES)
    ]
    policy = plugin(PluginKind.ROUTING, "finish")()
    dispatcher = Dispatcher(clock=LoopClock(), policy=policy, max_waiting=1 << 20)
    gate = asyncio.Event()

    async def call(number: int) -> None:
        request = RouteRequest(f"p{number}", "model", output_tokens=50)
        async with dispatcher.slot(request, engines, urgency=Urgency("organisation")):
            await gate.wait()

    slots = sum(item.window for item in engines)
    tasks = [asyncio.ensure_future(call(number)) for number in range(slots + waiting)]
    await asyncio.sleep(0)
    leaving_s = arriving_s = 0.0
    for number in range(EVENTS):
        engine = engines[number % ENGINES]
        engine.in_flight -= 1
        start_s = time.perf_counter()
        dispatcher.dispatch()
        leaving_s += time.perf_counter() - start_s
        start_s = time.perf_counter()
        tasks.append(asyncio.ensure_future(call(-number)))
        await asyncio.sleep(0)
        arriving_s += time.perf_counter() - start_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return 1e6 * leaving_s / EVENTS, 1e6 * arriving_s / EVENTS


def main() -> None:
    """Print a Markdown table by number of waiting calls."""
    load_plugins()
    print("| waiting | a call leaves, us | a call arrives, us |")
    print("| --- | --- | --- |")
    for waiting in WAITING:
        leaving_us, arriving_us = asyncio.run(measure(waiting))
        print(f"| {waiting} | {leaving_us:.0f} | {arriving_us:.0f} |")


if __name__ == "__main__":
    main()
