"""Work that a process does beside requests, for as long as it runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

RESTART_S = 0.5
"""Pause before work that failed begins again: soon enough for feeds, whose changes
must be in force after 2 s, and no busy loop."""

BackgroundJob = Callable[[], Coroutine[Any, Any, None]]

ErrorLogger = Callable[[str, Exception], None]
"""Logs the error that ended a work, whose name comes first."""

_logger = logging.getLogger(__name__)


def log_job_error(job: str, error: Exception) -> None:
    """Log the error that ended a work by the standard library's logging."""
    _logger.error("%s failed and begins again", job, exc_info=error)


@asynccontextmanager
async def background(
    *jobs: BackgroundJob, on_error: ErrorLogger = log_job_error
) -> AsyncIterator[None]:
    """Run works side by side until the context ends.

    A work that returns is done. One that fails by an error that nobody foresaw begins
    again: a process without its feeds or heartbeats would serve from old beliefs.

    Args:
        jobs: Each is called for a coroutine whenever it begins.
        on_error: Logs the errors.
    """
    tasks = [asyncio.ensure_future(_run_with_restarts(job, on_error)) for job in jobs]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_with_restarts(job: BackgroundJob, on_error: ErrorLogger) -> None:
    while True:
        try:
            await job()
        except Exception as error:
            on_error(getattr(job, "__qualname__", repr(job)), error)
            await asyncio.sleep(RESTART_S)
        else:
            return
