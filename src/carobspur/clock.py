"""Time as the rest of the package sees it, so that tests can replace it."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time. All values are seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back; only differences mean anything."""

    def wall(self) -> float:
        """Return seconds since 1970, for budget windows and logs only."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""


class LoopClock:
    """Clock of the running event loop; virtual where the loop's time is virtual."""

    __slots__ = ("_wall_offset_s",)

    def __init__(self, *, wall_start_s: float | None = None) -> None:
        loop_time = asyncio.get_event_loop().time()
        start = time.time() if wall_start_s is None else wall_start_s
        self._wall_offset_s = start - loop_time

    def monotonic(self) -> float:
        """Return the loop's time."""
        return asyncio.get_event_loop().time()

    def wall(self) -> float:
        """Return the loop's time moved to seconds since 1970."""
        return self.monotonic() + self._wall_offset_s

    async def sleep(self, seconds: float) -> None:
        """Wait on the loop."""
        await asyncio.sleep(seconds)
