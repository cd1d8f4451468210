"""Watching other sessions' leases by reads of their single rows."""

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

WATCHER_COUNT = 3
READS_PER_LEASE = 8
BACKUP_DELAY_LEASES = 0.5
MARGIN_S = 0.001
MIN_WAIT_S = 0.01


@dataclass(slots=True)
class _Watch:
    """What one watched session's row showed.

    Attributes:
        rank: 0 for the watcher that acts first, then 1 and so on.
        version: The version that was seen last; negative before the first read.
        unchanged_since_s: When an answer first showed this version.
        read_sent_s: When the last read that had an answer was sent.
        due_s: When to read again.
    """

    rank: int
    version: int = -1
    unchanged_since_s: float = 0.0
    read_sent_s: float = 0.0
    due_s: float = 0.0


def watched_by(session: str, sessions: Collection[str]) -> list[str]:
    """Return the sessions that a session watches, its first duty first.

    Sessions stand on a ring by their hashes, and each watches the few before it. A run
    of dead sessions always ends at a live one, so that somebody watches the last of
    it, and then the next.
    """
    return _neighbours(session, sessions, -1) if session in sessions else []


def watchers_of(session: str, sessions: Iterable[str]) -> list[str]:
    """Return the sessions that watch a session, the one that acts first first.

    Args:
        session: The session; it may have ended.
        sessions: The sessions that are live.
    """
    return _neighbours(session, {*sessions, session}, 1)


def successors(shard: int, owner: str, sessions: Iterable[Any]) -> list[Any]:
    """Return the sessions that probably hold a shard if its owner does not.

    Who should hold it from now on, and who takes over the owner.

    Args:
        shard: Number of the shard.
        owner: Id of the session that held it; it may have ended.
        sessions: Live sessions, with ``id`` and ``leaving``.
    """
    candidates = {s.id: s for s in sessions if not s.leaving and s.id != owner}
    likely = [first(str(shard), candidates), *watchers_of(owner, candidates)[:1]]
    return [candidates[name] for name in dict.fromkeys(likely) if name]


def _neighbours(session: str, sessions: Iterable[str], step: int) -> list[str]:
    ring = sorted(sessions, key=xxhash.xxh64_intdigest)
    at = ring.index(session)
    count = min(WATCHER_COUNT, len(ring) - 1)
    return [ring[(at + step * n) % len(ring)] for n in range(1, count + 1)]


class LeaseWatch:
    """Tells which of the watched sessions have been silent for the lease time.

    The silence of a session is the time from the answer that first showed a version to
    the sending of the read that showed it last. It starts anew whenever the table
    does not answer or this process pauses: then a holder may be alive and unable to
    renew, or may have renewed unseen.

    Args:
        table: The table service.
        clock: Source of time.
        lease_s: The lease time.
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
        """The lease time."""
        return self._lease_s

    def update_sessions(self, session: str, sessions: Collection[str]) -> None:
        """Take up watching what falls to a session."""
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
        """Return the time until a row should be read."""
        due_s = min((watch.due_s for watch in self._watches.values()), default=0.0)
        wait_s = due_s - self._clock.monotonic()
        return max(MIN_WAIT_S, wait_s if self._watches else self._lease_s)

    async def expired(self) -> list[Row]:
        """Read the rows that are due; return those of silent sessions."""
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
        due_s = watch.unchanged_since_s + self._takeover_after_s(watch) + MARGIN_S
        if due_s > sent_s:
            watch.due_s = min(watch.due_s, due_s)
        return row

    def _takeover_after_s(self, watch: _Watch) -> float:
        return self._lease_s * (1 + BACKUP_DELAY_LEASES * watch.rank)

    def _is_expired(self, watch: _Watch) -> bool:
        return watch.read_sent_s - watch.unchanged_since_s >= self._takeover_after_s(
            watch
        )
