"""Time to recover a dead scheduler's shards, by the length of its journal.

Measures ``Recovery`` in real time on in-memory stand-ins, for journals with ten records
in each commit.

Usage: ``PYTHONPATH=src:. python experiments/recovery.py``
"""

from __future__ import annotations

import asyncio
import time

from tests.test_history import finished

from carobspur.journal import Chunk, ProgramStarted, Record, chunk_key, encode_chunk
from carobspur.recovery import Recovery
from carobspur.shard_rows import ShardRow, Span, read_shards, shard_write
from carobspur.table import Write
from carobspur_standins.objects import MemoryObjects
from carobspur_standins.table import MemoryTable

SHARDS = 16
COMMITS = (50, 200, 800, 3200)
RECORDS_PER_COMMIT = 10
BYTES_PER_CALL = 1000


def _journal(commits: int) -> MemoryTable:
    table = MemoryTable()
    starts: list[Record] = [
        ProgramStarted(f"p{number}", "o", "u", "a", 0.0)
        for number in range(RECORDS_PER_COMMIT)
    ]
    table.apply([], [Write(chunk_key("s", 0), encode_chunk(Chunk(1, starts)))])
    for commit in range(2, commits + 2):
        records: list[Record] = []
        for number in range(RECORDS_PER_COMMIT):
            record = finished(commit - 1, size=BYTES_PER_CALL)
            records.append(type(record)(**{**_fields(record), "program": f"p{number}"}))
        chunk = encode_chunk(Chunk(commit, records))
        table.apply([], [Write(chunk_key("s", commit), chunk)])
    row = ShardRow("s", "", [Span("s", 1)])
    table.apply([], [shard_write(number, row) for number in range(SHARDS)])
    return table


def _fields(record: object) -> dict[str, object]:
    return {name: getattr(record, name) for name in record.__struct_fields__}


async def _measure(commits: int) -> tuple[float, int]:
    table = _journal(commits)
    rows = await read_shards(table, list(range(SHARDS)))
    start_s = time.perf_counter()
    found = await Recovery(table, MemoryObjects(), SHARDS).recover(rows)
    spent_s = time.perf_counter() - start_s
    calls = sum(
        program.next_number - 1 for programs in found.values() for program in programs
    )
    return spent_s, calls


def main() -> None:
    """Print a line for each length of the journal."""
    print("commits  calls  seconds")
    for commits in COMMITS:
        spent_s, calls = asyncio.run(_measure(commits))
        print(f"{commits:7d} {calls:6d} {spent_s:8.3f}")


if __name__ == "__main__":
    main()
