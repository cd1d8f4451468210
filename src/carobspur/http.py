"""HTTP client for endpoints and platform services, on tornado's curl client."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest as TornadoRequest

from .errors import CarobspurError
from .verdict import MAY_HAVE_RUN, NOT_RUN, Verdict

MAX_CLIENTS = 2000
"""Most requests at a time; further ones wait."""
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest response body, streamed ones included; endpoints may send without end.
Well above a shard's state, which is the largest legitimate body."""

_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


class HttpError(CarobspurError):
    """No HTTP response was received.

    Attributes:
        timed_out: Whether the request timed out.
    """

    cause = "http"
    status = 502

    def __init__(
        self, message: str, *, verdict: Verdict, timed_out: bool = False
    ) -> None:
        super().__init__(message, verdict=verdict)
        self.timed_out = timed_out


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        url: Absolute URL; its host is an IP address.
        body: Content, or ``None`` for a request without a body.
        headers: Header fields.
        timeout_s: Seconds until the whole response must have arrived.
        on_data: Called with each chunk of the response's body as it arrives; the
            response's ``body`` is then empty.
        send_once: Whether the client must never resend it by itself.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = 10.0
    on_data: Callable[[bytes], None] | None = None
    send_once: bool = False


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response of any status."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpClient(Protocol):
    """Interface of an HTTP client; tests substitute their own."""

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return its response, whatever the status.

        Raises:
            HttpError: No response arrived; the verdict says whether the request may
                have run.
        """


class CurlClient:
    """The HTTP client of the daemons.

    Args:
        max_clients: Most requests at a time; further ones wait.
    """

    __slots__ = ("_client",)

    def __init__(self, *, max_clients: int = MAX_CLIENTS) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=max_clients,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request; see :class:`HttpClient`."""
        message = TornadoRequest(
            request.url,
            method=request.method,
            body=request.body,
            headers=dict(request.headers),
            request_timeout=request.timeout_s,
            connect_timeout=min(CONNECT_TIMEOUT_S, request.timeout_s),
            streaming_callback=request.on_data,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=partial(_configure_curl, send_once=request.send_once),
        )
        try:
            answer = await self._client.fetch(message, raise_error=False)
        except CurlError as error:
            raise _http_error(error) from error
        if isinstance(answer.error, CurlError):
            raise _http_error(answer.error)
        if isinstance(answer.error, HTTPError) and answer.code == 599:
            raise HttpError(str(answer.error), verdict=MAY_HAVE_RUN)
        body = answer.body if answer.buffer is not None else b""
        return HttpResponse(answer.code, body, answer.headers)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _configure_curl(curl: pycurl.Curl, *, send_once: bool) -> None:
    """Use a new connection for a request that must not be sent twice.

    When a reused connection closes before the first byte of the response, curl
    resends the request on a new one, although the server may have executed it.
    """
    curl.setopt(pycurl.FRESH_CONNECT, int(send_once))


def _http_error(error: CurlError) -> HttpError:
    verdict = NOT_RUN if error.errno in _NOT_SENT_ERRORS else MAY_HAVE_RUN
    timed_out = error.errno == pycurl.E_OPERATION_TIMEDOUT
    return HttpError(str(error.message), verdict=verdict, timed_out=timed_out)
