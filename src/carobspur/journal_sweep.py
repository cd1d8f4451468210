"""Deletes the journals of ended sessions once no shard's row refers to them."""

from __future__ import annotations

import logging

import msgspec

from .clock import Clock
from .journal import journal_prefix
from .placement import first
from .session import Session
from .session_row import ENDED_PREFIX, ended_key
from .shard_rows import SHARD_PREFIX, ShardRow
from .table import Table, Write

MAX_DELETES_PER_COMMIT = 100

_logger = logging.getLogger(__name__)


class JournalSweep:
    """Deletes the journals of those ended sessions that are assigned to this scheduler.

    No session adds a reference to an ended session's journal to a shard's row.
    Therefore, once a scan of all shards' rows finds no reference, the journal can be
    deleted.

    Args:
        table: The table service.
        clock: Source of time.
        session: This scheduler's session, which commits the deletions.
        period_s: Time between two sweeps, in seconds.
    """

    __slots__ = ("_clock", "_due_s", "_period_s", "_session", "_table")

    def __init__(
        self, table: Table, clock: Clock, session: Session, *, period_s: float
    ) -> None:
        self._table = table
        self._clock = clock
        self._session = session
        self._period_s = period_s
        self._due_s = clock.monotonic() + period_s

    async def step(self, eligible: list[str]) -> None:
        """Delete unreferenced journals, if the last sweep was at least a period ago.

        Args:
            eligible: Ids of the sessions among which the ended sessions are divided.

        Raises:
            StoreError: The table service failed.
            SessionLostError: This session was taken over.
        """
        if self._clock.monotonic() < self._due_s:
            return
        self._due_s = self._clock.monotonic() + self._period_s
        ended = [
            row.key.removeprefix(ENDED_PREFIX)
            for row in await self._table.scan(ENDED_PREFIX)
        ]
        assigned = [name for name in ended if first(name, eligible) == self._session.id]
        if not assigned:
            return
        referenced = await self._referenced_sessions()
        for name in assigned:
            if name not in referenced:
                await self._delete(name)

    async def _referenced_sessions(self) -> set[str]:
        rows = await self._table.scan(SHARD_PREFIX)
        shards = [msgspec.json.decode(row.value, type=ShardRow) for row in rows]
        return {span.session for shard in shards for span in shard.spans}

    async def _delete(self, session: str) -> None:
        rows = await self._table.scan(journal_prefix(session))
        keys = [row.key for row in rows]
        while keys:
            batch, keys = keys[:MAX_DELETES_PER_COMMIT], keys[MAX_DELETES_PER_COMMIT:]
            await self._session.commit(writes=[Write(key, None) for key in batch])
        await self._session.commit(writes=[Write(ended_key(session), None)])
        _logger.info("deleted %d journal rows of session %s", len(rows), session)
