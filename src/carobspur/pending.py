"""Changes that wait for a session's next commit, and the attempts to commit them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec

from .errors import CarobspurError
from .journal import Chunk, Record, chunk_key, encode_chunk
from .session_row import SessionRow
from .table import Check, Write

MAX_COMMIT_ROWS = 500
MAX_COMMIT_RECORDS = 2000


@dataclass(slots=True, eq=False)
class PendingCommit:
    """Changes of one caller, which are committed together.

    Attributes:
        records: Journal records to append.
        checks: Conditions on rows; the changes are committed only where all hold.
        writes: Rows to write.
        done: Completed with the number of the commit, or with the error.
    """

    records: list[Record]
    checks: list[Check]
    writes: list[Write]
    done: asyncio.Future[int]

    @property
    def keys(self) -> set[str]:
        """Keys of the rows that the changes check or write."""
        return {item.key for item in (*self.checks, *self.writes)}

    def resolve(self, commit: int) -> None:
        """Complete ``done`` with the number of the commit that holds the changes."""
        if not self.done.done():
            self.done.set_result(commit)

    def fail(self, error: Exception) -> None:
        """Fail ``done``: the changes were not committed, or it is unknown if they were.

        The exception is retrieved here, so that asyncio logs no warning if the caller
        has stopped waiting.
        """
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()


@dataclass(slots=True, eq=False)
class Attempt:
    """One transaction, which is sent until it is known whether it took effect.

    Attributes:
        row: The session's row as the transaction writes it. No other content is ever
            sent with its commit number.
        batch: Changes in the transaction.
        slot: Journal slot for its records.
        started_s: When it was first sent, on the session's clock.
        refused: Changes that were left out, with their errors. They fail once it is
            known that this attempt took effect, and hence no earlier attempt that
            contained them.
    """

    row: SessionRow
    batch: list[PendingCommit]
    slot: int
    started_s: float
    refused: list[tuple[PendingCommit, CarobspurError]] = field(default_factory=list)

    @property
    def records(self) -> list[Record]:
        """Records of all changes, in order."""
        return [record for pending in self.batch for record in pending.records]

    @property
    def checks(self) -> list[Check]:
        """Conditions of all changes, without duplicates."""
        return list({check for pending in self.batch for check in pending.checks})

    @property
    def writes(self) -> list[Write]:
        """Rows of all changes, including the journal row that holds the records."""
        writes = [write for pending in self.batch for write in pending.writes]
        records = self.records
        if records:
            chunk = encode_chunk(Chunk(self.row.commits, records))
            writes.append(Write(chunk_key(self.row.id, self.slot), chunk))
        return writes

    def without(self, number: int, keys: set[str], error: CarobspurError) -> Attempt:
        """Return the next attempt, without the changes that check some rows.

        Args:
            number: Commit number of the next attempt.
            keys: Keys of the rows whose conditions did not hold.
            error: Error for the changes that are left out.
        """
        kept, refused = [], list(self.refused)
        for pending in self.batch:
            if keys.isdisjoint(check.key for check in pending.checks):
                kept.append(pending)
            else:
                refused.append((pending, error))
        return self._next(number, kept, refused)

    def without_changes(self, number: int, error: CarobspurError) -> Attempt:
        """Return the next attempt, which writes only the session's row.

        Args:
            number: Commit number of the next attempt.
            error: Error for the changes, all of which are left out.
        """
        refused = [*self.refused, *((pending, error) for pending in self.batch)]
        return self._next(number, [], refused)

    def halved(self, number: int) -> tuple[Attempt, list[PendingCommit]]:
        """Return an attempt with the first half of the changes, and the second half."""
        half = len(self.batch) // 2
        return self._next(number, self.batch[:half], self.refused), self.batch[half:]

    def _next(
        self,
        number: int,
        batch: list[PendingCommit],
        refused: list[tuple[PendingCommit, CarobspurError]],
    ) -> Attempt:
        row = msgspec.structs.replace(self.row, commits=number)
        return Attempt(row, batch, self.slot, self.started_s, refused)


def take_batch(
    pending: list[PendingCommit],
) -> tuple[list[PendingCommit], list[PendingCommit]]:
    """Split pending changes into the next commit's batch and those left for later.

    Changes that check or write the same row are never in one commit, so that the
    checks of each one see what the one before it wrote.

    Args:
        pending: Pending changes in order of arrival.

    Returns:
        The batch, and the rest in order of arrival.
    """
    batch: list[PendingCommit] = []
    rest: list[PendingCommit] = []
    taken: set[str] = set()
    records = 0
    for item in pending:
        fits = len(taken) < MAX_COMMIT_ROWS and records < MAX_COMMIT_RECORDS
        (batch if fits and taken.isdisjoint(item.keys) else rest).append(item)
        taken |= item.keys
        records += len(item.records)
    return batch, rest
