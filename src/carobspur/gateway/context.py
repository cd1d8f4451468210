"""Components that the handling of every request needs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field

from .answer_limits import DEFAULT_LIMITS, AnswerLimits
from .calls import Call
from .decisions import DecisionLog
from .endpoint_client import EndpointClient
from .endpoint_limits.gate import EndpointLimitGate
from .endpoints import EndpointIndex
from .health import HealthTracker
from .placement import PlacementPolicy
from .quarantine.crash_watch import CrashWatch
from .quarantine.gate import QuarantineGate
from .routes import Configuration
from .telemetry import Telemetry

TurnObserver = Callable[[Call, str, float, float, int], None]
"""Takes a turn's request, the service that generated it, the time to its first event,
the mean time between two events, and the number of events."""


@dataclass(slots=True)
class GatewayContext:
    """Components of one gateway that all requests share.

    Attributes:
        data_centre: Data centre of the gateway.
        endpoint_client: Sends requests to endpoints.
        endpoints: Registered endpoints.
        health: Load, speed and failures of endpoints.
        limits: Rate limits that endpoints name.
        quarantine: Refuses requests that crash endpoints.
        crash_watch: Finds out which requests endpoints had when they crashed.
        placement: Chooses the endpoint of each request.
        log: Decision log.
        telemetry: Metrics.
        configuration: Configuration in force; ``None`` until the first is loaded.
        observe_turn: Told the times of each turn that has ended; ``None`` for nobody.
        answer_limits: Size limits of endpoints' answers.
        hold_bytes: Returns a context during which a number of bytes counts towards the
            bound on buffered bytes. Entering it raises ``OutOfMemoryError`` if there is
            no room for them.
        is_stopping: Whether the process has received a request to stop.
    """

    data_centre: str
    endpoint_client: EndpointClient
    endpoints: EndpointIndex
    health: HealthTracker
    limits: EndpointLimitGate
    quarantine: QuarantineGate
    crash_watch: CrashWatch
    placement: PlacementPolicy
    log: DecisionLog
    telemetry: Telemetry
    configuration: Configuration | None = None
    observe_turn: TurnObserver | None = None
    answer_limits: AnswerLimits = DEFAULT_LIMITS
    hold_bytes: Callable[[int], AbstractContextManager] = nullcontext
    is_stopping: bool = False
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task:
        """Run a coroutine in the background; it may outlive the request."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_for_tasks(self, timeout_s: float) -> None:
        """Wait until all spawned tasks have ended, for at most ``timeout_s``."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
