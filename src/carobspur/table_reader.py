"""Reads the table service on behalf of all control processes of a data centre.

In each data centre, only the first process in rendezvous order reads regularly. The
next ones, its standbys, read when the freshest known reading is too old; all other
processes then read too, but at long intervals. The time between scans grows with the
number of rows, so that the scans of all readers together stay within a fixed rate of
rows. A row that changes with the set of sessions triggers a scan early.
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

MAX_SCANNED_ROWS_PER_S = 600.0
"""Rows per second that the scans of all regular readers together may read."""
STANDBY_READERS = 3
"""Ranks below this one are the regular reader (0) and its standbys."""
STANDBY_MIN_AGE_S = 1.5
"""Age of the freshest known reading above which standbys read."""
OTHERS_MIN_AGE_S = 2.0
"""The same for all other processes."""
OTHERS_MIN_PERIOD_S = 5.0
"""Shortest time between two reads of one of those."""
MAX_GOSSIP_DELAY_S = 1.0
"""Time that gossip has to deliver an announced change before it is read here."""
MIN_SCAN_PERIOD_S = 1.0
MAX_CHANGES_READ = 64
"""Most changes that are read one by one; beyond, all inventories are read."""

_logger = logging.getLogger(__name__)


def reader_order(data_centre: str, instances: Iterable[str]) -> list[str]:
    """Return the instances of a data centre in the order in which they should read."""
    return rank(f"reader\x00{data_centre}", instances)


class TableReader:
    """Reads the table and publishes rows as gossip items.

    Args:
        table: The table service.
        configuration: Reads inventories and their changes.
        gossip: Distributes the items to other control processes.
        in_force: The inventories in force in this process; updated here.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_missing_since_s",
        "_gossip",
        "_in_force",
        "_last_read_s",
        "_last_scan_s",
        "_sessions_version",
        "_table",
        "_last_attempt_s",
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
        self._last_read_s = float("-inf")
        self._last_attempt_s = float("-inf")
        self._last_scan_s = float("-inf")
        self._missing_since_s = float("inf")
        self._sessions_version = ABSENT_VERSION

    @property
    def last_read_s(self) -> float:
        """Clock time at which the last successful read began."""
        return self._last_read_s

    def is_due(self, reader_rank: int, table_age_s: float) -> bool:
        """Return whether this process should read now.

        Args:
            reader_rank: Its position in the data centre's order of readers, from 0.
            table_age_s: Age of the freshest reading it knows, its own or a peer's.
        """
        if self._in_force.revision == NO_REVISION or reader_rank == 0:
            return True
        if reader_rank < STANDBY_READERS:
            return table_age_s > STANDBY_MIN_AGE_S
        elapsed_s = self._clock.monotonic() - self._last_attempt_s
        return table_age_s > OTHERS_MIN_AGE_S and elapsed_s > OTHERS_MIN_PERIOD_S

    async def read(self, *, readers: int) -> list[str]:
        """Read inventory changes, and scan the other rows if a scan is due.

        Args:
            readers: Number of processes that read regularly, this one included.

        Returns:
            The organisations whose inventories changed.
        """
        started_s = self._clock.monotonic()
        self._last_attempt_s = started_s
        head = await self._configuration.head()
        changed = await self._apply_changes_to(head)
        sessions = await self._table.read(SESSIONS_CHANGED_KEY)
        sessions_version = ABSENT_VERSION if sessions is None else sessions.version
        elapsed_s = started_s - self._last_scan_s
        is_early_scan_due = (
            sessions_version != self._sessions_version
            and elapsed_s >= MIN_SCAN_PERIOD_S
        )
        if is_early_scan_due or elapsed_s >= self._scan_period_s(readers):
            await self._scan()
            self._last_scan_s = started_s
            self._sessions_version = sessions_version
        self._last_read_s = started_s
        return changed

    async def read_missing_changes(self) -> list[str]:
        """Read changes that gossip announced but did not deliver in time.

        Returns:
            The organisations whose inventories changed.
        """
        announced = self._gossip.store.get(head_item(0).key)
        now_s = self._clock.monotonic()
        if announced is None or announced.version <= self._in_force.revision:
            self._missing_since_s = float("inf")
            return []
        self._missing_since_s = min(self._missing_since_s, now_s)
        if now_s - self._missing_since_s < MAX_GOSSIP_DELAY_S:
            return []
        return await self._apply_changes_to(announced.version)

    async def _apply_changes_to(self, head: int) -> list[str]:
        """Put all changes up to a revision in force and publish them."""
        known = self._in_force.revision
        if head == known:
            return []
        if head < known:
            _logger.error(
                "the table shows revision %d, below the one in force; ignored", head
            )
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
        """Return the time between scans that keeps all readers within the rate."""
        return len(self._gossip.store) * readers / MAX_SCANNED_ROWS_PER_S

    async def _scan(self) -> None:
        await self._scan_prefix(SESSION_PREFIX, session_item)
        await self._scan_prefix(SHARD_PREFIX, _shard_item)
        await self._scan_prefix(INSTANCE_PREFIX, instance_item)

    async def _scan_prefix(self, prefix: str, item_of: Callable[[Row], Item]) -> None:
        """Publish the rows with a prefix, and removals of those that disappeared."""
        store = self._gossip.store
        is_first_scan = self._last_scan_s == float("-inf")
        known_items = list(store.with_prefix(prefix))
        found = {row.key: row for row in await self._table.scan(prefix)}
        for row in found.values():
            item = item_of(row)
            known = store.get(row.key)
            is_session = prefix == SESSION_PREFIX
            if known is None or not is_session or known.value != item.value:
                self._gossip.put(item, is_new_to_peers=not is_first_scan)
        for item in known_items:
            if item.key not in found:
                self._gossip.put(Item(item.key, item.version, None))


def _shard_item(row: Row) -> Item:
    session = msgspec.json.decode(row.value, type=ShardRow).session
    return Item(row.key, row.version, session.encode())
