"""Detects sessions whose leases expired, by polling their rows."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

from .clock import Clock
from .errors import StoreUnavailableError
from .placement import first
from .session_row import session_key
from .table import Row, Table

# Sessions that watch each session.
WATCHER_COUNT = 3
# Reads of a row per lease time by the first watcher; the others read it once.
READS_PER_LEASE = 8
# Each further watcher waits this much longer, in lease times, before it acts.
BACKUP_DELAY_LEASES = 0.5
# A read is scheduled this long after the moment at which a session expires.
READ_MARGIN_S = 0.001
MIN_WAIT_S = 0.01


@dataclass(slots=True)
class _Watch:
    """Observed state of one watched session's row; times are monotonic, in seconds.

    Attributes:
        rank: Order in which the watchers of a session act, from 0.
        version: Version that was read last; negative before the first read.
        unchanged_since_s: When the first answer with this version arrived.
        read_sent_s: When the last read that was answered was sent.
        due_s: When to read the row again.
    """

    rank: int
    version: int = -1
    unchanged_since_s: float = 0.0
    read_sent_s: float = 0.0
    due_s: float = 0.0


def watched_by(session: str, sessions: Collection[str]) -> list[str]:
    """Return the sessions that a session watches; the index is its rank among watchers.

    Sessions are placed on a ring by their hashes, and each one watches the
    ``WATCHER_COUNT`` sessions before it. Any run of dead sessions on the ring is
    followed by a live one, which takes over the last of the run and then watches the
    one before.
    """
    return _neighbours(session, sessions, -1) if session in sessions else []


def watchers_of(session: str, sessions: Iterable[str]) -> list[str]:
    """Return the sessions that watch a session, in the order in which they act.

    Args:
        session: Id of the session; it may have ended.
        sessions: Ids of the live sessions.
    """
    return _neighbours(session, {*sessions, session}, 1)


def successors(shard: int, owner: str, sessions: Iterable[Any]) -> list[Any]:
    """Return the sessions that probably hold a shard if its owner does not.

    These are the session to which the shard is assigned without the owner, and the
    session that takes over the owner.

    Args:
        shard: Number of the shard.
        owner: Id of the session that held the shard; it may have ended.
        sessions: Live sessions, as objects with ``id`` and ``leaving``.
    """
    candidates = {
        item.id: item for item in sessions if not item.leaving and item.id != owner
    }
    likely = [first(str(shard), candidates), *watchers_of(owner, candidates)[:1]]
    return [candidates[name] for name in dict.fromkeys(likely) if name]


def _neighbours(session: str, sessions: Iterable[str], step: int) -> list[str]:
    ring = sorted(sessions, key=xxhash.xxh64_intdigest)
    position = ring.index(session)
    count = min(WATCHER_COUNT, len(ring) - 1)
    return [
        ring[(position + step * offset) % len(ring)] for offset in range(1, count + 1)
    ]


class LeaseWatch:
    """Finds watched sessions whose rows stayed unchanged for the lease time.

    This time is measured from the first answer with a row's version to the sending of
    the last read that returned the same version. It restarts whenever the table does
    not answer or this process pauses: the holder may then be alive but unable to
    renew, or may have renewed the lease without this process seeing it.

    Args:
        table: The table service.
        clock: Source of time.
        lease_s: Lease time of all sessions, in seconds.
    """

    __slots__ = ("_clock", "_lease_s", "_table", "_watches")

    def __init__(self, table: Table, clock: Clock, lease_s: float) -> None:
        self._table = table
        self._clock = clock
        self._lease_s = lease_s
        self._watches: dict[str, _Watch] = {}

    def __repr__(self) -> str:
        return f"LeaseWatch({sorted(self._watches)})"

    @property
    def lease_s(self) -> float:
        """Lease time of all sessions, in seconds."""
        return self._lease_s

    def update_sessions(self, session: str, sessions: Collection[str]) -> None:
        """Select the sessions to watch after the set of sessions changed.

        The state of sessions that stay watched is kept. A session for which
        this watcher's rank improved is read at once.

        Args:
            session: Id of the own session.
            sessions: Ids of all sessions.
        """
        watched = watched_by(session, sessions)
        known = self._watches
        self._watches = {}
        for rank, name in enumerate(watched):
            watch = known.get(name, _Watch(rank))
            if rank < watch.rank:
                watch.due_s = 0.0
            watch.rank = rank
            self._watches[name] = watch

    def due_in_s(self) -> float:
        """Return the time in seconds until the next row should be read."""
        due_s = min((watch.due_s for watch in self._watches.values()), default=0.0)
        wait_s = due_s - self._clock.monotonic()
        return max(MIN_WAIT_S, wait_s if self._watches else self._lease_s)

    async def expired(self) -> list[Row]:
        """Read the rows that are due and return those of expired sessions.

        Raises:
            StoreUnavailableError: The table service did not answer.
        """
        found = []
        for session, watch in list(self._watches.items()):
            if self._clock.monotonic() < watch.due_s:
                continue
            row = await self._read(session, watch)
            if row is not None and self._is_expired(watch):
                found.append(row)
        return found

    def _period_s(self, watch: _Watch) -> float:
        return self._lease_s / (READS_PER_LEASE if watch.rank == 0 else 1)

    async def _read(self, session: str, watch: _Watch) -> Row | None:
        sent_s = self._clock.monotonic()
        try:
            row = await self._table.read(session_key(session))
        except StoreUnavailableError:
            watch.version = -1
            raise
        period_s = self._period_s(watch)
        has_paused = sent_s - watch.read_sent_s > period_s + self._lease_s / 2
        watch.read_sent_s = sent_s
        watch.due_s = sent_s + period_s
        if row is None:
            return None
        if row.version != watch.version or has_paused:
            watch.version = row.version
            watch.unchanged_since_s = self._clock.monotonic()
        due_s = watch.unchanged_since_s + self._expiry_s(watch) + READ_MARGIN_S
        if due_s > sent_s:
            watch.due_s = min(watch.due_s, due_s)
        return row

    def _expiry_s(self, watch: _Watch) -> float:
        return self._lease_s * (1 + BACKUP_DELAY_LEASES * watch.rank)

    def _is_expired(self, watch: _Watch) -> bool:
        return watch.read_sent_s - watch.unchanged_since_s >= self._expiry_s(watch)
