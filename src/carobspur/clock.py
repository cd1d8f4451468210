"""Source of time for the whole package, so that tests can replace it."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time. All values are in seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back; only differences are meaningful."""

    def wall(self) -> float:
        """Return the Unix time, for budget windows, program deadlines and logs only."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""


class LoopClock:
    """Clock of the running event loop; virtual if the loop's time is virtual.

    Args:
        wall_start_s: Unix time at which the clock starts; the system's by default.
    """

    __slots__ = ("_wall_offset_s",)

    def __init__(self, *, wall_start_s: float | None = None) -> None:
        loop_time = asyncio.get_event_loop().time()
        start = time.time() if wall_start_s is None else wall_start_s
        self._wall_offset_s = start - loop_time

    def monotonic(self) -> float:
        """Return the loop's time."""
        return asyncio.get_event_loop().time()

    def wall(self) -> float:
        """Return the loop's time, shifted to Unix time."""
        return self.monotonic() + self._wall_offset_s

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time of the loop."""
        await asyncio.sleep(seconds)
