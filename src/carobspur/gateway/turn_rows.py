"""Rows of turns, in the first of a few parts that answers.

The load it answers: some parts of the row store are silent for seconds while the others
go on. A turn's row is written once and never changes, so it may stand in several parts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ._futures import consume_error
from .decisions import DecisionLog
from .partition import partition_of, partition_timeout_s
from .rows import RowKey, RowStore, RowStoreError, RowWrite

TABLE = "turns"
CANDIDATE_PARTS = 3
"""Parts in which a turn's row may stand: with two fifths of all parts silent, 15 of 16
turns find one that answers."""


def turn_partitions(turn: str) -> list[str]:
    """Return the parts in which a turn's row may stand, the usual one first.

    Args:
        turn: Request id of the turn.
    """
    names = [turn, *(f"{turn}/{number}" for number in range(1, CANDIDATE_PARTS))]
    return [partition_of(name) for name in names]


class TurnRows:
    """Writes and finds the rows of turns.

    Args:
        store: The row store.
        usual_s: Returns how long the store usually takes.
        is_unreachable: Returns whether no gateway reaches the store.
        log: Decision log.
    """

    __slots__ = ("_is_away", "_log", "_store", "_usual_s")

    def __init__(
        self,
        store: RowStore,
        *,
        usual_s: Callable[[], float],
        is_unreachable: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._usual_s = usual_s
        self._is_away = is_unreachable
        self._log = log

    def __repr__(self) -> str:
        return f"TurnRows({self._store!r})"

    async def write(self, turn: str, value: bytes, *, timeout_s: float) -> list[RowKey]:
        """Write a turn's row to the first part that answers.

        Returns:
            Every row that may have been written.

        Raises:
            RowStoreError: No part has confirmed it in time.
        """
        end = asyncio.get_running_loop().time() + timeout_s
        keys: list[RowKey] = []
        with _cancelled_at_exit() as writing:
            for part in turn_partitions(turn):
                key = RowKey(TABLE, part, turn)
                keys.append(key)
                write = self._store.write(
                    [RowWrite(key, value)], timeout_s=_remaining_s(end)
                )
                writing.add(asyncio.ensure_future(write))
                if await self._first_success_in_time(writing):
                    return keys
                if self._is_away():
                    # Then every part is silent, and the calls wait for its return.
                    break
                self._record_silent(turn, part)
            if await _first_success(writing):
                return keys
            for task in writing:
                task.result()
            raise RowStoreError("no part has confirmed the row")

    async def find(self, turn: str, *, timeout_s: float) -> bytes | None:
        """Return a turn's row; ``None`` where no part has it.

        Raises:
            RowStoreError: A part that may have it did not answer in time.
        """
        end = asyncio.get_running_loop().time() + timeout_s
        first, *spare = turn_partitions(turn)
        with _cancelled_at_exit() as reading:
            reading.add(asyncio.ensure_future(self._read(first, turn, end)))
            if found := await self._first_success_in_time(reading):
                return found
            if not all(task.done() for task in reading):
                self._record_silent(turn, first)
            for part in spare:
                reading.add(asyncio.ensure_future(self._read(part, turn, end)))
            if found := await _first_success(reading):
                return found
            for task in reading:
                task.result()
            return None

    async def _read(self, part: str, turn: str, end: float) -> bytes | None:
        page = await self._store.read(
            TABLE, part, first=turn, end=turn + "\x00", timeout_s=_remaining_s(end)
        )
        return next((row.value for row in page.rows if row.value is not None), None)

    def _record_silent(self, turn: str, part: str) -> None:
        self._log.record(
            "part_silent", turn=turn, part=part, usual_s=round(self._usual_s(), 3)
        )

    async def _first_success_in_time(
        self, tasks: set[asyncio.Task]
    ) -> bytes | int | None:
        """Wait until a call succeeds, all have ended, or the parts seem silent."""
        end = asyncio.get_running_loop().time() + partition_timeout_s(self._usual_s())
        return await _first_success(tasks, end=end)


async def _first_success(
    tasks: set[asyncio.Task], *, end: float | None = None
) -> bytes | int | None:
    """Return what the first successful call gave, once there is one.

    Args:
        tasks: Calls under way.
        end: Loop time until which to wait; ``None`` until all have ended.
    """
    loop = asyncio.get_running_loop()
    under_way = set(tasks)
    while under_way:
        remaining_s = None if end is None else max(0.0, end - loop.time())
        done, under_way = await asyncio.wait(
            under_way, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None and task.result():
                return task.result()
        if not done:
            return None
    return None


def _remaining_s(end: float) -> float:
    return max(0.0, end - asyncio.get_running_loop().time())


@contextmanager
def _cancelled_at_exit() -> Iterator[set[asyncio.Task]]:
    """Give a set for calls, and end those that are under way at the end."""
    tasks: set[asyncio.Task] = set()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.add_done_callback(consume_error)
            task.cancel()
