"""Calls of plain services: one whole answer, at most once or repeatable."""

from __future__ import annotations

import asyncio

from .calls import Call, Responder
from .context import GatewayContext
from .endpoints import Endpoint
from .http1 import LostAnswerError, NotSentError
from .objectives import Served
from .outcomes import Answered, Lost, NotRunThere, Outcome, may_send_again
from .placement import Need
from .refusals import (
    EndpointFailedError,
    NoEndpointError,
    OutOfTimeError,
)
from .routes import Route

RETRY_AFTER_S = 0.15
"""When to come back after a refusal: about two plain calls."""


class PlainCalls:
    """Serves requests of plain services."""

    __slots__ = ("_context",)

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> Served:
        """Answer a call.

        Raises:
            CarobspurError: There is no answer to pass on; its verdict is true.
        """
        runs = 0
        tried: set[str] = set()
        service = route.service_for(call.id)
        outcome: Outcome = NotRunThere("no endpoint is registered")
        while True:
            endpoint = self._choose(call.id, service, tried)
            if endpoint is None:
                break
            tried.add(endpoint.key)
            try:
                async with asyncio.timeout_at(deadline):
                    outcome = await self._attempt(call, route, endpoint, deadline)
            except TimeoutError:
                raise OutOfTimeError("no answer within the time allowed") from None
            runs += not isinstance(outcome, NotRunThere)
            self._note(call, endpoint, outcome, runs)
            again = may_send_again(outcome, route, runs=runs, sends=len(tried))
            if not again or asyncio.get_running_loop().time() >= deadline:
                break
        status = self._conclude(outcome, responder, runs=runs)
        taken_s = asyncio.get_running_loop().time() - call.arrived
        return Served(status, taken_s <= route.target_latency_s)

    def _choose(self, call: str, service: str, tried: set[str]) -> Endpoint | None:
        context = self._context
        usable = context.endpoints.usable(
            service, affinity=call, data_centre=context.data_centre
        )
        fresh = [item for item in usable if item.key not in tried]
        now = asyncio.get_running_loop().time()
        need = Need(context.data_centre)
        return context.placement.plain(fresh, need, context.health, now)

    async def _attempt(
        self, call: Call, route: Route, endpoint: Endpoint, deadline: float
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        health = self._context.health
        started = loop.time()
        try:
            async with self._context.sender.exchange(
                endpoint, call, call.body, deadline=deadline
            ) as exchange:
                body = await exchange.body()
                head = exchange.head
        except NotSentError as error:
            health.note_failure(endpoint.key, loop.time())
            return NotRunThere(error.message)
        except LostAnswerError as error:
            health.note_failure(endpoint.key, loop.time())
            return Lost(error.message)
        if head.is_not_run:
            health.note_full(endpoint.key, loop.time())
            return NotRunThere(f"the endpoint refused with {head.status}")
        if head.status < 300 and not head.is_genuine:
            health.note_failure(endpoint.key, loop.time())
            return Lost("the answer is not the endpoint's")
        now = loop.time()
        health.note_success(endpoint.key, route.name, now - started, now)
        return Answered(head, body)

    def _note(
        self, call: Call, endpoint: Endpoint, outcome: Outcome, runs: int
    ) -> None:
        state = self._context.health.state(endpoint.key)
        self._context.log.note(
            "sent",
            request=call.id,
            endpoint=endpoint.id,
            registry_version=self._context.endpoints.version,
            in_flight=state.in_flight,
            pace=round(state.pace, 2),
            runs=runs,
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
