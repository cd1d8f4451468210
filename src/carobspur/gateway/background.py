"""Work that a gateway does beside requests, for as long as it runs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager

from .decisions import DecisionLog

RESTART_S = 0.5
"""Pause before work that failed begins again: soon enough for feeds, whose changes
must be in force after 2 s, and no busy loop."""

Work = Callable[[], Coroutine[None, None, None]]


@asynccontextmanager
async def background(*works: Work, log: DecisionLog) -> AsyncIterator[None]:
    """Run works side by side until the context ends.

    A work that returns is done. One that fails by an error that nobody foresaw begins
    again: a gateway without its feeds or heartbeats would serve from old beliefs.

    Args:
        works: Each is called for a coroutine whenever it begins.
        log: Decision log.
    """
    tasks = [asyncio.ensure_future(_keep_running(work, log)) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _keep_running(work: Work, log: DecisionLog) -> None:
    while True:
        try:
            await work()
        except Exception as error:
            name = getattr(work, "__qualname__", repr(work))
            log.note("background_failed", work=name, reason=repr(error))
            await asyncio.sleep(RESTART_S)
        else:
            return


def log_unseen_errors(loop: asyncio.AbstractEventLoop, log: DecisionLog) -> None:
    """Log errors of tasks and callbacks that nobody waits for."""

    def note(_: asyncio.AbstractEventLoop, details: dict[str, object]) -> None:
        log.note(
            "unseen_error",
            what=str(details.get("message", "")),
            reason=repr(details.get("exception", "")),
        )

    loop.set_exception_handler(note)
