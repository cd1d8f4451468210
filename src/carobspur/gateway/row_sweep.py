"""Removes rows whose time is over: own ones soon, those of dead gateways rarely."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict, deque
from collections.abc import Callable

from .decisions import DecisionLog
from .partition import all_partitions
from .rows import RowKey, RowStore, RowStoreError, RowWrite

OWN_SWEEP_S = 120.0
"""Time in which the rows that this gateway wrote are gone through, part by part: long
enough for several rows a call, short beside what the store holds."""
GATEWAYS_AT_OWN_SWEEP_S = 30
"""Up to so many gateways the parts are gone through that fast; with more it takes
longer in proportion, so that all together make 130 calls a second at most."""
ORPHAN_SWEEP_S = 20.0
"""Mean time between looks of one gateway at one part of a table: seven gateways see
all parts of two tables within the hour."""
ORPHAN_MARGIN_S = 300.0
"""Rows are orphans this long after their time: far beyond any jump of a clock."""
MAX_ROWS_PER_WRITE = 100
TIMEOUT_S = 2.0

ExpiryOf = Callable[[bytes], float]
"""Returns the Unix time in seconds after which a row of a table may go."""


def sweep_period_s(gateways: int) -> float:
    """Return the time in which a gateway goes through its rows of all parts."""
    return OWN_SWEEP_S * max(1.0, gateways / GATEWAYS_AT_OWN_SWEEP_S)


class RowSweeper:
    """Removes rows.

    Args:
        store: The row store.
        expiries: How rows of each table tell their time.
        log: Decision log.
        gateways: Returns how many gateways share the store.
    """

    __slots__ = ("_expiries", "_gateways", "_log", "_own", "_store")

    def __init__(
        self,
        store: RowStore,
        expiries: dict[str, ExpiryOf],
        log: DecisionLog,
        *,
        gateways: Callable[[], int],
    ) -> None:
        self._store = store
        self._expiries = expiries
        self._log = log
        self._gateways = gateways
        self._own: defaultdict[str, deque[tuple[float, RowKey]]] = defaultdict(deque)

    def record(self, key: RowKey, retention_s: float) -> None:
        """Remove a row that was written now once so many seconds have passed."""
        due = asyncio.get_running_loop().time() + retention_s
        self._own[key.partition].append((due, key))

    async def sweep_own_forever(self) -> None:
        """Remove rows of this gateway when their time is over."""
        partitions = all_partitions()
        while True:
            for partition in partitions:
                await asyncio.sleep(sweep_period_s(self._gateways()) / len(partitions))
                await self._remove(self._take_due(partition))

    def _take_due(self, partition: str) -> list[RowKey]:
        now = asyncio.get_running_loop().time()
        rows = self._own[partition]
        due = []
        while rows and rows[0][0] < now:
            due.append(rows.popleft()[1])
        return due

    async def sweep_orphans_forever(self) -> None:
        """Look at one random part of one table now and then."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * ORPHAN_SWEEP_S)
            table = random.choice(list(self._expiries))
            await self.sweep_orphans(table, random.choice(all_partitions()))

    async def sweep_orphans(self, table: str, partition: str) -> None:
        """Remove the rows of a part whose time is long over."""
        expiry_of = self._expiries[table]
        limit = time.time() - ORPHAN_MARGIN_S
        try:
            page = await self._store.read(table, partition, timeout_s=TIMEOUT_S)
        except RowStoreError as error:
            self._log.record("sweep_put_off", table=table, reason=error.message)
            return
        old = [
            row.key
            for row in page.rows
            if row.value is not None and expiry_of(row.value) < limit
        ]
        await self._remove(old)

    async def _remove(self, keys: list[RowKey]) -> None:
        for start in range(0, len(keys), MAX_ROWS_PER_WRITE):
            batch = keys[start : start + MAX_ROWS_PER_WRITE]
            try:
                await self._store.write(
                    [RowWrite(key, None) for key in batch], timeout_s=TIMEOUT_S
                )
            except RowStoreError as error:
                # The sweep of orphans finds them later.
                self._log.record("rows_left", rows=len(batch), reason=error.message)
