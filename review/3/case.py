"""A gateway wakes from a freeze: does it still use a replica that has gone?"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from review.common import (
    TOOLS,
    Deployment,
    Gateway,
    Record,
    deployment,
    route,
    run,
    with_trouble,
)

from carobspur_standins.platform_replica import ReplicaStandin, SeenRequest

FREEZE_S = 4.0
ROUNDS = 8
LEAVE_AFTER_S = 1.3
"""Time from the wake-up to the removal of the replica's entry."""
STABLE_S = 3.0
"""``stableWindowMs``: from then on the machine is in touch again."""
DRAIN_S = 2.0
"""``drainMs``."""
SERVES_ON_S = 2.5
"""Time for which a replica still serves that has removed its entry."""
CALLERS = 6
LIMIT_S = 110.0


class TimedReplica(ReplicaStandin):
    """A replica that notes when requests reach it."""

    async def _answer(self, request: SeenRequest, *more: object) -> bool:
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, request.headers.get("request-id", "-")))
        return await super()._answer(request, *more)


async def prepare(world: Deployment) -> None:
    """Write the configuration and start the replicas."""
    world.configure(route("price-lookup", "idempotent", TOOLS, timeoutMs=1200))
    for _ in range(5):
        await add_replica(world)


async def add_replica(world: Deployment) -> TimedReplica:
    """Start one more replica."""
    replica = await world.add_replica(TOOLS, kind=TimedReplica, work_s=0.026, slots=6)
    replica.arrivals = []
    return replica


async def call_repeatedly(
    world: Deployment, gateway: Gateway, sent_at: dict[str, float], end: asyncio.Event
) -> None:
    """Send one call after the other through a gateway."""
    loop = asyncio.get_running_loop()
    while not end.is_set():
        at = loop.time()
        answer = await world.send(
            gateway, "/price-lookup/a", method="GET", deadline_ms=1200
        )
        sent_at[answer.id] = at
        await asyncio.sleep(0.01)


async def run_round(world: Deployment, gateway: Gateway) -> list[str]:
    """Freeze a gateway, remove a replica; return the requests that came too late."""
    loop = asyncio.get_running_loop()
    record = world.record
    leaving = next(iter(world.replicas.values()))
    sent_at: dict[str, float] = {}
    end = asyncio.Event()
    callers = [
        asyncio.ensure_future(call_repeatedly(world, gateway, sent_at, end))
        for _ in range(CALLERS)
    ]
    if with_trouble():
        record.line(f"froze {gateway.name}")
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        gateway.signal(signal.SIGCONT)
        record.line(f"{gateway.name} goes on")
    woken_at = loop.time()
    await asyncio.sleep(LEAVE_AFTER_S)
    del world.replicas[leaving.id]
    world.store.put("servers", leaving.id, None)
    removed_at = loop.time()
    record.line(f"the store acknowledges the removal of {leaving.id}")
    await add_replica(world)
    await asyncio.sleep(SERVES_ON_S)
    end.set()
    await asyncio.gather(*callers)
    leaving.close()
    late = []
    for at, request in leaving.arrivals:
        is_in_touch = sent_at.get(request, 0.0) > woken_at + STABLE_S
        if at > removed_at + DRAIN_S and is_in_touch:
            late.append(request)
            record.line(
                f"DRAIN: {request} reached {leaving.id} {at - removed_at:.3f} s after "
                f"the removal, {at - woken_at:.3f} s after the end of the freeze"
            )
    return late


async def case(record: Record) -> str:
    """Run a few rounds, each with another gateway."""
    async with deployment(record, gateways=4, prepare=prepare) as world:
        late = []
        for number in range(ROUNDS):
            late += await run_round(world, world.gateways[number % len(world.gateways)])
        if late:
            return (
                f"DRAIN: {len(late)} requests reached a replica over {DRAIN_S} s after "
                "its entry had been removed"
            )
    return ""


if __name__ == "__main__":
    run(case, Path(__file__).parent, limit_s=LIMIT_S)
