"""Sends one request to one endpoint and reads its answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from .answer_limits import AnswerMemory
from .calls import AnswerHead, Call
from .endpoints import Endpoint
from .health import HealthBook
from .http1 import Connection
from .http_pool import Pool
from .send_errors import EndlessAnswerError, LostAnswerError, NotSentError
from .telemetry import Telemetry


class EndpointWire(Protocol):
    """Writes requests for endpoints and reads the heads of their answers."""

    def encode(
        self,
        call: Call,
        endpoint: Endpoint,
        body: bytes,
        *,
        remaining_s: float,
        last_event: str,
    ) -> bytes:
        """Return a whole request.

        Args:
            call: The caller's request.
            endpoint: The only endpoint that may run it.
            body: The body, with what the gateway put before the caller's.
            remaining_s: Time in which an answer is of use.
            last_event: Id of the event after which a stream goes on.
        """

    def answers(self, call: Call, headers: dict[str, str]) -> bool:
        """Return whether an answer belongs to a request; names are lower case."""

    def decode(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Return what an answer's head says."""


class Exchange:
    """One request under way at one endpoint.

    Attributes:
        endpoint: Where it runs.
        head: Head of the answer.
        is_whole: Whether the body came whole.
    """

    __slots__ = ("_connection", "_memory", "_message", "endpoint", "head", "is_whole")

    def __init__(
        self,
        endpoint: Endpoint,
        connection: Connection,
        message,
        head: AnswerHead,
        memory: AnswerMemory,
    ) -> None:
        self.endpoint = endpoint
        self.head = head
        self.is_whole = False
        self._connection = connection
        self._memory = memory
        self._message = message

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; ends normally only if it came whole.

        Raises:
            LostAnswerError: The body broke off.
        """
        async for piece in self._connection.body(self._message):
            yield piece
        self.is_whole = True

    async def body(self) -> bytes:
        """Return the whole body.

        Raises:
            LostAnswerError: The body broke off or is longer than an answer may be.
        """
        content = bytearray()
        self._memory.begin(self)
        try:
            async for piece in self.pieces():
                content += piece
                if reason := self._memory.hold(self, len(content)):
                    raise EndlessAnswerError(reason)
        finally:
            self._memory.end(self)
        return bytes(content)


class Sender:
    """Sends requests over kept connections.

    Args:
        wire: The protocol of the endpoints.
        pool: Connections.
        health: Told of loads and of what is under way.
        telemetry: Counts outcomes.
        on_leaving: Called with an endpoint whose answer says that it leaves.
    """

    __slots__ = (
        "_health",
        "_memory",
        "_on_leaving",
        "_pool",
        "_telemetry",
        "_wire",
    )

    def __init__(
        self,
        wire: EndpointWire,
        pool: Pool,
        health: HealthBook,
        telemetry: Telemetry,
        *,
        on_leaving: Callable[[Endpoint], None],
    ) -> None:
        self._on_leaving = on_leaving
        self._wire = wire
        self._pool = pool
        self._memory = AnswerMemory(pool.limits)
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
        last_event: str = "",
    ) -> AsyncIterator[Exchange]:
        """Send a request and wait for the head of its answer.

        Leaving the context before the body was read closes the connection, so that
        the endpoint stops its work.

        Args:
            endpoint: Where to send it.
            call: The caller's request.
            body: Its body.
            deadline: Loop time after which an answer is of no use.
            last_event: Id of the event after which a stream goes on.

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
            connection = await self._pool.take(
                endpoint.key, endpoint.host, endpoint.port
            )
            remaining_s = deadline - loop.time()
            connection.send(
                self._wire.encode(
                    call, endpoint, body, remaining_s=remaining_s, last_event=last_event
                )
            )
            message = await connection.head(
                lambda headers: self._wire.answers(call, headers)
            )
            head = self._wire.decode(message.status, message.raw_headers)
            self._health.note_load(endpoint.key, head.load, loop.time())
            if head.is_leaving:
                self._on_leaving(endpoint)
            exchange = Exchange(endpoint, connection, message, head, self._memory)
            outcome = "answered"
            yield exchange
            if exchange.is_whole:
                is_kept = connection.settle(message)
        except NotSentError:
            outcome = "not_sent"
            raise
        except LostAnswerError:
            outcome = "lost"
            # Other kept connections may have gone silent with this one.
            self._pool.drop(endpoint.key)
            raise
        finally:
            self._health.end(endpoint.key)
            self._telemetry.sends.labels(outcome).inc()
            if is_kept:
                self._pool.give_back(endpoint.key, connection)
            elif connection is not None:
                connection.close()
