"""Queues of calls, and the choice of the endpoint to which each one is sent.

Calls queue in the scheduler and not in the engines. A queued call's sort key is fixed
on arrival. Only calls of programs that started before a fixed time can be queued ahead
of it, and those programs end in time, so no call starves.
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

# A call is ordered as if it had arrived this much later for each rank of its class.
RANK_DELAY_S = 10.0
MIN_RETRY_AFTER_S = 1.0
MAX_SCANNED_CALLS = 128
# Weight of the newest call in the exponential moving average of service times.
SERVICE_SMOOTHING = 0.05
INITIAL_MEAN_SERVICE_S = 0.5

_SORT_KEY = attrgetter("key")


@dataclass(frozen=True, slots=True)
class Urgency:
    """Priority of a call, and the longest wait for which it may be queued.

    Attributes:
        organisation: The organisation that makes the call.
        rank: Rank of its priority class; lower ranks go first.
        program_age_s: Time since its program started; calls of older programs go
            first.
        max_wait_s: The call is rejected if its predicted wait is longer; ``None``
            accepts any wait.
    """

    organisation: str
    rank: int = 0
    program_age_s: float = 0.0
    max_wait_s: float | None = None


@dataclass(slots=True, eq=False)
class _QueuedCall:
    """A call that waits for an endpoint.

    Attributes:
        request: The call, as routing policies see it.
        endpoints: Endpoints that serve it; the list follows the inventory.
        organisation: The organisation that makes the call.
        key: Sort key in the queue; unique.
        chosen: Completed with the endpoint once the call may be sent.
        awaited_endpoint: The endpoint that the policy wants the call to wait for, if
            it named one.
    """

    request: RouteRequest
    endpoints: Sequence[EndpointState]
    organisation: str
    key: tuple[float, int]
    chosen: asyncio.Future[EndpointState]
    awaited_endpoint: EndpointState | None = None

    def set_awaited_endpoint(self, endpoint: EndpointState | None) -> None:
        """Set the endpoint that the call waits for; adjusts the endpoints' counts."""
        if self.awaited_endpoint is endpoint:
            return
        if self.awaited_endpoint is not None:
            self.awaited_endpoint.awaiting_calls -= 1
        if endpoint is not None:
            endpoint.awaiting_calls += 1
        self.awaited_endpoint = endpoint


@dataclass(slots=True, eq=False)
class _Queue:
    """Queued calls that the same endpoints serve, sorted by key."""

    endpoints: Sequence[EndpointState] = ()
    calls: list[_QueuedCall] = field(default_factory=list)

    def add(self, queued_call: _QueuedCall) -> None:
        """Insert a call by its key; the longest list of endpoints is kept."""
        if len(queued_call.endpoints) >= len(self.endpoints):
            self.endpoints = queued_call.endpoints
        insort(self.calls, queued_call, key=_SORT_KEY)

    def remove(self, queued_call: _QueuedCall) -> bool:
        """Remove a call; return whether it was in the queue."""
        index = bisect_left(self.calls, queued_call.key, key=_SORT_KEY)
        is_queued = index < len(self.calls) and self.calls[index] is queued_call
        if is_queued:
            del self.calls[index]
        return is_queued

    def free_slots(self, now_s: float) -> int:
        """Return how many more calls the endpoints can accept now."""
        return sum(
            item.window - item.in_flight
            for item in self.endpoints
            if item.can_accept(now_s)
        )


class Dispatcher:
    """Queues calls and sends each one to the endpoint that the routing policy chooses.

    Args:
        clock: Source of time.
        policy: Chooses the endpoint of a call, and the order of the queue.
        max_waiting: Number of calls that one organisation may have in the queues.
    """

    __slots__ = (
        "_by_organisation",
        "_clock",
        "_max_waiting",
        "_last_arrival_number",
        "_policy",
        "_queues",
        "_mean_service_s",
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
        self._last_arrival_number = 0
        self._mean_service_s = INITIAL_MEAN_SERVICE_S

    def __repr__(self) -> str:
        return f"Dispatcher({self._waiting} waiting)"

    @property
    def waiting(self) -> int:
        """Number of queued calls of all organisations."""
        return self._waiting

    @asynccontextmanager
    async def slot(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        *,
        urgency: Urgency,
    ) -> AsyncIterator[EndpointState]:
        """Wait until the call may be sent, and occupy a slot of that endpoint.

        The slot is freed when the context ends. The time for which it was occupied
        updates the mean service time, from which waits are predicted.

        Args:
            request: The call.
            endpoints: Endpoints that serve it.
            urgency: Its priority and the longest wait that it accepts.

        Raises:
            OverloadedError: Too many calls of the organisation are queued already, or
                the predicted wait is too long.
        """
        endpoint = await self._wait_for_endpoint(request, endpoints, urgency)
        work_s = run_seconds(endpoint, request)
        endpoint.work_s += work_s
        started_s = self._clock.monotonic()
        try:
            yield endpoint
        finally:
            endpoint.in_flight -= 1
            endpoint.work_s = max(0.0, endpoint.work_s - work_s)
            elapsed_s = self._clock.monotonic() - started_s
            self._mean_service_s += SERVICE_SMOOTHING * (
                elapsed_s - self._mean_service_s
            )
            self.dispatch()

    def dispatch(self) -> None:
        """Send queued calls while endpoints have free slots, in the queue's order.

        Called when a slot is freed, and when endpoints or their windows change. Of
        each queue only the first ``MAX_SCANNED_CALLS`` are checked, which bounds the
        time of one run.
        """
        now_s = self._clock.monotonic()
        for key, queue in list(self._queues.items()):
            free_slots = queue.free_slots(now_s)
            for endpoint in queue.endpoints:
                endpoint.calls_ahead = 0
            for queued_call in queue.calls[:MAX_SCANNED_CALLS]:
                if free_slots <= 0:
                    break
                if self._try_send(queued_call, now_s):
                    free_slots = queue.free_slots(now_s)
                    self._dequeue(queue, queued_call)
            if not queue.calls:
                del self._queues[key]

    def predicted_wait_s(
        self, endpoints: Sequence[EndpointState], calls_ahead: int
    ) -> float:
        """Return the predicted wait of a call behind others in its queue, in seconds.

        Args:
            endpoints: Endpoints that serve it.
            calls_ahead: Number of queued calls ahead of it.
        """
        total_window = sum(item.window for item in endpoints if not item.is_draining)
        return self._mean_service_s * calls_ahead / max(1, total_window)

    def _try_send(self, queued_call: _QueuedCall, now_s: float) -> bool:
        """Send a call if the policy decides so; return whether to dequeue the call.

        A call that was cancelled is dequeued as well.
        """
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

    async def _wait_for_endpoint(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        urgency: Urgency,
    ) -> EndpointState:
        key = self._sort_key(urgency)
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
        self._add_to_counts(urgency.organisation, 1)
        try:
            return await chosen
        except asyncio.CancelledError:
            self._on_cancelled(queue, queued_call)
            raise

    def _sort_key(self, urgency: Urgency) -> tuple[float, int]:
        """Return a new call's sort key for the policy's queue order.

        Under ``QueueOrder.PROGRAM`` the key is the time of arrival, less the program's
        age, plus ``RANK_DELAY_S`` for each rank of the class. Calls with equal times
        are ordered by arrival number.
        """
        self._last_arrival_number += 1
        now_s = self._clock.monotonic()
        match self._policy.order:
            case QueueOrder.ARRIVAL:
                return (now_s, self._last_arrival_number)
            case QueueOrder.PROGRAM:
                rank_delay_s = RANK_DELAY_S * urgency.rank
                return (
                    now_s + rank_delay_s - urgency.program_age_s,
                    self._last_arrival_number,
                )

    def _reject_if_overloaded(
        self,
        queue: _Queue,
        endpoints: Sequence[EndpointState],
        urgency: Urgency,
        key: tuple[float, int],
    ) -> None:
        """Reject a call if too many are queued or its predicted wait is too long.

        Raises:
            OverloadedError: The call is not queued.
        """
        queued = self._by_organisation[urgency.organisation]
        calls_ahead = bisect_left(queue.calls, key, key=_SORT_KEY)
        wait_s = self.predicted_wait_s(endpoints, calls_ahead)
        max_wait_s = urgency.max_wait_s
        if queued >= self._max_waiting:
            reason = f"{queued} calls of {urgency.organisation} are queued already"
        elif max_wait_s is not None and wait_s > max_wait_s:
            reason = f"the predicted wait of {wait_s:.1f} s is over {max_wait_s:.1f} s"
        else:
            return
        excess_s = wait_s if max_wait_s is None else wait_s - max_wait_s
        raise OverloadedError(reason, retry_after_s=max(MIN_RETRY_AFTER_S, excess_s))

    def _dequeue(self, queue: _Queue, queued_call: _QueuedCall) -> None:
        queued_call.set_awaited_endpoint(None)
        if queue.remove(queued_call):
            self._add_to_counts(queued_call.organisation, -1)

    def _add_to_counts(self, organisation: str, change: int) -> None:
        self._by_organisation[organisation] += change
        if not self._by_organisation[organisation]:
            del self._by_organisation[organisation]
        self._waiting += change
        WAITING.set(self._waiting)

    def _on_cancelled(self, queue: _Queue, queued_call: _QueuedCall) -> None:
        """Dequeue a cancelled call, or free the slot that was just assigned to it."""
        if queued_call.chosen.done() and not queued_call.chosen.cancelled():
            queued_call.chosen.result().in_flight -= 1
            self.dispatch()
        else:
            self._dequeue(queue, queued_call)
