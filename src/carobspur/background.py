"""Background jobs of a process, restarted after unexpected errors."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

RESTART_S = 0.5
"""Pause before a failed job starts again.

Short enough for feeds, whose changes must be in force after 2 s, and long enough not to
be a busy loop.
"""

BackgroundJob = Callable[[], Coroutine[Any, Any, None]]
"""Returns the coroutine of a job; called at each start of the job."""

ErrorLogger = Callable[[str, Exception], None]
"""Called with the name of a job and the error that ended it."""

_logger = logging.getLogger(__name__)


def log_job_error(job: str, error: Exception) -> None:
    """Log the error that ended a job with the standard library's logging."""
    _logger.error("background job %s failed; restarting it", job, exc_info=error)


@asynccontextmanager
async def background(
    *jobs: BackgroundJob, on_error: ErrorLogger = log_job_error
) -> AsyncIterator[None]:
    """Run jobs concurrently until the context ends, then cancel them.

    A job that returns is done. One that fails with any exception is restarted, since
    a process without its feeds or heartbeats would serve from stale state.

    Args:
        jobs: Functions that return the coroutines to run.
        on_error: Logs the errors that end jobs.
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
