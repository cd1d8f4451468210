"""Runs the soak with one seed."""

from __future__ import annotations

import asyncio
import random
import shutil
from dataclasses import dataclass
from pathlib import Path

from .callers import Caller
from .deployment import SoakWorld, deployment
from .endpoint_troubles import EndpointTroubles
from .faults import inject
from .guarantees import CallLog
from .proxy import LinkFault

CALLERS = 12
INJECTORS = 2
RECOVERY_S = 6.0
"""Time after the last fault until requests must be served again."""
MIN_RECOVERED_SHARE = 0.9
"""Share of the calls after that time that must be served."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed.

    Attributes:
        calls: Number of calls.
        served: Calls that were answered with 200.
        faults: Descriptions of the injected faults, in order.
        complaints: Violated guarantees; empty where the seed passed.
    """

    calls: int
    served: int
    faults: list[str]
    complaints: list[str]


async def run_seed(
    seed: int, *, seconds: float, gateways: int, keep_logs: str = ""
) -> SoakResult:
    """Run callers under faults, then without faults, and check all guarantees.

    Args:
        seed: Seed of all random choices. The timing of processes still varies, so the
            same seed need not give the same result.
        seconds: Seconds under faults.
        gateways: Number of gateway processes.
        keep_logs: Folder that gets the gateways' logs if there are complaints.
    """
    rng = random.Random(seed)
    call_log, injected = CallLog(), []
    async with deployment(gateways=gateways, engines=3, tools=3) as world:
        callers_stopped, faults_stopped = asyncio.Event(), asyncio.Event()
        callers = [
            asyncio.ensure_future(
                Caller(world, call_log, random.Random(rng.random()), number).run(
                    callers_stopped
                )
            )
            for number in range(CALLERS)
        ]
        injectors = [
            asyncio.ensure_future(
                inject(world, random.Random(rng.random()), faults_stopped, injected)
            )
            for _ in range(INJECTORS)
        ]
        # Draws last, so that the other choices of recorded seeds stay the same.
        troubles = EndpointTroubles(world, call_log, random.Random(rng.random()))
        injectors.append(asyncio.ensure_future(troubles.run(faults_stopped)))
        await asyncio.sleep(seconds)
        faults_stopped.set()
        await asyncio.gather(*injectors)
        _clear_faults(world)
        await asyncio.sleep(RECOVERY_S)
        first_after_recovery = len(call_log.calls)
        await asyncio.sleep(2.0)
        callers_stopped.set()
        await asyncio.gather(*callers)
        _check_recovered(call_log, first_after_recovery)
        call_log.check_whole_run(world)
        troubles.check()
        if call_log.complaints and keep_logs:
            _copy_logs(world, Path(keep_logs) / str(seed))
    served = sum(call.answer.status == 200 for call in call_log.calls)
    return SoakResult(len(call_log.calls), served, injected, call_log.complaints)


def _clear_faults(world: SoakWorld) -> None:
    world.store.faults.status = 0
    world.store.faults.delay_s = 0.0
    world.store.faults.lose_answers = 0
    for replica in world.replicas.values():
        replica.faults.clear()
        replica.crashes_on = b""
    for gateway in world.processes:
        gateway.store_proxy.set_fault(LinkFault.NONE)
        if not gateway.is_alive:
            # It ended by itself because it was started with a damaged settings file;
            # the platform would start it again.
            gateway.start()


def _check_recovered(call_log: CallLog, first_after_recovery: int) -> None:
    calls = call_log.calls[first_after_recovery:]
    served = sum(call.answer.status in (200, 402) for call in calls)
    if not calls or served < MIN_RECOVERED_SHARE * len(calls):
        statuses = sorted({call.answer.status for call in calls})
        call_log.complaints.append(
            f"only {served} of {len(calls)} calls were served after the last fault: "
            f"{statuses}"
        )


def _copy_logs(world: SoakWorld, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for gateway in world.processes:
        shutil.copy(gateway.log, folder / gateway.log.name)
