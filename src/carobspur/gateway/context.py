"""What the handling of every request needs."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field

from .answer_limits import DEFAULT_LIMITS, AnswerLimits
from .decisions import DecisionLog
from .endpoint_client import EndpointClient
from .endpoints import EndpointIndex
from .health import HealthTracker
from .placement import PlacementPolicy
from .routes import Configuration
from .telemetry import Telemetry


@dataclass(slots=True)
class GatewayContext:
    """Shared parts of one gateway.

    Attributes:
        data_centre: Where it stands.
        endpoint_client: Sends requests.
        endpoints: What may be used.
        health: What own requests told of endpoints.
        placement: Chooses the endpoint of each request.
        log: Decision log.
        telemetry: Metrics.
        configuration: What is in force; ``None`` until one was read.
        answer_limits: What endpoints' answers may have.
        is_stopping: Whether the process was asked to stop.
    """

    data_centre: str
    endpoint_client: EndpointClient
    endpoints: EndpointIndex
    health: HealthTracker
    placement: PlacementPolicy
    log: DecisionLog
    telemetry: Telemetry
    configuration: Configuration | None = None
    answer_limits: AnswerLimits = DEFAULT_LIMITS
    is_stopping: bool = False
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task:
        """Run a coroutine beside the request that asks for it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_for_tasks(self, timeout_s: float) -> None:
        """Wait for what was spawned, at most so long."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
