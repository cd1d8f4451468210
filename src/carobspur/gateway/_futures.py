"""Futures whose errors are handled elsewhere."""

from __future__ import annotations

import asyncio


def consume_error(future: asyncio.Future) -> None:
    """Mark the exception of a future as retrieved.

    As a done callback it prevents asyncio's warning about exceptions that were never
    retrieved, where the failure is reported in another way.
    """
    if not future.cancelled():
        future.exception()
