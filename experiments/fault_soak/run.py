"""Runs one seed of the soak."""

from __future__ import annotations

import asyncio
import random
import shutil
from dataclasses import dataclass
from pathlib import Path

from .callers import Caller
from .deployment import SoakWorld, deployment
from .faults import inject
from .promises import Ledger
from .proxy import Harm

CALLERS = 12
INJECTORS = 2
CALM_S = 6.0
"""Time after the last fault in which everything must be served again."""
MIN_SERVED_AGAIN = 0.9


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed found."""

    calls: int
    served: int
    faults: list[str]
    complaints: list[str]


async def run_seed(
    seed: int, *, seconds: float, gateways: int, keep_logs: str = ""
) -> SoakResult:
    """Run callers under faults, then without, and check all promises.

    Args:
        seed: Source of all choices; timing of processes still varies.
        seconds: Time under faults.
        gateways: Gateway processes.
        keep_logs: Folder that takes the logs where something was broken.
    """
    rng = random.Random(seed)
    ledger, told = Ledger(), []
    async with deployment(gateways=gateways, engines=3, tools=3) as world:
        done, calm = asyncio.Event(), asyncio.Event()
        callers = [
            asyncio.ensure_future(
                Caller(world, ledger, random.Random(rng.random()), number).run(done)
            )
            for number in range(CALLERS)
        ]
        injectors = [
            asyncio.ensure_future(
                inject(world, random.Random(rng.random()), calm, told)
            )
            for _ in range(INJECTORS)
        ]
        await asyncio.sleep(seconds)
        calm.set()
        await asyncio.gather(*injectors)
        _heal(world)
        await asyncio.sleep(CALM_S)
        first_calm = len(ledger.calls)
        await asyncio.sleep(2.0)
        done.set()
        await asyncio.gather(*callers)
        _check_recovered(ledger, first_calm)
        ledger.check_end(world)
        if ledger.complaints and keep_logs:
            _keep(world, Path(keep_logs) / str(seed))
    served = sum(call.answer.status == 200 for call in ledger.calls)
    return SoakResult(len(ledger.calls), served, told, ledger.complaints)


def _heal(world: SoakWorld) -> None:
    world.store.faults.status = 0
    world.store.faults.delay_s = 0.0
    world.store.faults.lose_answers = 0
    for replica in world.replicas.values():
        replica.faults.clear()
    for made in world.processes:
        made.store_proxy.harm(Harm.NONE)
        if not made.is_alive:
            # Ended by itself on damaged settings; the platform starts it again.
            made.start()


def _check_recovered(ledger: Ledger, first_calm: int) -> None:
    calls = ledger.calls[first_calm:]
    good = sum(call.answer.status in (200, 402) for call in calls)
    if not calls or good < MIN_SERVED_AGAIN * len(calls):
        statuses = sorted({call.answer.status for call in calls})
        ledger.complaints.append(
            f"only {good} of {len(calls)} calls were served after the last fault: "
            f"{statuses}"
        )


def _keep(world: SoakWorld, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for made in world.processes:
        shutil.copy(made.log, folder / made.log.name)
