"""Shards: who holds which, how a holder takes one over, and how it gives it back.

A shard's row names the session that holds it and where its state stands: a snapshot
object, and the parts of sessions' journals since then. The rules are:

- only a session moves its own shards away while its row exists;
- a session whose row stayed unchanged for the lease time on the watcher's own clock
  is deleted in one transaction that checks its row's version;
- a shard whose session has no row may be claimed by anyone who checks both rows;
- a new holder serves a shard after a commit of its own has added it to the row.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .clock import Clock
from .errors import CarobspurError, SessionLostError, StoreConflictError, StoreError
from .lease_watch import LeaseWatch
from .objects import Objects
from .placement import first, rank, shard_of
from .programs import Program, ProgramBook
from .recovery import SNAPSHOT_PREFIX, Recovery, Snapshot
from .session import Session
from .session_row import SESSION_PREFIX, SessionRow, decode_session, session_key
from .shard_rows import SHARD_PREFIX, ShardRow, Span, shard_key, shard_number
from .table import ABSENT_VERSION, Check, Row, Table, Write

SHARD_COUNT_KEY = "shards"
WATCHES_PER_LEASE = 4
WATCHERS = 3
MAX_MOVES_PER_WATCH = 8

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TableView:
    """Sessions and shards as one scan showed them."""

    sessions: dict[str, SessionRow]
    session_versions: dict[str, int]
    shards: dict[int, ShardRow]
    shard_versions: dict[int, int]

    @classmethod
    def from_rows(cls, sessions: list[Row], shards: list[Row]) -> TableView:
        """Read the rows of a scan."""
        decoded = [decode_session(row) for row in sessions]
        return cls(
            sessions={item.id: item for item in decoded},
            session_versions={
                row.key.removeprefix(SESSION_PREFIX): row.version for row in sessions
            },
            shards={
                shard_number(row.key): msgspec.json.decode(row.value, type=ShardRow)
                for row in shards
            },
            shard_versions={shard_number(row.key): row.version for row in shards},
        )

    def held_by(self, session: str) -> list[int]:
        """Return the shards whose rows name a session."""
        return [n for n, row in self.shards.items() if row.session == session]

    def staying(self) -> list[str]:
        """Return the sessions that are not leaving."""
        return [item.id for item in self.sessions.values() if not item.leaving]


class ShardKeeper:
    """Keeps this session's shards: claims, recovers, hands over, checkpoints.

    Args:
        table: The table service.
        objects: The object store.
        clock: Source of time.
        session: This scheduler's session.
        book: Where recovered programs go.
        shards: Number of shards of the whole system.
        lease_s: Lease time of all sessions.
        checkpoint_commits: Commits with records between two checkpoints.
        is_busy: Tells whether a shard has calls under way, so that it can't move.
    """

    __slots__ = (
        "_book",
        "_checkpoint_commits",
        "_clock",
        "_is_busy",
        "_last_checkpoint",
        "_leases",
        "_leaving",
        "_moving",
        "_objects",
        "_owned",
        "_session",
        "_shards",
        "_table",
        "_view",
    )

    def __init__(
        self,
        *,
        table: Table,
        objects: Objects,
        clock: Clock,
        session: Session,
        book: ProgramBook,
        shards: int,
        lease_s: float,
        checkpoint_commits: int = 200,
        is_busy: Callable[[int], bool] = lambda shard: False,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._session = session
        self._book = book
        self._shards = shards
        self._leases = LeaseWatch(lease_s)
        self._checkpoint_commits = checkpoint_commits
        self._is_busy = is_busy
        self._owned: set[int] = set()
        self._moving: set[int] = set()
        self._view: TableView | None = None
        self._last_checkpoint = 0
        self._leaving = False

    def __repr__(self) -> str:
        return f"ShardKeeper({self._session.id!r}, {len(self._owned)} shards)"

    @property
    def owned(self) -> frozenset[int]:
        """Shards whose programs this process serves."""
        return frozenset(self._owned - self._moving)

    @property
    def view(self) -> TableView | None:
        """What the last scan showed, or ``None`` before the first."""
        return self._view

    def owns(self, program: str) -> bool:
        """Return whether this process serves a program."""
        shard = shard_of(program, self._shards)
        return shard in self._owned and shard not in self._moving

    def holder_of(self, program: str) -> SessionRow | None:
        """Return the session that held a program's shard at the last scan."""
        if self._view is None:
            return None
        row = self._view.shards.get(shard_of(program, self._shards))
        return None if row is None else self._view.sessions.get(row.session)

    async def run(self) -> None:
        """Watch the table until the session is lost or the task is cancelled."""
        period_s = self._leases.lease_s / WATCHES_PER_LEASE
        while not self._session.is_lost:
            try:
                await self.watch()
            except SessionLostError:
                return
            except StoreError as error:
                _logger.warning("shards can't be watched: %s", error.message)
            except CarobspurError:
                _logger.exception("watching shards failed")
            await self._clock.sleep(period_s)

    async def watch(self) -> None:
        """Scan once and do what follows: take over, claim, hand over."""
        now_s = self._clock.monotonic()
        sessions = await self._table.scan(SESSION_PREFIX)
        shards = await self._table.scan(SHARD_PREFIX)
        self._leases.observe(sessions, now_s)
        self._view = TableView.from_rows(sessions, shards)
        await self._take_over_silent(now_s)
        await self._claim()
        if not self._leaving:
            await self._hand_over_some()
            await self._checkpoint_if_due()

    async def leave(self) -> None:
        """Hand every shard over to the others; returns when none is held.

        Shards with calls under way are handed over once the calls have ended.
        """
        self._leaving = True
        self._session.announce_leaving()
        await self._session.commit()
        while self._owned and not self._session.is_lost:
            await self.watch()
            idle = [n for n in self._owned if not self._is_busy(n)]
            targets = self._targets()
            if not targets:
                await self._checkpoint()
                return
            await self._move({n: first(str(n), targets) for n in idle})
            if self._owned:
                await self._clock.sleep(self._leases.lease_s / 100)

    def _targets(self) -> list[str]:
        if self._view is None:
            return []
        return [name for name in self._view.staying() if name != self._session.id]

    async def _take_over_silent(self, now_s: float) -> None:
        view = self._view
        for session in list(view.sessions):
            if session == self._session.id:
                continue
            order = rank(session, [s for s in view.sessions if s != session])
            patience_s = self._leases.lease_s / 2 * order.index(self._session.id)
            if self._leases.is_expired(session, now_s, patience_s=patience_s):
                await self._take_over(session)

    async def _take_over(self, session: str) -> None:
        """Delete a silent session's row; its shards may then be claimed."""
        key = session_key(session)
        version = self._view.session_versions[session]
        try:
            await self._session.commit(
                checks=[Check(key, version)], writes=[Write(key, None)]
            )
        except StoreConflictError:
            return
        _logger.warning("session %s was silent; taken over", session)
        self._view.sessions.pop(session)

    async def _claim(self) -> None:
        """Claim shards that nobody holds and that fall to this session."""
        view = self._view
        staying = view.staying()
        mine = []
        for number in range(self._shards):
            if number in self._owned:
                continue
            row = view.shards.get(number)
            holder = None if row is None else row.session
            if holder == self._session.id:
                mine.append(number)
            elif holder is None or holder not in view.sessions:
                falls_to = first(str(number), staying)
                if falls_to == self._session.id:
                    mine.append(number)
        if mine:
            await self._activate(mine)

    async def _activate(self, numbers: list[int]) -> None:
        """Recover shards and write them as this session's own."""
        view = self._view
        rows = {n: view.shards.get(n, ShardRow(session="")) for n in numbers}
        programs = await Recovery(self._table, self._objects).programs(
            rows, self._shards
        )
        checks, writes = [], []
        for number, row in rows.items():
            version = view.shard_versions.get(number, ABSENT_VERSION)
            checks.append(Check(shard_key(number), version))
            if row.session not in ("", self._session.id):
                checks.append(Check(session_key(row.session), ABSENT_VERSION))
            span = Span(self._session.id, self._session.commits + 1)
            new = ShardRow(self._session.id, row.snapshot, [*row.spans, span])
            writes.append(Write(shard_key(number), msgspec.json.encode(new)))
        try:
            await self._session.commit(checks=list(set(checks)), writes=writes)
        except StoreConflictError as conflict:
            _logger.info("shards changed while claimed: %s", conflict.message)
            return
        for program in programs:
            self._book.add(program)
        self._owned.update(numbers)
        _logger.info("serving %d more shards: %s", len(numbers), numbers)

    async def _hand_over_some(self) -> None:
        """Move a few shards to sessions that should hold them."""
        staying = self._view.staying()
        moves: dict[int, str] = {}
        for number in sorted(self._owned):
            target = first(str(number), staying)
            is_foreign = target not in (None, self._session.id)
            if is_foreign and not self._is_busy(number):
                moves[number] = target
            if len(moves) == MAX_MOVES_PER_WATCH:
                break
        await self._move(moves)

    async def _move(self, moves: dict[int, str]) -> None:
        """Give shards to other sessions, with their state in one snapshot."""
        if not moves:
            return
        self._moving.update(moves)
        try:
            snapshot = await self._put_snapshot(set(moves))
            writes = [
                Write(shard_key(n), msgspec.json.encode(ShardRow(target, snapshot)))
                for n, target in moves.items()
            ]
            await self._session.commit(writes=writes)
        finally:
            self._moving.difference_update(moves)
        for number in moves:
            self._forget(number)
        _logger.info("handed over shards: %s", sorted(moves))

    def _forget(self, number: int) -> None:
        self._owned.discard(number)
        for program in self._programs_of({number}):
            self._book.remove(program.id)

    def _programs_of(self, numbers: set[int]) -> list[Program]:
        return [
            item
            for item in self._book.programs
            if shard_of(item.id, self._shards) in numbers
        ]

    async def _put_snapshot(self, numbers: set[int]) -> str:
        """Store the state of shards as of the last commit; return its key."""
        names = "-".join(str(n) for n in sorted(numbers)[:1])
        key = f"{SNAPSHOT_PREFIX}{self._session.id}/{self._session.commits}-{names}"
        content = msgspec.json.encode(Snapshot(self._programs_of(numbers)))
        await self._objects.put(key, content)
        return key

    async def _checkpoint_if_due(self) -> None:
        due = self._last_checkpoint + self._checkpoint_commits
        if self._owned and self._session.commits >= due:
            await self._checkpoint()

    async def _checkpoint(self) -> None:
        """Store all shards' state and shorten their rows to it."""
        numbers = set(self._owned)
        at = self._session.commits
        snapshot = await self._put_snapshot(numbers)
        row = ShardRow(self._session.id, snapshot, [Span(self._session.id, at + 1)])
        content = msgspec.json.encode(row)
        await self._session.commit(
            writes=[Write(shard_key(n), content) for n in sorted(numbers)]
        )
        self._last_checkpoint = at
