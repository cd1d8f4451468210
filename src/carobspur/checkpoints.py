"""Snapshots of shards, which keep journals short and let their rows be reused."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import msgspec

from .errors import StoreError
from .history import Histories, should_spill
from .journal import Record
from .objects import Objects
from .placement import shard_of
from .program_index import ProgramIndex
from .programs import Program
from .recovery import SNAPSHOT_PREFIX, Snapshot
from .session import Session
from .shard_rows import ShardRow, Span, shard_write

MAX_CHECKPOINTS_PER_STEP = 4

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class HeldShard:
    """A shard that this session holds.

    Attributes:
        row: The shard's row as last written.
        since_commit: First commit of this session whose records are not in the
            snapshot, so that a recovery needs them.
        is_dirty: Whether the shard may have records that its snapshot lacks.
    """

    row: ShardRow
    since_commit: int
    is_dirty: bool = True


class Checkpoints:
    """Stores snapshots of held shards and removes the replaced spans from their rows.

    Args:
        objects: The object store.
        session: The session that holds the shards.
        program_index: Programs of the held shards.
        shards: Number of shards of the whole system.
        interval_commits: Commits of the session between two checkpoints of a shard.
    """

    __slots__ = (
        "_program_index",
        "_changed_programs",
        "_held",
        "_histories",
        "_interval_commits",
    )
    __slots__ += ("_objects", "_snapshot_count")
    __slots__ += ("_session", "_shard_count")

    def __init__(
        self,
        objects: Objects,
        session: Session,
        program_index: ProgramIndex,
        *,
        shards: int,
        interval_commits: int,
    ) -> None:
        self._objects = objects
        self._session = session
        self._program_index = program_index
        self._shard_count = shards
        self._interval_commits = interval_commits
        self._held: dict[int, HeldShard] = {}
        self._histories = Histories(objects)
        self._changed_programs: set[str] = set()
        self._snapshot_count = 0

    def __repr__(self) -> str:
        return f"Checkpoints({len(self._held)} shards)"

    def hold(self, number: int, row: ShardRow) -> None:
        """Add a shard that this session has claimed.

        Args:
            number: Number of the shard.
            row: The shard's row as written; its last span is this session's.
        """
        self._changed_programs.update(
            program.id for program in self.programs_of(number)
        )
        self._held[number] = HeldShard(row, row.spans[-1].first)

    def on_committed(self, records: list[Record]) -> None:
        """Mark the shards and programs of committed records as changed."""
        for record in records:
            held = self._held.get(shard_of(record.program, self._shard_count))
            if held is not None:
                held.is_dirty = True
                self._changed_programs.add(record.program)

    def programs_of(self, number: int) -> list[Program]:
        """Return the programs of a shard."""
        return [
            item
            for item in self._program_index.programs
            if shard_of(item.id, self._shard_count) == number
        ]

    async def put_snapshot(self, number: int) -> str:
        """Store the state of a shard as of the last commit; return the object's key.

        The state is encoded before the first ``await``, so later commits don't change
        it. Keys are never reused. An unchanged shard keeps its snapshot.

        Raises:
            StoreError: The object store failed.
        """
        held = self._held[number]
        if not held.is_dirty:
            return held.row.snapshot
        held.is_dirty = False
        content = msgspec.json.encode(Snapshot(self.programs_of(number)))
        self._snapshot_count += 1
        key = f"{SNAPSHOT_PREFIX}{number:05d}/{self._session.id}-{self._snapshot_count}"
        try:
            await self._objects.put(key, content)
        except BaseException:
            held.is_dirty = True
            raise
        return key

    async def release(self, number: int, snapshot: str) -> None:
        """Remove a shard that was handed over and delete the snapshot it had before.

        Args:
            number: Number of the shard.
            snapshot: Key of the snapshot with which it was handed over.
        """
        old = self._held.pop(number).row.snapshot
        await self._delete_replaced(old, snapshot)

    async def step(self) -> None:
        """Checkpoint a few shards that are due, those with the longest journals first.

        Also moves long histories to the object store, and releases journal rows that
        no held shard needs any more.

        Raises:
            StoreError: The table service or the object store failed.
            SessionLostError: This session was taken over.
        """
        limit = self._session.commits - self._interval_commits
        due = sorted((held.since_commit, number) for number, held in self._held.items())
        for since_commit, number in due[:MAX_CHECKPOINTS_PER_STEP]:
            if since_commit <= limit:
                await self._checkpoint(number)
        await self._spill_long_histories()
        if self._held:
            first_needed = min(held.since_commit for held in self._held.values())
            self._session.release_journal(first_needed)

    async def _spill_long_histories(self) -> None:
        """Move older calls of programs with long histories to the object store.

        If a move fails, it is retried in the next step.
        """
        changed, self._changed_programs = self._changed_programs, set()
        for program_id in changed:
            program = self._program_index.find(program_id)
            if program is None or not should_spill(program):
                continue
            try:
                await self._histories.spill(program)
            except StoreError as error:
                self._changed_programs.add(program_id)
                _logger.warning(
                    "history of program %s was not moved to the object store: %s",
                    program_id,
                    error.message,
                )

    async def _checkpoint(self, number: int) -> None:
        held = self._held[number]
        old = held.row.snapshot
        since_commit = self._session.commits + 1
        snapshot = await self.put_snapshot(number)
        row = ShardRow(
            self._session.id, snapshot, [Span(self._session.id, since_commit)]
        )
        await self._session.commit(writes=[shard_write(number, row)])
        held.row = row
        held.since_commit = since_commit
        await self._delete_replaced(old, snapshot)

    async def _delete_replaced(self, old: str, new: str) -> None:
        """Delete a snapshot to which no committed row refers any more.

        A failure is only logged: the object is not used again.
        """
        if not old or old == new:
            return
        try:
            await self._objects.delete(old)
        except StoreError as error:
            _logger.warning(
                "replaced snapshot %s was not deleted: %s", old, error.message
            )
