"""Shards: how a scheduler claims, recovers, serves and hands over shards.

A shard's row names the session that holds the shard and where its state is stored: a
snapshot object, and the spans of session journals written since the snapshot. The
rules are:

- while a session's row exists, only that session hands its shards over;
- a session whose row stayed unchanged for the lease time, by the watcher's own clock,
  is deleted in one transaction that checks the row's version;
- a shard whose session has no row may be claimed by any session, in a transaction
  that checks both rows;
- a shard that was handed to a session which has not claimed it yet may be claimed by
  any session, in a transaction that checks the shard's row: schedulers that know
  different sets of sessions can disagree on which session should hold it;
- a new holder serves a shard only after a commit of its own has added its journal to
  the shard's row.
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
    end_session_writes,
    session_key,
    sessions_changed_write,
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
# The interval between two steps starts at the minimum after each change and grows by a
# factor up to 1 / STEPS_PER_LEASE of the lease time while nothing changes.
STEPS_PER_LEASE = 8
MIN_STEP_INTERVAL_S = 0.05
STEP_INTERVAL_GROWTH = 1.5
# Interval, in lease times, at which session rows and ended journals are scanned even
# without a change.
RESCAN_LEASES = 60.0
MAX_MOVES_PER_STEP = 4
# Time, in lease times, for which an ended session's shards are left to the session that
# took it over.
CLAIM_DELAY_LEASES = 0.5
# Longest time, in lease times, for which a busy shard accepts no new calls so that it
# becomes idle.
QUIESCE_LEASES = 1.0
# At most one in this many owned shards is quiesced at a time; one if there are fewer.
OWNED_PER_QUIESCING = 8

_logger = logging.getLogger(__name__)


class ShardManager:
    """Manages one session's shards: claims, recovers, hands over, checkpoints.

    It also takes over other sessions whose leases have expired.

    Args:
        table: The table service.
        objects: The object store.
        clock: Source of time.
        session: This scheduler's session.
        program_index: Programs of the held shards; recovered programs are added to it.
        shards: Number of shards of the whole system.
        lease_s: Lease time of all sessions, in seconds.
        checkpoint_commits: Commits between two checkpoints of a shard.
        is_busy: Returns whether a shard has calls in progress; such a shard is not
            handed over.
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
        self._shard_count = shards
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
        self._session_list = SessionList(
            table, clock, own_id=session.id, rescan_s=rescan_s
        )
        self._lease_watch = LeaseWatch(table, clock, lease_s)
        self._placement = Placement(shards)
        self._recovery = Recovery(table, objects, shards)
        self._sweep = JournalSweep(table, clock, session, period_s=rescan_s)
        self._owned: set[int] = set()
        # Owned shards that accept no new calls: quiesced, or being handed over.
        self._suspended: set[int] = set()
        self._missing_since_s: dict[str, float] = {}
        # Monotonic time since which each quiesced shard has been quiesced.
        self._quiesced_since_s: dict[int, float] = {}
        self._last_quiesced_s: dict[int, float] = {}
        self._lock = asyncio.Lock()
        self._draining = False
        self._is_count_checked = False
        self._step_interval_s = MIN_STEP_INTERVAL_S

    def __repr__(self) -> str:
        return f"ShardManager({self._session.id!r}, {len(self._owned)} shards)"

    @property
    def owned(self) -> frozenset[int]:
        """Shards whose programs this process serves; suspended ones are left out."""
        return frozenset(self._owned - self._suspended)

    @property
    def is_draining(self) -> bool:
        """Whether this scheduler is handing all its shards over."""
        return self._draining

    def owns(self, program: str) -> bool:
        """Return whether this process serves a program.

        After a pause longer than the lease time the process serves no program until
        its next commit has proven that its session was not taken over.
        """
        shard = shard_of(program, self._shard_count)
        is_held = shard in self._owned and shard not in self._suspended
        return is_held and not self._session.is_stale

    def on_committed(self, records: list[Record]) -> None:
        """Mark the shards of committed records as changed since their snapshots."""
        self._checkpoints.on_committed(records)

    async def run(self) -> None:
        """Run :meth:`step` until the session is lost or the task is cancelled."""
        while not self._session.is_lost:
            wait_s = self._lease_s / STEPS_PER_LEASE
            try:
                await self.step()
                wait_s = min(self._step_interval_s, self._lease_watch.due_in_s())
            except SessionLostError:
                return
            except (StoreError, SettingsError) as error:
                _logger.warning(
                    "shards could not be checked, retrying: %s", error.message
                )
            except Exception:
                _logger.exception("unexpected error while checking shards; retrying")
            await self._clock.sleep(wait_s)

    async def step(self) -> None:
        """Refresh the list of sessions, then take over, claim and hand over shards.

        A draining scheduler still takes over expired sessions, but this method then
        makes no hand-over, checkpoint or journal sweep.

        Raises:
            SettingsError: The system was set up with another number of shards.
            SessionLostError: This session was taken over.
            StoreError: The table service or the object store failed.
        """
        async with self._lock:
            await self._require_shard_count()
            await self._refresh()
            for row in await self._lease_watch.expired():
                await self._take_over(row)
            await self._claim_assigned()
            if not self._draining:
                await self._hand_over_misplaced()
                await self._checkpoints.step()
                await self._sweep.step(self._session_list.eligible)

    async def drain(self) -> None:
        """Hand all shards over; return when none is held or no session can accept any.

        A busy shard is handed over once its calls have ended. Shards accept no new
        calls after ``QUIESCE_LEASES`` lease times.
        """
        self._draining = True
        self._session.announce(leaving=True)
        await self._session.commit(writes=[sessions_changed_write(self._session.id)])
        quiesce_s = self._clock.monotonic() + QUIESCE_LEASES * self._lease_s
        while self._draining and self._owned and not self._session.is_lost:
            async with self._lock:
                await self._refresh()
                if not self._session_list.eligible:
                    return
                if self._clock.monotonic() >= quiesce_s:
                    self._suspended |= self._owned
                idle = [number for number in self._owned if not self._is_busy(number)]
                await self._hand_over(idle)
            if self._owned:
                await self._clock.sleep(MIN_STEP_INTERVAL_S)

    async def undrain(self) -> None:
        """Stop draining and claim shards again."""
        async with self._lock:
            self._draining = False
            self._suspended.clear()
        self._session.announce(leaving=False)
        await self._session.commit(writes=[sessions_changed_write(self._session.id)])

    async def _require_shard_count(self) -> None:
        """Compare the number of shards with the stored one; the first start stores it.

        Raises:
            SettingsError: The system was set up with another number of shards.
        """
        if self._is_count_checked:
            return
        row = await self._table.read(SHARD_COUNT_KEY)
        if row is None:
            write = Write(SHARD_COUNT_KEY, msgspec.json.encode(self._shard_count))
            check = Check(SHARD_COUNT_KEY, ABSENT_VERSION)
            await self._session.commit(checks=[check], writes=[write])
        elif msgspec.json.decode(row.value, type=int) != self._shard_count:
            raise SettingsError(
                f"[scheduler] shards = {self._shard_count}: the system was set up with "
                f"{row.value.decode()}"
            )
        self._is_count_checked = True

    async def _refresh(self) -> None:
        if not await self._session_list.refresh():
            self._step_interval_s = min(
                STEP_INTERVAL_GROWTH * self._step_interval_s,
                self._lease_s / STEPS_PER_LEASE,
            )
            return
        self._on_sessions_changed()

    def _on_sessions_changed(self) -> None:
        self._step_interval_s = MIN_STEP_INTERVAL_S
        self._placement.update(self._session_list.eligible)
        self._lease_watch.update_sessions(self._session.id, self._session_list.sessions)

    async def _take_over(self, row: Row) -> None:
        """Delete the row of an expired session and claim the shards listed in it."""
        expired = decode_session(row)
        try:
            await self._session.commit(
                checks=[Check(row.key, row.version)],
                writes=end_session_writes(expired.id, by=self._session.id),
            )
        except StoreConflictError:
            return
        _logger.warning("took over session %s: its lease expired", expired.id)
        self._session_list.forget(expired.id)
        self._on_sessions_changed()
        if not self._draining:
            rows = await read_shards(self._table, expired.shards)
            holders = (expired.id, self._session.id)
            await self._recover_and_claim(
                [row for row in rows if decode_shard(row).session in holders]
            )

    async def _claim_assigned(self) -> None:
        """Claim the shards assigned to this session that no session holds."""
        assigned = self._placement.shards_of(self._session.id)
        assigned = [number for number in assigned if number not in self._owned]
        if not assigned:
            return
        claimable = []
        for row in await read_shards(self._table, assigned):
            if self._may_claim(decode_shard(row)):
                claimable.append(row)
        await self._recover_and_claim(claimable)

    def _may_claim(self, shard: ShardRow) -> bool:
        holder = shard.session
        if holder == self._session.id or not shard.is_held:
            return True
        if holder in self._session_list:
            self._missing_since_s.pop(holder, None)
            return False
        # The session that took over the holder is probably recovering the shard.
        now_s = self._clock.monotonic()
        since_s = self._missing_since_s.setdefault(holder, now_s)
        return now_s - since_s >= CLAIM_DELAY_LEASES * self._lease_s

    async def _recover_and_claim(self, rows: list[Row]) -> None:
        """Recover shards and claim them.

        Shards that another session changed meanwhile are left out.
        """
        programs = await self._recovery.recover(rows)
        remaining = [row for row in rows if row.key in programs]
        while remaining:
            try:
                await self._commit_claims(remaining, programs)
                return
            except StoreConflictError as conflict:
                _logger.info(
                    "some shards changed while they were claimed: %s", conflict.message
                )
                remaining = [
                    row
                    for row in remaining
                    if _checked_keys(row).isdisjoint(conflict.keys)
                ]

    async def _commit_claims(
        self, rows: list[Row], programs: dict[str, list[Program]]
    ) -> None:
        checks: set[Check] = set()
        claimed: dict[int, ShardRow] = {}
        span = Span(self._session.id, self._session.commits + 1)
        for row in rows:
            shard = decode_shard(row)
            checks.add(Check(row.key, row.version))
            if shard.is_held and shard.session != self._session.id:
                checks.add(Check(session_key(shard.session), ABSENT_VERSION))
            claimed[shard_number(row.key)] = ShardRow(
                self._session.id, shard.snapshot, [*shard.spans, span]
            )
        await self._session.commit(
            checks=list(checks), writes=[shard_write(*item) for item in claimed.items()]
        )
        for row in rows:
            for program in programs[row.key]:
                self._program_index.add(program)
        for number, shard in claimed.items():
            self._checkpoints.hold(number, shard)
            self._owned.add(number)
        self._announce_owned()
        _logger.info("claimed %d shards: %s", len(claimed), sorted(claimed))

    async def _hand_over_misplaced(self) -> None:
        """Hand a few shards over to the sessions to which they are assigned.

        Idle shards move at once. Busy ones are quiesced, a few at a time, so that they
        become idle.
        """
        misplaced = {
            number
            for number in self._owned
            if self._placement.target(number) not in (None, self._session.id)
        }
        idle = sorted(number for number in misplaced if not self._is_busy(number))
        await self._hand_over(idle[:MAX_MOVES_PER_STEP])
        self._quiesce(misplaced & self._owned)

    def _quiesce(self, misplaced: set[int]) -> None:
        """Suspend new calls of a few busy shards, each for a limited time.

        Those that were never quiesced, or longest ago, are chosen first.
        """
        now_s = self._clock.monotonic()
        limit_s = QUIESCE_LEASES * self._lease_s
        for number, since_s in list(self._quiesced_since_s.items()):
            if number not in misplaced or now_s - since_s > limit_s:
                self._suspended.discard(number)
                del self._quiesced_since_s[number]
        candidates = misplaced - self._quiesced_since_s.keys()
        free_quota = max(1, len(self._owned) // OWNED_PER_QUIESCING) - len(
            self._quiesced_since_s
        )
        oldest_first = sorted(
            candidates, key=lambda number: self._last_quiesced_s.get(number, 0.0)
        )
        for number in oldest_first[: max(0, free_quota)]:
            self._quiesced_since_s[number] = self._last_quiesced_s[number] = now_s
            self._suspended.add(number)
        if self._quiesced_since_s:
            self._step_interval_s = MIN_STEP_INTERVAL_S

    async def _hand_over(self, numbers: list[int]) -> None:
        """Store snapshots of shards and hand the shards to their assigned sessions."""
        moves = {number: self._placement.target(number) for number in numbers}
        if not moves:
            return
        self._suspended.update(moves)
        try:
            snapshots = {
                number: await self._checkpoints.put_snapshot(number) for number in moves
            }
        except BaseException:
            self._suspended.difference_update(moves)
            raise
        # From here on the hand-over may take effect even if this task is cancelled, so
        # the shards are not served again. A commit that is known to have failed ends
        # the session.
        await self._session.commit(
            writes=[
                shard_write(number, ShardRow(moves[number], snapshots[number]))
                for number in sorted(moves)
            ]
        )
        for number in moves:
            self._owned.discard(number)
            self._suspended.discard(number)
            for program in self._checkpoints.programs_of(number):
                self._program_index.remove(program.id)
        self._announce_owned()
        for number in moves:
            await self._checkpoints.release(number, snapshots[number])
        _logger.info("handed over shards: %s", sorted(moves))

    def _announce_owned(self) -> None:
        self._session.announce(shards=sorted(self._owned))


def _checked_keys(row: Row) -> set[str]:
    return {row.key, session_key(decode_shard(row).session)}
