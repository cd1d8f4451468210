"""Lets a gateway start while the row store is away: peers tell what they know."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.feed import TableFeed
from ..gateway.http1 import SendError
from ..gateway.http_pool import Pool, fetch
from ..gateway.rows import Row, RowKey

SNAPSHOT_PATH = "/snapshot"
FIRST_WAIT_S = 0.3
"""Time in which the store usually answers a gateway that has just started."""
RETRY_S = 0.25
PEER_TIMEOUT_S = 0.5


class _SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a table that is followed."""

    key: str
    value: bytes
    version: int


def encode_snapshot(feeds: dict[str, TableFeed]) -> bytes:
    """Return the rows of all followed tables."""
    tables = {name: _rows_of(feed) for name, feed in feeds.items()}
    return msgspec.msgpack.encode(tables)


async def load_from_peers(
    feeds: dict[str, TableFeed],
    peers: Callable[[], list[str]],
    pool: Pool,
    log: DecisionLog,
) -> None:
    """Ask peers for their rows until the store or a peer has told all tables.

    Args:
        feeds: The tables by name.
        peers: Returns ``HOST:PORT`` of gateways to ask.
        pool: Connections.
        log: Decision log.
    """
    await asyncio.sleep(FIRST_WAIT_S)
    while not all(feed.version or feed.rows for feed in feeds.values()):
        for peer in peers():
            try:
                answer = await fetch(
                    pool, peer, "GET", SNAPSHOT_PATH, timeout_s=PEER_TIMEOUT_S
                )
                tables = msgspec.msgpack.decode(
                    answer.body, type=dict[str, list[_SnapshotRow]]
                )
            except (SendError, msgspec.MsgspecError) as error:
                log.note("snapshot_failed", peer=peer, reason=str(error))
                continue
            _load(feeds, tables)
            log.note(
                "snapshot_loaded",
                peer=peer,
                rows={name: len(rows) for name, rows in tables.items()},
            )
        await asyncio.sleep(RETRY_S)


def _rows_of(feed: TableFeed) -> list[_SnapshotRow]:
    rows = feed.rows.items()
    return [_SnapshotRow(key, row.value, row.version) for key, row in rows]


def _load(feeds: dict[str, TableFeed], tables: dict[str, list[_SnapshotRow]]) -> None:
    for name, rows in tables.items():
        feed = feeds.get(name)
        if feed is not None:
            keys = [RowKey(feed.table, "", row.key) for row in rows]
            feed.load(
                [
                    Row(key, row.value, row.version)
                    for key, row in zip(keys, rows, strict=True)
                ]
            )
