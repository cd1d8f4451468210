"""Load of the table by the number of schedulers and calls a second.

Runs the sessions and shard keepers of schedulers under virtual time and reads the
counters of the table stand-in: idle, under load, and while one scheduler is replaced.
Each call writes two records in two commits, as a call that may not be repeated does.

Usage: ``PYTHONPATH=src:. python experiments/table_load.py [--old]``; ``--old`` leaves
out the cases with a replaced scheduler.
"""

from __future__ import annotations

import asyncio
import logging
import sys

from tests.test_shards import LEASE_S, Cluster, Holder
from tests.virtual import run_virtual

from carobspur.journal import CallIntended

SCHEDULERS = (1, 7, 30)
SHARDS_PER_SCHEDULER = 8
CALLS_PER_S = (0, 20, 200, 1000)
MEASURED_S = 20.0
TARGET_SCHEDULERS = 360
WRITES_PER_S = 300
ROWS_PER_COMMIT = 2


async def _run_calls(holder: Holder, calls_per_s: float) -> int:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + MEASURED_S
    calls: set[asyncio.Task[None]] = set()
    count = 0
    while loop.time() < end_s:
        await asyncio.sleep(1 / calls_per_s)
        task = asyncio.ensure_future(_call(holder))
        calls.add(task)
        task.add_done_callback(calls.discard)
        count += 1
    await asyncio.gather(*calls)
    return count


async def _call(holder: Holder) -> None:
    record = CallIntended("p", 0, "payout", "d", "{}", "p.0")
    for _ in range(2):
        await holder.session.commit([record])


async def _measure(schedulers: int, calls_per_s: int, replace: bool) -> list[float]:
    cluster = Cluster(shards=SHARDS_PER_SCHEDULER * schedulers)
    interval_s = schedulers * ROWS_PER_COMMIT / WRITES_PER_S
    for _ in range(schedulers):
        holder = await cluster.add()
        _set_interval(holder, interval_s)
        holder.session._on_commit = lambda records: None
    await cluster.until_served(limit_s=600)
    await asyncio.sleep(10 * LEASE_S)
    table = cluster.table
    before = (table.reads, table.rows_read, table.rows_written, table.commits)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    if replace:
        cluster.kill(cluster.holders[0])
        await cluster.add()
    if calls_per_s:
        each = calls_per_s / schedulers
        await asyncio.gather(*(_run_calls(holder, each) for holder in cluster.holders))
    else:
        await asyncio.sleep(MEASURED_S)
    elapsed_s = loop.time() - start_s
    after = (table.reads, table.rows_read, table.rows_written, table.commits)
    return [
        (later - earlier) / elapsed_s
        for earlier, later in zip(before, after, strict=True)
    ]


def _set_interval(holder: Holder, interval_s: float) -> None:
    pacer = getattr(holder.session, "_pacer", holder.session)
    pacer._interval_s = lambda: interval_s


def _slope(points: list[tuple[float, float]]) -> float:
    (first_x, first_y), (last_x, last_y) = points[0], points[-1]
    return (last_y - first_y) / (last_x - first_x)


def main() -> None:
    """Print a line for each case, and the growth of the idle load by schedulers."""
    print("schedulers calls/s replaced  reads/s rows read/s rows written/s commits/s")
    idle: list[tuple[float, list[float]]] = []
    for schedulers in SCHEDULERS:
        cases = [(calls, False) for calls in CALLS_PER_S]
        if schedulers > 1 and "--old" not in sys.argv:
            cases.append((0, True))
        for calls, replace in cases:
            found = run_virtual(
                lambda schedulers=schedulers, calls=calls, replace=replace: _measure(
                    schedulers, calls, replace
                )
            )
            if not calls and not replace:
                idle.append((schedulers, found))
            cells = " ".join(f"{value:11.1f}" for value in found)
            print(f"{schedulers:10d} {calls:7d} {replace!s:8} {cells}", flush=True)
    for index, name in enumerate(("reads", "rows read", "rows written")):
        points = [(count, found[index]) for count, found in idle]
        slope = _slope(points[1:])
        at_target = slope * TARGET_SCHEDULERS
        print(
            f"idle, lease {LEASE_S} s: {name} {slope:.2f}/s a scheduler between the "
            f"last two; {at_target:.0f}/s at {TARGET_SCHEDULERS} if linear"
        )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    main()
