"""Effect of an outage of the table service on programs, under virtual time.

Three instances run sixty programs of five calls with pauses; the table service is down
in the middle of the run, for ten minutes if not said otherwise. Prints which error
answers callers got, how long answers took, how many programs finished, and how often
the tool executed each payout; first for a run without an outage.

Usage: ``PYTHONPATH=src:. python experiments/outage.py [seconds]``, under a minute.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass, field

from tests import builders
from tests.virtual import run_virtual
from tests.world import World

from carobspur_standins.app import FaultKind, FaultOrder

PROGRAMS = 60
START_EVERY_S = 12.0
BEFORE_S = 60.0
MAX_RUN_S = 1800.0
SCRIPT = (
    ("model", {"prompt": "a chain of 4.2 grams", "max_tokens": 40}),
    ("vault", {"lot": "L-1"}),
    ("payout", {"pesos": 5}),
    ("model", {"prompt": "close the visit", "max_tokens": 40}),
    ("vault", {"lot": "L-2"}),
)


@dataclass
class CallerStats:
    """Figures of all callers.

    Attributes:
        answers: Error answers by status, cause and verdict.
        waits_s: Times of all answers.
        outage_waits_s: Times of the answers that came wholly within the outage.
        programs_s: Times of the finished programs.
        finished_in_outage: Programs that finished during the outage.
        is_down: Whether the table service is down.
    """

    answers: Counter[str] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)
    outage_waits_s: list[float] = field(default_factory=list)
    programs_s: list[float] = field(default_factory=list)
    finished_in_outage: int = 0
    is_down: bool = False


async def _retry_until_success(world: World, stats: CallerStats, ask) -> None:
    """Repeat a request until it succeeds, after the pause that each answer asks for."""
    loop = asyncio.get_event_loop()
    while True:
        start_s, was_down = loop.time(), stats.is_down
        reply = await ask()
        waited_s = loop.time() - start_s
        stats.waits_s.append(waited_s)
        if was_down and stats.is_down:
            stats.outage_waits_s.append(waited_s)
        if reply.status < 300:
            return
        problem = reply.json
        stats.answers[f"{reply.status} {problem['cause']} {problem['verdict']}"] += 1
        await asyncio.sleep(float(reply.headers.get("Retry-After", "1")))


async def _program(world: World, stats: CallerStats, number: int) -> None:
    loop = asyncio.get_event_loop()
    await asyncio.sleep(number * START_EVERY_S)
    start_s = loop.time()
    ids: list[str] = []
    key = {"Idempotency-Key": f"k{number}"}
    node = 1 + number % 3

    async def _start():
        reply = await world.ask(
            "POST", "/v1/programs", {"agent": "quote"}, headers=key, node=node
        )
        if reply.status < 300:
            ids.append(reply.json["program"])
        return reply

    await _retry_until_success(world, stats, _start)
    for index, (endpoint, content) in enumerate(SCRIPT, start=1):
        await _retry_until_success(
            world,
            stats,
            lambda index=index, endpoint=endpoint, content=content: world.call(
                ids[0], index, endpoint, content, node=node
            ),
        )
        await asyncio.sleep(random.uniform(0, 10))
    stats.programs_s.append(loop.time() - start_s)
    stats.finished_in_outage += stats.is_down


async def _scenario(outage_s: float) -> None:
    world = await World(builders.an_inventory(units=10**9, user_units=10**8)).start(3)
    stats = CallerStats()
    programs = [
        asyncio.ensure_future(_program(world, stats, number))
        for number in range(PROGRAMS)
    ]
    await asyncio.sleep(BEFORE_S)
    if outage_s:
        faults = world.client.faults(builders.TABLE_URL)
        faults.set(FaultOrder(FaultKind.DOWN))
        stats.is_down = True
        await asyncio.sleep(outage_s)
        faults.set(FaultOrder(FaultKind.NONE))
        stats.is_down = False
    await asyncio.wait(programs, timeout=MAX_RUN_S)
    _print(world, stats, outage_s)


def _print(world: World, stats: CallerStats, outage_s: float) -> None:
    runs = Counter(run.call_id for run in world.tool.runs)
    print(f"outage of {outage_s:g} s, {PROGRAMS} programs of {len(SCRIPT)} calls")
    print(
        f"  finished: {len(stats.programs_s)}, in the outage {stats.finished_in_outage}"
    )
    if stats.programs_s:
        times = sorted(stats.programs_s)
        print(f"  program latency: median {times[len(times) // 2]:.1f} s", end=", ")
        print(f"max {times[-1]:.1f} s")
    for name, waits in (
        ("all", stats.waits_s),
        ("in the outage", stats.outage_waits_s),
    ):
        if waits:
            waits = sorted(waits)
            p99 = waits[min(len(waits) - 1, len(waits) * 99 // 100)]
            print(f"  answers, {name}: {len(waits)}, p99 {p99:.2f} s", end=", ")
            print(f"max {waits[-1]:.2f} s")
    for answer, count in stats.answers.most_common():
        print(f"  {count:5d} x {answer}")
    print(f"  payouts run {len(runs)}, most runs of one {max(runs.values())}")


def main() -> None:
    """Run the programs without an outage of the table service, then with one."""
    outage_s = float(sys.argv[1]) if len(sys.argv) > 1 else 600.0
    run_virtual(lambda: _scenario(0.0))
    run_virtual(lambda: _scenario(outage_s))


if __name__ == "__main__":
    main()
