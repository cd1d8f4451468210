"""HTTP client for endpoints: sends one request and reads its answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Protocol

from .answer_limits import BufferedAnswers
from .calls import AnswerHead, Call
from .endpoints import Endpoint
from .health import HealthTracker
from .http1 import Connection
from .http_pool import ConnectionPool
from .send_errors import EndlessAnswerError, LostAnswerError, NotSentError
from .telemetry import Telemetry

AnswerObserver = Callable[[Endpoint, AnswerHead, float], None]
"""Takes an endpoint, the head of its answer, and the loop time."""


class EndpointCodec(Protocol):
    """Encodes requests for endpoints and decodes the heads of their answers."""

    def encode(
        self,
        call: Call,
        endpoint: Endpoint,
        body: bytes,
        *,
        remaining_s: float,
        last_event_id: str,
    ) -> bytes:
        """Return the bytes of a request.

        Args:
            call: The caller's request.
            endpoint: The only endpoint that may run the request.
            body: The caller's body, preceded by its program's history if the gateway
                stores that.
            remaining_s: Remaining time until the deadline.
            last_event_id: Id of the event after which to resume a stream; empty to
                start from the beginning.
        """

    def request_id(self, headers: dict[str, str]) -> str:
        """Return the id of the request that an answer names; empty if it names none.

        Args:
            headers: Header fields of the answer, by name in lower case.
        """

    def decode(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Return the decoded head of an answer."""


class Exchange:
    """A request in progress at an endpoint, once the head of its answer has been read.

    Attributes:
        endpoint: Endpoint that the request was sent to.
        head: Head of the answer.
        is_complete: Whether the body has been read to its end.
    """

    __slots__ = (
        "_connection",
        "_buffered",
        "_message",
        "endpoint",
        "head",
        "is_complete",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        connection: Connection,
        message,
        head: AnswerHead,
        buffered: BufferedAnswers,
    ) -> None:
        self.endpoint = endpoint
        self.head = head
        self.is_complete = False
        self._connection = connection
        self._buffered = buffered
        self._message = message

    @property
    def ended_with_connection(self) -> bool:
        """Whether the body, read to its end, was ended by the connection's close."""
        return self._message.ended_with_connection

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece; ends normally only if it is complete.

        Raises:
            LostAnswerError: The body broke off.
        """
        async for piece in self._connection.body(self._message):
            yield piece
        self.is_complete = True

    async def body(self) -> bytes:
        """Return the complete body.

        Raises:
            LostAnswerError: The body broke off or exceeds the limits of the gateway.
        """
        content = bytearray()
        self._buffered.add(self)
        try:
            async for piece in self.pieces():
                content += piece
                if reason := self._buffered.update(self, len(content)):
                    raise EndlessAnswerError(reason)
        finally:
            self._buffered.remove(self)
        return bytes(content)


class EndpointClient:
    """Sends requests to endpoints over pooled connections.

    Args:
        codec: Encodes requests and decodes answers.
        pool: Connections to endpoints.
        health: Updated with the requests in progress and the loads that answers report.
        telemetry: Counts requests by outcome.
        on_draining: Called with an endpoint whose answer announces that it accepts no
            new requests.
        on_answer: Called with an endpoint, the head of its answer and the loop time.
    """

    __slots__ = (
        "_health",
        "_buffered",
        "_on_answer",
        "_on_draining",
        "_pool",
        "_telemetry",
        "_codec",
    )

    def __init__(
        self,
        codec: EndpointCodec,
        pool: ConnectionPool,
        health: HealthTracker,
        telemetry: Telemetry,
        *,
        on_draining: Callable[[Endpoint], None],
        on_answer: AnswerObserver = lambda endpoint, head, now: None,
    ) -> None:
        self._on_answer = on_answer
        self._on_draining = on_draining
        self._codec = codec
        self._pool = pool
        self._buffered = BufferedAnswers(pool.limits)
        self._health = health
        self._telemetry = telemetry

    @property
    def buffered_bytes(self) -> int:
        """Bytes of all answers that are being buffered completely."""
        return self._buffered.total_bytes

    @asynccontextmanager
    async def exchange(
        self,
        endpoint: Endpoint,
        call: Call,
        body: bytes,
        *,
        deadline: float,
        last_event_id: str = "",
    ) -> AsyncIterator[Exchange]:
        """Send a request and wait for the head of its answer.

        Leaving the context before the body has been read to its end closes the
        connection, so that the endpoint stops working on the request.

        Args:
            endpoint: Where to send the request.
            call: The caller's request.
            body: The body to send.
            deadline: Event loop time after which an answer is of no use. It is only
                passed on to the endpoint; callers of this method enforce it.
            last_event_id: Id of the event after which to resume a stream; empty to
                start from the beginning.

        Raises:
            NotSentError: No byte of the request was sent.
            LostAnswerError: The connection ended before the head of the answer, or the
                answer was invalid, exceeded a size limit or may be that of an earlier
                request.
        """
        loop = asyncio.get_running_loop()
        self._health.begin(endpoint.key)
        connection = None
        is_reusable = False
        outcome = "cancelled"
        try:
            connection = await self._pool.acquire(
                endpoint.key, endpoint.host, endpoint.port
            )
            remaining_s = deadline - loop.time()
            call.was_sent = True
            connection.send(
                self._codec.encode(
                    call,
                    endpoint,
                    body,
                    remaining_s=remaining_s,
                    last_event_id=last_event_id,
                )
            )
            message = await connection.head(
                partial(self._is_answer, call, is_reused=connection.is_reused)
            )
            head = self._codec.decode(message.status, message.raw_headers)
            self._health.record_load(endpoint.key, head.load, loop.time())
            self._on_answer(endpoint, head, loop.time())
            if head.is_draining:
                self._on_draining(endpoint)
            exchange = Exchange(endpoint, connection, message, head, self._buffered)
            outcome = "answered"
            yield exchange
            if exchange.is_complete:
                is_reusable = connection.finish_request(message)
        except NotSentError:
            outcome = "not_sent"
            raise
        except LostAnswerError:
            outcome = "lost"
            # Other idle connections to the endpoint may be dead like this one.
            self._pool.close_idle(endpoint.key)
            raise
        finally:
            self._health.end(endpoint.key)
            self._telemetry.sends.labels(outcome).inc()
            if is_reusable:
                self._pool.release(endpoint.key, connection)
            elif connection is not None:
                connection.close()

    def _is_answer(
        self, call: Call, headers: dict[str, str], *, is_reused: bool
    ) -> bool:
        """Return whether an answer belongs to a request.

        An answer that names no request can only be trusted to be the request's own if
        the connection has carried no other.

        Raises:
            LostAnswerError: It names no request, and the connection was used before.
        """
        request_id = self._codec.request_id(headers)
        if not request_id and is_reused:
            raise LostAnswerError(
                "an answer without a request id arrived on a reused connection"
            )
        return request_id in ("", call.id)
