"""Snapshots of the followed tables, which peers send to a gateway that starts.

A gateway that starts while the row store is unreachable loads these tables from its
peers instead.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Iterable
from urllib.parse import urlencode

import msgspec

from ..errors import CarobspurError
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
SNAPSHOTS_WANTED = 3
"""Snapshots with content that a gateway loads: a single peer may have started during
the same outage and know only an older configuration."""
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
"""Largest size of a decompressed snapshot."""
ZLIB_MAGIC = b"\x78"
"""First byte of compressed data; a snapshot that is not compressed never begins so."""
COMPRESSION_LEVEL = 1
"""The fastest level already makes a configuration of 1,400 routes ten times smaller."""
MEMBERS_FEED = "members"
"""Name of the table of gateways in a snapshot."""


class DamagedSnapshotError(CarobspurError):
    """A peer's snapshot can't be decoded."""

    cause = "damaged_snapshot"


class _SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of a followed table; its table and partition are those of the feed."""

    key: str
    value: bytes
    version: int


PeerSnapshot = dict[str, list[_SnapshotRow]]
"""Rows of the followed tables, by the name of the feed."""


def newest_versions(feeds: dict[str, TableFeed]) -> dict[str, int]:
    """Return the version of the newest row that each feed has; 0 without rows."""
    return {
        name: max((row.version for row in feed.rows.values()), default=0)
        for name, feed in feeds.items()
    }


def encode_snapshot(
    feeds: dict[str, TableFeed],
    *,
    members: Iterable[Member],
    after: dict[str, int] | None = None,
) -> bytes:
    """Return the newer rows of all followed tables as a message for a peer.

    Args:
        feeds: The feeds of the tables by name.
        after: Version of the newest row that the peer has, by feed. A copy with a row
            of some version has all older rows of its table, so these are left out.
            ``None`` for a gateway of an earlier release, which does not say so and
            cannot read compressed data.
        members: All known gateways, this one included. Some are known from
            heartbeats only, as the store has not returned their rows yet.
    """
    known = after or {}
    tables = {
        name: [row for row in _rows_of(feed) if row.version > known.get(name, 0)]
        for name, feed in feeds.items()
    }
    listed = set(feeds[MEMBERS_FEED].rows)
    tables[MEMBERS_FEED] += [
        _SnapshotRow(member.name, msgspec.json.encode(member), 0)
        for member in members
        if member.name not in listed
    ]
    data = msgspec.msgpack.encode(tables)
    return data if after is None else zlib.compress(data, COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> PeerSnapshot:
    """Decode a peer's answer to a request for its snapshot.

    Raises:
        DamagedSnapshotError: The data are damaged or too large.
    """
    try:
        if data.startswith(ZLIB_MAGIC):
            data = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        return msgspec.msgpack.decode(data, type=PeerSnapshot)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DamagedSnapshotError(str(error)) from error


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

    A feed is filled once it has rows or a version, from a peer or from the store. Each
    peer is told what the feeds have, and sends only what is newer: after a restart of
    77 gateways that each read a configuration of 400 kB from every other one, the
    links between data centres carried 0.6 GB.

    Args:
        feeds: The feeds of the tables by name.
        peers: Returns ``HOST:PORT`` of gateways to query.
        pool: Connections to peers.
        log: Decision log.
    """
    await asyncio.sleep(PEER_QUERY_DELAY_S)
    while not _are_filled(feeds):
        loaded = 0
        for peer in peers():
            target = f"{SNAPSHOT_PATH}?{urlencode(newest_versions(feeds))}"
            try:
                answer = await fetch(
                    pool, peer, "GET", target, timeout_s=PEER_TIMEOUT_S
                )
                tables = decode_snapshot(answer.body)
            except (SendError, DamagedSnapshotError) as error:
                log.record("snapshot_failed", peer=peer, reason=str(error))
                continue
            load_snapshot(feeds, tables)
            loaded += _are_filled(feeds)
            log.record(
                "snapshot_loaded",
                peer=peer,
                rows={name: len(rows) for name, rows in tables.items()},
                bytes=len(answer.body),
            )
            if loaded >= SNAPSHOTS_WANTED:
                return
        await asyncio.sleep(RETRY_DELAY_S)


def _are_filled(feeds: dict[str, TableFeed]) -> bool:
    return all(feed.version or feed.rows for feed in feeds.values())


def _without_keys(table: str, row: _SnapshotRow) -> bytes:
    """Return a row's value; peers of older versions send the customers' API keys."""
    if (table, row.key) == (configuration.TABLE, configuration.KEY):
        return configuration.replace_keys(row.value)
    return row.value


def _rows_of(feed: TableFeed) -> list[_SnapshotRow]:
    rows = feed.rows.items()
    return [_SnapshotRow(key, row.value, row.version) for key, row in rows]
