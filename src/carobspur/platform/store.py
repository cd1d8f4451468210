"""Client of the platform's row store, directly or through a peer that reaches it."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.http_pool import ConnectionPool, SimpleAnswer, fetch
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
from ..gateway.send_errors import NotSentError, SendError
from ..gateway.telemetry import Telemetry
from ..verdict import MAY_HAVE_RUN, NOT_RUN
from .store_wire import Page, decode_row, encode_key

MIN_ATTEMPT_TIMEOUT_S = 0.15
"""Shortest time until a call is made again: ten usual transactions."""
MAX_ATTEMPT_TIMEOUT_S = 1.6
"""Longest time until then: a store slowed 91 times answers a write within 0.9 s."""
ATTEMPT_TIMEOUT_FACTOR = 6
"""A call is made again after this many times the usual answer, then twice as long."""
USUAL_WEIGHT = 0.3
"""Weight of the newest answer in the usual time."""
INITIAL_USUAL_S = 0.015
MAX_PARALLEL_ATTEMPTS = 3
"""Attempts of one call under way at once."""
BUSY_DELAY_S = 0.02
"""Pause after a refusal that says nothing was done; doubled by each that follows."""
MAX_BUSY_DELAY_S = 0.3
PROBE_INTERVAL_S = 0.15
"""Time between probes while the store is away; one probe serves all who wait."""
PROBE_TIMEOUT_S = 0.6
FAILURES_UNTIL_LOST = 2
"""Calls in a row that end without an answer until the direct way counts as lost: one
may be a single lost answer."""
SILENCE_UNTIL_LOST_S = 0.7
"""Silence after which it counts as lost too: a store slowed 91 times answers a read,
asked once a call has waited for the shortest attempt, within 0.5 s."""
MAX_ANSWER_AGE_S = 0.3
"""Age of the newest answer from which on a peer's loss is looked into: a heartbeat."""
MIN_REMAINING_S = 0.02
"""Time too short to begin an attempt."""
FEED_ANSWER_MARGIN_S = 0.6
"""Time that a feed's answer may take beyond its wait."""
PAGE_ROWS = 500
RELAY_PATH = "/relay"

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_NOT_EXECUTED_STATUSES = (429, 503)


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


@dataclass(frozen=True, slots=True)
class _Attempt:
    """What came of one attempt of a call.

    Attributes:
        answer: The store's answer; ``None`` where there was none.
        reason: Why it does not count, if it does not.
        may_have_taken_effect: Whether the store may have done what was asked, unseen.
    """

    answer: SimpleAnswer | None
    reason: str
    may_have_taken_effect: bool

    @property
    def is_final(self) -> bool:
        """Whether the store did, or refused for good, what was asked."""
        return (
            self.answer is not None and self.answer.status not in _NOT_EXECUTED_STATUSES
        )


class PlatformRowStore:
    """The row store's client; see :class:`carobspur.gateway.rows.RowStore`.

    Args:
        address: Returns ``HOST:PORT`` of the store.
        peers: Returns ``HOST:PORT`` of peers that may reach the store, best first.
        pool: Connections.
        log: Decision log.
        telemetry: Counts calls.
        on_change: Called when the direct way is lost, and when it works again.
    """

    __slots__ = (
        "_address",
        "_answered_at",
        "_last_unreachable_at",
        "_failures",
        "_log",
        "_direct_lost_at",
        "_on_change",
        "_peers",
        "_pool",
        "_probe_task",
        "_regained",
        "_telemetry",
        "_relay_count",
        "_usual_s",
    )

    def __init__(
        self,
        address: Callable[[], str],
        peers: Callable[[], list[str]],
        pool: ConnectionPool,
        log: DecisionLog,
        telemetry: Telemetry,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._address = address
        self._on_change = on_change
        self._peers = peers
        self._pool = pool
        self._log = log
        self._telemetry = telemetry
        self._usual_s = INITIAL_USUAL_S
        self._failures = 0
        self._answered_at = float("-inf")
        self._direct_lost_at: float | None = None
        self._last_unreachable_at = float("-inf")
        self._regained = asyncio.Event()
        self._probe_task: asyncio.Task | None = None
        self._relay_count = 0

    @property
    def usual_s(self) -> float:
        """How long the store usually takes to answer."""
        return self._usual_s

    @property
    def is_directly_reachable(self) -> bool:
        """Whether the direct way works, as far as is known."""
        return self._direct_lost_at is None

    @property
    def is_unreachable(self) -> bool:
        """Whether neither this gateway nor a peer reaches the store."""
        return self._direct_lost_at is not None and not self._peers()

    @property
    def away_s(self) -> float | None:
        """How long no gateway has reached the store; ``None`` while one does."""
        if not self.is_unreachable:
            return None
        return asyncio.get_running_loop().time() - self._direct_lost_at

    @property
    def direct_lost_at(self) -> float | None:
        """Loop time at which the direct way was lost; ``None`` while it works."""
        return self._direct_lost_at

    def was_unreachable(self, within_s: float) -> bool:
        """Return whether the store is away or came back within this time.

        A gateway that alone is cut off hears of changes through its peers, so the
        store is not away for it.
        """
        now = asyncio.get_running_loop().time()
        return self.is_unreachable or now - self._last_unreachable_at < within_s

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        """Write rows of one part; see :class:`RowStore`."""
        body = msgspec.json.encode(
            {
                # Conditions on rows, not a revision of the whole store.
                "expectedRevision": [
                    {**encode_key(key), "ver": version}
                    for key, version in (expected or {}).items()
                ],
                "writes": [
                    {**encode_key(item.key), "value": b64encode(item.value).decode()}
                    for item in writes
                    if item.value is not None
                ],
                "remove": [
                    encode_key(item.key) for item in writes if item.value is None
                ],
            }
        )
        answer = await self._call(
            "write", "POST", "/carobspur/rows-tx", body, timeout_s=timeout_s
        )
        page = msgspec.json.decode(answer.body, type=Page)
        if answer.status == _CONFLICT:
            rows = [decode_row(item) for item in page.rows]
            raise RowConflictError("a row changed", rows=rows)
        return page.ver

    async def read(
        self,
        table: str,
        partition: str,
        *,
        first: str = "",
        end: str = "",
        timeout_s: float,
    ) -> Snapshot:
        """Read a range of rows; see :class:`RowStore`."""
        rows: list[Row] = []
        version = None
        while True:
            query = {"table": table, "part": partition, "limit": PAGE_ROWS}
            if first:
                query["from"] = first
            if end:
                query["to"] = end
            target = "/carobspur/rows-get?" + urlencode(query)
            answer = await self._call("read", "GET", target, b"", timeout_s=timeout_s)
            page = msgspec.json.decode(answer.body, type=Page)
            rows += [decode_row(item) for item in page.rows]
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
            timeout_s=wait_s + FEED_ANSWER_MARGIN_S,
            attempt_timeout_s=wait_s + FEED_ANSWER_MARGIN_S,
        )
        if answer.status == _HISTORY_GONE:
            raise HistoryGoneError(f"changes of {table} since {after} are gone")
        page = msgspec.json.decode(answer.body, type=Page)
        return Snapshot([decode_row(item) for item in page.rows], page.ver)

    def check_reachable(self) -> None:
        """Ask whether the store still answers: a peer has lost it.

        Otherwise a gateway with few calls of its own would go on for seconds as if it
        reached the store, and others would send theirs through it.
        """
        loop = asyncio.get_running_loop()
        is_probing = self._probe_task is not None and not self._probe_task.done()
        is_fresh = loop.time() - self._answered_at < MAX_ANSWER_AGE_S
        if self._direct_lost_at is None and not is_probing and not is_fresh:
            self._probe_task = loop.create_task(self._confirm_reachable())

    async def _confirm_reachable(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        await self._probe_once(counts_as_usual=True)
        if self._answered_at < asked_at:
            # Two gateways miss it: this is no single lost answer.
            self._mark_lost("a peer has lost it, and it does not answer here")

    async def execute_relayed(self, request: RelayRequest) -> RelayAnswer:
        """Make a peer's call, directly and once."""
        try:
            answer = await self._direct(request, counts_as_usual=True)
        except SendError as error:
            self._log.record("relay_failed", reason=error.message)
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
        attempt_timeout_s: float | None = None,
    ) -> SimpleAnswer:
        """Make a call until it is answered; every call here may be repeated."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + timeout_s
        if attempt_timeout_s is None:
            attempt_timeout_s = max(
                MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * self._usual_s
            )
        busy_delay_s = BUSY_DELAY_S
        reason = "the store is away"
        may_have_taken_effect = False
        attempts: set[asyncio.Task[_Attempt]] = set()
        try:
            while (remaining_s := deadline - loop.time()) > MIN_REMAINING_S:
                if self.is_unreachable and not attempts:
                    await self.wait_reachable(remaining_s)
                    continue
                if len(attempts) < MAX_PARALLEL_ATTEMPTS:
                    request = RelayRequest(method, target, body, remaining_s)
                    attempts.add(loop.create_task(self._attempt(operation, request)))
                done, attempts = await asyncio.wait(
                    attempts,
                    timeout=min(attempt_timeout_s, remaining_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    # The answer may be lost or only slow: ask again beside it.
                    reason = f"no answer in {attempt_timeout_s:.2f} s"
                    self._note_silence(reason, since=started)
                    if not self.is_directly_reachable:
                        attempt_timeout_s = min(
                            2 * attempt_timeout_s,
                            max(attempt_timeout_s, MAX_ATTEMPT_TIMEOUT_S),
                        )
                    continue
                ended = [task.result() for task in done]
                may_have_taken_effect = may_have_taken_effect or any(
                    item.may_have_taken_effect for item in ended
                )
                attempt = next((item for item in ended if item.is_final), ended[0])
                answer, reason = attempt.answer, attempt.reason
                if attempt.is_final:
                    self._telemetry.store_seconds.labels(operation).observe(
                        loop.time() - started
                    )
                    if answer.status in (_OK, _CONFLICT, _HISTORY_GONE):
                        return answer
                    raise RowStoreError(f"the row store answered {answer.status}")
                await asyncio.sleep(min(busy_delay_s, max(0.0, deadline - loop.time())))
                busy_delay_s = min(2 * busy_delay_s, MAX_BUSY_DELAY_S)
        finally:
            for task in attempts:
                task.cancel()
        raise RowStoreAwayError(
            f"row store, {operation}: {reason}",
            verdict=MAY_HAVE_RUN if may_have_taken_effect or attempts else NOT_RUN,
        )

    async def wait_reachable(self, timeout_s: float) -> None:
        """Wait until the direct way works, or until a peer may reach the store."""
        try:
            async with asyncio.timeout(min(timeout_s, PROBE_INTERVAL_S)):
                await self._regained.wait()
        except TimeoutError:
            # A peer may reach it by now; the caller looks again.
            return

    async def _attempt(self, operation: str, request: RelayRequest) -> _Attempt:
        """Try one way."""
        peers = [] if self.is_directly_reachable else self._peers()
        way = "peer" if peers else "direct"
        try:
            if peers:
                self._relay_count += 1
                answer = await self._relay(
                    peers[self._relay_count % len(peers)], request
                )
            else:
                answer = await self._direct(
                    request, counts_as_usual=operation != "feed"
                )
        except SendError as error:
            outcome = "not_sent" if isinstance(error, NotSentError) else "lost"
            self._telemetry.store_calls.labels(operation, way, outcome).inc()
            return _Attempt(
                None, f"{way}: {error.message}", may_have_taken_effect=outcome == "lost"
            )
        self._telemetry.store_calls.labels(operation, way, str(answer.status)).inc()
        return _Attempt(
            answer, f"{way}: status {answer.status}", may_have_taken_effect=False
        )

    async def _direct(
        self, request: RelayRequest, *, counts_as_usual: bool
    ) -> SimpleAnswer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            answer = await fetch(
                self._pool,
                self._address(),
                request.method,
                request.target,
                body=request.body,
                headers=[("Content-Type", "application/json")],
                timeout_s=request.timeout_s,
            )
        except SendError as error:
            self._note_failure(error.message, asked_at=started)
            raise
        if answer.status in _NOT_EXECUTED_STATUSES:
            self._note_failure(f"status {answer.status}", asked_at=started)
        else:
            if counts_as_usual:
                taken_s = loop.time() - started
                self._usual_s += USUAL_WEIGHT * (taken_s - self._usual_s)
            self._note_success()
        return answer

    async def _relay(self, peer: str, request: RelayRequest) -> SimpleAnswer:
        try:
            answer = await fetch(
                self._pool,
                peer,
                "POST",
                RELAY_PATH,
                body=msgspec.msgpack.encode(request),
                timeout_s=request.timeout_s + MIN_REMAINING_S,
            )
        except SendError:
            self._pool.close_idle(peer)
            raise
        if answer.status != _OK:
            raise SendError(f"peer {peer} answered {answer.status}")
        relayed = msgspec.msgpack.decode(answer.body, type=RelayAnswer)
        if not relayed.status:
            raise SendError(f"peer {peer} does not reach the store")
        return SimpleAnswer(relayed.status, {}, relayed.body)

    def _note_failure(self, reason: str, *, asked_at: float) -> None:
        if asked_at < self._answered_at:
            # Newer calls were answered: this one tells of the past.
            return
        # Others that are kept may have gone silent with it.
        self._pool.close_idle(self._address())
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_LOST:
            self._mark_lost(reason)

    def _note_silence(self, reason: str, *, since: float) -> None:
        """Take note of a call that has waited for an answer since a moment."""
        # Others that are kept may have gone silent with its connection.
        self._pool.close_idle(self._address())
        loop = asyncio.get_running_loop()
        if loop.time() - max(since, self._answered_at) >= SILENCE_UNTIL_LOST_S:
            self._mark_lost(reason)
        elif self._direct_lost_at is None and (
            self._probe_task is None or self._probe_task.done()
        ):
            # A read is answered sooner than a write: it tells a slow store from none.
            self._probe_task = loop.create_task(self._probe_once(counts_as_usual=True))

    def _mark_lost(self, reason: str) -> None:
        if self._direct_lost_at is not None:
            return
        loop = asyncio.get_running_loop()
        self._direct_lost_at = loop.time()
        self._regained.clear()
        self._log.record("store_lost", reason=reason)
        self._probe_task = loop.create_task(self._probe_until_regained())
        self._on_change()

    def _note_success(self) -> None:
        self._failures = 0
        self._answered_at = asyncio.get_running_loop().time()
        if self._direct_lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.record("store_regained", after_s=round(now - self._direct_lost_at, 2))
        self._direct_lost_at = None
        self._regained.set()
        self._on_change()

    async def _probe_until_regained(self) -> None:
        while self._direct_lost_at is not None:
            if self.is_unreachable:
                self._last_unreachable_at = asyncio.get_running_loop().time()
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self._probe_once(counts_as_usual=False)

    async def _probe_once(self, *, counts_as_usual: bool) -> None:
        """Ask for one row that need not exist; the answer is taken note of."""
        query = urlencode({"table": "probe", "part": "", "limit": 1})
        request = RelayRequest(
            "GET", "/carobspur/rows-get?" + query, b"", PROBE_TIMEOUT_S
        )
        try:
            await self._direct(request, counts_as_usual=counts_as_usual)
        except SendError as error:
            outcome = type(error).__name__
            self._telemetry.store_calls.labels("probe", "direct", outcome).inc()
