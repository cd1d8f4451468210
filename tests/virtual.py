"""Virtual time: an event loop that jumps to its next timer when nothing is ready."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

START_S = 1000.0
WALL_START_S = 1_800_000_000.0

Result = TypeVar("Result")


class _TimeSkippingSelector(selectors.SelectSelector):
    """Never waits: tells the loop how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the test waits for ever")
        self.now_s += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only when nothing else is to do."""

    def __init__(self) -> None:
        self._selector_with_time = _TimeSkippingSelector()
        super().__init__(self._selector_with_time)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector_with_time.now_s


def run_virtual(scenario: Callable[[], Awaitable[Result]], *, seed: int = 1) -> Result:
    """Run a coroutine function under virtual time, seeded."""
    random.seed(seed)
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario())
    finally:
        _cancel_remaining_tasks(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_remaining_tasks(loop: VirtualLoop) -> None:
    # A cancellation is lost where it meets the end of a ``wait_for``: ask again.
    while rest := asyncio.all_tasks(loop):
        for task in rest:
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
