"""Stand-in for the platform's table service, in memory."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from urllib.parse import unquote

import msgspec

from carobspur.errors import StoreConflictError
from carobspur.http import HttpResponse
from carobspur.table import (
    ABSENT_VERSION,
    Check,
    CommitRequest,
    CommitResult,
    Row,
    RowPage,
    Write,
)

from .app import Emit, Request, json_response

ROWS_PATH = "/v1/rows/"


class MemoryTable:
    """Versioned rows in memory; implements :class:`carobspur.table.Table`.

    Attributes:
        reads: Number of single reads and scans.
        rows_read: Rows that scans returned, and one for each single read.
        rows_written: Number of rows written or deleted.
        commits: Number of commits whose checks held.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0
        self.reads = 0
        self.rows_read = 0
        self.rows_written = 0
        self.commits = 0

    @property
    def rows(self) -> list[Row]:
        """All rows, ordered by key."""
        return [self._rows[key] for key in self._keys]

    async def commit(self, checks: list[Check], writes: list[Write]) -> int:
        """Write all rows if all checks hold; return the new version.

        Raises:
            StoreConflictError: If a check does not hold; nothing is written.
        """
        return self.apply(checks, writes)

    def apply(self, checks: list[Check], writes: list[Write]) -> int:
        """Commit without awaiting, for tests that prepare rows; as :meth:`commit`."""
        failed = [item.key for item in checks if not self._holds(item)]
        if failed:
            keys = tuple(failed)
            raise StoreConflictError(f"rows changed: {', '.join(keys)}", keys=keys)
        self._version += 1
        for write in writes:
            self._write(write)
        self.commits += 1
        self.rows_written += len(writes)
        return self._version

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` where it does not exist."""
        self.reads += 1
        self.rows_read += 1
        return self._rows.get(key)

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys start with a prefix, ordered by key."""
        self.reads += 1
        start = bisect_left(self._keys, prefix)
        found = []
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        self.rows_read += len(found)
        return found

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer the requests of :class:`carobspur.table.HttpTable`."""
        if request.path == "/v1/commit":
            return await self._handle_commit(request)
        if request.path.startswith(ROWS_PATH):
            key = unquote(request.path.removeprefix(ROWS_PATH))
            return json_response(await self.read(key))
        if request.path == "/v1/rows":
            return await self._handle_scan(request)
        return HttpResponse(404, b"")

    async def _handle_commit(self, request: Request) -> HttpResponse:
        body = msgspec.json.decode(request.body, type=CommitRequest)
        try:
            version = await self.commit(body.checks, body.writes)
        except StoreConflictError as conflict:
            return json_response(CommitResult(failed=list(conflict.keys)))
        return json_response(CommitResult(version))

    async def _handle_scan(self, request: Request) -> HttpResponse:
        limit = int(request.query.get("limit", "1000"))
        after = request.query.get("after", "")
        rows = await self.scan(request.query.get("prefix", ""))
        rows = rows[bisect_right([row.key for row in rows], after) if after else 0 :]
        return json_response(RowPage(rows[:limit], more=len(rows) > limit))

    def _holds(self, check: Check) -> bool:
        row = self._rows.get(check.key)
        version = ABSENT_VERSION if row is None else row.version
        return version == check.version

    def _write(self, write: Write) -> None:
        is_known = write.key in self._rows
        if write.value is None:
            if is_known:
                del self._rows[write.key]
                del self._keys[bisect_left(self._keys, write.key)]
            return
        if not is_known:
            insort(self._keys, write.key)
        self._rows[write.key] = Row(write.key, self._version, write.value)
