"""HTTP client of the operators' interface, used by the command line."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest

from .errors import CarobspurError, RefusedError, RequestError, error_from_cause
from .problem import Problem
from .verdict import MAY_HAVE_RUN, verdict_from_name

TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
_NO_RESPONSE_STATUS = 599


class ControlUnreachableError(RefusedError):
    """No control process answered."""

    cause = "control_unreachable"


class ControlClient:
    """Sends requests to control processes, in turn until one of them answers.

    Args:
        addresses: Base URLs of control processes, ``http://IP:port``, in order of
            preference.
        key: The operator's secret key.
        ca_file: PEM file of the certificate authority, for ``https`` addresses.
    """

    __slots__ = ("_addresses", "_ca_file", "_key")

    def __init__(self, addresses: list[str], key: str, *, ca_file: str = "") -> None:
        self._addresses = addresses
        self._key = key
        self._ca_file = ca_file

    def __repr__(self) -> str:
        return f"ControlClient({self._addresses!r})"

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return the decoded JSON answer.

        The request has to be idempotent: without an answer, or with an error whose
        verdict is that it may have run, it is sent to the next address, and up to
        ``MAX_ATTEMPTS`` times to each.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body of the request.
            headers: Headers besides the key.

        Raises:
            ControlUnreachableError: No control process answered.
            CarobspurError: The control process refused the request with this error.
        """
        last_error: CarobspurError = ControlUnreachableError(
            "no address of a control process is configured"
        )
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                time.sleep(RETRY_DELAY_S)
            for address in self._addresses:
                try:
                    return self._request_once(
                        address, method, path, body, headers or {}
                    )
                except ControlUnreachableError as error:
                    last_error = error
                except CarobspurError as error:
                    if error.verdict != MAY_HAVE_RUN:
                        raise
                    last_error = error
        raise last_error

    def _request_once(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Any:
        request = HTTPRequest(
            address + path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._key}", **headers},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=TIMEOUT_S,
            ca_certs=self._ca_file or None,
            allow_nonstandard_methods=True,
        )
        client = HTTPClient(async_client_class=CurlAsyncHTTPClient)
        try:
            answer = client.fetch(request)
        except HTTPError as error:
            raise _response_error(address, error) from error
        finally:
            client.close()
        return msgspec.json.decode(answer.body) if answer.body else None


def _response_error(address: str, error: HTTPError) -> CarobspurError:
    if error.code == _NO_RESPONSE_STATUS:
        return ControlUnreachableError(
            f"no answer from {address}: {error.message}", verdict=MAY_HAVE_RUN
        )
    body = error.response.body if error.response is not None else b""
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return RequestError(
            f"{address} answered {error.code} without an error document; "
            "is it the address of a control process?"
        )
    return error_from_cause(
        problem.cause,
        problem.title,
        verdict=verdict_from_name(problem.verdict),
        retry_after_s=problem.retry_after_s,
        detail=bytes(problem.detail).decode(),
    )
