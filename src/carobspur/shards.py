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
from dataclasses import dataclass, field

import msgspec

from .clock import Clock
from .errors import CarobspurError, SessionLostError, StoreConflictError, StoreError
from .journal import JOURNAL_PREFIX, Record, chunk_commit, decode_records
from .objects import Objects
from .placement import first, rank, shard_of
from .programs import Program, ProgramBook
from .session import (
    SESSION_PREFIX,
    Session,
    SessionRow,
    decode_session,
    session_key,
)
from .table import ABSENT_VERSION, Check, Row, Table, Write

SHARD_PREFIX = "shard/"
SHARD_COUNT_KEY = "shards"
SNAPSHOT_PREFIX = "snapshot/"
WATCHES_PER_LEASE = 4
WATCHERS = 3
MAX_MOVES_PER_WATCH = 8

_logger = logging.getLogger(__name__)


class Span(msgspec.Struct, frozen=True):
    """A part of a session's journal; ``last`` of 0 means up to its end."""

    session: str
    first: int
    last: int = 0


class ShardRow(msgspec.Struct, frozen=True):
    """Content of a shard's row.

    Attributes:
        session: Id of the session that holds it.
        snapshot: Key of the object with its state, or empty.
        spans: Journals to replay on top of it, in order.
    """

    session: str
    snapshot: str = ""
    spans: list[Span] = []


class Snapshot(msgspec.Struct, frozen=True):
    """State of all programs of some shards at one commit."""

    programs: list[Program]


def shard_key(number: int) -> str:
    """Return the key of a shard's row."""
    return f"{SHARD_PREFIX}{number:05d}"


def shard_number(key: str) -> int:
    """Return the number of a shard from its row's key."""
    return int(key.removeprefix(SHARD_PREFIX))


@dataclass(slots=True)
class LeaseWatch:
    """Tells which sessions have been silent for the lease time.

    Attributes:
        lease_s: The lease time.
    """

    lease_s: float
    _seen: dict[str, tuple[int, float]] = field(default_factory=dict)

    def observe(self, rows: list[Row], now_s: float) -> None:
        """Take the session rows of one scan.

        Args:
            rows: All session rows.
            now_s: The watcher's own monotonic time before the scan was sent.
        """
        fresh = {}
        for row in rows:
            known = self._seen.get(row.key)
            unchanged = known is not None and known[0] == row.version
            fresh[row.key] = known if unchanged else (row.version, now_s)
        self._seen = fresh

    def silent_for_s(self, session: str, now_s: float) -> float:
        """Return for how long a session's row has been seen unchanged."""
        known = self._seen.get(session_key(session))
        return 0.0 if known is None else now_s - known[1]

    def is_expired(self, session: str, now_s: float, *, patience_s: float = 0) -> bool:
        """Return whether a session may be taken over."""
        return self.silent_for_s(session, now_s) >= self.lease_s + patience_s


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
    def is_leaving(self) -> bool:
        """Whether this scheduler is handing its shards over."""
        return self._leaving

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
        while self._leaving and self._owned and not self._session.is_lost:
            await self.watch()
            idle = [n for n in self._owned if not self._is_busy(n)]
            targets = self._targets()
            if not targets:
                await self._checkpoint()
                return
            await self._move({n: first(str(n), targets) for n in idle})
            if self._owned:
                await self._clock.sleep(self._leases.lease_s / 100)

    async def stay(self) -> None:
        """Take shards again after :meth:`leave`."""
        self._leaving = False
        self._session.announce_leaving(leaving=False)
        await self._session.commit()

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


class Recovery:
    """Rebuilds programs of shards from snapshots and journals.

    Each snapshot and each journal is read once, however many shards need it.
    """

    __slots__ = ("_journals", "_objects", "_snapshots", "_table")

    def __init__(self, table: Table, objects: Objects) -> None:
        self._table = table
        self._objects = objects
        self._snapshots: dict[str, list[Program]] = {}
        self._journals: dict[str, list[tuple[int, list[Record]]]] = {}

    async def programs(self, rows: dict[int, ShardRow], shards: int) -> list[Program]:
        """Return the programs of shards.

        Args:
            rows: The shards' rows by number.
            shards: Number of shards of the whole system.

        Raises:
            StoreError: State could not be read.
        """
        found: list[Program] = []
        for number, row in rows.items():
            book = ProgramBook()
            for program in await self._snapshot(row.snapshot):
                if shard_of(program.id, shards) == number:
                    book.add(program)
            for span in row.spans:
                for record in await self._records(span):
                    if shard_of(record.program, shards) == number:
                        book.apply(record)
            found.extend(book.programs)
        return found

    async def _snapshot(self, key: str) -> list[Program]:
        if not key:
            return []
        if key not in self._snapshots:
            content = await self._objects.get(key)
            if content is None:
                raise StoreError(f"the snapshot {key} is missing")
            snapshot = msgspec.json.decode(content, type=Snapshot)
            self._snapshots[key] = snapshot.programs
        return self._snapshots[key]

    async def _records(self, span: Span) -> list[Record]:
        if span.session not in self._journals:
            rows = await self._table.scan(f"{JOURNAL_PREFIX}{span.session}/")
            self._journals[span.session] = [
                (chunk_commit(row.key), decode_records(row.value)) for row in rows
            ]
        return [
            record
            for commit, records in self._journals[span.session]
            if commit >= span.first and (span.last == 0 or commit <= span.last)
            for record in records
        ]
