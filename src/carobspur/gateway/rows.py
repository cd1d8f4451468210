"""Interface of the platform's row store, limited to what gateways use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN


@dataclass(frozen=True, slots=True)
class RowKey:
    """Name of a row. A transaction may only write rows of one partition."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    Attributes:
        key: Name of the row.
        value: Its content; ``None`` if the row was removed.
        version: Version of the transaction that wrote it. Versions increase over the
            whole store.
    """

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A change of a row; a value of ``None`` removes it."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows at one moment, and the version of the store at that moment."""

    rows: list[Row]
    version: int


class RowStoreError(CarobspurError):
    """A request to the row store failed."""

    cause = "row_store"
    status = 503


class RowStoreAwayError(RowStoreError):
    """The row store did not answer.

    Unless the verdict says otherwise, a write may have been executed.
    """

    cause = "row_store_away"
    default_verdict = MAY_HAVE_RUN


class RowConflictError(RowStoreError):
    """A row had another version than a write expected; nothing was written.

    Attributes:
        rows: Current state of the rows whose versions were expected.
    """

    cause = "row_conflict"
    default_verdict = NOT_RUN

    def __init__(self, message: str, *, rows: list[Row]) -> None:
        super().__init__(message)
        self.rows = rows


class HistoryGoneError(RowStoreError):
    """The store no longer keeps the changes since a version; read all rows again."""

    cause = "row_history_gone"
    default_verdict = NOT_RUN


class RowStore(Protocol):
    """Rows in tables and partitions, with atomic writes and a feed of changes."""

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        """Write rows of one partition atomically; retry until the store confirms.

        Because of the retries, a conflict may show rows that this call has written.

        Args:
            writes: What to write.
            expected: Versions that rows must have; 0 if a row must not exist.
            timeout_s: How long to retry.

        Returns:
            The version of the rows written.

        Raises:
            RowConflictError: A row has another version than expected.
            RowStoreAwayError: Not confirmed in time; the write may still take effect.
        """

    async def read(
        self,
        table: str,
        partition: str,
        *,
        first: str = "",
        end: str = "",
        timeout_s: float,
    ) -> Snapshot:
        """Read the rows of a partition with ``first`` <= key < ``end``.

        An empty ``end`` means no upper limit.

        Raises:
            RowStoreAwayError: No answer in time.
        """

    async def changes(self, table: str, *, after: int, wait_s: float) -> Snapshot:
        """Wait for changes of a table since a version.

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_s: How long the store may wait for a change.

        Raises:
            HistoryGoneError: The table must be read again.
            RowStoreAwayError: No answer in time.
        """
