"""Server-sent events: encoding them for callers, parsing those of engines."""

from __future__ import annotations

from dataclasses import dataclass

from .errors import EndpointTimeoutError
from .verdict import MAY_HAVE_RUN

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event; the last event of a model call holds the whole answer."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream.

    Attributes:
        name: Event type.
        data: Content without line breaks.
        id: Id from which a reader can resume, or empty.
    """

    name: str
    data: bytes
    id: str = ""


def encode_event(event: Event) -> bytes:
    """Return an event in its wire format."""
    lines = [b"event: " + event.name.encode()]
    if event.id:
        lines.append(b"id: " + event.id.encode())
    lines.append(b"data: " + event.data)
    return b"\n".join(lines) + b"\n\n"


class EventParser:
    """Incremental parser of a stream; an event may be split between chunks.

    Args:
        max_bytes: Largest accepted event.
    """

    __slots__ = ("_max_bytes", "_incomplete")

    def __init__(self, *, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Event]:
        """Parse the next chunk and return the events that it completes.

        Raises:
            EndpointTimeoutError: An unfinished event is over the size limit.
        """
        *blocks, self._incomplete = (self._incomplete + data).split(b"\n\n")
        if len(self._incomplete) > self._max_bytes:
            raise EndpointTimeoutError(
                f"an event has over {self._max_bytes} bytes", verdict=MAY_HAVE_RUN
            )
        return [_parse(block) for block in blocks if block.strip()]


def _parse(block: bytes) -> Event:
    name, event_id = "message", ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        match field:
            case b"event":
                name = value.decode()
            case b"id":
                event_id = value.decode()
            case b"data":
                data.append(value)
    return Event(name, b"\n".join(data), event_id)
