"""Incremental HTTP answer parser with size limits, based on ``httptools``."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from .answer_limits import AnswerLimits
from .send_errors import EndlessAnswerError


@dataclass(slots=True)
class Message:
    """One answer while it is being parsed.

    Attributes:
        status: HTTP status.
        headers: Header fields by name in lower case.
        raw_headers: Header fields as received, in order, including trailers.
        chunks: Pieces of the body that have not been read yet.
        has_head: Whether the head is complete.
        is_complete: Whether the whole answer is complete.
        ended_with_connection: Whether only the close of the connection ended it.
        keeps_alive: Whether the connection may carry another request.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    raw_headers: list[tuple[str, str]] = field(default_factory=list)
    chunks: deque[bytes] = field(default_factory=deque)
    has_head: bool = False
    is_complete: bool = False
    ended_with_connection: bool = False
    keeps_alive: bool = False

    @property
    def is_close_delimited(self) -> bool:
        """Whether the body ends where the connection is closed."""
        return (
            "content-length" not in self.headers
            and "transfer-encoding" not in self.headers
        )


class AnswerParser:
    """Parses bytes into messages; ``httptools`` calls the ``on_...`` methods.

    Args:
        limits: Size limits of a message.

    Attributes:
        messages: Messages in order; the last one may be incomplete.
    """

    __slots__ = ("_has_progressed", "_limits", "_parser", "_pending_bytes", "messages")

    def __init__(self, limits: AnswerLimits) -> None:
        self.messages: deque[Message] = deque()
        self._parser = httptools.HttpResponseParser(self)
        self._limits = limits
        # Bytes fed since the parser last completed an element. It buffers unfinished
        # fields itself, and the cost of each further piece grows with their length.
        self._pending_bytes = 0
        self._has_progressed = False

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises:
            EndlessAnswerError: A head or trailer exceeds its limit.
            HttpParserError: The bytes are not valid HTTP.
        """
        self._has_progressed = False
        self._parser.feed_data(data)
        limits = self._limits
        if self.messages and len(self.messages[-1].raw_headers) > limits.head_fields:
            raise EndlessAnswerError(f"a head has over {limits.head_fields} fields")
        self._pending_bytes += len(data)
        if self._has_progressed:
            self._pending_bytes = 0
        if self._pending_bytes > limits.head_bytes:
            raise EndlessAnswerError(
                f"a head or trailer has over {limits.head_bytes} bytes"
            )

    def on_message_begin(self) -> None:
        """Add a message."""
        self._has_progressed = True
        self.messages.append(Message())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head or of the trailers."""
        message = self.messages[-1]
        text = value.decode("latin-1")
        message.raw_headers.append((name.decode("latin-1"), text))
        message.headers[name.decode("latin-1").lower()] = text

    def on_headers_complete(self) -> None:
        """Complete the head."""
        self._has_progressed = True
        message = self.messages[-1]
        message.status = self._parser.get_status_code()
        message.keeps_alive = self._parser.should_keep_alive()
        message.has_head = True

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        self._has_progressed = True
        self.messages[-1].chunks.append(data)

    def on_message_complete(self) -> None:
        """Complete the message."""
        self._has_progressed = True
        self.messages[-1].is_complete = True
