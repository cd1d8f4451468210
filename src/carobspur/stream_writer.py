"""Streams a call's answer to its caller as server-sent events."""

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
    """Streams one call's answer to its caller.

    A caller that reconnects sends the id of the last event it saw and gets the events
    after it. If the answer was generated anew in between, a ``restart`` event comes
    first and the answer is sent from its beginning.

    Args:
        handler: Handler of the caller's request.

    Attributes:
        has_begun: Whether headers were sent, so that no status can be set any more.
    """

    __slots__ = ("_generation", "_handler", "_next_index", "has_begun")

    def __init__(self, handler: tornado.web.RequestHandler) -> None:
        self._handler = handler
        self._generation, self._next_index = _last_seen_event(handler)
        self.has_begun = False

    def write_part(self, part: Any) -> None:
        """Write one part of the answer, unless the caller has it already."""
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
        """Write the final result as the event ``done`` and end the stream."""
        self._write(Event("done", msgspec.json.encode(document)))
        self._handler.finish()

    def fail(self, error: CarobspurError) -> None:
        """Write an error as the event ``problem`` and end the stream."""
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
    """Return generation and number from the request's ``Last-Event-ID``.

    Invalid and missing ids count as the beginning of the answer.
    """
    text = handler.request.headers.get("Last-Event-ID", "")
    generation, _, number = text.rpartition("-")
    is_number = number.isascii() and number.isdecimal()
    if is_number and len(number) <= MAX_EVENT_ID_DIGITS:
        return generation, int(number)
    return "", 0
