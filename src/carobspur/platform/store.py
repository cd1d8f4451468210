"""Client of the platform's row store, directly or through a peer that reaches it."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.http1 import (
    NotSentError,
    Pool,
    SendError,
    SimpleAnswer,
    fetch,
)
from ..gateway.rows import (
    HistoryGoneError,
    Row,
    RowConflictError,
    RowKey,
    RowStoreAwayError,
    RowStoreError,
    RowWrite,
    Snapshot,
)
from ..gateway.telemetry import Telemetry

FIRST_ATTEMPT_S = 0.4
"""Time of the first attempt: a slow store answers in up to 0.37 s; doubled by each."""
MIN_ATTEMPT_S = 0.05
BUSY_PAUSE_S = 0.05
"""Pause after a refusal that says nothing was done; doubled by each that follows."""
MAX_BUSY_PAUSE_S = 0.4
AVOID_DIRECT_S = 0.5
"""How long calls go through peers after the direct way failed."""
FEED_SLACK_S = 0.6
"""Time that a feed's answer may take beyond its wait."""
PAGE_ROWS = 500
RELAY_PATH = "/relay"

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_NOTHING_DONE = (429, 503)


class _WireRow(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: str = ""
    # Version of the transaction that wrote the row, not of its content.
    ver: int = 0
    # The row was dropped; only feeds say so.
    tombstone: bool = False


class _Page(msgspec.Struct):
    rows: list[_WireRow] = []
    # More rows of the range follow.
    truncated: bool = False
    # Version of the whole store at the moment of the answer.
    ver: int = 0


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """A store call that a peer passes on."""

    method: str
    target: str
    body: bytes
    timeout_s: float


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The store's answer to it; status 0 where the peer got none."""

    status: int
    body: bytes


@dataclass(slots=True)
class _Way:
    """State of the direct way to the store."""

    avoid_until: float = 0.0
    lost_at: float | None = None
    regained_at: float = float("-inf")


class PlatformRowStore:
    """The row store's client; see :class:`carobspur.gateway.rows.RowStore`.

    Args:
        address: Returns ``HOST:PORT`` of the store.
        peers: Returns ``HOST:PORT`` of peers that may reach the store, best first.
        pool: Connections.
        log: Decision log.
        telemetry: Counts calls.
    """

    __slots__ = ("_address", "_log", "_peers", "_pool", "_telemetry", "_turn", "_way")

    def __init__(
        self,
        address: Callable[[], str],
        peers: Callable[[], list[str]],
        pool: Pool,
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self._address = address
        self._peers = peers
        self._pool = pool
        self._log = log
        self._telemetry = telemetry
        self._way = _Way()
        self._turn = 0

    @property
    def is_reached(self) -> bool:
        """Whether the last direct call was answered."""
        return self._way.lost_at is None

    def was_away(self, within_s: float) -> bool:
        """Return whether the store is away or came back within this time."""
        now = asyncio.get_running_loop().time()
        return not self.is_reached or now - self._way.regained_at < within_s

    async def write(self, writes: list[RowWrite], *, timeout_s: float) -> None:
        """Write rows of one part; see :class:`RowStore`."""
        body = msgspec.json.encode(
            {
                "expectedRevision": [],
                "writes": [
                    {**_key(item.key), "value": b64encode(item.value).decode()}
                    for item in writes
                    if item.value is not None
                ],
                "remove": [_key(item.key) for item in writes if item.value is None],
            }
        )
        answer = await self._call(
            "write", "POST", "/carobspur/rows-tx", body, timeout_s=timeout_s
        )
        if answer.status == _CONFLICT:
            raise RowConflictError("a row changed")

    async def read(
        self, table: str, part: str, *, first: str = "", end: str = "", timeout_s: float
    ) -> Snapshot:
        """Read a range of rows; see :class:`RowStore`."""
        rows: list[Row] = []
        version = None
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if first:
                query["from"] = first
            if end:
                query["to"] = end
            target = "/carobspur/rows-get?" + urlencode(query)
            answer = await self._call("read", "GET", target, b"", timeout_s=timeout_s)
            page = msgspec.json.decode(answer.body, type=_Page)
            rows += [_row(item) for item in page.rows]
            # The first page's moment: a feed from there repeats what came meanwhile.
            version = page.ver if version is None else version
            if not page.truncated or not page.rows:
                return Snapshot(rows, version)
            first = page.rows[-1].key + "\x00"

    async def changes(self, table: str, *, after: int, wait_s: float) -> Snapshot:
        """Wait for changes of a table; see :class:`RowStore`."""
        query = urlencode(
            {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        )
        answer = await self._call(
            "feed",
            "GET",
            "/carobspur/rows-feed?" + query,
            b"",
            timeout_s=wait_s + FEED_SLACK_S,
            attempt_s=wait_s + FEED_SLACK_S,
        )
        if answer.status == _HISTORY_GONE:
            raise HistoryGoneError(f"changes of {table} since {after} are gone")
        page = msgspec.json.decode(answer.body, type=_Page)
        return Snapshot([_row(item) for item in page.rows], page.ver)

    async def pass_on(self, request: RelayRequest) -> RelayAnswer:
        """Make a peer's call, directly and once."""
        try:
            answer = await self._direct(
                request.method, request.target, request.body, request.timeout_s
            )
        except SendError as error:
            self._log.note("relay_failed", reason=error.message)
            return RelayAnswer(0, b"")
        return RelayAnswer(answer.status, answer.body)

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout_s: float,
        attempt_s: float = FIRST_ATTEMPT_S,
    ) -> SimpleAnswer:
        """Make a call until it is answered; every call here may be repeated."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + timeout_s
        pause_s = BUSY_PAUSE_S
        reason = "no time left"
        while (left_s := deadline - loop.time()) > MIN_ATTEMPT_S:
            answer, reason = await self._attempt(
                operation, method, target, body, min(attempt_s, left_s)
            )
            if answer is not None and answer.status not in _NOTHING_DONE:
                self._telemetry.store_seconds.labels(operation).observe(
                    loop.time() - started
                )
                if answer.status in (_OK, _CONFLICT, _HISTORY_GONE):
                    return answer
                raise RowStoreError(f"the row store answered {answer.status}")
            attempt_s *= 2
            await asyncio.sleep(min(pause_s, max(0.0, deadline - loop.time())))
            pause_s = min(2 * pause_s, MAX_BUSY_PAUSE_S)
        raise RowStoreAwayError(f"row store, {operation}: {reason}")

    async def _attempt(
        self, operation: str, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[SimpleAnswer | None, str]:
        """Try one way; returns the answer, or ``None`` and the reason."""
        loop = asyncio.get_running_loop()
        peers = self._peers() if loop.time() < self._way.avoid_until else []
        way = "peer" if peers else "direct"
        try:
            if peers:
                self._turn += 1
                peer = peers[self._turn % len(peers)]
                request = RelayRequest(method, target, body, timeout_s)
                answer = await self._relay(peer, request)
            else:
                answer = await self._direct(method, target, body, timeout_s)
        except SendError as error:
            outcome = "not_sent" if isinstance(error, NotSentError) else "lost"
            self._telemetry.store_calls.labels(operation, way, outcome).inc()
            return None, f"{way}: {error.message}"
        self._telemetry.store_calls.labels(operation, way, str(answer.status)).inc()
        return answer, f"{way}: status {answer.status}"

    async def _direct(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> SimpleAnswer:
        try:
            answer = await fetch(
                self._pool,
                self._address(),
                method,
                target,
                body=body,
                headers=[("Content-Type", "application/json")],
                timeout_s=timeout_s,
            )
        except SendError as error:
            self._lost(error.message)
            raise
        if answer.status in _NOTHING_DONE:
            self._lost(f"status {answer.status}")
        else:
            self._regained()
        return answer

    async def _relay(self, peer: str, request: RelayRequest) -> SimpleAnswer:
        answer = await fetch(
            self._pool,
            peer,
            "POST",
            RELAY_PATH,
            body=msgspec.msgpack.encode(request),
            timeout_s=request.timeout_s + MIN_ATTEMPT_S,
        )
        relayed = msgspec.msgpack.decode(answer.body, type=RelayAnswer)
        if not relayed.status:
            raise SendError(f"peer {peer} does not reach the store")
        return SimpleAnswer(relayed.status, {}, relayed.body)

    def _lost(self, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._way.avoid_until = now + AVOID_DIRECT_S
        if self._way.lost_at is None:
            self._way.lost_at = now
            self._log.note("store_lost", reason=reason)

    def _regained(self) -> None:
        if self._way.lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.note("store_regained", after_s=round(now - self._way.lost_at, 2))
        self._way.lost_at = None
        self._way.avoid_until = 0.0
        self._way.regained_at = now


def _key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _row(wire: _WireRow) -> Row:
    value = None if wire.tombstone else b64decode(wire.value)
    return Row(RowKey(wire.table, wire.part, wire.key), value, wire.ver)
