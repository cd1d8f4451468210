"""Shards: how a scheduler takes one over, serves it, and gives it back.

A shard's row names the session that holds it and where its state stands: a snapshot
object, and the parts of sessions' journals since then. The rules are:

- only a session moves its own shards away while its row exists;
- a session whose row stayed unchanged for the lease time on the watcher's own clock
  is deleted in one transaction that checks its row's version;
- a shard whose session has no row may be claimed by anyone who checks both rows;
- a shard that was handed to a session which has not taken it up may be claimed by
  anyone who checks its row: two who know different sessions may not agree on whose
  it should be;
- a new holder serves a shard after a commit of its own has added it to the row.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .checkpoints import Checkpoints
from .clock import Clock
from .errors import (
    SessionLostError,
    SettingsError,
    StoreConflictError,
    StoreError,
)
from .journal import Record
from .journal_sweep import JournalSweep
from .lease_watch import LeaseWatch
from .objects import Objects
from .placement import Placement, shard_of
from .program_index import ProgramIndex
from .programs import Program
from .recovery import Recovery
from .session import Session
from .session_list import SessionList
from .session_row import (
    decode_session,
    end_session,
    session_key,
    sessions_changed,
)
from .shard_rows import (
    ShardRow,
    Span,
    decode_shard,
    read_shards,
    shard_number,
    shard_write,
)
from .table import ABSENT_VERSION, Check, Row, Table, Write

SHARD_COUNT_KEY = "shards"
STEPS_PER_LEASE = 8
FIRST_STEP_S = 0.05
STEP_GROWTH = 1.5
RESCAN_LEASES = 60.0
MAX_MOVES_PER_STEP = 4
CLAIM_PATIENCE_LEASES = 0.5
QUIESCE_LEASES = 1.0
QUIESCE_SHARE = 8

_logger = logging.getLogger(__name__)


class ShardKeeper:
    """Keeps this session's shards: claims, recovers, hands over, checkpoints.

    Args:
        table: The table service.
        objects: The object store.
        clock: Source of time.
        session: This scheduler's session.
        program_index: Where recovered programs go.
        shards: Number of shards of the whole system.
        lease_s: Lease time of all sessions.
        checkpoint_commits: Commits between two checkpoints of a shard.
        is_busy: Tells whether a shard has calls under way, so that it can't move.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: Objects,
        clock: Clock,
        session: Session,
        program_index: ProgramIndex,
        shards: int,
        lease_s: float,
        checkpoint_commits: int = 200,
        is_busy: Callable[[int], bool] = lambda shard: False,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._session = session
        self._program_index = program_index
        self._shards = shards
        self._lease_s = lease_s
        self._is_busy = is_busy
        self._checkpoints = Checkpoints(
            objects,
            session,
            program_index,
            shards=shards,
            interval_commits=checkpoint_commits,
        )
        rescan_s = RESCAN_LEASES * lease_s
        self._list = SessionList(table, clock, own=session.id, rescan_s=rescan_s)
        self._leases = LeaseWatch(table, clock, lease_s)
        self._placement = Placement(shards)
        self._recovery = Recovery(table, objects, shards)
        self._sweep = JournalSweep(table, clock, session, period_s=rescan_s)
        self._owned: set[int] = set()
        self._moving: set[int] = set()
        self._gone_s: dict[str, float] = {}
        self._quiescing: dict[int, float] = {}
        self._quiesced_s: dict[int, float] = {}
        self._lock = asyncio.Lock()
        self._leaving = False
        self._is_count_known = False
        self._step_s = FIRST_STEP_S

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

    def owns(self, program: str) -> bool:
        """Return whether this process serves a program.

        A process that was paused for longer than the lease does not, until its next
        commit has shown that nobody took its session over.
        """
        shard = shard_of(program, self._shards)
        is_held = shard in self._owned and shard not in self._moving
        return is_held and not self._session.is_stale

    def note(self, records: list[Record]) -> None:
        """Take note of committed records of programs served here."""
        self._checkpoints.note(records)

    async def run(self) -> None:
        """Watch the table until the session is lost or the task is cancelled."""
        while not self._session.is_lost:
            wait_s = self._lease_s / STEPS_PER_LEASE
            try:
                await self.step()
                wait_s = min(self._step_s, self._leases.due_in_s())
            except SessionLostError:
                return
            except (StoreError, SettingsError) as error:
                _logger.warning("shards can't be watched: %s", error.message)
            except Exception:
                _logger.exception("watching shards failed")
            await self._clock.sleep(wait_s)

    async def step(self) -> None:
        """Read what changed and do what follows: take over, claim, hand over."""
        async with self._lock:
            await self._require_shard_count()
            await self._refresh()
            for row in await self._leases.expired():
                await self._take_over(row)
            await self._claim_wanted()
            if not self._leaving:
                await self._hand_over_some()
                await self._checkpoints.step()
                await self._sweep.step(self._list.staying)

    async def leave(self) -> None:
        """Hand every shard over to the others; returns when none is held.

        Shards with calls under way go once the calls have ended; after a while they
        take no new ones.
        """
        self._leaving = True
        self._session.announce(leaving=True)
        await self._session.commit(writes=[sessions_changed(self._session.id)])
        quiesce_s = self._clock.monotonic() + QUIESCE_LEASES * self._lease_s
        while self._leaving and self._owned and not self._session.is_lost:
            async with self._lock:
                await self._refresh()
                if not self._list.staying:
                    return
                if self._clock.monotonic() >= quiesce_s:
                    self._moving |= self._owned
                idle = [n for n in self._owned if not self._is_busy(n)]
                await self._move(idle)
            if self._owned:
                await self._clock.sleep(FIRST_STEP_S)

    async def stay(self) -> None:
        """Take shards again after :meth:`leave`."""
        async with self._lock:
            self._leaving = False
            self._moving.clear()
        self._session.announce(leaving=False)
        await self._session.commit(writes=[sessions_changed(self._session.id)])

    async def _require_shard_count(self) -> None:
        """Refuse to serve with another number of shards than the others."""
        if self._is_count_known:
            return
        row = await self._table.read(SHARD_COUNT_KEY)
        if row is None:
            write = Write(SHARD_COUNT_KEY, msgspec.json.encode(self._shards))
            check = Check(SHARD_COUNT_KEY, ABSENT_VERSION)
            await self._session.commit(checks=[check], writes=[write])
        elif msgspec.json.decode(row.value, type=int) != self._shards:
            raise SettingsError(
                f"[scheduler] shards = {self._shards}: the system was set up with "
                f"{row.value.decode()}"
            )
        self._is_count_known = True

    async def _refresh(self) -> None:
        if not await self._list.refresh():
            self._step_s = min(
                STEP_GROWTH * self._step_s, self._lease_s / STEPS_PER_LEASE
            )
            return
        self._follow_sessions()

    def _follow_sessions(self) -> None:
        self._step_s = FIRST_STEP_S
        self._placement.update(self._list.staying)
        self._leases.follow(self._session.id, self._list.sessions)

    async def _take_over(self, row: Row) -> None:
        """Delete a silent session's row and claim the shards that it names."""
        silent = decode_session(row)
        try:
            await self._session.commit(
                checks=[Check(row.key, row.version)],
                writes=end_session(silent.id, by=self._session.id),
            )
        except StoreConflictError:
            return
        _logger.warning("session %s was silent; taken over", silent.id)
        self._list.forget(silent.id)
        self._follow_sessions()
        if not self._leaving:
            rows = await read_shards(self._table, silent.shards)
            holders = (silent.id, self._session.id)
            await self._activate(
                [row for row in rows if decode_shard(row).session in holders]
            )

    async def _claim_wanted(self) -> None:
        """Claim shards that should be here and that nobody holds."""
        wanted = self._placement.shards_of(self._session.id)
        wanted = [n for n in wanted if n not in self._owned]
        if not wanted:
            return
        found = []
        for row in await read_shards(self._table, wanted):
            if self._may_claim(decode_shard(row)):
                found.append(row)
        await self._activate(found)

    def _may_claim(self, shard: ShardRow) -> bool:
        holder = shard.session
        if holder == self._session.id or not shard.is_held:
            return True
        if holder in self._list:
            self._gone_s.pop(holder, None)
            return False
        # Whoever took the session over is probably reading its journal already.
        now_s = self._clock.monotonic()
        since_s = self._gone_s.setdefault(holder, now_s)
        return now_s - since_s >= CLAIM_PATIENCE_LEASES * self._lease_s

    async def _activate(self, rows: list[Row]) -> None:
        """Recover shards and write them as this session's own."""
        programs = await self._recovery.recover(rows)
        left = [row for row in rows if row.key in programs]
        while left:
            try:
                await self._write_own(left, programs)
                return
            except StoreConflictError as conflict:
                _logger.info("shards changed while claimed: %s", conflict.message)
                left = [r for r in left if _checked_keys(r).isdisjoint(conflict.keys)]

    async def _write_own(
        self, rows: list[Row], programs: dict[str, list[Program]]
    ) -> None:
        checks: set[Check] = set()
        new: dict[int, ShardRow] = {}
        span = Span(self._session.id, self._session.commits + 1)
        for row in rows:
            shard = decode_shard(row)
            checks.add(Check(row.key, row.version))
            if shard.is_held and shard.session != self._session.id:
                checks.add(Check(session_key(shard.session), ABSENT_VERSION))
            new[shard_number(row.key)] = ShardRow(
                self._session.id, shard.snapshot, [*shard.spans, span]
            )
        await self._session.commit(
            checks=list(checks), writes=[shard_write(*item) for item in new.items()]
        )
        for row in rows:
            for program in programs[row.key]:
                self._program_index.add(program)
        for number, shard in new.items():
            self._checkpoints.hold(number, shard)
            self._owned.add(number)
        self._show_owned()
        _logger.info("serving %d more shards: %s", len(new), sorted(new))

    async def _hand_over_some(self) -> None:
        """Move a few shards to sessions that should hold them.

        Of those that have calls under way, a few at a time take no new ones for a
        short while, so that they can move.
        """
        foreign = {
            n
            for n in self._owned
            if self._placement.target(n) not in (None, self._session.id)
        }
        idle = sorted(n for n in foreign if not self._is_busy(n))
        await self._move(idle[:MAX_MOVES_PER_STEP])
        self._quiesce(foreign & self._owned)

    def _quiesce(self, foreign: set[int]) -> None:
        """Let a few busy shards take no new calls, for a limited time each."""
        now_s = self._clock.monotonic()
        limit_s = QUIESCE_LEASES * self._lease_s
        for number, since_s in list(self._quiescing.items()):
            if number not in foreign or now_s - since_s > limit_s:
                self._moving.discard(number)
                del self._quiescing[number]
        waiting = foreign - self._quiescing.keys()
        room = max(1, len(self._owned) // QUIESCE_SHARE) - len(self._quiescing)
        oldest_first = sorted(waiting, key=lambda n: self._quiesced_s.get(n, 0.0))
        for number in oldest_first[: max(0, room)]:
            self._quiescing[number] = self._quiesced_s[number] = now_s
            self._moving.add(number)
        if self._quiescing:
            self._step_s = FIRST_STEP_S

    async def _move(self, numbers: list[int]) -> None:
        """Give shards to the sessions that should hold them, with snapshots."""
        moves = {n: self._placement.target(n) for n in numbers}
        if not moves:
            return
        self._moving.update(moves)
        try:
            snapshots = {n: await self._checkpoints.put_snapshot(n) for n in moves}
        except BaseException:
            self._moving.difference_update(moves)
            raise
        # From here on the shards may have moved, so they are never served again
        # unless the commit is known to have failed, which loses the session.
        await self._session.commit(
            writes=[
                shard_write(n, ShardRow(moves[n], snapshots[n])) for n in sorted(moves)
            ]
        )
        for number in moves:
            self._owned.discard(number)
            self._moving.discard(number)
            for program in self._checkpoints.programs_of(number):
                self._program_index.remove(program.id)
        self._show_owned()
        for number in moves:
            await self._checkpoints.release(number, snapshots[number])
        _logger.info("handed over shards: %s", sorted(moves))

    def _show_owned(self) -> None:
        self._session.announce(shards=sorted(self._owned))


def _checked_keys(row: Row) -> set[str]:
    return {row.key, session_key(decode_shard(row).session)}
