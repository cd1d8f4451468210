"""Handles calls of plain services, which are answered as a whole and not streamed.

An idempotent call is retried and hedged at other endpoints. A run-once call is sent
again only if no endpoint can have run it.
"""

from __future__ import annotations

import asyncio

from .calls import Call, Responder
from .context import GatewayContext
from .customers.ownership import scoped_name
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
from .placement import (
    DEFAULT_SERVICE_MS,
    Need,
    SendObservation,
    observe,
    uses_call_affinity,
)
from .quarantine.crash_history import Progress
from .refusals import (
    DeadlineExceededError,
    EndpointFailedError,
    NoEndpointError,
)
from .routes import Route
from .send_errors import ConnectionEndedError, LostAnswerError, NotSentError

RETRY_AFTER_S = 0.15
"""Retry-After of refused calls; about the time of two plain calls."""
FIRST_ERROR_STATUS = 400
"""Answers from this status on say nothing about the speed of an endpoint."""


class PlainCallHandler:
    """Handles calls on idempotent and run-once routes.

    Args:
        context: Components shared by all requests of the gateway.
    """

    __slots__ = ("_context", "_hedges")

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._hedges = HedgeBudget()

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> Served:
        """Answer a call.

        Args:
            call: The caller's request.
            route: Its route.
            responder: Sends the answer to the caller.
            deadline: Event loop time after which an answer is of no use.

        Raises:
            CarobspurError: No answer can be forwarded. The verdict of the error says
                whether an endpoint may have run the call.
        """
        runs = 0
        tried: set[str] = set()
        outcome: Outcome = NotRunThere("no endpoint is registered")
        while True:
            endpoint = self._choose(call, route, tried)
            if endpoint is None:
                untried = self._untried(call, route, tried)
                if await self._context.limits.wait(untried, call, route, deadline):
                    continue
                break
            tried.add(endpoint.key)
            sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout_at(deadline):
                    outcome, new_runs = await self._attempt_hedged(
                        call, route, endpoint, deadline, tried=tried, runs=runs
                    )
            except TimeoutError:
                self._record_timeout(route, endpoint, since=sent_at)
                raise DeadlineExceededError("no answer before the deadline") from None
            runs += new_runs
            is_retryable = may_retry(outcome, route, runs=runs, sends=len(tried))
            if not is_retryable or asyncio.get_running_loop().time() >= deadline:
                break
            if isinstance(outcome, Lost):
                await self._context.crash_watch.settle(endpoint)
                if self._context.quarantine.blocks(call, route):
                    break
        if call.limited_for_s is not None and not runs:
            service = route.service_for(self._affinity(call, route) or call.id)
            raise self._context.limits.refusal(call, service)
        status = self._reply(outcome, responder, runs=runs)
        elapsed_s = asyncio.get_running_loop().time() - call.arrived_at
        return Served(status, elapsed_s <= route.target_latency_s)

    def _choose(
        self, call: Call, route: Route, tried: set[str], *, is_hedge: bool = False
    ) -> Endpoint | None:
        context = self._context
        now = asyncio.get_running_loop().time()
        allowed = context.limits.allowed(
            self._untried(call, route, tried), call, route, now, is_hedge=is_hedge
        )
        allowed = context.quarantine.isolate(allowed, call, now)
        return context.placement.plain(
            allowed, self._need(call, route), context.health, now
        )

    def _untried(self, call: Call, route: Route, tried: set[str]) -> list[Endpoint]:
        """Return the endpoints that the call was not sent to."""
        affinity = self._affinity(call, route) or call.id
        usable = self._context.endpoints.usable(
            route.service_for(affinity),
            affinity=affinity,
            data_centre=self._context.data_centre,
        )
        return [item for item in usable if item.key not in tried]

    def _need(self, call: Call, route: Route) -> Need:
        context = self._context
        usual_ms = 1000 * context.health.usual_s(route.name, DEFAULT_SERVICE_MS / 1000)
        return Need(
            context.data_centre,
            affinity=self._affinity(call, route),
            service_ms=usual_ms,
            route=route.name,
        )

    def _affinity(self, call: Call, route: Route) -> str:
        """Return the key whose calls should go to the same endpoint; empty for none."""
        if not route.is_sticky or not uses_call_affinity(self._context.placement):
            return ""
        return scoped_name(call.customer, call.affinity_key)

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

        Args:
            call: The caller's request.
            route: Its route.
            endpoint: The first endpoint.
            deadline: Event loop time after which an answer is of no use.
            tried: Keys of endpoints already used; a hedge adds its own.
            runs: Number of earlier endpoints that may have run the call.

        Returns:
            The best outcome, and how many of the endpoints used here may have run the
            call.
        """
        attempts = {self._start_attempt(call, route, endpoint, deadline)}
        outcomes: list[Outcome] = []
        started_attempts = 1
        try:
            hedge_delay_s = self._hedge_delay_s(route, runs)
            done, _ = await asyncio.wait(attempts, timeout=hedge_delay_s)
            if (
                not done
                and (other := self._choose_hedge(call, route, tried)) is not None
            ):
                attempts.add(self._start_attempt(call, route, other, deadline))
                started_attempts += 1
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
        new_runs = started_attempts - sum(
            isinstance(item, NotRunThere) for item in outcomes
        )
        return best_outcome(outcomes), new_runs

    def _start_attempt(
        self, call: Call, route: Route, endpoint: Endpoint, deadline: float
    ) -> asyncio.Task[Outcome]:
        loop = asyncio.get_running_loop()
        context = self._context
        # The request counts from now on, although its task starts later.
        context.limits.record_send(endpoint, call, route, loop.time())
        observation = observe(
            context.placement,
            endpoint,
            self._need(call, route),
            context.health,
            loop.time(),
        )
        attempt = self._attempt(call, route, endpoint, deadline, observation)
        task = loop.create_task(attempt)
        task.add_done_callback(lambda _: observation.close(loop.time()))
        return task

    def _hedge_delay_s(self, route: Route, runs: int) -> float | None:
        """Return the delay before a call is hedged; ``None`` for no hedge.

        Also adds the share of one call to the budget of hedged calls.
        """
        self._hedges.earn()
        if not route.may_repeat or runs + 1 >= route.max_attempts:
            return None
        return self._slow_call_threshold_s(route)

    def _slow_call_threshold_s(self, route: Route) -> float | None:
        """Return the time from which a route's calls count as slow, if known."""
        return slow_call_threshold_s(self._context.health.usual_s(route.name, 0.0))

    def _choose_hedge(
        self, call: Call, route: Route, tried: set[str]
    ) -> Endpoint | None:
        other = self._choose(call, route, tried, is_hedge=True)
        if other is None or not self._hedges.spend():
            return None
        tried.add(other.key)
        return other

    def _record_timeout(
        self, route: Route, endpoint: Endpoint, *, since: float
    ) -> None:
        """Record a failure of an endpoint that was silent for unusually long.

        A call that was sent shortly before the deadline is no evidence against its
        endpoint and is not recorded.
        """
        now = asyncio.get_running_loop().time()
        limit_s = self._slow_call_threshold_s(route)
        if limit_s is not None and now - since >= limit_s:
            self._context.health.record_failure(endpoint.key, now)

    async def _attempt(
        self,
        call: Call,
        route: Route,
        endpoint: Endpoint,
        deadline: float,
        observation: SendObservation,
    ) -> Outcome:
        outcome = await self._exchange(call, route, endpoint, deadline)
        # Errors are answered without the work, by an endpoint that fails at once.
        if isinstance(outcome, Answered) and outcome.head.status < FIRST_ERROR_STATUS:
            observation.record_answer(asyncio.get_running_loop().time())
        self._log_sent(call, endpoint, outcome, observation)
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
            if isinstance(error, ConnectionEndedError):
                self._context.crash_watch.record_loss(
                    endpoint, call, Progress.SENT, reason=error.message
                )
            return Lost(error.message)
        if head.has_not_run:
            health.record_full(endpoint.key, loop.time())
            return NotRunThere(
                f"the endpoint refused the call with status {head.status}"
            )
        if head.status < 300 and not head.is_genuine:
            health.record_failure(endpoint.key, loop.time())
            return Lost(
                "the answer lacks the endpoint's signature or is content-encoded"
            )
        now = loop.time()
        health.record_success(endpoint.key, route.name, now - started, now)
        return Answered(head, body)

    def _log_sent(
        self,
        call: Call,
        endpoint: Endpoint,
        outcome: Outcome,
        observation: SendObservation,
    ) -> None:
        state = self._context.health.state(endpoint.key)
        self._context.log.record(
            "sent",
            request=call.id,
            endpoint=endpoint.id,
            registry_version=self._context.endpoints.version,
            in_flight=state.in_flight,
            pace=round(state.pace, 2),
            expected_ms=round(observation.expected_ms, 1),
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )

    def _reply(self, outcome: Outcome, responder: Responder, *, runs: int) -> int:
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
