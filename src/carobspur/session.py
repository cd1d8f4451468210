"""A scheduler's session: one table row is its lease, fence and commit position.

Every commit checks and rewrites the session's own row. One write thus renews the
lease, proves that nobody took the session over, and numbers the commit. Changes of
all programs that arrive while a commit is under way go together into the next one.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from .clock import Clock
from .errors import SessionLostError, StoreConflictError, StoreUnavailableError
from .journal import Record, chunk_key, encode_records
from .table import ABSENT_VERSION, Check, Row, Table, Write
from .verdict import MAY_HAVE_RUN, NOT_RUN

SESSION_PREFIX = "session/"
EPOCH_KEY = "epoch"
RENEWALS_PER_LEASE = 4
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

_logger = logging.getLogger(__name__)


class SessionRow(msgspec.Struct, frozen=True):
    """Content of a session's row.

    Attributes:
        id: Id of the session, never used again.
        epoch: Fencing number, higher than that of every earlier session.
        instance: Id of the instance.
        host: IP number of the scheduler.
        port: Its port for peers.
        data_centre: Where it stands.
        commits: Number of commits that took effect.
        leaving: Whether it is handing its shards over.
    """

    id: str
    epoch: int
    instance: str
    host: str
    port: int
    data_centre: str
    commits: int = 0
    leaving: bool = False


def session_key(session: str) -> str:
    """Return the key of a session's row."""
    return SESSION_PREFIX + session


def decode_session(row: Row) -> SessionRow:
    """Read a session's row."""
    return msgspec.json.decode(row.value, type=SessionRow)


@dataclass(slots=True, eq=False)
class _PendingCommit:
    """Changes that wait for a commit."""

    records: list[Record]
    checks: list[Check]
    writes: list[Write]
    done: asyncio.Future[int]

    def resolve(self, commit: int) -> None:
        if not self.done.done():
            self.done.set_result(commit)

    def fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()


async def _next_epoch(table: Table) -> tuple[int, int]:
    row = await table.read(EPOCH_KEY)
    if row is None:
        return 1, ABSENT_VERSION
    return msgspec.json.decode(row.value, type=int) + 1, row.version


class Session:
    """A live session; made by :meth:`open` and ended by :meth:`close`.

    Args:
        table: The table service.
        clock: Source of time.
        row: The session's row as it was written.
        version: Version of that row.
        lease_s: Time after which others may take over a session that is silent.
        interval_s: Returns the least time between the starts of two commits.
        on_commit: Called with the records of each commit that took effect, in
            order, before anyone who waits for it goes on.
    """

    __slots__ = (
        "_clock",
        "_in_doubt",
        "_interval_s",
        "_is_lost",
        "_last_start_s",
        "_lease_s",
        "_on_commit",
        "_pending",
        "_renewed_s",
        "_row",
        "_table",
        "_task",
        "_version",
        "_wake",
    )

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        row: SessionRow,
        version: int,
        lease_s: float,
        interval_s: Callable[[], float],
        on_commit: Callable[[list[Record]], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._row = row
        self._version = version
        self._lease_s = lease_s
        self._interval_s = interval_s
        self._on_commit = on_commit
        self._pending: list[_PendingCommit] = []
        self._wake = asyncio.Event()
        self._renewed_s = clock.monotonic()
        self._last_start_s = clock.monotonic()
        self._in_doubt = False
        self._is_lost = False
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"Session({self.id!r}, commits={self._row.commits})"

    @classmethod
    async def open(
        cls,
        *,
        table: Table,
        clock: Clock,
        instance: str,
        host: str,
        port: int,
        data_centre: str,
        lease_s: float,
        interval_s: Callable[[], float] = lambda: 0.0,
        on_commit: Callable[[list[Record]], None] = lambda records: None,
    ) -> Session:
        """Write a new session's row and start renewing it.

        Raises:
            StoreUnavailableError: The table service did not answer.
        """
        while True:
            epoch, epoch_version = await _next_epoch(table)
            row = SessionRow(
                id=f"s{epoch:08d}",
                epoch=epoch,
                instance=instance,
                host=host,
                port=port,
                data_centre=data_centre,
            )
            try:
                version = await table.commit(
                    [
                        Check(EPOCH_KEY, epoch_version),
                        Check(session_key(row.id), ABSENT_VERSION),
                    ],
                    [
                        Write(EPOCH_KEY, msgspec.json.encode(epoch)),
                        Write(session_key(row.id), msgspec.json.encode(row)),
                    ],
                )
                break
            except StoreConflictError:
                continue
        session = cls(
            table=table,
            clock=clock,
            row=row,
            version=version,
            lease_s=lease_s,
            interval_s=interval_s,
            on_commit=on_commit,
        )
        session._task = asyncio.ensure_future(session._run())
        return session

    @property
    def id(self) -> str:
        """Id of the session."""
        return self._row.id

    @property
    def epoch(self) -> int:
        """Fencing number of the session."""
        return self._row.epoch

    @property
    def commits(self) -> int:
        """Number of commits that are known to have taken effect."""
        return self._row.commits

    @property
    def is_lost(self) -> bool:
        """Whether another process took the session over."""
        return self._is_lost

    @property
    def is_in_doubt(self) -> bool:
        """Whether a commit is under way whose effect is not known."""
        return self._in_doubt

    @property
    def lease_age_s(self) -> float:
        """Seconds since the start of the last commit that took effect."""
        return self._clock.monotonic() - self._renewed_s

    @property
    def has_lease(self) -> bool:
        """Whether nobody can have taken the session over yet."""
        return not self._is_lost and self.lease_age_s < self._lease_s

    async def commit(
        self,
        records: Sequence[Record] = (),
        *,
        checks: Sequence[Check] = (),
        writes: Sequence[Write] = (),
    ) -> int:
        """Commit changes together with those of others.

        Args:
            records: Records for the journal.
            checks: Further conditions; where one fails, only this call's changes
                are left out.
            writes: Further rows to write.

        Returns:
            The number of the commit that holds the changes.

        Raises:
            StoreConflictError: One of the checks failed; nothing was written.
            SessionLostError: The session was taken over; its verdict says whether the
                changes may have been written.
        """
        if self._is_lost:
            raise SessionLostError(f"session {self.id} was taken over")
        loop = asyncio.get_event_loop()
        pending = _PendingCommit(
            list(records), list(checks), list(writes), loop.create_future()
        )
        self._pending.append(pending)
        self._wake.set()
        return await asyncio.shield(pending.done)

    def announce_leaving(self, *, leaving: bool = True) -> None:
        """Mark the session as leaving, or as staying, from the next commit on."""
        self._row = msgspec.structs.replace(self._row, leaving=leaving)
        self._wake.set()

    async def close(self) -> None:
        """Stop renewing and delete the session's row if it is still ours."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._is_lost or self._in_doubt:
            return
        key = session_key(self.id)
        try:
            await self._table.commit([Check(key, self._version)], [Write(key, None)])
        except (StoreConflictError, StoreUnavailableError) as error:
            _logger.warning("session row was not deleted: %s", error.message)
        self._lose(NOT_RUN, [])

    async def _run(self) -> None:
        while not self._is_lost:
            await self._wait_for_turn()
            batch, self._pending = self._pending, []
            self._wake.clear()
            try:
                await self._commit_batch(batch)
            except Exception:
                _logger.exception("committing failed; giving the session up")
                self._lose(MAY_HAVE_RUN, batch)

    async def _wait_for_turn(self) -> None:
        renewal_s = self._lease_s / RENEWALS_PER_LEASE
        try:
            await asyncio.wait_for(self._wake.wait(), renewal_s)
        except TimeoutError:
            return
        wait_s = self._last_start_s + self._interval_s() - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(min(wait_s, renewal_s))

    async def _commit_batch(self, batch: list[_PendingCommit]) -> None:
        """Commit a batch, retrying the same transaction until its fate is known."""
        delay_s = RETRY_DELAY_S
        while batch is not None:
            self._last_start_s = self._clock.monotonic()
            row = msgspec.structs.replace(self._row, commits=self._row.commits + 1)
            try:
                version = await self._try_commit(row, batch)
            except StoreConflictError as conflict:
                rest = await self._after_conflict(conflict, row, batch)
                if rest is None:
                    return
                batch = rest
            except StoreUnavailableError as error:
                self._in_doubt = self._in_doubt or error.verdict != NOT_RUN
                _logger.warning("commit %d unanswered: %s", row.commits, error.message)
                await self._clock.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            else:
                self._took_effect(row, version, batch)
                return

    async def _try_commit(self, row: SessionRow, batch: list[_PendingCommit]) -> int:
        key = session_key(self.id)
        checks = [Check(key, self._version)]
        writes = [Write(key, msgspec.json.encode(row))]
        records: list[Record] = []
        for pending in batch:
            records.extend(pending.records)
            checks.extend(pending.checks)
            writes.extend(pending.writes)
        if records:
            chunk = chunk_key(self.id, row.commits)
            writes.append(Write(chunk, encode_records(records)))
        return await self._table.commit(checks, writes)

    def _took_effect(
        self, row: SessionRow, version: int, batch: list[_PendingCommit]
    ) -> None:
        self._in_doubt = False
        self._row = msgspec.structs.replace(row, leaving=self._row.leaving)
        self._version = version
        self._renewed_s = self._last_start_s
        records = [record for pending in batch for record in pending.records]
        if records:
            self._on_commit(records)
        for pending in batch:
            pending.resolve(row.commits)

    async def _after_conflict(
        self, conflict: StoreConflictError, row: SessionRow, batch: list[_PendingCommit]
    ) -> list[_PendingCommit] | None:
        """Return what is left to commit, or ``None`` where the batch is settled."""
        if session_key(self.id) in conflict.keys:
            await self._settle(row, batch)
            return None
        failed = set(conflict.keys)
        rest = []
        for pending in batch:
            if failed.isdisjoint(check.key for check in pending.checks):
                rest.append(pending)
            else:
                pending.fail(conflict)
        return rest

    async def _settle(self, row: SessionRow, batch: list[_PendingCommit]) -> None:
        """Find out from our row whether an unanswered commit took effect."""
        delay_s = RETRY_DELAY_S
        while True:
            try:
                stored = await self._table.read(session_key(self.id))
                break
            except StoreUnavailableError:
                await self._clock.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        if stored is not None and self._in_doubt:
            content = decode_session(stored)
            if content.commits == row.commits:
                self._took_effect(row, stored.version, batch)
                return
        self._lose(MAY_HAVE_RUN if self._in_doubt else NOT_RUN, batch)

    def _lose(self, verdict: object, batch: list[_PendingCommit]) -> None:
        self._is_lost = True
        for pending in batch:
            pending.fail(
                SessionLostError(f"session {self.id} was taken over", verdict=verdict)
            )
        for pending in self._pending:
            pending.fail(SessionLostError(f"session {self.id} was taken over"))
        self._pending.clear()


@asynccontextmanager
async def open_session(**options: object) -> AsyncIterator[Session]:
    """Own a session; takes what :meth:`Session.open` takes."""
    session = await Session.open(**options)
    try:
        yield session
    finally:
        await session.close()
