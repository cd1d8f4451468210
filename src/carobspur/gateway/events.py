"""Splits a stream of server-sent events into events that are forwarded unchanged."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .answer_limits import DEFAULT_LIMITS
from .decimals import parse_decimal
from .send_errors import LostAnswerError

_EVENT_END = b"\n\n"


def event_number(event_id: str) -> int | None:
    """Return an event id as a number, or ``None`` if it is not one."""
    return parse_decimal(event_id)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of a stream.

    Attributes:
        raw: Bytes of the event, including the blank line that ends it.
        id: Event id; empty for none.
        data: Content of its ``data`` lines, joined by line feeds.
    """

    raw: bytes
    id: str
    data: bytes

    @property
    def number(self) -> int | None:
        """The id as a number, or ``None`` if it is not one."""
        return event_number(self.id)

    @property
    def is_comment(self) -> bool:
        """Whether the event is only a comment, which keeps the connection open."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)

    def follows(self, number: int) -> bool:
        """Return whether the event may come after the one with a number."""
        if self.number is None:
            return self.is_comment
        return self.number > number


class EventTooLongError(LostAnswerError):
    """An event exceeds the size limit; the stream is treated as faulty."""

    cause = "event_too_long"


class EventSplitter:
    """Buffers bytes until an event is complete; searches each byte only once.

    Args:
        max_bytes: Most bytes of an incomplete event.
    """

    __slots__ = ("_buffer", "_max_bytes", "_searched_bytes")

    def __init__(self, *, max_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        # Number of bytes at the start of the buffer that contain no end of an event.
        self._searched_bytes = 0

    @property
    def rest(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and yield the events that they complete.

        Events are parsed lazily, so the iterator must be read to its end before the
        next call.

        Raises:
            EventTooLongError: The incomplete event exceeds the size limit.
        """
        self._buffer += data
        start = 0
        while (end := self._buffer.find(_EVENT_END, self._searched_bytes)) >= 0:
            yield _parse_event(bytes(self._buffer[start:end]))
            start = self._searched_bytes = end + len(_EVENT_END)
        # The blank line may be split between two pieces.
        self._searched_bytes = (
            max(start, len(self._buffer) - len(_EVENT_END) + 1) - start
        )
        del self._buffer[:start]
        if len(self._buffer) > self._max_bytes:
            raise EventTooLongError(
                f"an event of the stream has over {self._max_bytes} bytes"
            )


def _parse_event(block: bytes) -> StreamEvent:
    event_id = ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        match name:
            case b"id":
                event_id = value.decode("latin-1")
            case b"data":
                data.append(value)
    return StreamEvent(block + b"\n\n", event_id, b"\n".join(data))
