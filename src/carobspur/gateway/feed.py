"""Follows a table of the row store: first all rows, then every change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..retry import Backoff
from .decisions import DecisionLog
from .rows import HistoryGoneError, Row, RowStore, RowStoreAwayError

WAIT_S = 2.0
"""Longest wait of one call: changes must be in force 2 s after their acknowledgement,
also where a connection fell silent."""
READ_TIMEOUT_S = 1.5
REFRESH_INTERVAL_S = 0.5
"""Shortest time between two refreshes: the slowest store answers within it."""
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.4


class TableFeed:
    """Keeps up with one table.

    Args:
        store: The row store.
        table: Name of the table; its rows have an empty part.
        on_rows: Called with changed rows, and whether they are the whole table.
        log: Decision log.

    Attributes:
        rows: The rows of the table by key, as far as they are known.
        version: Version up to which the store has told all changes; 0 before that.
        confirmed_at: Loop time at which the newest answered question was asked.
    """

    __slots__ = (
        "_asking",
        "_log",
        "_on_rows",
        "_refresh_timer",
        "_refreshed_at",
        "_store",
        "_table",
        "confirmed_at",
        "rows",
        "version",
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        on_rows: Callable[[list[Row], bool], None],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._log = log
        self._asking: asyncio.Task | None = None
        self._refreshed_at = float("-inf")
        self._refresh_timer: asyncio.TimerHandle | None = None
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.confirmed_at = float("-inf")

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    def load(self, rows: list[Row]) -> None:
        """Take rows that a peer knows, until the store itself has answered."""
        if not self.version:
            self._apply(rows, is_full_table=False)

    def refresh(self) -> None:
        """Ask anew: the call under way may hang on a connection that is silent.

        Where the store answers slowly, its way is lost and found again several times
        a second; so this happens at once, and then at intervals.
        """
        loop = asyncio.get_running_loop()
        wait_s = self._refreshed_at + REFRESH_INTERVAL_S - loop.time()
        if wait_s <= 0:
            self._refresh_now()
        elif self._refresh_timer is None:
            self._refresh_timer = loop.call_later(wait_s, self._refresh_now)

    def _refresh_now(self) -> None:
        self._refresh_timer = None
        self._refreshed_at = asyncio.get_running_loop().time()
        if self._asking is not None:
            self._asking.cancel()

    async def follow(self) -> None:
        """Follow until cancelled."""
        backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)
        is_full_table = False
        is_reached = True
        while True:
            asked_at = asyncio.get_running_loop().time()
            try:
                if not await self._ask(is_full_table=is_full_table):
                    continue
                is_full_table = True
            except HistoryGoneError:
                self._log.record(
                    "history_gone", table=self._table, version=self.version
                )
                is_full_table = False
                continue
            except RowStoreAwayError as error:
                if is_reached:
                    self._log.record(
                        "feed_lost",
                        table=self._table,
                        version=self.version,
                        reason=error.message,
                    )
                is_reached = False
                await asyncio.sleep(backoff.next_s())
                continue
            self.confirmed_at = max(self.confirmed_at, asked_at)
            if not is_reached:
                self._log.record(
                    "feed_regained", table=self._table, version=self.version
                )
                is_reached = True
            backoff = Backoff(first_s=FIRST_RETRY_S, max_s=MAX_RETRY_S)

    async def _ask(self, *, is_full_table: bool) -> bool:
        """Make the next call; returns false where :meth:`refresh` ended it."""
        question = self._follow_changes() if is_full_table else self._read_all()
        self._asking = asyncio.get_running_loop().create_task(question)
        try:
            await asyncio.wait([self._asking])
            if self._asking.cancelled():
                return False
            self._asking.result()
        finally:
            self._asking.cancel()
        return True

    async def _read_all(self) -> None:
        page = await self._store.read(self._table, "", timeout_s=READ_TIMEOUT_S)
        self._apply(page.rows, is_full_table=True)
        self.version = page.version

    async def _follow_changes(self) -> None:
        page = await self._store.changes(self._table, after=self.version, wait_s=WAIT_S)
        if page.rows:
            self._apply(page.rows, is_full_table=False)
        self.version = max(self.version, page.version)

    def _apply(self, rows: list[Row], *, is_full_table: bool) -> None:
        if is_full_table:
            self.rows.clear()
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row
        self._on_rows(rows, is_full_table)
