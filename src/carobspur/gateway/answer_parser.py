"""Parses answers as their bytes come, within bounds, by ``httptools``."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from .answer_limits import AnswerLimits
from .send_errors import EndlessAnswerError


@dataclass(slots=True)
class Message:
    """One answer as it is parsed.

    Attributes:
        status: HTTP status.
        headers: Fields by name in lower case.
        raw_headers: Fields as they came, in order, trailers included.
        chunks: Pieces of the body that nobody has taken yet.
        has_head: Whether the head came whole.
        is_complete: Whether the answer came whole.
        keeps_alive: Whether the connection may carry another request.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    raw_headers: list[tuple[str, str]] = field(default_factory=list)
    chunks: deque[bytes] = field(default_factory=deque)
    has_head: bool = False
    is_complete: bool = False
    keeps_alive: bool = False

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return (
            "content-length" not in self.headers
            and "transfer-encoding" not in self.headers
        )


class AnswerParser:
    """Collects messages from bytes; callbacks are named by ``httptools``.

    Args:
        limits: What a message may have.
    """

    __slots__ = ("_has_advanced", "_limits", "_parser", "_pending_bytes", "messages")

    def __init__(self, limits: AnswerLimits) -> None:
        self.messages: deque[Message] = deque()
        self._parser = httptools.HttpResponseParser(self)
        self._limits = limits
        # Bytes fed since the parser last came to the end of anything. It keeps an
        # unfinished field itself, and takes longer over it with every piece.
        self._pending_bytes = 0
        self._has_advanced = False

    def feed(self, data: bytes) -> None:
        """Parse a piece.

        Raises:
            EndlessAnswerError: A head or trailer is larger than it may be.
            HttpParserError: This is not HTTP.
        """
        self._has_advanced = False
        self._parser.feed_data(data)
        most = self._limits
        if self.messages and len(self.messages[-1].raw_headers) > most.head_fields:
            raise EndlessAnswerError(f"a head has over {most.head_fields} fields")
        self._pending_bytes += len(data)
        if self._has_advanced:
            self._pending_bytes = 0
        if self._pending_bytes > most.head_bytes:
            raise EndlessAnswerError(
                f"a head or trailer has over {most.head_bytes} bytes"
            )

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._has_advanced = True
        self.messages.append(Message())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field of a head or of trailers."""
        message = self.messages[-1]
        text = value.decode("latin-1")
        message.raw_headers.append((name.decode("latin-1"), text))
        message.headers[name.decode("latin-1").lower()] = text

    def on_headers_complete(self) -> None:
        """Take the end of a head."""
        self._has_advanced = True
        message = self.messages[-1]
        message.status = self._parser.get_status_code()
        message.keeps_alive = self._parser.should_keep_alive()
        message.has_head = True

    def on_body(self, data: bytes) -> None:
        """Take a piece of a body."""
        self._has_advanced = True
        self.messages[-1].chunks.append(data)

    def on_message_complete(self) -> None:
        """End an answer."""
        self._has_advanced = True
        self.messages[-1].is_complete = True
