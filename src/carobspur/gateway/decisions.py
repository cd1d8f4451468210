"""The decision log: one JSON line for each decision, bounded and non-blocking."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from pythonjsonlogger.json import JsonFormatter

MAX_LINES_PER_SECOND = 60
"""Most lines of one kind of event in a second. Others are dropped; the first event of a
later second logs how many."""
MAX_BUFFERED_LINES = 2000
"""Lines that are buffered while nobody reads standard output; about 600 KB."""
LOG_FIELDS = "%(created)f %(message)s"


class NonblockingHandler(logging.Handler):
    """Writes log lines to a file descriptor without ever blocking.

    Lines that the descriptor does not accept wait in a buffer, which the event loop
    writes out; once it is full, new lines are dropped.

    Args:
        descriptor: File descriptor; it is made non-blocking.

    Attributes:
        dropped: Number of lines dropped because the buffer was full.
        on_drop: Called for each dropped line.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._is_waiting = False
        self.dropped = 0
        self.on_drop: Callable[[], None] = lambda: None

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            self.on_drop()
            return
        self._lines.append(self.format(record).encode() + b"\n")
        if not self._is_waiting:
            self.drain()

    def drain(self) -> None:
        """Write buffered lines as far as the descriptor accepts them."""
        try:
            while self._unwritten or self._lines:
                data = self._unwritten or self._lines.popleft()
                self._unwritten = data
                written = os.write(self._descriptor, data)
                self._unwritten = data[written:]
        except BlockingIOError:
            self._wait()
            return
        except OSError:
            # The reader has gone for good, so the buffered lines are discarded.
            self._lines.clear()
            self._unwritten = b""
        self._stop_waiting()

    def _wait(self) -> None:
        if self._is_waiting:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self.drain)
            self._is_waiting = True
        except (RuntimeError, OSError):
            # No running loop, or a descriptor that cannot be polled: the next line
            # tries again to write the buffer.
            return

    def _stop_waiting(self) -> None:
        if self._is_waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_waiting = False


class DecisionLog:
    """Logs decisions with their inputs, with a limit of lines for each kind of event.

    Args:
        logger: Logger that writes the lines.
    """

    __slots__ = ("_counts", "_dropped", "_logger", "_second")

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    @classmethod
    def to_stdout(cls, *, instance: str, on_drop: Callable[[], None]) -> DecisionLog:
        """Return a log that writes JSON lines to standard output.

        Args:
            instance: Name of the instance; a field of every line.
            on_drop: Called for each line dropped because nobody reads the output.
        """
        handler = NonblockingHandler(1)
        handler.on_drop = on_drop
        handler.setFormatter(
            JsonFormatter(
                LOG_FIELDS,
                rename_fields={"created": "time", "message": "event"},
                static_fields={"instance": instance},
            )
        )
        root = logging.getLogger()
        root.handlers[:] = [handler]
        root.setLevel(logging.WARNING)
        logger = logging.getLogger("carobspur.decisions")
        logger.setLevel(logging.INFO)
        return cls(logger)

    def record(self, event: str, /, **fields: object) -> None:
        """Log one decision.

        Args:
            event: Kind of decision, such as ``sent``.
            **fields: Request id, inputs with their age or version, outcome.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._report_dropped()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count > MAX_LINES_PER_SECOND:
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self._logger.info(event, extra=fields)

    def record_unhandled_error(
        self, loop: asyncio.AbstractEventLoop, details: dict[str, Any]
    ) -> None:
        """Log an exception of a task or callback that nothing awaits.

        Args:
            loop: Event loop whose exception handler this is.
            details: Context that the loop passes to its exception handler.
        """
        self.record(
            "unseen_error",
            what=str(details.get("message", "")),
            reason=repr(details.get("exception", "")),
        )

    def _report_dropped(self) -> None:
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            self._logger.info("lines_dropped", extra={"by_event": dropped})
