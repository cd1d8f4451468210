"""Moves of shards when instances join under load, and how callers notice them.

One instance serves programs that call without a pause; then two instances join. Prints
how many shards moved, after what time they were evenly spread, the longest calls and
the number of refused calls.

Usage: ``PYTHONPATH=src:. python experiments/rebalance.py``
"""

from __future__ import annotations

import asyncio
import logging

from tests import builders
from tests.virtual import run_virtual
from tests.world import World

from carobspur.placement import first
from carobspur_standins.app import FaultKind, FaultOrder

SHARDS = 32
# Duration of a call in seconds, and number of programs.
LOADS = ((0.05, 60), (1.0, 20), (1.0, 60))
CALLING_S = 40.0


async def _keep_calling(
    world: World, key: str, durations_s: list[float], refused: list[int]
) -> None:
    program = await world.start_program(key, node=1)
    loop = asyncio.get_running_loop()
    end_s, number = loop.time() + CALLING_S, 1
    while loop.time() < end_s:
        start_s = loop.time()
        reply = await world.call(program, number, "vault", {}, node=1)
        if reply.status == 200:
            durations_s.append(loop.time() - start_s)
            number += 1
        else:
            refused.append(reply.status)


def _is_even(world: World) -> bool:
    nodes = [node.scheduler for node in world.nodes.values()]
    ids = [item.session.id for item in nodes]
    return all(
        first(str(shard), ids) == item.session.id
        for item in nodes
        for shard in item.shard_manager.owned
    )


async def _measure(call_s: float, programs: int) -> str:
    inventory = builders.an_inventory(max_calls=100_000)
    world = await World(inventory, shards=SHARDS).start(1)
    world.client.faults(builders.PLAIN_URL).set(
        FaultOrder(FaultKind.SLOW, delay_s=call_s, path="/v1/run")
    )
    durations_s: list[float] = []
    refused: list[int] = []
    calling = [
        asyncio.ensure_future(_keep_calling(world, f"k{number}", durations_s, refused))
        for number in range(programs)
    ]
    await asyncio.sleep(5)
    before = len(world.nodes[1].scheduler.shard_manager.owned)
    for number in (2, 3):
        await world.add_node(number)
    try:
        even_s = await world.until(lambda: _is_even(world), limit_s=CALLING_S - 10)
        when = f"even after {even_s:.2f} s"
    except AssertionError:
        when = f"not yet even after {CALLING_S - 10} s"
    await asyncio.gather(*calling)
    moved = before - len(world.nodes[1].scheduler.shard_manager.owned)
    durations_s.sort()
    return (
        f"{programs} programs, calls of {call_s} s: {moved} of {before} shards moved, "
        f"{when}; {len(durations_s)} calls, {len(refused)} refused, longest "
        f"{durations_s[-1]:.2f} s, "
        f"p99 {durations_s[int(len(durations_s) * 0.99)]:.2f} s"
    )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    for load in LOADS:
        print(run_virtual(lambda given=load: _measure(*given)), flush=True)
