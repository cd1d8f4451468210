"""Rows of shards: who holds each, and where its state stands."""

from __future__ import annotations

import asyncio

import msgspec

from .table import ABSENT_VERSION, Row, Table, Write

SHARD_PREFIX = "shard/"
MAX_SINGLE_READS = 64


class Span(msgspec.Struct, frozen=True):
    """A part of a session's journal; ``last`` of 0 means up to its end."""

    session: str
    first: int
    last: int = 0


class ShardRow(msgspec.Struct, frozen=True):
    """Content of a shard's row.

    Attributes:
        session: Id of the session that holds it, or that it was handed to.
        snapshot: Key of the object with its state, or empty.
        spans: Journals to replay on top of it, in order.
    """

    session: str
    snapshot: str = ""
    spans: list[Span] = []

    @property
    def is_held(self) -> bool:
        """Whether its session has taken it up, by a commit that adds its journal."""
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
    """Read a shard's row."""
    return msgspec.json.decode(row.value, type=ShardRow)


async def read_shards(table: Table, numbers: list[int]) -> list[Row]:
    """Return the rows of shards; one that is absent has the absent version.

    Raises:
        StoreUnavailableError: No answer.
    """
    wanted = {shard_key(n) for n in numbers}
    if len(wanted) > MAX_SINGLE_READS:
        rows = await table.scan(SHARD_PREFIX)
    else:
        read = await asyncio.gather(*(table.read(key) for key in sorted(wanted)))
        rows = [row for row in read if row is not None]
    found = {row.key: row for row in rows if row.key in wanted}
    empty = msgspec.json.encode(ShardRow(session=""))
    return [found.get(key, Row(key, ABSENT_VERSION, empty)) for key in sorted(wanted)]
