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
MAX_SCANNED = 128
SERVICE_SMOOTHING = 0.05
FIRST_SERVICE_S = 0.5

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
class _Waiter:
    """A call that waits for an endpoint."""

    request: RouteRequest
    endpoints: Sequence[EndpointState]
    organisation: str
    key: tuple[float, int]
    chosen: asyncio.Future[EndpointState]
    wants: EndpointState | None = None

    def want(self, endpoint: EndpointState | None) -> None:
        """Note the endpoint that the call waits for."""
        if self.wants is endpoint:
            return
        if self.wants is not None:
            self.wants.wanted -= 1
        if endpoint is not None:
            endpoint.wanted += 1
        self.wants = endpoint


@dataclass(slots=True, eq=False)
class _Queue:
    """Calls that the same endpoints serve, the most urgent first."""

    endpoints: Sequence[EndpointState] = ()
    waiters: list[_Waiter] = field(default_factory=list)

    def add(self, waiter: _Waiter) -> None:
        """Take a call."""
        if len(waiter.endpoints) >= len(self.endpoints):
            self.endpoints = waiter.endpoints
        insort(self.waiters, waiter, key=_KEY)

    def remove(self, waiter: _Waiter) -> bool:
        """Drop a call; return whether it was here."""
        index = bisect_left(self.waiters, waiter.key, key=_KEY)
        is_here = index < len(self.waiters) and self.waiters[index] is waiter
        if is_here:
            del self.waiters[index]
        return is_here

    def free_places(self, now_s: float) -> int:
        """Return how many calls could be sent now."""
        return sum(
            item.window - item.in_flight
            for item in self.endpoints
            if item.may_take(now_s)
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
        self._service_s = FIRST_SERVICE_S

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
            taken_s = self._clock.monotonic() - started_s
            self._service_s += SERVICE_SMOOTHING * (taken_s - self._service_s)
            self.dispatch()

    def dispatch(self) -> None:
        """Give places to waiting calls, the most urgent first."""
        now_s = self._clock.monotonic()
        for key, queue in list(self._queues.items()):
            free = queue.free_places(now_s)
            for endpoint in queue.endpoints:
                endpoint.ahead = 0
            for waiter in queue.waiters[:MAX_SCANNED]:
                if free <= 0:
                    break
                if self._place(waiter, now_s):
                    free = queue.free_places(now_s)
                    self._forget(queue, waiter)
            if not queue.waiters:
                del self._queues[key]

    def predicted_wait_s(self, endpoints: Sequence[EndpointState], ahead: int) -> float:
        """Return how long a call would wait behind others.

        Args:
            endpoints: Endpoints that serve it.
            ahead: Calls that wait before it.
        """
        windows = sum(item.window for item in endpoints if not item.is_leaving)
        return self._service_s * ahead / max(1, windows)

    def _place(self, waiter: _Waiter, now_s: float) -> bool:
        """Send a call where the policy says; return whether it waits no more."""
        if waiter.chosen.done():
            return True
        match self._policy.choose(waiter.request, waiter.endpoints, now_s):
            case Send(endpoint):
                waiter.want(None)
                endpoint.in_flight += 1
                endpoint.breaker.on_send()
                waiter.chosen.set_result(endpoint)
                return True
            case WaitFor(endpoint):
                waiter.want(endpoint)
                if endpoint is not None:
                    endpoint.ahead += 1
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
        self._refuse_hopeless(queue, endpoints, urgency, key)
        chosen = asyncio.get_event_loop().create_future()
        waiter = _Waiter(request, endpoints, urgency.organisation, key, chosen)
        for endpoint in endpoints:
            endpoint.ahead = endpoint.wanted
        if self._place(waiter, self._clock.monotonic()):
            return chosen.result()
        self._queues[queue_key] = queue
        queue.add(waiter)
        self._count(urgency.organisation, 1)
        try:
            return await chosen
        except asyncio.CancelledError:
            self._give_up(queue, waiter)
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

    def _refuse_hopeless(
        self,
        queue: _Queue,
        endpoints: Sequence[EndpointState],
        urgency: Urgency,
        key: tuple[float, int],
    ) -> None:
        queued = self._by_organisation[urgency.organisation]
        ahead = bisect_left(queue.waiters, key, key=_KEY)
        wait_s = self.predicted_wait_s(endpoints, ahead)
        most_s = urgency.max_wait_s
        if queued >= self._max_waiting:
            reason = f"{queued} calls of {urgency.organisation} wait already"
        elif most_s is not None and wait_s > most_s:
            reason = f"the predicted wait of {wait_s:.1f} s is over {most_s:.1f} s"
        else:
            return
        excess_s = wait_s if most_s is None else wait_s - most_s
        raise OverloadedError(reason, retry_after_s=max(MIN_RETRY_AFTER_S, excess_s))

    def _forget(self, queue: _Queue, waiter: _Waiter) -> None:
        waiter.want(None)
        if queue.remove(waiter):
            self._count(waiter.organisation, -1)

    def _count(self, organisation: str, change: int) -> None:
        self._by_organisation[organisation] += change
        if not self._by_organisation[organisation]:
            del self._by_organisation[organisation]
        self._waiting += change
        WAITING.set(self._waiting)

    def _give_up(self, queue: _Queue, waiter: _Waiter) -> None:
        if waiter.chosen.done() and not waiter.chosen.cancelled():
            waiter.chosen.result().in_flight -= 1
            self.dispatch()
        else:
            self._forget(queue, waiter)
