"""Splits an engine's stream into events that can be passed on unchanged."""

from __future__ import annotations

from dataclasses import dataclass


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


class EventSplitter:
    """Collects bytes until an event is whole."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they completed."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [_event(block) for block in blocks]


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
