"""Futures whose errors are told elsewhere."""

from __future__ import annotations

import asyncio


def consume_error(future: asyncio.Future) -> None:
    """Mark the error of a future as seen; whoever awaits its work is told of it."""
    if not future.cancelled():
        future.exception()
