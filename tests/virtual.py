"""Virtual time: an event loop that skips to its next timer when nothing is ready.

Scenarios with long waits finish at once, and the load of the machine has no effect on
their timing.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

START_S = 1000.0
"""Loop time at the start."""
WALL_START_S = 1_800_000_000.0
"""Unix time at the start, for clocks that need one."""

Result = TypeVar("Result")


class _TimeSkippingSelector(selectors.SelectSelector):
    """Selector that advances the virtual time by each time-out instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("no timer is scheduled: the test would wait for ever")
        self.now_s += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when no task and no socket is ready."""

    def __init__(self) -> None:
        self._selector_with_time = _TimeSkippingSelector()
        super().__init__(self._selector_with_time)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector_with_time.now_s


def run_virtual(scenario: Callable[[], Awaitable[Result]], *, seed: int = 1) -> Result:
    """Run a scenario on a new loop under virtual time and return its result.

    Args:
        scenario: Coroutine function; tasks that it leaves are cancelled at the end.
        seed: Seed of the module ``random``.
    """
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
    # A cancellation that coincides with the end of a wait_for is lost, so it is
    # repeated until no task is left.
    while rest := asyncio.all_tasks(loop):
        for task in rest:
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
