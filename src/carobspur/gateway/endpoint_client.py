"""Sends one request to one endpoint and reads its answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from .answer_limits import BufferedAnswers
from .calls import AnswerHead, Call
from .endpoints import Endpoint
from .health import HealthTracker
from .http1 import Connection
from .http_pool import ConnectionPool
from .send_errors import EndlessAnswerError, LostAnswerError, NotSentError
from .telemetry import Telemetry


class EndpointCodec(Protocol):
    """Writes requests for endpoints and reads the heads of their answers."""

    def encode(
        self,
        call: Call,
        endpoint: Endpoint,
        body: bytes,
        *,
        remaining_s: float,
        last_event_id: str,
    ) -> bytes:
        """Return a whole request.

        Args:
            call: The caller's request.
            endpoint: The only endpoint that may run it.
            body: The body, with what the gateway put before the caller's.
            remaining_s: Time in which an answer is of use.
            last_event_id: Id of the event after which a stream goes on.
        """

    def is_answer_to(self, call: Call, headers: dict[str, str]) -> bool:
        """Return whether an answer belongs to a request; names are lower case."""

    def decode(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Return what an answer's head says."""


class Exchange:
    """One request under way at one endpoint.

    Attributes:
        endpoint: Where it runs.
        head: Head of the answer.
        is_complete: Whether the body came whole.
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

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; ends normally only if it came whole.

        Raises:
            LostAnswerError: The body broke off.
        """
        async for piece in self._connection.body(self._message):
            yield piece
        self.is_complete = True

    async def body(self) -> bytes:
        """Return the whole body.

        Raises:
            LostAnswerError: The body broke off or is longer than an answer may be.
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
    """Sends requests over kept connections.

    Args:
        codec: The protocol of the endpoints.
        pool: Connections.
        health: Told of loads and of what is under way.
        telemetry: Counts outcomes.
        on_draining: Called with an endpoint whose answer says that it leaves.
    """

    __slots__ = (
        "_health",
        "_buffered",
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
    ) -> None:
        self._on_draining = on_draining
        self._codec = codec
        self._pool = pool
        self._buffered = BufferedAnswers(pool.limits)
        self._health = health
        self._telemetry = telemetry

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

        Leaving the context before the body was read closes the connection, so that
        the endpoint stops its work.

        Args:
            endpoint: Where to send it.
            call: The caller's request.
            body: Its body.
            deadline: Loop time after which an answer is of no use.
            last_event_id: Id of the event after which a stream goes on.

        Raises:
            NotSentError: Nothing was sent.
            LostAnswerError: The connection ended without an answer's head.
        """
        loop = asyncio.get_running_loop()
        self._health.begin(endpoint.key)
        connection = None
        is_kept = False
        outcome = "cancelled"
        try:
            connection = await self._pool.acquire(
                endpoint.key, endpoint.host, endpoint.port
            )
            remaining_s = deadline - loop.time()
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
                lambda headers: self._codec.is_answer_to(call, headers)
            )
            head = self._codec.decode(message.status, message.raw_headers)
            self._health.record_load(endpoint.key, head.load, loop.time())
            if head.is_draining:
                self._on_draining(endpoint)
            exchange = Exchange(endpoint, connection, message, head, self._buffered)
            outcome = "answered"
            yield exchange
            if exchange.is_complete:
                is_kept = connection.finish_request(message)
        except NotSentError:
            outcome = "not_sent"
            raise
        except LostAnswerError:
            outcome = "lost"
            # Other kept connections may have gone silent with this one.
            self._pool.close_idle(endpoint.key)
            raise
        finally:
            self._health.end(endpoint.key)
            self._telemetry.sends.labels(outcome).inc()
            if is_kept:
                self._pool.release(endpoint.key, connection)
            elif connection is not None:
                connection.close()
