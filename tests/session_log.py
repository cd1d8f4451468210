"""Log of what callers, endpoints and the table observe, one JSON line per event."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from approvaltests import Options, verify
from approvaltests.reporters import PythonNativeReporter

from carobspur.http import HttpRequest, HttpResponse
from carobspur.journal import JOURNAL_PREFIX, decode_chunk
from carobspur.table import CommitRequest, CommitResult

from .builders import OBJECTS_URL, TABLE_URL, TOOL_URL
from .world import Reply

# Other requests to endpoints have no defined order, so they are not logged.
_LOGGED_PATHS = ("/v1/run", "/v1/generate")


class SessionLog:
    """Collects the events of a test for comparison with a golden file.

    Polling, lease renewals and load reports are left out: they do not belong to the
    tested program, and their number depends on settings.
    """

    def __init__(self) -> None:
        self._lines: list[str] = []

    @property
    def text(self) -> str:
        """All events, one JSON line each."""
        return "\n".join(self._lines) + "\n"

    def note(self, request: HttpRequest, response: HttpResponse | None) -> None:
        """Log a request that an instance sent, with its response if it had one."""
        if request.url == f"{TABLE_URL}/v1/commit":
            self._log_commit(request, response)
        elif not request.url.startswith((TABLE_URL, OBJECTS_URL)):
            self._log_endpoint(request, response)

    def event(self, who: str, **content: Any) -> None:
        """Log an event.

        Args:
            who: Where it was observed: ``caller``, ``endpoint``, ``tool`` or ``table``.
            content: Further fields of the line.
        """
        self._lines.append(json.dumps({"who": who, **content}, sort_keys=True))

    def reply(self, asked: str, reply: Reply) -> Reply:
        """Log the reply to a caller or operator, and return the reply.

        Args:
            asked: Description of the request.
            reply: The reply.
        """
        self.event(
            "caller", asked=asked, status=reply.status, got=_readable_body(reply)
        )
        return reply

    def verify(self) -> None:
        """Compare all events with the golden file of the running test."""
        verify(self.text, options=Options().with_reporter(PythonNativeReporter()))

    def _log_commit(self, request: HttpRequest, response: HttpResponse | None) -> None:
        commit = msgspec.json.decode(request.body, type=CommitRequest)
        effect = "no answer"
        if response is not None:
            result = msgspec.json.decode(response.body, type=CommitResult)
            effect = "refused" if result.failed else "committed"
        for write in commit.writes:
            if write.key.startswith(JOURNAL_PREFIX) and write.value is not None:
                for record in decode_chunk(write.value).records:
                    content = json.loads(msgspec.json.encode(record))
                    self.event("table", record=content, effect=effect)

    def _log_endpoint(
        self, request: HttpRequest, response: HttpResponse | None
    ) -> None:
        path = request.url.partition("://")[2].partition("/")[2]
        if not f"/{path}".startswith(_LOGGED_PATHS):
            return
        kind = "tool" if request.url.startswith(TOOL_URL) else "endpoint"
        self.event(
            kind,
            asked=f"{request.method} {request.url}",
            call=request.headers.get("Idempotency-Key", ""),
            sent=json.loads(request.body) if request.body else None,
            status=None if response is None else response.status,
        )


def _readable_body(reply: Reply) -> Any:
    if reply.headers.get("Content-Type") == "text/event-stream":
        return [[event.name, json.loads(event.data)] for event in reply.events]
    return reply.json
