"""Waiting calls and the endpoints they are sent to.

Calls wait here and not in the engines. The next call is chosen by the rank of its
class, then by the least service its program has attained, made older by waiting.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from .clock import Clock
from .errors import OverloadedError
from .metrics import WAITING
from .pool import EndpointState
from .routing import RouteRequest, RoutingPolicy, run_seconds

AGEING_UNITS_PER_S = 500.0
MIN_RETRY_AFTER_S = 1.0


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits for an endpoint."""

    request: RouteRequest
    endpoints: Sequence[EndpointState]
    rank: int
    attained_units: int
    since_s: float
    organisation: str
    chosen: asyncio.Future[EndpointState]

    def order(self, now_s: float) -> tuple[int, float, float]:
        aged = self.attained_units - AGEING_UNITS_PER_S * (now_s - self.since_s)
        return (self.rank, aged, self.since_s)


class Dispatcher:
    """Matches waiting calls with endpoints.

    Args:
        clock: Source of time.
        policy: Chooses the endpoint of a call.
        max_waiting: Most calls of one organisation that may wait.
    """

    __slots__ = ("_clock", "_max_waiting", "_policy", "_waiting")

    def __init__(
        self, *, clock: Clock, policy: RoutingPolicy, max_waiting: int
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._max_waiting = max_waiting
        self._waiting: list[_Waiter] = []

    def __repr__(self) -> str:
        return f"Dispatcher({len(self._waiting)} waiting)"

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting)

    @asynccontextmanager
    async def slot(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        *,
        organisation: str,
        rank: int = 0,
        attained_units: int = 0,
    ) -> AsyncIterator[EndpointState]:
        """Wait for an endpoint and occupy a place there.

        Args:
            request: The call.
            endpoints: Endpoints that serve it.
            organisation: Whose call it is.
            rank: Rank of its class; lower ranks go first.
            attained_units: Cost units its program has used so far.

        Raises:
            OverloadedError: Too many calls of the organisation wait already.
        """
        endpoint = await self._wait(
            request, endpoints, organisation, rank, attained_units
        )
        work_s = run_seconds(endpoint, request)
        endpoint.work_s += work_s
        try:
            yield endpoint
        finally:
            endpoint.in_flight -= 1
            endpoint.work_s = max(0.0, endpoint.work_s - work_s)
            self.dispatch()

    def dispatch(self) -> None:
        """Give places to waiting calls, the most urgent first."""
        now_s = self._clock.monotonic()
        for waiter in sorted(self._waiting, key=lambda item: item.order(now_s)):
            endpoint = self._policy.choose(waiter.request, waiter.endpoints, now_s)
            if endpoint is None or waiter.chosen.done():
                continue
            self._occupy(endpoint)
            waiter.chosen.set_result(endpoint)
        self._waiting = [item for item in self._waiting if not item.chosen.done()]
        WAITING.set(len(self._waiting))

    async def _wait(
        self,
        request: RouteRequest,
        endpoints: Sequence[EndpointState],
        organisation: str,
        rank: int,
        attained_units: int,
    ) -> EndpointState:
        now_s = self._clock.monotonic()
        queued = sum(item.organisation == organisation for item in self._waiting)
        if queued >= self._max_waiting:
            raise OverloadedError(
                f"{queued} calls of {organisation} wait already",
                retry_after_s=self._retry_after_s(endpoints),
            )
        loop = asyncio.get_event_loop()
        waiter = _Waiter(
            request,
            endpoints,
            rank,
            attained_units,
            now_s,
            organisation,
            loop.create_future(),
        )
        self._waiting.append(waiter)
        self.dispatch()
        try:
            return await waiter.chosen
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def _give_up(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.chosen.done() and not waiter.chosen.cancelled():
            waiter.chosen.result().in_flight -= 1
            self.dispatch()

    @staticmethod
    def _occupy(endpoint: EndpointState) -> None:
        endpoint.in_flight += 1
        endpoint.breaker.on_send()

    def _retry_after_s(self, endpoints: Sequence[EndpointState]) -> float:
        windows = sum(item.window for item in endpoints)
        work_s = sum(item.work_s for item in endpoints)
        per_call_s = work_s / max(1, sum(item.in_flight for item in endpoints))
        return max(MIN_RETRY_AFTER_S, per_call_s * len(self._waiting) / max(1, windows))
