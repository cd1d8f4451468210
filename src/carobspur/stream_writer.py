"""Writes a call's answer as server-sent events."""

from __future__ import annotations

from typing import Any

import msgspec
import tornado.web

from .documents import CallDocument
from .errors import CarobspurError
from .problem import problem_from
from .sse import Event, encode_event

MAX_EVENT_ID_DIGITS = 9


class StreamWriter:
    """Writes a call's answer as server-sent events.

    A reader that comes back names the last event it saw and gets what follows. Where
    the answer was generated anew since, a ``restart`` event says so first.
    """

    __slots__ = ("_generation", "_handler", "_next_index", "has_begun")

    def __init__(self, handler: tornado.web.RequestHandler) -> None:
        self._handler = handler
        self._generation, self._next_index = _last_seen_event(handler)
        self.has_begun = False

    def write_part(self, part: Any) -> None:
        """Write one piece of the answer."""
        if part.generation != self._generation:
            if self._generation:
                self._write(Event("restart", b"{}"))
            self._generation = part.generation
            self._next_index = 0
        if part.index >= self._next_index:
            data = msgspec.json.encode(part.text)
            event_id = f"{part.generation}-{part.index + 1}"
            self._write(Event("token", data, event_id))
            self._next_index = part.index + 1

    def finish(self, document: CallDocument) -> None:
        """Write the last event and end the stream."""
        self._write(Event("done", msgspec.json.encode(document)))
        self._handler.finish()

    def fail(self, error: CarobspurError) -> None:
        """Write an error as the last event and end the stream."""
        self._write(Event("problem", msgspec.json.encode(problem_from(error))))
        self._handler.finish()

    def _write(self, event: Event) -> None:
        if self._handler._finished:
            return
        if not self.has_begun:
            self.has_begun = True
            self._handler.set_header("Content-Type", "text/event-stream")
            self._handler.set_header("Cache-Control", "no-store")
        self._handler.write(encode_event(event))
        self._handler.flush()


def _last_seen_event(handler: tornado.web.RequestHandler) -> tuple[str, int]:
    """Return generation and number of the last event that a reader saw."""
    text = handler.request.headers.get("Last-Event-ID", "")
    generation, _, number = text.rpartition("-")
    is_number = number.isascii() and number.isdecimal()
    if is_number and len(number) <= MAX_EVENT_ID_DIGITS:
        return generation, int(number)
    return "", 0
