"""Stores rows of turns in the first of a few partitions that answers.

Some partitions of the row store may not answer for seconds while the others do. The row
of a turn is written once and never changes, so copies of it may be in several
partitions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._futures import cancelled_at_exit
from .decisions import DecisionLog
from .partition import partition_of, partition_timeout_s
from .rows import RowKey, RowStore, RowStoreError, RowWrite

TABLE = "turns"
CANDIDATE_PARTS = 3
"""Partitions in which a turn's row may be: if two fifths of all partitions are silent,
15 of 16 turns still have one that answers."""


def turn_partitions(turn: str) -> list[str]:
    """Return the partitions in which a turn's row may be, in the order they are tried.

    Args:
        turn: Request id of the turn.
    """
    names = [turn, *(f"{turn}/{number}" for number in range(1, CANDIDATE_PARTS))]
    return [partition_of(name) for name in names]


class TurnRows:
    """Writes each turn's row to a partition that answers, and finds it again.

    Args:
        store: The row store.
        usual_s: Returns how long the store usually takes to answer.
        is_unreachable: Returns whether no gateway reaches the store.
        log: Decision log.
    """

    __slots__ = ("_is_unreachable", "_log", "_store", "_usual_s")

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
        self._is_unreachable = is_unreachable
        self._log = log

    def __repr__(self) -> str:
        return f"TurnRows({self._store!r})"

    async def write(self, turn: str, value: bytes, *, timeout_s: float) -> list[RowKey]:
        """Write a turn's row to the first partition that answers.

        While a partition is silent, the next one is tried as well.

        Args:
            turn: Request id of the turn.
            value: Content of the row.
            timeout_s: Longest time until a partition must have confirmed the row.

        Returns:
            Keys of all rows that may have been written.

        Raises:
            RowStoreError: No partition confirmed the row in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        keys: list[RowKey] = []
        with cancelled_at_exit() as writing:
            for partition in turn_partitions(turn):
                key = RowKey(TABLE, partition, turn)
                keys.append(key)
                write = self._store.write(
                    [RowWrite(key, value)], timeout_s=_remaining_s(deadline)
                )
                writing.add(asyncio.ensure_future(write))
                if await self._first_success_in_time(writing):
                    return keys
                if self._is_unreachable():
                    # In an outage no partition answers, and the calls already made wait
                    # until a gateway reaches the store again.
                    break
                self._log_silent_partition(turn, partition)
            if await _first_success(writing):
                return keys
            for task in writing:
                task.result()
            raise RowStoreError("no partition confirmed the turn's row")

    async def find(self, turn: str, *, timeout_s: float) -> bytes | None:
        """Return the content of a turn's row; ``None`` if no partition has it.

        Args:
            turn: Request id of the turn.
            timeout_s: Longest time to wait for the partitions.

        Raises:
            RowStoreError: A partition that may have the row did not answer in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        first, *spare = turn_partitions(turn)
        with cancelled_at_exit() as reading:
            reading.add(asyncio.ensure_future(self._read(first, turn, deadline)))
            if found := await self._first_success_in_time(reading):
                return found
            if not all(task.done() for task in reading):
                self._log_silent_partition(turn, first)
            for partition in spare:
                reading.add(
                    asyncio.ensure_future(self._read(partition, turn, deadline))
                )
            if found := await _first_success(reading):
                return found
            for task in reading:
                task.result()
            return None

    async def _read(self, partition: str, turn: str, deadline: float) -> bytes | None:
        page = await self._store.read(
            TABLE,
            partition,
            first=turn,
            end=turn + "\x00",
            timeout_s=_remaining_s(deadline),
        )
        return next((row.value for row in page.rows if row.value is not None), None)

    def _log_silent_partition(self, turn: str, partition: str) -> None:
        self._log.record(
            "part_silent", turn=turn, part=partition, usual_s=round(self._usual_s(), 3)
        )

    async def _first_success_in_time(
        self, tasks: set[asyncio.Task]
    ) -> bytes | int | None:
        """Return the first successful result of calls to partitions.

        ``None`` if all failed, or if none succeeded within the partition timeout.
        """
        deadline = asyncio.get_running_loop().time() + partition_timeout_s(
            self._usual_s()
        )
        return await _first_success(tasks, deadline=deadline)


async def _first_success(
    tasks: set[asyncio.Task], *, deadline: float | None = None
) -> bytes | int | None:
    """Return the result of the first call that succeeds; ``None`` if there is none.

    A call succeeds if it returns the version of the row that it wrote, or the content
    of the row that it found.

    Args:
        tasks: Calls to the store.
        deadline: Loop time until which to wait; ``None`` to wait until all have ended.
    """
    loop = asyncio.get_running_loop()
    pending = set(tasks)
    while pending:
        remaining_s = None if deadline is None else max(0.0, deadline - loop.time())
        done, pending = await asyncio.wait(
            pending, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None and task.result():
                return task.result()
        if not done:
            return None
    return None


def _remaining_s(deadline: float) -> float:
    """Return the seconds until a deadline in loop time; 0 if it has passed."""
    return max(0.0, deadline - asyncio.get_running_loop().time())
