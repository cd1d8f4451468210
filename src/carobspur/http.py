"""HTTP towards endpoints and the platform, by tornado's ``curl`` client."""

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
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Most bytes of an answer's body, streamed ones too: an endpoint may send without end.
Well above the state of a shard, the largest sound one."""

_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


class HttpError(CarobspurError):
    """No HTTP answer was received.

    Attributes:
        timed_out: Whether the time limit ran out.
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
    """A request to send.

    Attributes:
        method: HTTP method.
        url: Whole URL, its host an IP number.
        body: Content, or ``None`` for a request without one.
        headers: Header fields.
        timeout_s: Seconds until the whole answer must have arrived.
        on_data: Called with each piece of the answer's body as it arrives; the
            response's ``body`` is then empty.
        send_once: Whether the client may never send it a second time by itself.
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
    """An answer, whatever its status."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpClient(Protocol):
    """Anything that sends HTTP requests; tests pass their own."""

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return its answer, whatever its status.

        Raises:
            HttpError: There was no answer; its verdict says what may have run.
        """


class CurlClient:
    """The daemons' HTTP client."""

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
    """Use a connection of its own for what must not be sent twice.

    Where a kept connection ends before the first byte of an answer, curl sends the
    request again on a new one, although the server may have carried it out.
    """
    curl.setopt(pycurl.FRESH_CONNECT, int(send_once))


def _http_error(error: CurlError) -> HttpError:
    verdict = NOT_RUN if error.errno in _NOT_SENT_ERRORS else MAY_HAVE_RUN
    timed_out = error.errno == pycurl.E_OPERATION_TIMEDOUT
    return HttpError(str(error.message), verdict=verdict, timed_out=timed_out)
