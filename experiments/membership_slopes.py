"""Cost of membership, configuration and load reports by the number of nodes.

Runs control processes in one process under virtual time, with the messages encoded as
on the wire, and prints one line for each size. Processor time contains the encoding and
decoding at both ends but no sockets; ``role_slopes.py`` measures a peer call with them.

    PYTHONPATH=src:. python experiments/membership_slopes.py 7 30 90 180 360
"""

from __future__ import annotations

import asyncio
import logging
import statistics
import sys
import time

from tests.fleet import Fleet, Traffic
from tests.virtual import run_virtual

ENGINES_PER_NODE = 3100 / 360
SHARDS_PER_NODE = 4
WARM_S = 8
MEASURED_S = 6
CHANGES = 5


async def measure(size: int) -> str:
    """Run a fleet of control processes and return its line of the table."""
    data_centres = 6 if size >= 30 else 3
    engines = round(size * ENGINES_PER_NODE)
    shards = size * SHARDS_PER_NODE
    fleet = Fleet(size, data_centres=data_centres, engines=engines, shards=shards)
    await fleet.start()
    await asyncio.sleep(WARM_S)
    fleet.traffic = Traffic()
    reads, rows, asked = fleet.table.reads, fleet.rows_scanned, fleet.load_requests
    started_s = time.process_time()
    await asyncio.sleep(MEASURED_S)
    used_s = time.process_time() - started_s
    node_seconds = size * MEASURED_S
    sent_bytes = fleet.traffic.sent_bytes / node_seconds
    sent = fleet.traffic.messages / node_seconds
    reads_per_s = (fleet.table.reads - reads) / MEASURED_S
    rows_per_s = (fleet.rows_scanned - rows) / MEASURED_S
    asked_per_s = (fleet.load_requests - asked) / node_seconds
    ages_s = load_ages_s(fleet)
    suspected = wrongly_suspected(fleet)
    controls = fleet.controls.values()
    isolated = sum(not control.rounds.is_in_contact for control in controls) / size
    changes_sent = fleet.traffic.sent_bytes
    took_s = [await fleet.until_in_force(await fleet.change()) for _ in range(CHANGES)]
    change_bytes = (fleet.traffic.sent_bytes - changes_sent) / size / CHANGES
    change_bytes -= sent_bytes * statistics.mean(took_s)
    return (
        f"{size:5d} {engines:7d} {2 * sent:6.1f} {2 * sent_bytes / 1e3:6.2f}"
        f" {100 * used_s / node_seconds:6.2f} {reads_per_s:7.1f} {rows_per_s:7.0f}"
        f" {asked_per_s:6.2f} {max(took_s):7.2f} {statistics.median(ages_s):6.2f}"
        f" {max(ages_s):7.2f} {2 * change_bytes:8.0f}"
        f" {100 * suspected:9.2f} {100 * isolated:7.1f}"
    )


def wrongly_suspected(fleet: Fleet) -> float:
    """Return the share of live instances that nodes omit from their answers."""
    answered = sum(len(control.instances) for control in fleet.controls.values())
    return 1 - answered / fleet.size**2


def load_ages_s(fleet: Fleet) -> list[float]:
    """Return the ages of all load reports of engines in a node's own data centre."""
    now_s = fleet.clock.monotonic()
    return [
        now_s - sample.at_s
        for number, control in fleet.controls.items()
        for engine in control.inventories["oro-recupero"].engines
        if engine.data_centre == fleet.data_centre_of(number)
        and (sample := control.loads.get(engine.address)) is not None
    ]


def main() -> None:
    """Print a line for each size given on the command line."""
    logging.disable(logging.CRITICAL)
    print(
        "nodes engines  msg/s   kB/s  %core reads/s  rows/s asks/s force_s"
        "  age50 age_max B/change suspect_%  alone_%"
    )
    for size in map(int, sys.argv[1:] or ["7", "30", "90"]):
        print(run_virtual(lambda size=size: measure(size)), flush=True)


if __name__ == "__main__":
    main()
