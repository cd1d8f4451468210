"""Server-sent events: writing them to callers, reading them from engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream.

    Attributes:
        name: Type of the event.
        data: Its content; no line breaks.
        id: Its id, by which a reader can resume; empty for none.
    """

    name: str
    data: bytes
    id: str = ""


def encode_event(event: Event) -> bytes:
    """Return an event as it stands on the wire."""
    lines = [b"event: " + event.name.encode()]
    if event.id:
        lines.append(b"id: " + event.id.encode())
    lines.append(b"data: " + event.data)
    return b"\n".join(lines) + b"\n\n"


class EventParser:
    """Reads events from pieces of a stream, however it was cut."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take a piece of the stream and return the events that it completed."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [_parse(block) for block in blocks if block.strip()]


def _parse(block: bytes) -> Event:
    name, ident = "message", ""
    data: list[bytes] = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        match field:
            case b"event":
                name = value.decode()
            case b"id":
                ident = value.decode()
            case b"data":
                data.append(value)
    return Event(name, b"\n".join(data), ident)
