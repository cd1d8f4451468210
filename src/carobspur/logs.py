"""Logging set-up: one JSON object per line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(*, role: str, instance: str, level: str = "info") -> None:
    """Send all logs to standard error as JSON lines.

    Args:
        role: Role of the process, such as ``entry``; a field of every line.
        instance: Id of the instance; a field of every line.
        level: Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            LOG_FIELDS,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"role": role, "instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("tornado.access").setLevel(logging.WARNING)


def call_fields(
    *, organisation: str, program: str = "", call: int | str = ""
) -> dict[str, object]:
    """Return the ``extra`` of a log line about a call.

    Args:
        organisation: Name of the organisation.
        program: Id of the program, if any.
        call: Number of the call, if any.
    """
    return {"organisation": organisation, "program": program, "call": call}
