"""Removes rows that have expired.

A gateway removes the rows that it wrote soon after their lifetime. Rows whose gateway
has died since are orphans, which any gateway finds by reading partitions at random.
"""

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
"""Period in which this gateway sweeps its own rows, partition by partition: long enough
to remove several rows with one call, short enough that expired rows are few among those
that the store holds."""
GATEWAYS_AT_OWN_SWEEP_S = 30
"""Largest number of gateways that sweep in ``OWN_SWEEP_S``. With more gateways the
period grows in proportion, so that all together make at most 130 calls a second."""
ORPHAN_SWEEP_S = 20.0
"""Mean time between two reads of a random partition by one gateway: in an hour seven
gateways make more reads than two tables have partitions."""
ORPHAN_MARGIN_S = 300.0
"""Time after its expiry from which a row is an orphan: far above any clock jump."""
LIFETIME_FACTOR = 2.0
"""Lifetime of a row in multiples of the retention that it serves. What comes within one
retention may rely on the row without writing it again: a turn that continues a history
or that runs within an allowance."""
CLOCK_MARGIN_S = 30.0
"""Added to the lifetime of a row, and required beyond the retention of a turn that
refers to it: well above the difference between the clocks of two instances."""
MAX_ROWS_PER_WRITE = 100
TIMEOUT_S = 2.0

ExpiryOf = Callable[[bytes], float]
"""Returns the Unix time in seconds at which a row of a table expires."""


def row_lifetime_s(retention_s: float) -> float:
    """Return how long a row remains in the store.

    Args:
        retention_s: How long the turn or account must be kept after its last use.
    """
    return LIFETIME_FACTOR * retention_s + CLOCK_MARGIN_S


def sweep_period_s(gateways: int) -> float:
    """Return the period in which a gateway sweeps its own rows of all partitions."""
    return OWN_SWEEP_S * max(1.0, gateways / GATEWAYS_AT_OWN_SWEEP_S)


class RowSweeper:
    """Removes expired rows: those that this gateway wrote, and orphans.

    Args:
        store: The row store.
        expiries: For each table, the function that reads a row's expiry time.
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
        # Loop time of removal and key of each row, by partition.
        self._own: defaultdict[str, deque[tuple[float, RowKey]]] = defaultdict(deque)

    def record(self, key: RowKey, lifetime_s: float) -> None:
        """Schedule the removal of a row that this gateway has written just now.

        Args:
            key: The row.
            lifetime_s: How long it must remain.
        """
        due = asyncio.get_running_loop().time() + lifetime_s
        self._own[key.partition].append((due, key))

    async def sweep_own_forever(self) -> None:
        """Remove rows of this gateway after their lifetime."""
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
        """Sweep a random partition of a random table at random intervals."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * ORPHAN_SWEEP_S)
            table = random.choice(list(self._expiries))
            await self.sweep_orphans(table, random.choice(all_partitions()))

    async def sweep_orphans(self, table: str, partition: str) -> None:
        """Remove the orphans of one partition."""
        expiry_of = self._expiries[table]
        expired_before = time.time() - ORPHAN_MARGIN_S
        try:
            page = await self._store.read(table, partition, timeout_s=TIMEOUT_S)
        except RowStoreError as error:
            self._log.record("sweep_put_off", table=table, reason=error.message)
            return
        orphans = [
            row.key
            for row in page.rows
            if row.value is not None and expiry_of(row.value) < expired_before
        ]
        await self._remove(orphans)

    async def _remove(self, keys: list[RowKey]) -> None:
        for start in range(0, len(keys), MAX_ROWS_PER_WRITE):
            batch = keys[start : start + MAX_ROWS_PER_WRITE]
            try:
                await self._store.write(
                    [RowWrite(key, None) for key in batch], timeout_s=TIMEOUT_S
                )
            except RowStoreError as error:
                # Sweeps of orphans remove them later.
                self._log.record("rows_left", rows=len(batch), reason=error.message)
