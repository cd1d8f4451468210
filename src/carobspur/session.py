"""A scheduler's session: one table row holds its lease, fence and commit number.

Every commit checks the version of the session's own row and rewrites the row. This
single write renews the lease, proves that no other scheduler has taken the session
over, and numbers the commit. Changes of all programs that arrive while a commit is
in progress are batched into the next one.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import msgspec

from .clock import Clock
from .errors import (
    SessionLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from .journal import JournalSlots, Record
from .lease import Lease
from .pacing import CommitPacer
from .pending import Attempt, PendingCommit, take_batch
from .retry import Backoff
from .session_row import (
    MAX_RETRY_DELAY_S,
    RETRY_DELAY_S,
    SessionRow,
    create_session,
    decode_session,
    end_session_writes,
    read_until_answered,
    session_key,
    sessions_changed_write,
)
from .table import Check, Table, Write
from .verdict import MAY_HAVE_RUN, NOT_RUN, Verdict

# A commit is sent at least this often per lease time, with or without changes. Each
# one times out after the same fraction of the lease time.
RENEWALS_PER_LEASE = 4
MAX_LISTED_SHARDS = 256

_logger = logging.getLogger(__name__)


class Session:
    """A live session, created by :meth:`open` and ended by :meth:`close`.

    A background task sends the commits, one at a time and in order.

    Args:
        table: The table service.
        clock: Source of time.
        row: The session's row as it was written.
        version: Version of that row.
        lease: The session's lease.
        lease_s: Time in seconds without a commit after which other schedulers may
            take the session over.
        interval_s: Returns the minimum mean interval between commits, in seconds; see
            :class:`CommitPacer`.
        on_commit: Called with the records of each commit that took effect, in commit
            order, before the callers of :meth:`commit` resume.
    """

    __slots__ = (
        "_batch",
        "_clock",
        "_in_doubt",
        "_is_closing",
        "_is_lost",
        "_last_sent_s",
        "_lease",
        "_lease_s",
        "_next_commit",
        "_on_commit",
        "_pacer",
        "_pending",
        "_row",
        "_slots",
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
        lease: Lease,
        lease_s: float,
        interval_s: Callable[[], float],
        on_commit: Callable[[list[Record]], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._row = row
        self._version = version
        self._lease_s = lease_s
        self._pacer = CommitPacer(clock, interval_s)
        self._on_commit = on_commit
        self._pending: list[PendingCommit] = []
        self._batch: list[PendingCommit] = []
        self._in_doubt: list[Attempt] = []
        self._next_commit = row.commits + 1
        self._slots = JournalSlots()
        self._wake = asyncio.Event()
        self._lease = lease
        self._last_sent_s = clock.monotonic()
        self._is_lost = False
        self._is_closing = False
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

        If the answer of the table service is lost, the row may exist although no
        process renews it. Other schedulers therefore assign shards to a session only
        after its first commit.

        Raises:
            StoreUnavailableError: The table service did not answer.
        """
        row, version, opened_s = await create_session(
            table,
            clock,
            SessionRow("", 0, instance, host, port, data_centre),
        )
        session = cls(
            table=table,
            clock=clock,
            row=row,
            version=version,
            lease=Lease(clock, lease_s, opened_s),
            lease_s=lease_s,
            interval_s=interval_s,
            on_commit=on_commit,
        )
        session._submit([], [], [sessions_changed_write(row.id)])
        session._task = asyncio.ensure_future(session._run())
        return session

    @property
    def id(self) -> str:
        """Id of the session."""
        return self._row.id

    @property
    def epoch(self) -> int:
        """Fencing number of the session, higher than that of all earlier ones."""
        return self._row.epoch

    @property
    def commits(self) -> int:
        """Number of the last commit that is known to have taken effect."""
        return self._row.commits

    @property
    def is_lost(self) -> bool:
        """Whether the session has ended: taken over, closed or failed."""
        return self._is_lost

    @property
    def lease_age_s(self) -> float:
        """Seconds since the latest commit known to have taken effect was sent."""
        return self._lease.age_s

    @property
    def has_lease(self) -> bool:
        """Whether no other scheduler can have taken the session over yet."""
        return not self._is_lost and self._lease.is_held

    @property
    def is_stale(self) -> bool:
        """Whether the lease expired during a pause; see :attr:`Lease.is_stale`."""
        return self._is_lost or self._lease.is_stale

    async def commit(
        self,
        records: Sequence[Record] = (),
        *,
        checks: Sequence[Check] = (),
        writes: Sequence[Write] = (),
    ) -> int:
        """Commit changes, batched with those of concurrent callers.

        Args:
            records: Records to append to the journal.
            checks: Further conditions. If one fails, only the changes of this call
                are left out of the batch.
            writes: Further rows to write.

        Returns:
            The number of the commit that contains the changes.

        Raises:
            StoreConflictError: One of the checks failed; none of the changes of this
                call was written.
            StoreError: The table service rejected the transaction.
            SessionLostError: The session has ended; the verdict of the error says
                whether the changes may have been written.
        """
        if self._is_lost:
            raise SessionLostError(
                f"session {self.id} has ended: taken over, closed or failed"
            )
        done = self._submit(list(records), list(checks), list(writes))
        return await asyncio.shield(done)

    def _submit(
        self, records: list[Record], checks: list[Check], writes: list[Write]
    ) -> asyncio.Future[int]:
        done = asyncio.get_event_loop().create_future()
        self._pending.append(PendingCommit(records, checks, writes, done))
        self._wake.set()
        return done

    def announce(
        self, *, shards: Sequence[int] | None = None, leaving: bool | None = None
    ) -> None:
        """Update fields of the session's row; the next commit writes them.

        Args:
            shards: The shards that the session holds; unchanged if ``None``. At most
                ``MAX_LISTED_SHARDS`` of them are listed.
            leaving: Whether the session is handing its shards over; unchanged if
                ``None``.
        """
        row = self._row
        self._row = msgspec.structs.replace(
            row,
            shards=row.shards if shards is None else list(shards[:MAX_LISTED_SHARDS]),
            leaving=row.leaving if leaving is None else leaving,
        )
        self._wake.set()

    def release_journal(self, before: int) -> None:
        """Allow journal rows of commits before this one to be overwritten.

        Args:
            before: Number of the first commit whose records a shard's row still needs.
        """
        self._slots.release_before(before)

    async def close(self) -> None:
        """Commit pending changes, stop renewing, and delete the session's row.

        A row that another session has taken over is left alone. Changes that are
        still pending after one lease time fail with a :class:`SessionLostError`.
        """
        await self._flush()
        # ``wait_for`` can swallow a cancellation that arrives together with the event
        # it waits for, so the flag stops the loop as well.
        self._is_closing = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        was_lost, batch = self._is_lost, self._batch
        self._mark_lost(MAY_HAVE_RUN, batch)
        if was_lost:
            return
        key = session_key(self.id)
        try:
            await self._table.commit(
                [Check(key, self._version)],
                end_session_writes(self.id, by=self.id),
            )
        except (StoreConflictError, StoreUnavailableError) as error:
            _logger.warning("the session's row was not deleted: %s", error.message)

    async def _flush(self) -> None:
        waiting = [item.done for item in (*self._batch, *self._pending)]
        if waiting and not self._is_lost:
            await asyncio.wait(waiting, timeout=self._lease_s)

    async def _run(self) -> None:
        while not self._is_lost and not self._is_closing:
            await self._wait_until_due()
            self._wake.clear()
            self._batch, self._pending = take_batch(self._pending)
            if self._pending:
                self._wake.set()
            try:
                await self._commit_batch(self._batch)
            except Exception:
                _logger.exception("unexpected error while committing; the session ends")
                self._mark_lost(MAY_HAVE_RUN, self._batch)
            self._batch = []

    async def _wait_until_due(self) -> None:
        renewal_s = self._lease_s / RENEWALS_PER_LEASE
        due_s = self._last_sent_s + renewal_s - self._clock.monotonic()
        if due_s <= 0:
            return
        try:
            async with asyncio.timeout(due_s):
                await self._wake.wait()
        except TimeoutError:
            return
        delay_s = self._pacer.delay_s()
        if delay_s > 0:
            await self._clock.sleep(min(delay_s, renewal_s))

    def _next_number(self) -> int:
        number = self._next_commit
        self._next_commit += 1
        return number

    async def _commit_batch(self, batch: list[PendingCommit]) -> None:
        """Commit a batch, retrying until it is known which attempt took effect.

        An attempt with different content gets a new commit number, so that the number
        in the session's row identifies the attempt that took effect.
        """
        backoff = Backoff(first_s=RETRY_DELAY_S, max_s=MAX_RETRY_DELAY_S)
        row = msgspec.structs.replace(self._row, commits=self._next_number())
        slot = self._slots.next_slot()
        attempt = Attempt(row, batch, slot, self._clock.monotonic())
        while True:
            self._last_sent_s = self._clock.monotonic()
            self._pacer.spend(is_renewal=not attempt.batch)
            try:
                version = await self._send(attempt)
            except StoreConflictError as conflict:
                if session_key(self.id) in conflict.keys:
                    await self._resolve_in_doubt()
                    return
                keys = set(conflict.keys)
                attempt = attempt.without(self._next_number(), keys, conflict)
                attempt.started_s = self._clock.monotonic()
            except StoreUnavailableError as error:
                self._record_unanswered(attempt, error)
                await self._clock.sleep(backoff.next_s())
            except StoreError as error:
                attempt = self._after_rejection(attempt, error)
            else:
                self._complete(attempt, version, self._last_sent_s)
                return

    async def _send(self, attempt: Attempt) -> int:
        key = session_key(self.id)
        checks = [Check(key, self._version), *attempt.checks]
        writes = [Write(key, msgspec.json.encode(attempt.row)), *attempt.writes]
        timeout_s = self._lease_s / RENEWALS_PER_LEASE
        try:
            async with asyncio.timeout(timeout_s):
                return await self._table.commit(checks, writes)
        except TimeoutError as error:
            raise StoreUnavailableError(
                f"the table service did not answer within {timeout_s:g} s"
            ) from error

    def _record_unanswered(
        self, attempt: Attempt, error: StoreUnavailableError
    ) -> None:
        self._lease.record_unanswered(self._last_sent_s)
        if error.verdict != NOT_RUN and attempt not in self._in_doubt:
            self._in_doubt.append(attempt)
        number = attempt.row.commits
        _logger.warning(
            "commit %d was not answered; retrying: %s", number, error.message
        )

    def _after_rejection(self, attempt: Attempt, error: StoreError) -> Attempt:
        """Return the next attempt after the table service rejected a transaction.

        The batch is halved until only the change that causes the rejection fails.
        If an earlier attempt is in doubt, all changes of the batch are left out
        instead.

        Raises:
            StoreError: The transaction had no changes besides the session's row.
        """
        if not attempt.batch:
            raise error
        if self._in_doubt or len(attempt.batch) == 1:
            attempt = attempt.without_changes(self._next_number(), error)
        else:
            attempt, rest = attempt.halved(self._next_number())
            self._batch, self._pending = attempt.batch, rest + self._pending
            self._wake.set()
        attempt.started_s = self._clock.monotonic()
        return attempt

    def _complete(self, attempt: Attempt, version: int, sent_s: float) -> None:
        self._in_doubt.clear()
        self._row = msgspec.structs.replace(self._row, commits=attempt.row.commits)
        self._version = version
        self._lease.renew(sent_s)
        records = attempt.records
        if records:
            self._slots.mark_used(attempt.slot, attempt.row.commits)
            self._on_commit(records)
        for pending, error in attempt.refused:
            pending.fail(error)
        for pending in attempt.batch:
            pending.resolve(attempt.row.commits)

    async def _resolve_in_doubt(self) -> None:
        """Determine which attempt in doubt took effect; mark the session lost if none.

        The version check on the session's row failed, so either an earlier attempt
        took effect or another scheduler ended the session.
        """
        stored = await read_until_answered(self._table, self._clock, self.id)
        if stored is not None:
            number = decode_session(stored).commits
            for attempt in self._in_doubt:
                if attempt.row.commits == number:
                    self._complete(attempt, stored.version, attempt.started_s)
                    return
        self._mark_lost(MAY_HAVE_RUN if self._in_doubt else NOT_RUN, self._batch)

    def _mark_lost(self, verdict: Verdict, batch: list[PendingCommit]) -> None:
        """End the session and fail all changes that are not known to be committed.

        Args:
            verdict: Whether the changes of the batch may have been written.
            batch: Changes that may have been sent. Pending ones were not, and fail
                with the verdict that they were not run.
        """
        self._is_lost = True
        message = f"session {self.id} has ended: taken over, closed or failed"
        for pending in batch:
            pending.fail(SessionLostError(message, verdict=verdict))
        for pending in self._pending:
            pending.fail(SessionLostError(message))
        self._pending.clear()
