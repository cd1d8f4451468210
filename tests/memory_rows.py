"""A row store in memory for tests of what gateways keep in rows."""

from __future__ import annotations

import asyncio

from carobspur.gateway.rows import (
    Row,
    RowKey,
    RowStoreAwayError,
    RowWrite,
    Snapshot,
)

ANSWER_S = 0.01


class MemoryRowStore:
    """Row store without versions, whose partitions may be silent.

    Attributes:
        rows: Value of each row.
        writes: Number of write calls.
        silent: Names of partitions that do not answer.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, bytes] = {}
        self.writes = 0
        self.silent: set[str] = set()

    async def write(self, writes: list[RowWrite], *, timeout_s: float) -> int:
        """Write or remove rows of one partition."""
        self.writes += 1
        for write in writes:
            await self._answer(write.key.partition, timeout_s)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = write.value
        return 1

    async def read(
        self,
        table: str,
        partition: str,
        *,
        first: str = "",
        end: str = "",
        timeout_s: float,
    ) -> Snapshot:
        """Read the rows of a partition with ``first`` <= key < ``end``."""
        await self._answer(partition, timeout_s)
        found = [
            Row(key, value, 1)
            for key, value in self.rows.items()
            if (key.table, key.partition) == (table, partition)
            and first <= key.key
            and (not end or key.key < end)
        ]
        return Snapshot(found, 1)

    async def _answer(self, partition: str, timeout_s: float) -> None:
        if partition in self.silent:
            await asyncio.sleep(timeout_s)
            raise RowStoreAwayError("no answer")
        await asyncio.sleep(ANSWER_S)
