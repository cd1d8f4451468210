"""Recovery of programs from snapshots and journals."""

from __future__ import annotations

import logging

import msgspec

from .errors import StoreError, StoreUnavailableError
from .journal import Chunk, Record, decode_chunk, journal_prefix
from .objects import Objects
from .placement import shard_of
from .program_index import ProgramIndex
from .programs import Program
from .shard_rows import ShardRow, Span, decode_shard, shard_number
from .table import Row, Table

SNAPSHOT_PREFIX = "snapshot/"

_logger = logging.getLogger(__name__)


class Snapshot(msgspec.Struct, frozen=True):
    """State of all programs of a shard as of one commit."""

    programs: list[Program]


class Recovery:
    """Rebuilds the programs of shards from snapshots and journals.

    Each snapshot and each journal is read only once, however many shards need it.

    Args:
        table: The table service.
        objects: The object store.
        shards: Number of shards of the whole system.
    """

    __slots__ = ("_journals", "_objects", "_shard_count", "_table")

    def __init__(self, table: Table, objects: Objects, shards: int) -> None:
        self._table = table
        self._objects = objects
        self._shard_count = shards
        self._journals: dict[str, dict[int, list[tuple[int, Record]]]] = {}

    async def recover(self, rows: list[Row]) -> dict[str, list[Program]]:
        """Return the programs of shards, by the keys of the shards' rows.

        A shard whose state is incomplete or damaged is logged and left out, so that
        the others can still be served.

        Args:
            rows: The shards' rows.

        Raises:
            StoreUnavailableError: The table service or the object store did not
                answer.
        """
        self._journals.clear()
        programs: dict[str, list[Program]] = {}
        for row in rows:
            number = shard_number(row.key)
            try:
                programs[row.key] = await self.programs(number, decode_shard(row))
            except StoreUnavailableError:
                raise
            except (StoreError, msgspec.MsgspecError) as error:
                _logger.error("shard %d cannot be recovered: %s", number, error)
        self._journals.clear()
        return programs

    async def programs(self, number: int, row: ShardRow) -> list[Program]:
        """Return the programs of one shard.

        Args:
            number: Number of the shard.
            row: Content of the shard's row.

        Raises:
            StoreError: The state could not be read or is incomplete.
        """
        program_index = ProgramIndex()
        for program in await self._read_snapshot(row.snapshot):
            program_index.add(program)
        for span in row.spans:
            for record in await self._read_records(span, number):
                try:
                    program_index.apply(record)
                except KeyError:
                    raise StoreError(
                        f"shard {number}: no record of the start of {record.program}"
                    ) from None
        return program_index.programs

    async def _read_snapshot(self, key: str) -> list[Program]:
        if not key:
            return []
        content = await self._objects.get(key)
        if content is None:
            raise StoreError(f"the snapshot {key} is missing")
        return msgspec.json.decode(content, type=Snapshot).programs

    async def _read_records(self, span: Span, number: int) -> list[Record]:
        if span.session not in self._journals:
            self._journals[span.session] = await self._read_journal(span.session)
        numbered_records = self._journals[span.session].get(number, [])
        return [
            record
            for commit, record in numbered_records
            if commit >= span.first and (span.last == 0 or commit <= span.last)
        ]

    async def _read_journal(self, session: str) -> dict[int, list[tuple[int, Record]]]:
        """Return the records of a session with their commit numbers, by shard."""
        rows = await self._table.scan(journal_prefix(session))
        chunks = sorted((decode_chunk(row.value) for row in rows), key=_commit_number)
        by_shard: dict[int, list[tuple[int, Record]]] = {}
        for chunk in chunks:
            for record in chunk.records:
                number = shard_of(record.program, self._shard_count)
                by_shard.setdefault(number, []).append((chunk.commit, record))
        return by_shard


def _commit_number(chunk: Chunk) -> int:
    return chunk.commit
