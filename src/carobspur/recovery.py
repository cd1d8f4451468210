"""Rebuilds programs from snapshots and journals."""

from __future__ import annotations

import msgspec

from .errors import StoreError
from .journal import JOURNAL_PREFIX, Record, chunk_commit, decode_records
from .objects import Objects
from .placement import shard_of
from .programs import Program, ProgramBook
from .shard_rows import ShardRow, Span
from .table import Table

SNAPSHOT_PREFIX = "snapshot/"


class Snapshot(msgspec.Struct, frozen=True):
    """State of all programs of some shards at one commit."""

    programs: list[Program]


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
