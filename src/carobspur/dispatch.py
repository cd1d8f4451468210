"""Waiting calls and the endpoints they are sent to.

Calls wait here and not in the engines. A waiting call's place in the queue never
changes: its key is fixed when it arrives, and later arrivals get larger keys, so
every call comes to the front in time.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from operator import attrgetter

from .clock import Clock
from .errors import OverloadedError
from .metrics import WAITING
from .pool import EndpointState
from .routing import QueueOrder, RouteRequest, RoutingPolicy, Send, WaitFor, run_seconds

RANK_HEAD_START_S = 10.0
MIN_RETRY_AFTER_S = 1.0
MAX_SCANNED_CALLS = 128
SERVICE_SMOOTHING = 0.05
INITIAL_SERVICE_S = 0.5

_KEY = attrgetter("key")


@dataclass(frozen=True, slots=True)
class Urgency:
    """What decides a call's place in the queue.

    Attributes:
        organisation: Whose call it is.
        rank: Rank of its class; lower ranks go first.
        program_age_s: Time since its program's start.
        max_wait_s: Longest predicted wait at which the call is taken; ``None`` for
            any wait.
    """

    organisation: str
    rank: int = 0
    program_age_s: float = 0.0
    max_wait_s: float | None = None


@dataclass(slots=True, eq=False)
class _QueuedCall:
    """A call that waits for an endpoint."""

    request: RouteRequest
    endpoints: Sequence[EndpointState]
    organisation: str
    key: tuple[float, int]
    chosen: asyncio.Future[EndpointState]
    awaited_endpoint: EndpointState | None = None

    def set_awaited_endpoint(self, endpoint: EndpointState | None) -> None:
        """Note the endpoint that the call waits for."""
        if self.awaited_endpoint is endpoint:
            return
        if self.awaited_endpoint is not None:
            self.awaited_endpoint.awaiting_calls -= 1
        if endpoint is not None:
            endpoint.awaiting_calls += 1
        self.awaited_endpoint = endpoint


@dataclass(slots=True, eq=False)
class _Queue:
    """Calls that the same endpoints serve, the most urgent first."""

    endpoints: Sequence[EndpointState] = ()
    calls: list[_QueuedCall] = field(default_factory=list)

    def add(self, queued_call: _QueuedCall) -> None:
        """Take a call."""
        if len(queued_call.endpoints) >= len(self.endpoints):
            self.endpoints = queued_call.endpoints
        insort(self.calls, queued_call, key=_KEY)

    def remove(self, queued_call: _QueuedCall) -> bool:
        """Drop a call; return whether it was here."""
        index = bisect_left(self.calls, queued_call.key, key=_KEY)
        is_here = index < len(self.calls) and self.calls[index] is queued_call
        if is_here:
            del self.calls[index]
        return is_here

    def free_slots(self, now_s: float) -> int:
        """Return how many calls could be sent now."""
        return sum(
            item.window - item.in_flight
            for item in self.endpoints
            if item.can_accept(now_s)
        )


class Dispatcher:
    """Matches waiting calls with endpoints.

    Args:
        clock: Source of time.
        policy: Chooses the endpoint of a call.
        max_waiting: Most calls of one organisation that may wait.
    """

    __slots__ = (
        "_by_organisation",
        "_clock",
        "_max_waiting",
        "_number",
        "_policy",
        "_queues",
        "_service_s",
        "_waiting",
    )

    def __init__(
        self, *, clock: Clock, policy: RoutingPolicy, max_waiting: int
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._max_waiting = max_waiting
        self._queues: dict[tuple[str, str], _Queue] = {}
        self._by_organisation: Counter[str] = Counter()
        self._waiting = 0
        self._number = 0
        self._service_s = INITIAL_SERVICE_S

    def __repr__(self) -> str:
        return f"Dispatcher({self._waiting} waiting)"

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return self._waiting

    @asynccontextmanager
    async def slot(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        *,
        urgency: Urgency,
    ) -> AsyncIterator[EndpointState]:
        """Wait for an endpoint and occupy a place there.

        Args:
            request: The call.
            endpoints: Endpoints that serve it.
            urgency: What decides its place in the queue.

        Raises:
            OverloadedError: Too many calls of the organisation wait already, or the
                predicted wait is too long.
        """
        endpoint = await self._wait(request, endpoints, urgency)
        work_s = run_seconds(endpoint, request)
        endpoint.work_s += work_s
        started_s = self._clock.monotonic()
        try:
            yield endpoint
        finally:
            endpoint.in_flight -= 1
            endpoint.work_s = max(0.0, endpoint.work_s - work_s)
            elapsed_s = self._clock.monotonic() - started_s
            self._service_s += SERVICE_SMOOTHING * (elapsed_s - self._service_s)
            self.dispatch()

    def dispatch(self) -> None:
        """Give places to waiting calls, the most urgent first."""
        now_s = self._clock.monotonic()
        for key, queue in list(self._queues.items()):
            free = queue.free_slots(now_s)
            for endpoint in queue.endpoints:
                endpoint.calls_ahead = 0
            for queued_call in queue.calls[:MAX_SCANNED_CALLS]:
                if free <= 0:
                    break
                if self._try_send(queued_call, now_s):
                    free = queue.free_slots(now_s)
                    self._dequeue(queue, queued_call)
            if not queue.calls:
                del self._queues[key]

    def predicted_wait_s(
        self, endpoints: Sequence[EndpointState], calls_ahead: int
    ) -> float:
        """Return how long a call would wait behind others.

        Args:
            endpoints: Endpoints that serve it.
            calls_ahead: Calls that wait before it.
        """
        total_window = sum(item.window for item in endpoints if not item.is_draining)
        return self._service_s * calls_ahead / max(1, total_window)

    def _try_send(self, queued_call: _QueuedCall, now_s: float) -> bool:
        """Send a call where the policy says; return whether it waits no more."""
        if queued_call.chosen.done():
            return True
        match self._policy.choose(queued_call.request, queued_call.endpoints, now_s):
            case Send(endpoint):
                queued_call.set_awaited_endpoint(None)
                endpoint.in_flight += 1
                endpoint.breaker.on_send()
                queued_call.chosen.set_result(endpoint)
                return True
            case WaitFor(endpoint):
                queued_call.set_awaited_endpoint(endpoint)
                if endpoint is not None:
                    endpoint.calls_ahead += 1
        return False

    async def _wait(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        urgency: Urgency,
    ) -> EndpointState:
        key = self._key(urgency)
        queue_key = (request.model, min(item.address for item in endpoints))
        queue = self._queues.get(queue_key, _Queue())
        self._reject_if_overloaded(queue, endpoints, urgency, key)
        chosen = asyncio.get_event_loop().create_future()
        queued_call = _QueuedCall(request, endpoints, urgency.organisation, key, chosen)
        for endpoint in endpoints:
            endpoint.calls_ahead = endpoint.awaiting_calls
        if self._try_send(queued_call, self._clock.monotonic()):
            return chosen.result()
        self._queues[queue_key] = queue
        queue.add(queued_call)
        self._count(urgency.organisation, 1)
        try:
            return await chosen
        except asyncio.CancelledError:
            self._on_cancelled(queue, queued_call)
            raise

    def _key(self, urgency: Urgency) -> tuple[float, int]:
        """Return a call's place: arrival, moved by class and by its program."""
        self._number += 1
        now_s = self._clock.monotonic()
        match self._policy.order:
            case QueueOrder.ARRIVAL:
                return (now_s, self._number)
            case QueueOrder.PROGRAM:
                head_start_s = RANK_HEAD_START_S * urgency.rank
                return (now_s + head_start_s - urgency.program_age_s, self._number)

    def _reject_if_overloaded(
        self,
        queue: _Queue,
        endpoints: Sequence[EndpointState],
        urgency: Urgency,
        key: tuple[float, int],
    ) -> None:
        queued = self._by_organisation[urgency.organisation]
        calls_ahead = bisect_left(queue.calls, key, key=_KEY)
        wait_s = self.predicted_wait_s(endpoints, calls_ahead)
        max_wait_s = urgency.max_wait_s
        if queued >= self._max_waiting:
            reason = f"{queued} calls of {urgency.organisation} wait already"
        elif max_wait_s is not None and wait_s > max_wait_s:
            reason = f"the predicted wait of {wait_s:.1f} s is over {max_wait_s:.1f} s"
        else:
            return
        excess_s = wait_s if max_wait_s is None else wait_s - max_wait_s
        raise OverloadedError(reason, retry_after_s=max(MIN_RETRY_AFTER_S, excess_s))

    def _dequeue(self, queue: _Queue, queued_call: _QueuedCall) -> None:
        queued_call.set_awaited_endpoint(None)
        if queue.remove(queued_call):
            self._count(queued_call.organisation, -1)

    def _count(self, organisation: str, change: int) -> None:
        self._by_organisation[organisation] += change
        if not self._by_organisation[organisation]:
            del self._by_organisation[organisation]
        self._waiting += change
        WAITING.set(self._waiting)

    def _on_cancelled(self, queue: _Queue, queued_call: _QueuedCall) -> None:
        if queued_call.chosen.done() and not queued_call.chosen.cancelled():
            queued_call.chosen.result().in_flight -= 1
            self.dispatch()
        else:
            self._dequeue(queue, queued_call)
