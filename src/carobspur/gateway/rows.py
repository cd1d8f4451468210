"""What the gateway needs of the platform's row store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row; transactions change rows of one part only."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    Attributes:
        key: Its name.
        value: Its content; ``None`` where the row was dropped.
        version: Of the transaction that wrote it; grows over the whole store.
    """

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A change of a row; a value of ``None`` drops it."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows as of one moment, and the version of that moment."""

    rows: list[Row]
    version: int


class RowStoreError(CarobspurError):
    """The row store did not do what was asked."""

    cause = "row_store"
    status = 503


class RowStoreAwayError(RowStoreError):
    """No answer; unless the verdict says otherwise, a write may have been done."""

    cause = "row_store_away"
    default_verdict = MAY_HAVE_RUN


class RowConflictError(RowStoreError):
    """A condition of a write did not hold; nothing was written.

    Attributes:
        rows: The rows of the conditions as they are.
    """

    cause = "row_conflict"
    default_verdict = NOT_RUN

    def __init__(self, message: str, *, rows: list[Row]) -> None:
        super().__init__(message)
        self.rows = rows


class HistoryGoneError(RowStoreError):
    """The changes since a version are no longer kept; read the rows anew."""

    cause = "row_history_gone"
    default_verdict = NOT_RUN


class RowStore(Protocol):
    """Rows in tables and parts, with atomic writes and a feed of changes."""

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        """Write rows of one part, all or none; repeats until it is confirmed.

        Because of the repeats a conflict may show rows that this call has written.

        Args:
            writes: What to write.
            expected: Versions that rows must have; 0 where a row must not exist.
            timeout_s: How long to try.

        Returns:
            The version of the rows written.

        Raises:
            RowConflictError: A row has another version.
            RowStoreAwayError: Not confirmed in time; may still take effect.
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
        """Read the rows of a part with keys from ``first`` up to before ``end``.

        Raises:
            RowStoreAwayError: No answer in time.
        """

    async def changes(self, table: str, *, after: int, wait_s: float) -> Snapshot:
        """Wait for changes of a table after a version.

        Raises:
            HistoryGoneError: The table must be read anew.
            RowStoreAwayError: No answer in time.
        """
