"""Calls of plain services: one whole answer, at most once or repeatable."""

from __future__ import annotations

import asyncio

from .calls import Call, Responder
from .context import GatewayContext
from .endpoints import Endpoint
from .hedging import HedgeBudget, slow_call_threshold_s
from .objectives import Served
from .outcomes import (
    Answered,
    Lost,
    NotRunThere,
    Outcome,
    best_outcome,
    is_conclusive,
    may_retry,
)
from .placement import DEFAULT_SERVICE_MS, Need
from .refusals import (
    DeadlineExceededError,
    EndpointFailedError,
    NoEndpointError,
)
from .routes import Route
from .send_errors import LostAnswerError, NotSentError

RETRY_AFTER_S = 0.15
"""When to come back after a refusal: about two plain calls."""


class PlainCallHandler:
    """Serves requests of plain services."""

    __slots__ = ("_context", "_hedges")

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._hedges = HedgeBudget()

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> Served:
        """Answer a call.

        Raises:
            CarobspurError: There is no answer to pass on; its verdict is true.
        """
        runs = 0
        tried: set[str] = set()
        outcome: Outcome = NotRunThere("no endpoint is registered")
        while True:
            endpoint = self._choose(call, route, tried)
            if endpoint is None:
                break
            tried.add(endpoint.key)
            sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout_at(deadline):
                    outcome, ran = await self._attempt_hedged(
                        call, route, endpoint, deadline, tried=tried, runs=runs
                    )
            except TimeoutError:
                self._record_silence(route, endpoint, since=sent_at)
                raise DeadlineExceededError(
                    "no answer within the time allowed"
                ) from None
            runs += ran
            again = may_retry(outcome, route, runs=runs, sends=len(tried))
            if not again or asyncio.get_running_loop().time() >= deadline:
                break
        status = self._conclude(outcome, responder, runs=runs)
        taken_s = asyncio.get_running_loop().time() - call.arrived_at
        return Served(status, taken_s <= route.target_latency_s)

    def _choose(self, call: Call, route: Route, tried: set[str]) -> Endpoint | None:
        context = self._context
        usable = context.endpoints.usable(
            route.service_for(call.id),
            affinity=call.id,
            data_centre=context.data_centre,
        )
        fresh = [item for item in usable if item.key not in tried]
        now = asyncio.get_running_loop().time()
        usual_ms = 1000 * context.health.usual_s(route.name, DEFAULT_SERVICE_MS / 1000)
        need = Need(context.data_centre, service_ms=usual_ms)
        return context.placement.plain(fresh, need, context.health, now)

    async def _attempt_hedged(
        self,
        call: Call,
        route: Route,
        endpoint: Endpoint,
        deadline: float,
        *,
        tried: set[str],
        runs: int,
    ) -> tuple[Outcome, int]:
        """Send to an endpoint, and to a second one if that takes unusually long.

        Returns:
            What came of it, and how many endpoints may have run the call.
        """
        attempts = {self._begin(call, route, endpoint, deadline)}
        outcomes: list[Outcome] = []
        begun = 1
        try:
            wait_s = self._hedge_after_s(route, runs)
            done, _ = await asyncio.wait(attempts, timeout=wait_s)
            if not done and (other := self._second(call, route, tried)) is not None:
                attempts.add(self._begin(call, route, other, deadline))
                begun += 1
            while attempts:
                done, attempts = await asyncio.wait(
                    attempts, return_when=asyncio.FIRST_COMPLETED
                )
                outcomes += [task.result() for task in done]
                if any(map(is_conclusive, outcomes)):
                    break
        finally:
            for task in attempts:
                task.cancel()
        ran = begun - sum(isinstance(item, NotRunThere) for item in outcomes)
        return best_outcome(outcomes), ran

    def _begin(
        self, call: Call, route: Route, endpoint: Endpoint, deadline: float
    ) -> asyncio.Task[Outcome]:
        attempt = self._attempt(call, route, endpoint, deadline)
        return asyncio.get_running_loop().create_task(attempt)

    def _hedge_after_s(self, route: Route, runs: int) -> float | None:
        """Return after how long a second endpoint may be asked; ``None`` for never."""
        self._hedges.earn()
        if not route.may_repeat or runs + 1 >= route.max_attempts:
            return None
        return self._unusual_s(route)

    def _unusual_s(self, route: Route) -> float | None:
        """Return from when on a call of a route takes unusually long, if known."""
        return slow_call_threshold_s(self._context.health.usual_s(route.name, 0.0))

    def _second(self, call: Call, route: Route, tried: set[str]) -> Endpoint | None:
        other = self._choose(call, route, tried)
        if other is None or not self._hedges.spend():
            return None
        tried.add(other.key)
        return other

    def _record_silence(
        self, route: Route, endpoint: Endpoint, *, since: float
    ) -> None:
        """Count an endpoint that did not answer in time as failed, if it had time."""
        now = asyncio.get_running_loop().time()
        limit_s = self._unusual_s(route)
        if limit_s is not None and now - since >= limit_s:
            self._context.health.record_failure(endpoint.key, now)

    async def _attempt(
        self, call: Call, route: Route, endpoint: Endpoint, deadline: float
    ) -> Outcome:
        outcome = await self._exchange(call, route, endpoint, deadline)
        self._record(call, endpoint, outcome)
        return outcome

    async def _exchange(
        self, call: Call, route: Route, endpoint: Endpoint, deadline: float
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        health = self._context.health
        started = loop.time()
        try:
            async with self._context.endpoint_client.exchange(
                endpoint, call, call.body, deadline=deadline
            ) as exchange:
                body = await exchange.body()
                head = exchange.head
        except NotSentError as error:
            health.record_failure(endpoint.key, loop.time())
            return NotRunThere(error.message)
        except LostAnswerError as error:
            health.record_failure(endpoint.key, loop.time())
            return Lost(error.message)
        if head.has_not_run:
            health.record_full(endpoint.key, loop.time())
            return NotRunThere(f"the endpoint refused with {head.status}")
        if head.status < 300 and not head.is_genuine:
            health.record_failure(endpoint.key, loop.time())
            return Lost("the answer is not the endpoint's")
        now = loop.time()
        health.record_success(endpoint.key, route.name, now - started, now)
        return Answered(head, body)

    def _record(self, call: Call, endpoint: Endpoint, outcome: Outcome) -> None:
        state = self._context.health.state(endpoint.key)
        self._context.log.record(
            "sent",
            request=call.id,
            endpoint=endpoint.id,
            registry_version=self._context.endpoints.version,
            in_flight=state.in_flight,
            pace=round(state.pace, 2),
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )

    def _conclude(self, outcome: Outcome, responder: Responder, *, runs: int) -> int:
        match outcome:
            case Answered(head=head, body=body):
                responder.reply(head.status, head.headers, body)
                return head.status
            case Lost(reason=reason):
                raise EndpointFailedError(reason)
            case NotRunThere(reason=reason) if runs:
                raise EndpointFailedError(reason)
            case NotRunThere(reason=reason):
                raise NoEndpointError(reason, retry_after_s=RETRY_AFTER_S)
