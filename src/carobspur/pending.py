"""Changes that wait for a session's next commit, and the transactions they go into."""

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
    """Changes that wait for a commit."""

    records: list[Record]
    checks: list[Check]
    writes: list[Write]
    done: asyncio.Future[int]

    @property
    def keys(self) -> set[str]:
        """Keys of all rows that the changes check or write."""
        return {item.key for item in (*self.checks, *self.writes)}

    def resolve(self, commit: int) -> None:
        """Tell the waiter which commit holds the changes."""
        if not self.done.done():
            self.done.set_result(commit)

    def fail(self, error: Exception) -> None:
        """Tell the waiter that the changes were not, or may not be, committed."""
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()


@dataclass(slots=True, eq=False)
class Attempt:
    """One transaction, sent until its fate is known.

    Attributes:
        row: The session's row as the transaction writes it; its commit number is
            used for this content only.
        batch: Changes that go with it.
        slot: Slot of the journal for its records.
        refused: Changes left out of it, with the error that they get once it, and no
            earlier attempt that held them, took effect.
        started_s: When it was first sent, on the session's clock.
    """

    row: SessionRow
    batch: list[PendingCommit]
    slot: int
    started_s: float
    refused: list[tuple[PendingCommit, CarobspurError]] = field(default_factory=list)

    @property
    def records(self) -> list[Record]:
        """All records, in order."""
        return [record for pending in self.batch for record in pending.records]

    @property
    def checks(self) -> list[Check]:
        """Conditions of all changes."""
        return list({check for pending in self.batch for check in pending.checks})

    @property
    def writes(self) -> list[Write]:
        """Rows of all changes, the journal's included."""
        writes = [write for pending in self.batch for write in pending.writes]
        records = self.records
        if records:
            chunk = encode_chunk(Chunk(self.row.commits, records))
            writes.append(Write(chunk_key(self.row.id, self.slot), chunk))
        return writes

    def without(self, number: int, keys: set[str], error: CarobspurError) -> Attempt:
        """Return the next attempt, without the changes that check some rows."""
        kept, refused = [], list(self.refused)
        for pending in self.batch:
            if keys.isdisjoint(check.key for check in pending.checks):
                kept.append(pending)
            else:
                refused.append((pending, error))
        return self._next(number, kept, refused)

    def without_any(self, number: int, error: CarobspurError) -> Attempt:
        """Return the next attempt, with no changes left."""
        refused = [*self.refused, *((pending, error) for pending in self.batch)]
        return self._next(number, [], refused)

    def halved(self, number: int) -> tuple[Attempt, list[PendingCommit]]:
        """Return an attempt with half of the changes, and the rest of them."""
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
    """Divide waiting changes into those of the next commit and those that wait on.

    Changes that touch the same row never go together, so that each one's checks see
    what the one before it wrote.

    Args:
        pending: Waiting changes in order of their arrival.
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
