"""Cost of a long program's history: time to compute prefix keys, bytes of its state.

Compares computing each turn's key from all turns with continuing from the prefix of the
turn before, and the encoded state that contains old calls with one whose old calls are
in the object store; up to the length of the longest program expected (440 turns).

Usage: ``PYTHONPATH=src:. python experiments/history.py``
"""

from __future__ import annotations

import asyncio
import time

import msgspec
from tests.test_history import an_index, finished

from carobspur.history import Histories, model_prefix, should_spill
from carobspur_standins.objects import MemoryObjects

TURNS = (55, 110, 220, 440)
BYTES_PER_TURN = 9_000


async def _measure(
    turns: int, *, spills: bool, keeps_prefix: bool
) -> tuple[float, int]:
    """Return the seconds spent on keys over all turns, and the bytes of the state.

    Args:
        turns: Turns of the program.
        spills: Whether old calls are moved to the object store.
        keeps_prefix: Whether a turn continues from the prefix of the turn before.
    """
    objects = MemoryObjects()
    program_index, program = an_index()
    spent_s = 0.0
    for number in range(1, turns + 1):
        program_index.apply(finished(number, size=BYTES_PER_TURN))
        start_s = time.perf_counter()
        if not keeps_prefix:
            program.prefixes.clear()
        model_prefix(program, "model")
        spent_s += time.perf_counter() - start_s
        if spills and should_spill(program):
            await Histories(objects).spill(program)
    return spent_s, len(msgspec.json.encode(program))


def main() -> None:
    """Print a line for each length of the program."""
    print(
        "turns  last-turn key: all again, kept (us a turn)  state bytes: all, spilled"
    )
    for turns in TURNS:
        again_s, whole = asyncio.run(_measure(turns, spills=False, keeps_prefix=False))
        kept_s, small = asyncio.run(_measure(turns, spills=True, keeps_prefix=True))
        print(
            f"{turns:5d} {again_s / turns * 1e6:12.0f} {kept_s / turns * 1e6:8.0f} "
            f"{whole:12d} {small:8d}"
        )


if __name__ == "__main__":
    main()
