"""Interface and HTTP client of the platform's store of immutable objects."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

from .errors import StoreError, StoreUnavailableError
from .http import HttpClient, HttpError, HttpRequest, HttpResponse

HTTP_NOT_FOUND = 404


class Objects(Protocol):
    """Interface of the platform's object store, as far as the system uses it."""

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; storing the same content again is idempotent.

        Raises:
            StoreUnavailableError: No answer; the object may have been stored.
        """

    async def get(self, key: str) -> bytes | None:
        """Return an object's content, or ``None`` if it does not exist.

        Raises:
            StoreUnavailableError: No answer.
        """

    async def delete(self, key: str) -> None:
        """Delete an object if it exists.

        Raises:
            StoreUnavailableError: No answer.
        """


class HttpObjects:
    """HTTP client of the object store.

    Args:
        client: The HTTP client to use.
        base_url: URL of the service without a trailing slash.
        timeout_s: Time-out of each request, in seconds.
    """

    __slots__ = ("_base_url", "_client", "_timeout_s")

    def __init__(
        self, client: HttpClient, base_url: str, *, timeout_s: float = 5.0
    ) -> None:
        self._client = client
        self._base_url = base_url
        self._timeout_s = timeout_s

    def __repr__(self) -> str:
        return f"HttpObjects({self._base_url!r})"

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; see :class:`Objects`."""
        self._require_success(await self._request("PUT", key, content))

    async def get(self, key: str) -> bytes | None:
        """Return an object or ``None``; see :class:`Objects`."""
        response = await self._request("GET", key, None)
        if response.status == HTTP_NOT_FOUND:
            return None
        self._require_success(response)
        return response.body

    async def delete(self, key: str) -> None:
        """Delete an object; see :class:`Objects`."""
        response = await self._request("DELETE", key, None)
        if response.status != HTTP_NOT_FOUND:
            self._require_success(response)

    async def _request(self, method: str, key: str, body: bytes | None) -> HttpResponse:
        url = f"{self._base_url}/v1/objects/{quote(key, safe='')}"
        request = HttpRequest(method, url, body=body, timeout_s=self._timeout_s)
        try:
            return await self._client.fetch(request)
        except HttpError as failure:
            raise StoreUnavailableError(
                f"object store: {failure.message}", verdict=failure.verdict
            ) from failure

    @staticmethod
    def _require_success(response: HttpResponse) -> None:
        if response.status >= 500:
            raise StoreUnavailableError(f"object store answered {response.status}")
        if response.status >= 400:
            raise StoreError(f"object store answered {response.status}")
