"""Rows of shards: who holds each, and where its state stands."""

from __future__ import annotations

import msgspec

from .table import Write

SHARD_PREFIX = "shard/"


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


def shard_key(number: int) -> str:
    """Return the key of a shard's row."""
    return f"{SHARD_PREFIX}{number:05d}"


def shard_write(number: int, row: ShardRow) -> Write:
    """Return the write of a shard's row."""
    return Write(shard_key(number), msgspec.json.encode(row))


def shard_number(key: str) -> int:
    """Return the number of a shard from its row's key."""
    return int(key.removeprefix(SHARD_PREFIX))
