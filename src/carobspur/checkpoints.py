"""Snapshots of shards, so that journals stay short and are used again."""

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
    """A shard as its holder knows it.

    Attributes:
        row: Its row as last written.
        since: Commit number from which its journal is needed.
        is_dirty: Whether it has records that its snapshot lacks.
    """

    row: ShardRow
    since: int
    is_dirty: bool = True


class Checkpoints:
    """Stores the state of held shards and shortens their rows to it.

    Args:
        objects: The object store.
        session: The holder's session.
        program_index: The programs of the held shards.
        shards: Number of shards of the whole system.
        interval_commits: Commits between two checkpoints of a shard.
    """

    __slots__ = ("_program_index", "_grown", "_held", "_histories", "_interval_commits")
    __slots__ += ("_objects", "_puts")
    __slots__ += ("_session", "_shards")

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
        self._shards = shards
        self._interval_commits = interval_commits
        self._held: dict[int, HeldShard] = {}
        self._histories = Histories(objects)
        self._grown: set[str] = set()
        self._puts = 0

    def __repr__(self) -> str:
        return f"Checkpoints({len(self._held)} shards)"

    def hold(self, number: int, row: ShardRow) -> None:
        """Take up a shard whose row was written as this session's own."""
        self._grown.update(program.id for program in self.programs_of(number))
        self._held[number] = HeldShard(row, row.spans[-1].first)

    def note(self, records: list[Record]) -> None:
        """Take note of committed records."""
        for record in records:
            held = self._held.get(shard_of(record.program, self._shards))
            if held is not None:
                held.is_dirty = True
                self._grown.add(record.program)

    def programs_of(self, number: int) -> list[Program]:
        """Return the programs of a shard."""
        return [
            item
            for item in self._program_index.programs
            if shard_of(item.id, self._shards) == number
        ]

    async def put_snapshot(self, number: int) -> str:
        """Store the state of a shard as of the last commit; return its key.

        The state is taken before this first waits. Keys are never used again.
        """
        held = self._held[number]
        if not held.is_dirty:
            return held.row.snapshot
        held.is_dirty = False
        content = msgspec.json.encode(Snapshot(self.programs_of(number)))
        self._puts += 1
        key = f"{SNAPSHOT_PREFIX}{number:05d}/{self._session.id}-{self._puts}"
        try:
            await self._objects.put(key, content)
        except BaseException:
            held.is_dirty = True
            raise
        return key

    async def release(self, number: int, snapshot: str) -> None:
        """Let go of a shard that moved away with a snapshot."""
        old = self._held.pop(number).row.snapshot
        await self._delete(old, snapshot)

    async def step(self) -> None:
        """Store the shards whose journals have grown longest, a few at a time."""
        limit = self._session.commits - self._interval_commits
        due = sorted((held.since, n) for n, held in self._held.items())
        for since, number in due[:MAX_CHECKPOINTS_PER_STEP]:
            if since <= limit:
                await self._checkpoint(number)
        await self._spill_some()
        if self._held:
            floor = min(held.since for held in self._held.values())
            self._session.release_journal(floor)

    async def _spill_some(self) -> None:
        """Move older calls of programs with long histories to objects."""
        grown, self._grown = self._grown, set()
        for name in grown:
            program = self._program_index.find(name)
            if program is None or not should_spill(program):
                continue
            try:
                await self._histories.spill(program)
            except StoreError as error:
                self._grown.add(name)
                _logger.warning("history of %s was not moved: %s", name, error.message)

    async def _checkpoint(self, number: int) -> None:
        held = self._held[number]
        old = held.row.snapshot
        since = self._session.commits + 1
        snapshot = await self.put_snapshot(number)
        row = ShardRow(self._session.id, snapshot, [Span(self._session.id, since)])
        await self._session.commit(writes=[shard_write(number, row)])
        held.row = row
        held.since = since
        await self._delete(old, snapshot)

    async def _delete(self, old: str, new: str) -> None:
        """Delete a snapshot that a committed row replaced."""
        if not old or old == new:
            return
        try:
            await self._objects.delete(old)
        except StoreError as error:
            _logger.warning("snapshot %s was not deleted: %s", old, error.message)
