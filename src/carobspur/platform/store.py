"""Client of the platform's row store, with peers as relays.

A gateway calls the store directly. While it can't, it sends its calls to gateways that
still can. The store counts as unreachable only when there is no such gateway either.
"""

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
from .store_wire import Page, decode_page, decode_row, encode_key, replace_page_keys

MIN_ATTEMPT_TIMEOUT_S = 0.15
"""Shortest time until an unanswered call is repeated: ten times that of a usual write.
"""
MAX_ATTEMPT_TIMEOUT_S = 1.6
"""Upper bound of that time when it doubles; see ``ATTEMPT_TIMEOUT_FACTOR``.

A store slowed down 91 times answers a write within 0.9 s.
"""
ATTEMPT_TIMEOUT_FACTOR = 6
"""Multiple of the usual time after which an unanswered call is repeated.

The time doubles with each repeat while the direct connection is lost.
"""
USUAL_WEIGHT = 0.3
"""Weight of the newest answer in the moving average of answer times."""
INITIAL_USUAL_S = 0.015
MAX_PARALLEL_ATTEMPTS = 3
"""Attempts of one call that may be in flight at once."""
BUSY_DELAY_S = 0.02
"""Pause after an attempt that failed or was refused; doubles with each further one."""
MAX_BUSY_DELAY_S = 0.3
PROBE_INTERVAL_S = 0.15
"""Time between probes while the direct connection is lost.

One probe serves all callers that wait for the store.
"""
PROBE_TIMEOUT_S = 0.6
FAILURES_UNTIL_LOST = 2
"""Consecutive failed calls after which the direct connection counts as lost.

One failure may be a single lost answer.
"""
SILENCE_UNTIL_LOST_S = 0.7
"""Time without any answer after which the direct connection counts as lost too.

A store slowed down 91 times answers a read within 0.5 s, and a read is sent once a
call has waited for ``MIN_ATTEMPT_TIMEOUT_S``.
"""
MAX_ANSWER_AGE_S = 0.3
"""Age of the newest answer up to which a peer's report of a lost store is ignored.

About one heartbeat interval.
"""
MIN_REMAINING_S = 0.02
"""Remaining time below which no further attempt begins."""
FEED_ANSWER_MARGIN_S = 0.6
"""Time that the answer of a feed may take beyond the requested wait."""
PAGE_ROWS = 500
"""Rows in one answer to a read of a range."""
RELAY_PATH = "/relay"
"""Path at which gateways take store calls of their peers."""

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_NOT_EXECUTED_STATUSES = (429, 503)


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """A store call that a peer makes on behalf of this gateway.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        timeout_s: Time that the peer may spend on the call.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The store's answer to a :class:`RelayRequest`.

    Attributes:
        status: HTTP status; 0 if the peer got no answer.
        body: Body of the answer.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of one attempt of a call.

    Attributes:
        answer: The store's answer; ``None`` if there was none.
        reason: Text for the error, in case no attempt gets a final answer.
        may_have_taken_effect: Whether the store may have executed the call although
            its answer was lost.
    """

    answer: SimpleAnswer | None
    reason: str
    may_have_taken_effect: bool

    @property
    def is_final(self) -> bool:
        """Whether the store executed the call or rejected it for good."""
        return (
            self.answer is not None and self.answer.status not in _NOT_EXECUTED_STATUSES
        )


class PlatformRowStore:
    """The row store's client; see :class:`carobspur.gateway.rows.RowStore`.

    Args:
        address: Returns ``HOST:PORT`` of the store.
        peers: Returns ``HOST:PORT`` of peers that may reach the store, best first.
        pool: Connections to the store and to peers.
        log: Decision log.
        telemetry: Metrics; counts the calls.
        on_change: Called when the direct connection is lost and when it works again.
    """

    __slots__ = (
        "_address",
        "_answered_at",
        "_direct_lost_at",
        "_failures",
        "_last_unreachable_at",
        "_log",
        "_on_change",
        "_peers",
        "_pool",
        "_probe_task",
        "_regained",
        "_relay_count",
        "_telemetry",
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
        """Moving average of the store's direct answer times, in seconds.

        Feeds, which wait for changes, do not count.
        """
        return self._usual_s

    @property
    def is_directly_reachable(self) -> bool:
        """Whether this gateway reaches the store itself, as far as it knows."""
        return self._direct_lost_at is None

    @property
    def is_unreachable(self) -> bool:
        """Whether neither this gateway nor any peer reaches the store."""
        return self._direct_lost_at is not None and not self._peers()

    @property
    def away_s(self) -> float | None:
        """Seconds since this gateway lost the store, if no peer reaches it either.

        ``None`` while a gateway reaches the store.
        """
        if not self.is_unreachable:
            return None
        return asyncio.get_running_loop().time() - self._direct_lost_at

    @property
    def direct_lost_at(self) -> float | None:
        """Loop time of the direct connection's loss; ``None`` while it works."""
        return self._direct_lost_at

    @property
    def unreachable_until(self) -> float:
        """Loop time until which the store was unreachable; now if it still is.

        A gateway that is the only one cut off still receives changes through its peers,
        so the store does not count as unreachable for it.
        """
        if self.is_unreachable:
            return asyncio.get_running_loop().time()
        return self._last_unreachable_at

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        """Write rows of one partition; see :meth:`RowStore.write`."""
        body = msgspec.json.encode(
            {
                # Versions that single rows must have, not a revision of the store.
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
            raise RowConflictError(
                "a row does not have the expected version", rows=rows
            )
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
        """Read a range of rows; see :meth:`RowStore.read`."""
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
            page = decode_page(answer.body)
            rows += [decode_row(item) for item in page.rows]
            # A feed that starts at the version of the first page repeats all changes
            # that were made while the further pages were read.
            version = page.ver if version is None else version
            if not page.truncated or not page.rows:
                return Snapshot(rows, version)
            first = page.rows[-1].key + "\x00"

    async def changes(self, table: str, *, after: int, wait_s: float) -> Snapshot:
        """Wait for changes of a table; see :meth:`RowStore.changes`."""
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
            raise HistoryGoneError(
                f"table {table}: changes after version {after} are no longer stored"
            )
        page = decode_page(answer.body)
        return Snapshot([decode_row(item) for item in page.rows], page.ver)

    def check_reachable(self) -> None:
        """Probe the store after a peer's heartbeat has reported it as unreachable.

        Without the probe a gateway that makes few calls would report for seconds that
        it reaches the store, and peers would relay their calls through it.
        """
        loop = asyncio.get_running_loop()
        is_probing = self._probe_task is not None and not self._probe_task.done()
        is_fresh = loop.time() - self._answered_at < MAX_ANSWER_AGE_S
        if self._direct_lost_at is None and not is_probing and not is_fresh:
            self._probe_task = loop.create_task(self._confirm_reachable())

    async def _confirm_reachable(self) -> None:
        sent_at = asyncio.get_running_loop().time()
        await self._probe_once(counts_as_usual=True)
        if self._answered_at < sent_at:
            # Two gateways get no answer, so this is more than a single lost one.
            self._mark_lost("unanswered probe after a peer reported the store lost")

    async def execute_relayed(self, request: RelayRequest) -> RelayAnswer:
        """Make a call for a peer, directly and without retrying."""
        try:
            answer = await self._direct(request, counts_as_usual=True)
        except SendError as error:
            self._log.record("relay_failed", reason=error.message)
            return RelayAnswer(0, b"")
        return RelayAnswer(answer.status, replace_page_keys(answer.body))

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
        """Repeat a call until it has a final answer or the time is up.

        Each call of this client may be repeated; :meth:`RowStore.write` describes the
        possible results of a repeated write.

        Args:
            operation: Label for metrics and errors.
            method: HTTP method.
            target: Path and query.
            body: Body of the request.
            timeout_s: Time for all attempts.
            attempt_timeout_s: Time without an answer after which the next attempt
                starts in parallel with the earlier ones; by default a multiple of the
                usual answer time.

        Raises:
            RowStoreError: The store rejected the call.
            RowStoreAwayError: No final answer in time; the verdict says whether an
                attempt may have been executed.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + timeout_s
        if attempt_timeout_s is None:
            attempt_timeout_s = max(
                MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * self._usual_s
            )
        busy_delay_s = BUSY_DELAY_S
        reason = "no gateway reaches the store"
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
                    # Keep the unanswered attempts: their answers may only be late.
                    reason = f"no answer in {attempt_timeout_s:.2f} s"
                    self._record_silence(reason, since=started)
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
                    raise RowStoreError(f"row store answered status {answer.status}")
                await asyncio.sleep(min(busy_delay_s, max(0.0, deadline - loop.time())))
                busy_delay_s = min(2 * busy_delay_s, MAX_BUSY_DELAY_S)
        finally:
            for task in attempts:
                task.cancel()
        raise RowStoreAwayError(
            f"row store gave no final answer to {operation} in {timeout_s:.2f} s:"
            f" {reason}",
            verdict=MAY_HAVE_RUN if may_have_taken_effect or attempts else NOT_RUN,
        )

    async def wait_reachable(self, timeout_s: float) -> None:
        """Wait until the direct connection works, at most for one probe interval.

        Returns early so that the caller checks whether a peer reaches the store by
        then.
        """
        try:
            async with asyncio.timeout(min(timeout_s, PROBE_INTERVAL_S)):
                await self._regained.wait()
        except TimeoutError:
            return

    async def _attempt(self, operation: str, request: RelayRequest) -> _Attempt:
        """Send a call once, directly or through the next peer in turn."""
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
            self._record_failure(error.message, sent_at=started)
            raise
        if answer.status in _NOT_EXECUTED_STATUSES:
            self._record_failure(f"status {answer.status}", sent_at=started)
        else:
            if counts_as_usual:
                taken_s = loop.time() - started
                self._usual_s += USUAL_WEIGHT * (taken_s - self._usual_s)
            self._record_success()
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
            raise SendError(f"peer {peer} answered status {answer.status}")
        relayed = msgspec.msgpack.decode(answer.body, type=RelayAnswer)
        if not relayed.status:
            raise SendError(f"peer {peer} does not reach the store")
        return SimpleAnswer(relayed.status, {}, relayed.body)

    def _record_failure(self, reason: str, *, sent_at: float) -> None:
        if sent_at < self._answered_at:
            # The store has answered since then.
            return
        # Idle connections in the pool may be dead as well.
        self._pool.close_idle(self._address())
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_LOST:
            self._mark_lost(reason)

    def _record_silence(self, reason: str, *, since: float) -> None:
        """Record that a call has had no answer since a loop time."""
        # Idle connections in the pool may be as dead as the one of this call.
        self._pool.close_idle(self._address())
        loop = asyncio.get_running_loop()
        if loop.time() - max(since, self._answered_at) >= SILENCE_UNTIL_LOST_S:
            self._mark_lost(reason)
        elif self._direct_lost_at is None and (
            self._probe_task is None or self._probe_task.done()
        ):
            # A slow store answers a read sooner than a write, so a probe distinguishes
            # a slow store from an unreachable one.
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

    def _record_success(self) -> None:
        self._failures = 0
        self._answered_at = asyncio.get_running_loop().time()
        if self._direct_lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._last_unreachable_at = self.unreachable_until
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
        """Read one row that need not exist, and record whether the store answers."""
        query = urlencode({"table": "probe", "part": "", "limit": 1})
        request = RelayRequest(
            "GET", "/carobspur/rows-get?" + query, b"", PROBE_TIMEOUT_S
        )
        try:
            await self._direct(request, counts_as_usual=counts_as_usual)
        except SendError as error:
            outcome = type(error).__name__
            self._telemetry.store_calls.labels("probe", "direct", outcome).inc()
