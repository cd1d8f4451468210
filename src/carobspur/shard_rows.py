"""Rows of shards: which session holds each shard, and where its state is stored."""

from __future__ import annotations

import asyncio

import msgspec

from .table import ABSENT_VERSION, Row, Table, Write

SHARD_PREFIX = "shard/"
# For more shards than this, one scan replaces the reads of single rows.
MAX_SINGLE_READS = 64


class Span(msgspec.Struct, frozen=True):
    """A range of commits in a session's journal.

    Attributes:
        session: Id of the session.
        first: Number of the first commit.
        last: Number of the last commit; 0 means up to the end of the journal.
    """

    session: str
    first: int
    last: int = 0


class ShardRow(msgspec.Struct, frozen=True):
    """Content of a shard's row.

    Attributes:
        session: Id of the session that holds the shard, or to which it was handed.
        snapshot: Key of the snapshot object; empty if the shard has none.
        spans: Spans of journals to replay on top of the snapshot, in order.
    """

    session: str
    snapshot: str = ""
    spans: list[Span] = []

    @property
    def is_held(self) -> bool:
        """Whether the session has claimed the shard, by adding its own journal."""
        return bool(self.spans) and self.spans[-1].session == self.session


def shard_key(number: int) -> str:
    """Return the key of a shard's row."""
    return f"{SHARD_PREFIX}{number:05d}"


def shard_write(number: int, row: ShardRow) -> Write:
    """Return the write of a shard's row."""
    return Write(shard_key(number), msgspec.json.encode(row))


def shard_number(key: str) -> int:
    """Return the number of a shard from its row's key."""
    return int(key.removeprefix(SHARD_PREFIX))


def decode_shard(row: Row) -> ShardRow:
    """Return the content of a shard's row."""
    return msgspec.json.decode(row.value, type=ShardRow)


async def read_shards(table: Table, numbers: list[int]) -> list[Row]:
    """Return the rows of shards, in order of their numbers.

    A shard without a row is returned as an empty row with ``ABSENT_VERSION``.

    Raises:
        StoreUnavailableError: The table service did not answer.
    """
    wanted = {shard_key(number) for number in numbers}
    if len(wanted) > MAX_SINGLE_READS:
        rows = await table.scan(SHARD_PREFIX)
    else:
        read = await asyncio.gather(*(table.read(key) for key in sorted(wanted)))
        rows = [row for row in read if row is not None]
    found = {row.key: row for row in rows if row.key in wanted}
    empty = msgspec.json.encode(ShardRow(session=""))
    return [found.get(key, Row(key, ABSENT_VERSION, empty)) for key in sorted(wanted)]
