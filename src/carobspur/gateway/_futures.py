"""Futures whose errors are handled elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


def consume_error(future: asyncio.Future) -> None:
    """Mark the exception of a future as retrieved.

    As a done callback it prevents asyncio's warning about exceptions that were never
    retrieved, where the failure is reported in another way.
    """
    if not future.cancelled():
        future.exception()


@contextmanager
def cancelled_at_exit() -> Iterator[set[asyncio.Task]]:
    """Yield a set; tasks that the block adds to it are cancelled when it ends."""
    tasks: set[asyncio.Task] = set()
    try:
        yield tasks
    finally:
        for task in tasks:
            task.add_done_callback(consume_error)
            task.cancel()
