"""Requests, injected faults and HTTP server that all HTTP stand-ins share.

A stand-in is reached over real sockets (:func:`application`) or inside the process
(:class:`InProcessClient`, for tests under virtual time). Both apply the same faults.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec
import tornado.web

from carobspur.errors import CarobspurError
from carobspur.http import HttpError, HttpRequest, HttpResponse
from carobspur.verdict import MAY_HAVE_RUN, NOT_RUN

Emit = Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request to a stand-in, from a socket or from the same process.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Last value of each query parameter.
        headers: Header fields; names are case-insensitive only over sockets.
        body: The body, empty where there is none.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Standin(Protocol):
    """Interface of all HTTP stand-ins."""

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer a request.

        Args:
            request: The request.
            emit: Sends one chunk of a streamed body at once. The body of the returned
                response follows the chunks.
        """


class FaultKind(StrEnum):
    """Kinds of injected faults.

    ``DOWN`` refuses the connection (over sockets it acts as ``DROP``), ``HANG`` never
    answers, ``LOSE_ANSWER`` executes the request and closes the connection without an
    answer, ``DROP`` closes it without executing the request, ``SLOW`` waits before it
    executes the request.
    """

    NONE = "none"
    DOWN = "down"
    HANG = "hang"
    LOSE_ANSWER = "lose_answer"
    DROP = "drop"
    SLOW = "slow"


class FaultOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/faults``: which requests fail, and how.

    Attributes:
        kind: Kind of the fault; ``none`` ends the current one.
        count: Number of requests that are affected; 0 for all until the next order.
        delay_s: Seconds before each execution where ``kind`` is ``slow``.
        path: Prefix of the paths that are affected.
    """

    kind: FaultKind
    count: int = 0
    delay_s: float = 0.0
    path: str = "/"


@dataclass(slots=True)
class Faults:
    """The fault that a stand-in injects at present.

    Attributes:
        order: The latest order.
        remaining: Number of further requests that it affects, if the order has a count.
    """

    order: FaultOrder = field(default_factory=lambda: FaultOrder(FaultKind.NONE))
    remaining: int = 0

    def set(self, order: FaultOrder) -> None:
        """Replace the current fault."""
        self.order = order
        self.remaining = order.count

    def next(self, path: str) -> FaultKind:
        """Return the fault for a request to a path, and count the request."""
        if self.order.kind == FaultKind.NONE or not path.startswith(self.order.path):
            return FaultKind.NONE
        if self.order.count:
            if not self.remaining:
                return FaultKind.NONE
            self.remaining -= 1
        return self.order.kind


class _NoAnswerError(Exception):
    """An injected fault closes the connection without an answer.

    Args:
        was_sent: Whether the request may have reached the stand-in.
    """

    def __init__(self, *, was_sent: bool) -> None:
        super().__init__()
        self.was_sent = was_sent


async def answer(
    standin: Standin, faults: Faults, request: Request, emit: Emit
) -> HttpResponse:
    """Answer a request, with the current fault applied.

    ``/v1/faults`` itself is never affected, so a fault can always be ended.

    Raises:
        _NoAnswerError: If the fault closes the connection.
    """
    if request.path == "/v1/faults":
        faults.set(msgspec.json.decode(request.body, type=FaultOrder))
        return HttpResponse(204, b"")
    match faults.next(request.path):
        case FaultKind.DOWN:
            raise _NoAnswerError(was_sent=False)
        case FaultKind.DROP:
            raise _NoAnswerError(was_sent=True)
        case FaultKind.HANG:
            await asyncio.Event().wait()
        case FaultKind.LOSE_ANSWER:
            await standin.handle(request, lambda data: None)
            raise _NoAnswerError(was_sent=True)
        case FaultKind.SLOW:
            await asyncio.sleep(faults.order.delay_s)
    return await standin.handle(request, emit)


class InProcessClient:
    """HTTP client that calls stand-ins in the same process, without sockets.

    Implements :class:`carobspur.http.HttpClient`; an unknown base URL behaves as a
    refused connection.

    Args:
        standins: Stand-ins by base URL.
    """

    __slots__ = ("_faults", "_running", "_standins")

    def __init__(self, standins: Mapping[str, Standin]) -> None:
        self._standins = dict(standins)
        self._running: dict[str, set[asyncio.Task[HttpResponse]]] = {}
        self._faults = {url: Faults() for url in standins}

    def faults(self, url: str) -> Faults:
        """Return the faults of the stand-in at a base URL."""
        return self._faults[url]

    def kill(self, url: str) -> None:
        """Remove a stand-in: requests under way lose their connection."""
        del self._standins[url]
        for task in self._running.get(url, set()):
            task.cancel()

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request to the stand-in of its base URL.

        Raises:
            HttpError: If there is no such stand-in, the answer takes longer than the
                request's time-out, or a fault closes the connection. The verdict says
                whether the request may have been executed.
        """
        parts = urlsplit(request.url)
        url = f"{parts.scheme}://{parts.netloc}"
        if url not in self._standins:
            raise HttpError(f"{url}: connection refused", verdict=NOT_RUN)
        pieces: list[bytes] = []
        emit = request.on_data or pieces.append
        received = Request(
            request.method,
            parts.path,
            {name: values[-1] for name, values in parse_qs(parts.query).items()},
            request.headers,
            request.body or b"",
        )
        response_coroutine = answer(
            self._standins[url], self._faults[url], received, emit
        )
        running = asyncio.ensure_future(response_coroutine)
        self._running.setdefault(url, set()).add(running)
        try:
            async with asyncio.timeout(request.timeout_s):
                response = await running
        except asyncio.CancelledError:
            if url in self._standins:
                raise
            message = f"{url}: connection lost"
            raise HttpError(message, verdict=MAY_HAVE_RUN) from None
        except TimeoutError as error:
            raise HttpError(
                f"{url}: no answer within {request.timeout_s} s",
                verdict=MAY_HAVE_RUN,
                timed_out=True,
            ) from error
        except _NoAnswerError as error:
            verdict = MAY_HAVE_RUN if error.was_sent else NOT_RUN
            raise HttpError(f"{url}: connection lost", verdict=verdict) from error
        finally:
            self._running[url].discard(running)
        body = b"".join(pieces) + response.body
        if request.on_data is not None and response.body:
            request.on_data(response.body)
        return HttpResponse(response.status, body, response.headers)


class StandinHandler(tornado.web.RequestHandler):
    """Serves a stand-in over sockets; undecodable requests are answered with 400."""

    SUPPORTED_METHODS = ("GET", "PUT", "POST", "DELETE")

    def initialize(self, standin: Standin, faults: Faults) -> None:
        """Receive the options of :func:`application`; tornado calls this."""
        self._standin = standin
        self._faults = faults

    async def _serve(self) -> None:
        query = {
            name: self.get_query_argument(name) for name in self.request.query_arguments
        }
        request = Request(
            self.request.method,
            self.request.path,
            query,
            self.request.headers,
            self.request.body,
        )
        try:
            response = await answer(self._standin, self._faults, request, self._emit)
        except _NoAnswerError:
            self.request.connection.stream.close()
            return
        except (msgspec.MsgspecError, CarobspurError) as error:
            response = HttpResponse(400, str(error).encode())
        if not self._headers_written:
            self.set_status(response.status)
            for name, value in response.headers.items():
                self.set_header(name, value)
        self.finish(response.body or None)

    get = put = post = delete = _serve

    def _emit(self, data: bytes) -> None:
        self.write(data)
        self.flush()


def json_response(content: object, status: int = 200) -> HttpResponse:
    """Return a response whose body is ``content`` as JSON."""
    return HttpResponse(
        status, msgspec.json.encode(content), {"Content-Type": "application/json"}
    )


def application(standin: Standin) -> tornado.web.Application:
    """Return a tornado application that serves a stand-in, at first without faults."""
    options = {"standin": standin, "faults": Faults()}
    return tornado.web.Application([(r"/.*", StandinHandler, options)])
