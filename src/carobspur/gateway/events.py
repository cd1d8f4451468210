"""Splits an engine's stream into events that can be passed on unchanged."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .answer_limits import DEFAULT_LIMITS
from .send_errors import LostAnswerError

_EVENT_END = b"\n\n"


def event_number(ident: str) -> int | None:
    """Return an event's id as a number, where it is one."""
    return int(ident) if ident.isdigit() else None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event of a stream.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        id: Its id; empty for none.
        data: Its content, lines joined by line feeds.
    """

    raw: bytes
    id: str
    data: bytes

    @property
    def number(self) -> int | None:
        """Its id as a number, where it is one."""
        return event_number(self.id)


class EventTooLongError(LostAnswerError):
    """An event does not end; the stream is not sound."""

    cause = "event_too_long"


class EventSplitter:
    """Collects bytes until an event is whole; looks at each byte once.

    Args:
        max_bytes: Most bytes of an event.
    """

    __slots__ = ("_buffer", "_max_bytes", "_searched")

    def __init__(self, *, max_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        # Bytes of the buffer in which no event ends.
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Take bytes and yield the events that they complete, each as it is asked for.

        Raises:
            EventTooLongError: An event has more bytes than it may.
        """
        self._buffer += data
        start = 0
        while (end := self._buffer.find(_EVENT_END, self._searched)) >= 0:
            yield _event(bytes(self._buffer[start:end]))
            start = self._searched = end + len(_EVENT_END)
        # The end itself may be cut.
        self._searched = max(start, len(self._buffer) - len(_EVENT_END) + 1) - start
        del self._buffer[:start]
        if len(self._buffer) > self._max_bytes:
            raise EventTooLongError(f"an event has over {self._max_bytes} bytes")


def _event(block: bytes) -> StreamEvent:
    ident = ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        match name:
            case b"id":
                ident = value.decode("latin-1")
            case b"data":
                data.append(value)
    return StreamEvent(block + b"\n\n", ident, b"\n".join(data))
