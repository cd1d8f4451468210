"""Stand-in for the platform's row store, with injected faults.

Serves the store's HTTP protocol (transactions, range reads, change feeds) from memory.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

TRANSACTION_S = 0.005
"""Duration of a transaction on the platform. A partition executes one after another,
which bounds its throughput."""
MAX_PARTITION_QUEUE_S = 1.0
"""Transactions that would wait longer at their partition are refused with 429."""
MAX_ROWS = 500
"""Most rows of one page of a range read."""
HISTORY_ROWS = 10_000


@dataclass(slots=True)
class StoreFaults:
    """Faults that the store injects at present.

    Attributes:
        is_silent: Whether it accepts calls and never answers.
        status: HTTP status of every answer; 0 for no such fault.
        delay_s: Seconds added to every answer.
        transaction_s: Seconds of a transaction, during which its partition executes no
            other.
        lose_answers: Number of next writes that are executed and not answered.
        silent_partitions: Partitions of tables whose calls are never answered.
        silent_ports: Ports on which nothing is answered, as behind a broken network.
        rejecting_ports: Ports on which every call gets 503, also one that was waiting.
    """

    is_silent: bool = False
    status: int = 0
    delay_s: float = 0.0
    transaction_s: float = TRANSACTION_S
    lose_answers: int = 0
    silent_partitions: set[str] = field(default_factory=set)
    silent_ports: set[int] = field(default_factory=set)
    rejecting_ports: set[int] = field(default_factory=set)


@dataclass(slots=True)
class _StoredRow:
    value: str | None
    version: int


@dataclass(slots=True)
class RowStoreStandin:
    """Versioned rows in memory, served by the platform's protocol.

    A row is named by table, partition and key. Deleted rows stay as tombstones with
    the version of their deletion, so that feeds report them.

    Attributes:
        faults: Injected faults.
        calls: Number of calls by the last part of their path.
        version: Version of the latest transaction.
        oldest_feed_version: Feeds that ask for changes after an older version get 410.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: dict[str, int] = field(default_factory=dict)
    version: int = 0
    oldest_feed_version: int = 0
    _rows: dict[tuple[str, str, str], _StoredRow] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _servers: list[HTTPServer] = field(default_factory=list)
    _streams: set[IOStream] = field(default_factory=set)
    _muted: set[IOStream] = field(default_factory=set)
    _busy_until_s: dict[str, float] = field(default_factory=dict)

    def listen(self, host: str, port: int = 0) -> int:
        """Serve on one more port; port 0 picks a free one. Returns the port."""
        handlers = [
            (r"/carobspur/rows-tx", _WriteHandler, {"store": self}),
            (r"/carobspur/rows-get", _ReadHandler, {"store": self}),
            (r"/carobspur/rows-feed", _FeedHandler, {"store": self}),
        ]
        application = tornado.web.Application(handlers, log_function=lambda _: None)
        server = HTTPServer(application)
        sockets = bind_sockets(port, host)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop serving on all ports and close all connections."""
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    def put(
        self, table: str, key: str, value: str | None, *, partition: str = ""
    ) -> int:
        """Write one row as an operator or replica does; return its version.

        Args:
            table: Table of the row.
            key: Key of the row.
            value: New value; ``None`` deletes the row.
            partition: Partition of the row.
        """
        self.version += 1
        self._rows[(table, partition, key)] = _StoredRow(value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def drop_history(self) -> None:
        """Drop the history of changes, so that feeds must read their tables again."""
        self.oldest_feed_version = self.version + 1

    def mute_open_connections(self) -> None:
        """Never answer again on connections that are open now; new ones work."""
        self._muted |= self._streams

    def is_muted(self, stream: IOStream) -> bool:
        """Register a connection; return whether all answers on it are suppressed."""
        self._streams.add(stream)
        port = stream.socket.getsockname()[1]
        return stream in self._muted or port in self.faults.silent_ports

    def rejects(self, stream: IOStream) -> bool:
        """Return whether calls on a connection are rejected."""
        port = stream.socket.getsockname()[1] if stream.socket else 0
        return port in self.faults.rejecting_ports

    def is_any_silent(self, partitions: Iterable[str]) -> bool:
        """Return whether any of the partitions is silent by a fault."""
        return any(
            partition in self.faults.silent_partitions for partition in partitions
        )

    def rows(self, table: str, partition: str | None = None) -> list[dict]:
        """Return the rows of a table without tombstones, by partition and key.

        Args:
            table: The table.
            partition: Only rows of this partition; ``None`` for all.
        """
        return [
            _row(name, row)
            for name, row in sorted(self._rows.items())
            if name[0] == table
            and (partition is None or name[1] == partition)
            and row.value is not None
        ]

    def queue_transaction(self, request: dict) -> float | None:
        """Queue a transaction at its partitions.

        Returns:
            Seconds until it is done; ``None`` where a partition's queue is full.
        """
        now_s = asyncio.get_running_loop().time()
        partitions = {item.get("part", "") for item in _entries(request)}
        start_s = max(
            [
                now_s,
                *(self._busy_until_s.get(item, now_s) for item in partitions),
            ]
        )
        if start_s - now_s > MAX_PARTITION_QUEUE_S:
            return None
        end_s = start_s + self.faults.transaction_s
        self._busy_until_s.update(dict.fromkeys(partitions, end_s))
        return end_s - now_s

    def apply(self, request: dict) -> tuple[int, dict]:
        """Execute a transaction; return status and body of the answer.

        The status is 400 where it names rows of several partitions, and 412 where a
        row does not have its expected version; nothing is written then.
        """
        partitions = {item.get("part", "") for item in _entries(request)}
        if len(partitions) > 1:
            return 400, {"error": "rows of several parts"}
        failed = [
            item
            for item in request.get("expectedRevision", [])
            if self._version(item) != item["ver"]
        ]
        if failed:
            rows = [_row(_name(item), self._stored(item)) for item in failed]
            return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for item in request.get("writes", []):
            self._rows[_name(item)] = _StoredRow(item["value"], self.version)
        for item in request.get("remove", []):
            self._rows[_name(item)] = _StoredRow(None, self.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": 0}

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the rows of a table that changed after a version, oldest first."""
        found = [
            _row(name, row)
            for name, row in self._rows.items()
            if name[0] == table and row.version > after
        ]
        return sorted(found, key=lambda item: item["ver"])

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait for the next change of any row, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _version(self, item: dict) -> int:
        stored = self._stored(item)
        return stored.version if stored.value is not None else 0

    def _stored(self, item: dict) -> _StoredRow:
        return self._rows.get(_name(item), _StoredRow(None, 0))


class _Handler(tornado.web.RequestHandler):
    def initialize(self, store: RowStoreStandin) -> None:
        self._store = store

    async def prepare(self) -> None:
        store = self._store
        name = self.request.path.rpartition("/")[2]
        store.calls[name] = store.calls.get(name, 0) + 1
        stream = self.request.connection.stream
        if store.is_muted(stream) or store.faults.is_silent:
            await self._never_answer()
        status = 503 if store.rejects(stream) else store.faults.status
        if status:
            self.set_status(status)
            self.finish()
            return
        await asyncio.sleep(store.faults.delay_s)

    async def _never_answer(self) -> None:
        await asyncio.sleep(3600)

    def _text(self, name: str) -> str:
        # Keys may hold control characters, which get_query_argument would strip.
        return self.request.query_arguments.get(name, [b""])[-1].decode()

    async def _answer(self, status: int, body: dict) -> None:
        stream = self.request.connection.stream
        if self._store.is_muted(stream) or self._store.faults.is_silent:
            await self._never_answer()
        if self._store.rejects(stream):
            status, body = 503, {"error": "rejected"}
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _WriteHandler(_Handler):
    async def post(self) -> None:
        request = json.loads(self.request.body)
        if self._store.is_any_silent(
            item.get("part", "") for item in _entries(request)
        ):
            await self._never_answer()
            return
        wait_s = self._store.queue_transaction(request)
        if wait_s is None:
            await self._answer(429, {"error": "the part is full"})
            return
        await asyncio.sleep(wait_s)
        status, body = self._store.apply(request)
        if self._store.faults.lose_answers:
            self._store.faults.lose_answers -= 1
            await self._never_answer()
        await self._answer(status, body)


class _ReadHandler(_Handler):
    async def get(self) -> None:
        if self._store.is_any_silent([self._text("part")]):
            await self._never_answer()
            return
        first = self._text("from")
        end = self._text("to")
        limit = int(self.get_query_argument("limit", str(MAX_ROWS)))
        rows = [
            row
            for row in self._store.rows(
                self.get_query_argument("table"), self.get_query_argument("part", "")
            )
            if row["key"] >= first and (not end or row["key"] < end)
        ]
        page = rows[: min(limit, MAX_ROWS)]
        await self._answer(
            200,
            {
                "rows": page,
                "truncated": len(page) < len(rows),
                "ver": self._store.version,
                "nowMs": 0,
            },
        )


class _FeedHandler(_Handler):
    async def get(self) -> None:
        table = self.get_query_argument("table")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("waitMs")) / 1000
        if after < self._store.oldest_feed_version:
            await self._answer(410, {"error": "history is gone"})
            return
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while not self._store.changes(table, after) and loop.time() < deadline_s:
            await self._store.wait_changed(deadline_s - loop.time())
        rows = self._store.changes(table, after)
        await self._answer(200, {"rows": rows, "ver": self._store.version, "nowMs": 0})


def _entries(request: dict) -> list[dict]:
    names = ("expectedRevision", "writes", "remove")
    return [item for name in names for item in request.get(name, [])]


def _name(item: dict) -> tuple[str, str, str]:
    return item["table"], item.get("part", ""), item["key"]


def _row(name: tuple[str, str, str], row: _StoredRow) -> dict:
    table, partition, key = name
    body = {"table": table, "part": partition, "key": key, "ver": row.version}
    if row.value is None:
        body["tombstone"] = True
    else:
        body["value"] = row.value
    return body
