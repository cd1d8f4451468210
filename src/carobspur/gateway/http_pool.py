"""Pool of HTTP connections, and simple requests to peer gateways and the row store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .answer_limits import DEFAULT_LIMITS, AnswerLimits
from .host_port import split_address
from .http1 import CONNECT_TIMEOUT_S, Connection
from .send_errors import EndlessAnswerError, LostAnswerError


class ConnectionPool:
    """Pool of idle connections, by a key such as that of an endpoint.

    The most recently used connection of a key is reused first.

    Args:
        on_open: Called with the key before each new connection is opened.
        limits: Size limits of answers.
    """

    __slots__ = ("_idle", "_on_open", "limits")

    def __init__(
        self,
        *,
        on_open: Callable[[str], None] = lambda _: None,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._idle: dict[str, list[Connection]] = {}
        self._on_open = on_open
        self.limits = limits

    async def acquire(
        self, key: str, host: str, port: int, *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection:
        """Return an idle connection or open one.

        Args:
            key: Identifies the server, for example an endpoint's key or an address.
            host: Host to connect to.
            port: TCP port.
            timeout_s: Longest time for opening a connection.

        Raises:
            NotSentError: No connection could be opened within ``timeout_s``.
        """
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        self._on_open(key)
        return await Connection.open(
            host, port, timeout_s=timeout_s, limits=self.limits
        )

    async def probe(self, key: str, host: str, port: int) -> None:
        """Open a new connection, to find out whether anybody listens, and keep it.

        Takes the arguments of :meth:`acquire`.

        Raises:
            RefusedConnectionError: Nobody listens at the address.
            NotSentError: No connection could be opened in time.
        """
        self._on_open(key)
        connection = await Connection.open(
            host, port, timeout_s=CONNECT_TIMEOUT_S, limits=self.limits
        )
        connection.mark_idle()
        self.release(key, connection)

    def release(self, key: str, connection: Connection) -> None:
        """Keep a connection for reuse, once its answer has been read to its end."""
        self._idle.setdefault(key, []).append(connection)

    def close_idle(self, key: str) -> None:
        """Close the idle connections of a key."""
        for connection in self._idle.pop(key, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            self.close_idle(key)


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of a request; adds ``Content-Length`` to the header fields."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass(frozen=True, slots=True)
class SimpleAnswer:
    """A complete answer of a peer gateway or the row store.

    Attributes:
        status: HTTP status.
        headers: Header fields by name in lower case.
        body: The complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


async def fetch(
    pool: ConnectionPool,
    address: str,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
    timeout_s: float,
) -> SimpleAnswer:
    """Send one request and return its complete answer.

    Args:
        pool: Connections, by address.
        address: ``HOST:PORT`` of the server.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        headers: Header fields besides ``Host`` and ``Content-Length``.
        timeout_s: Longest time from sending to the end of the answer.

    Raises:
        NotSentError: No byte of the request was sent.
        LostAnswerError: No complete answer came within ``timeout_s``.
    """
    host, port = split_address(address)
    fields = [("Host", address), *(headers or [])]
    data = encode_request(method, target, fields, body)
    connection = await pool.acquire(address, host, port)
    is_reusable = False
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(data)
            message = await connection.head(lambda _: True)
            content = bytearray()
            async for piece in connection.body(message):
                content += piece
                if len(content) > pool.limits.answer_bytes:
                    raise EndlessAnswerError(
                        f"the answer has over {pool.limits.answer_bytes} bytes"
                    )
        is_reusable = connection.finish_request(message)
    except TimeoutError as error:
        raise LostAnswerError(f"no answer in {timeout_s:.2f} s") from error
    finally:
        if is_reusable:
            pool.release(address, connection)
        else:
            connection.close()
    return SimpleAnswer(message.status, message.headers, bytes(content))
