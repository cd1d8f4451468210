"""Snapshots of the followed tables, which peers send to a gateway that starts.

A gateway that starts while the row store is unreachable loads these tables from its
peers instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.feed import TableFeed
from ..gateway.http_pool import ConnectionPool, fetch
from ..gateway.members import Member
from ..gateway.rows import Row, RowKey
from ..gateway.send_errors import SendError
from . import configuration

SNAPSHOT_PATH = "/snapshot"
PEER_QUERY_DELAY_S = 0.3
"""Time that the store usually needs to answer a gateway that has just started.

Peers are queried only after this delay.
"""
RETRY_DELAY_S = 0.25
PEER_TIMEOUT_S = 0.5
MEMBERS_FEED = "members"
"""Name of the table of gateways in a snapshot."""


class _SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a followed table; its table and partition are those of the feed."""

    key: str
    value: bytes
    version: int


PeerSnapshot = dict[str, list[_SnapshotRow]]
"""Rows of the followed tables, by the name of the feed."""


def encode_snapshot(feeds: dict[str, TableFeed], *, members: Iterable[Member]) -> bytes:
    """Return the rows of all followed tables as a message for a peer.

    Args:
        feeds: The feeds of the tables by name.
        members: All known gateways, this one included. Some are known from
            heartbeats only, as the store has not returned their rows yet.
    """
    tables = {name: _rows_of(feed) for name, feed in feeds.items()}
    listed = {row.key for row in tables[MEMBERS_FEED]}
    tables[MEMBERS_FEED] += [
        _SnapshotRow(member.name, msgspec.json.encode(member), 0)
        for member in members
        if member.name not in listed
    ]
    return msgspec.msgpack.encode(tables)


def decode_snapshot(data: bytes) -> PeerSnapshot:
    """Decode a peer's answer to a request for its snapshot.

    Raises:
        msgspec.MsgspecError: The data are damaged.
    """
    return msgspec.msgpack.decode(data, type=PeerSnapshot)


def load_snapshot(feeds: dict[str, TableFeed], snapshot: PeerSnapshot) -> None:
    """Load a peer's rows into the feeds that have not read from the store yet.

    Tables without a feed here are skipped.
    """
    for name, rows in snapshot.items():
        feed = feeds.get(name)
        if feed is not None:
            feed.load(
                [
                    Row(
                        RowKey(feed.table, "", row.key),
                        _without_keys(feed.table, row),
                        row.version,
                    )
                    for row in rows
                ]
            )


async def load_from_peers(
    feeds: dict[str, TableFeed],
    peers: Callable[[], list[str]],
    pool: ConnectionPool,
    log: DecisionLog,
) -> None:
    """Request snapshots from peers until each feed has been filled.

    A feed is filled once it has rows or a version, from a peer or from the store.

    Args:
        feeds: The feeds of the tables by name.
        peers: Returns ``HOST:PORT`` of gateways to query.
        pool: Connections to peers.
        log: Decision log.
    """
    await asyncio.sleep(PEER_QUERY_DELAY_S)
    while not all(feed.version or feed.rows for feed in feeds.values()):
        for peer in peers():
            try:
                answer = await fetch(
                    pool, peer, "GET", SNAPSHOT_PATH, timeout_s=PEER_TIMEOUT_S
                )
                tables = decode_snapshot(answer.body)
            except (SendError, msgspec.MsgspecError) as error:
                log.record("snapshot_failed", peer=peer, reason=str(error))
                continue
            load_snapshot(feeds, tables)
            log.record(
                "snapshot_loaded",
                peer=peer,
                rows={name: len(rows) for name, rows in tables.items()},
            )
        await asyncio.sleep(RETRY_DELAY_S)


def _without_keys(table: str, row: _SnapshotRow) -> bytes:
    """Return a row's value; peers of older versions send the customers' API keys."""
    if (table, row.key) == (configuration.TABLE, configuration.KEY):
        return configuration.replace_keys(row.value)
    return row.value


def _rows_of(feed: TableFeed) -> list[_SnapshotRow]:
    rows = feed.rows.items()
    return [_SnapshotRow(key, row.value, row.version) for key, row in rows]
