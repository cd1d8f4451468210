"""Reads the table on behalf of all control processes of a data centre.

Few processes read: the first of each data centre's rendezvous order, the next ones
when what is heard of the table grows old, all others only now and then. The time
between scans grows with the number of rows, so that the scans of all readers together
stay within a fixed rate of rows; a row that changes with the set of sessions brings
the next scan forward.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

import msgspec

from .clock import Clock
from .configuration import Configuration
from .gossip import Gossip, Item
from .in_force import NO_REVISION, InventoriesInForce, change_item, head_item
from .membership import (
    INSTANCE_PREFIX,
    instance_item,
    session_item,
)
from .placement import rank
from .session_row import SESSION_PREFIX, SESSIONS_CHANGED_KEY
from .shard_rows import SHARD_PREFIX, ShardRow
from .table import ABSENT_VERSION, Row, Table

SCANNED_ROWS_PER_S = 600.0
STANDBY_READERS = 3
STANDBY_AGE_S = 1.5
OTHERS_AGE_S = 2.0
OTHERS_PERIOD_S = 5.0
GAP_LIMIT_S = 1.0
MIN_SCAN_PERIOD_S = 1.0
MAX_CHANGES_READ = 64

_logger = logging.getLogger(__name__)


def reader_order(data_centre: str, instances: Iterable[str]) -> list[str]:
    """Return in which order the instances of a data centre read the table."""
    return rank(f"reader\x00{data_centre}", instances)


class TableReader:
    """Reads the table and turns what it finds into items.

    Args:
        table: The table service.
        configuration: Reads inventories.
        gossip: Where the items go.
        in_force: The inventories in force here.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_gap_since_s",
        "_gossip",
        "_in_force",
        "_read_s",
        "_scanned_s",
        "_sessions_change",
        "_table",
        "_tried_s",
    )

    def __init__(
        self,
        *,
        table: Table,
        configuration: Configuration,
        gossip: Gossip,
        in_force: InventoriesInForce,
        clock: Clock,
    ) -> None:
        self._table = table
        self._configuration = configuration
        self._gossip = gossip
        self._in_force = in_force
        self._clock = clock
        self._read_s = float("-inf")
        self._tried_s = float("-inf")
        self._scanned_s = float("-inf")
        self._gap_since_s = float("inf")
        self._sessions_change = ABSENT_VERSION

    @property
    def read_s(self) -> float:
        """When the head was last read here."""
        return self._read_s

    def is_due(self, place: int, table_age_s: float) -> bool:
        """Return whether this process should read now.

        Args:
            place: Its place in its data centre's order of readers.
            table_age_s: Age of the freshest reading that it has heard of.
        """
        if self._in_force.revision == NO_REVISION or place == 0:
            return True
        if place < STANDBY_READERS:
            return table_age_s > STANDBY_AGE_S
        waited_s = self._clock.monotonic() - self._tried_s
        return table_age_s > OTHERS_AGE_S and waited_s > OTHERS_PERIOD_S

    async def read(self, *, readers: int) -> list[str]:
        """Read what is new.

        Args:
            readers: Processes that read regularly, this one included.

        Returns:
            The organisations whose inventories changed.
        """
        started_s = self._clock.monotonic()
        self._tried_s = started_s
        head = await self._configuration.head()
        changed = await self._follow(head)
        sessions = await self._table.read(SESSIONS_CHANGED_KEY)
        change = ABSENT_VERSION if sessions is None else sessions.version
        waited_s = started_s - self._scanned_s
        is_new = change != self._sessions_change and waited_s >= MIN_SCAN_PERIOD_S
        if is_new or waited_s >= self._scan_period_s(readers):
            await self._scan()
            self._scanned_s = started_s
            self._sessions_change = change
        self._read_s = started_s
        return changed

    async def fill_gap(self) -> list[str]:
        """Read changes that gossip told of and did not bring in time."""
        shown = self._gossip.store.get(head_item(0).key)
        now_s = self._clock.monotonic()
        if shown is None or shown.version <= self._in_force.revision:
            self._gap_since_s = float("inf")
            return []
        self._gap_since_s = min(self._gap_since_s, now_s)
        if now_s - self._gap_since_s < GAP_LIMIT_S:
            return []
        return await self._follow(shown.version)

    async def _follow(self, head: int) -> list[str]:
        known = self._in_force.revision
        if head == known:
            return []
        if head < known:
            _logger.error("the table went back to revision %d; ignored", head)
            return []
        if known == NO_REVISION or head - known > MAX_CHANGES_READ:
            rows = await self._configuration.organisations()
            self._gossip.put(head_item(head), is_new_to_peers=known != NO_REVISION)
            return self._in_force.apply(rows, head)
        rows = []
        for change in await self._configuration.changes_since(known, head):
            row = await self._configuration.organisation(change.organisation)
            self._gossip.put(change_item(change.revision, row))
            rows.append(row)
        self._gossip.put(head_item(head))
        return self._in_force.apply(rows, head)

    def _scan_period_s(self, readers: int) -> float:
        return len(self._gossip.store) * readers / SCANNED_ROWS_PER_S

    async def _scan(self) -> None:
        await self._scan_prefix(SESSION_PREFIX, session_item)
        await self._scan_prefix(SHARD_PREFIX, _shard_item)
        await self._scan_prefix(INSTANCE_PREFIX, instance_item)

    async def _scan_prefix(self, prefix: str, item_of: Callable[[Row], Item]) -> None:
        store = self._gossip.store
        is_first = self._scanned_s == float("-inf")
        before = list(store.with_prefix(prefix))
        found = {row.key: row for row in await self._table.scan(prefix)}
        for row in found.values():
            item = item_of(row)
            known = store.get(row.key)
            is_session = prefix == SESSION_PREFIX
            if known is None or not is_session or known.value != item.value:
                self._gossip.put(item, is_new_to_peers=not is_first)
        for item in before:
            if item.key not in found:
                self._gossip.put(Item(item.key, item.version, None))


def _shard_item(row: Row) -> Item:
    session = msgspec.json.decode(row.value, type=ShardRow).session
    return Item(row.key, row.version, session.encode())
