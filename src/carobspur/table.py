"""Interface, messages and HTTP client of the platform's table service."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote, urlencode

import msgspec

from .errors import StoreConflictError, StoreError, StoreUnavailableError
from .http import HttpClient, HttpError, HttpRequest

ABSENT_VERSION = 0
SCAN_PAGE_ROWS = 1000


class Row(msgspec.Struct, frozen=True):
    """One row at the time of a read.

    Attributes:
        key: Key of the row.
        version: Positive; increases with every write of the row, even if the row was
            deleted in between.
        value: Content of the row, a JSON document.
    """

    key: str
    version: int
    value: bytes


class Check(msgspec.Struct, frozen=True):
    """Condition of a commit: the row has this version; 0 means it does not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Change of one row in a commit; a value of ``None`` deletes the row."""

    key: str
    value: bytes | None


class CommitRequest(msgspec.Struct, frozen=True):
    """Body of a commit; if any check fails, nothing is written."""

    checks: list[Check]
    writes: list[Write]


class CommitResult(msgspec.Struct, frozen=True):
    """Response to a commit.

    Attributes:
        version: New version of every row that was written.
        failed: Keys whose checks failed; empty if the commit took effect.
    """

    version: int = 0
    failed: list[str] = []


class RowPage(msgspec.Struct, frozen=True):
    """One page of a scan, sorted by key; ``more`` says whether another follows."""

    rows: list[Row]
    more: bool = False


class Table(Protocol):
    """Interface of the platform's table service, as far as the system uses it."""

    async def commit(self, checks: list[Check], writes: list[Write]) -> int:
        """Write all rows atomically if all checks hold.

        Returns:
            The new version, which is the same for every row that was written.

        Raises:
            StoreConflictError: A check failed; nothing was written.
            StoreUnavailableError: No answer; the commit may have taken effect.
        """

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist.

        Raises:
            StoreUnavailableError: No answer.
        """

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys start with a prefix, sorted by key.

        Raises:
            StoreUnavailableError: No answer.
        """


class HttpTable:
    """HTTP client of the table service.

    Args:
        client: The HTTP client to use.
        base_url: URL of the service without a trailing slash.
        timeout_s: Time-out of each request, in seconds.
    """

    __slots__ = ("_base_url", "_client", "_timeout_s")

    def __init__(
        self, client: HttpClient, base_url: str, *, timeout_s: float = 2.0
    ) -> None:
        self._client = client
        self._base_url = base_url
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"HttpTable({self._base_url!r})"

    async def commit(self, checks: list[Check], writes: list[Write]) -> int:
        """Write all rows atomically if all checks hold; see :class:`Table`."""
        body = msgspec.json.encode(CommitRequest(checks, writes))
        answer = await self._request("POST", "/v1/commit", body)
        result = msgspec.json.decode(answer, type=CommitResult)
        if result.failed:
            keys = tuple(result.failed)
            raise StoreConflictError(f"rows changed: {', '.join(keys)}", keys=keys)
        return result.version

    async def read(self, key: str) -> Row | None:
        """Return one row or ``None``; see :class:`Table`."""
        answer = await self._request("GET", f"/v1/rows/{quote(key, safe='')}", None)
        return msgspec.json.decode(answer, type=Row | None)

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows with a prefix, page by page; see :class:`Table`."""
        rows: list[Row] = []
        after = ""
        while True:
            query = urlencode(
                {"prefix": prefix, "after": after, "limit": SCAN_PAGE_ROWS}
            )
            answer = await self._request("GET", f"/v1/rows?{query}", None)
            page = msgspec.json.decode(answer, type=RowPage)
            rows.extend(page.rows)
            if not page.more:
                return rows
            after = page.rows[-1].key

    async def _request(self, method: str, path: str, body: bytes | None) -> bytes:
        request = HttpRequest(
            method, self._base_url + path, body=body, timeout_s=self._timeout_s
        )
        try:
            response = await self._client.fetch(request)
        except HttpError as failure:
            raise StoreUnavailableError(
                f"table service: {failure.message}", verdict=failure.verdict
            ) from failure
        if response.status >= 500:
            raise StoreUnavailableError(f"table service answered {response.status}")
        if response.status >= 400:
            raise StoreError(f"table service answered {response.status}")
        return response.body
