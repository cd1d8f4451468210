"""Calls of tools and plain services: repeatable ones, and ones that run at most once.

A call that may not be repeated is sent only after its intent is committed, and its
outcome is committed before anyone is told. Where the outcome is missing, the tool is
asked by the call's id; what it can't tell stays "may have run" for good.
"""

from __future__ import annotations

from ..endpoints import LookupNotRun, LookupRan, ToolOrder
from ..errors import (
    CallError,
    EndpointRejectedError,
    EndpointTimeoutError,
    NotFoundError,
)
from ..execution import CallContext, Toolbox, failure_outcome, with_cost
from ..inventory import Service
from ..journal import CallAbandoned, CallIntended, CallOutcome
from ..kernel import PluginKind, register
from ..pool import EndpointState
from ..programs import StoredCall
from ..routing import RouteRequest
from ..verdict import NOT_RUN, RAN

LOOKUP_TIMEOUT_S = 2.0


@register(PluginKind.CALLS, "repeatable")
class RepeatableCalls:
    """Runs calls that may be sent more than once.

    Args:
        tools: Parts of the scheduler.
    """

    __slots__ = ("_tools",)

    def __init__(self, tools: Toolbox) -> None:
        self._tools = tools

    async def run(self, context: CallContext) -> StoredCall:
        """Send a call and commit its answer; see :class:`..execution.CallKind`."""
        service = _service(context)
        order = _order(context, service, self._tools.session.epoch)

        async def _send_to(endpoint: EndpointState) -> str:
            return await self._tools.endpoints.run(endpoint.address, order)

        async with self._tools.reserved(context, service.cost) as reservation:
            output, endpoint = await self._tools.send(
                context,
                _route(context, service, self._tools),
                self._tools.pool.serving(context.inventory, service.name),
                _send_to,
            )
            reservation.settle(service.cost)
        outcome = CallOutcome(output=output, engine=endpoint.address)
        return await self._tools.finish(context, with_cost(outcome, service.cost))

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Run the call again; it became repeatable after it was intended."""
        return await self.run(context)


@register(PluginKind.CALLS, "once")
class OnceCalls:
    """Runs calls that may not be repeated.

    Args:
        tools: Parts of the scheduler.
    """

    __slots__ = ("_tools",)

    def __init__(self, tools: Toolbox) -> None:
        self._tools = tools

    async def run(self, context: CallContext) -> StoredCall:
        """Send a call at most once; see :class:`..execution.CallKind`."""
        service = _service(context)
        async with self._tools.reserved(context, service.cost) as reservation:
            outcome = await self._run_once(context, service)
            reservation.settle(service.cost)
        return await self._tools.finish(context, with_cost(outcome, service.cost))

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Ask the tool what came of the call and commit what it says."""
        error = EndpointTimeoutError(
            "the call was under way when its scheduler stopped; its effect is unknown"
        )
        service = _service(context)
        outcome = await self._look_up(context, service, intent, error)
        return await self._tools.finish(context, with_cost(outcome, service.cost))

    async def _run_once(self, context: CallContext, service: Service) -> CallOutcome:
        route = _route(context, service, self._tools)
        replicas = self._tools.pool.serving(context.inventory, service.name)
        order = _order(context, service, self._tools.session.epoch)
        async with self._tools.slot(context, route, replicas) as endpoint:
            intent = CallIntended(
                program=context.program.id,
                number=context.request.number,
                endpoint=service.name,
                digest=context.request.digest,
                input=context.request.content.decode(),
                call_id=order.call_id,
            )
            await self._tools.session.commit([intent])
            sending = self._tools.endpoints.run(endpoint.address, order)
            try:
                output = await self._tools.observed(endpoint, sending)
            except CallError as error:
                return await self._after_failure(context, service, intent, error)
            return CallOutcome(output=output, engine=endpoint.address)

    async def _after_failure(
        self,
        context: CallContext,
        service: Service,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        if error.verdict == RAN:
            return failure_outcome(error)
        if error.verdict == NOT_RUN:
            await self._abandon(intent)
            raise error
        return await self._look_up(context, service, intent, error)

    async def _look_up(
        self,
        context: CallContext,
        service: Service,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        """Ask every replica about an intended call.

        Raises:
            CallError: The call did not run and never will; the intent is cleared.
        """
        if not service.has_lookup:
            return failure_outcome(error)
        answers = [
            await self._tools.endpoints.look_up(
                replica.address,
                intent.call_id,
                fence=self._tools.session.epoch,
                is_fenced=service.checks_fencing,
                timeout_s=LOOKUP_TIMEOUT_S,
            )
            for replica in service.replicas
        ]
        for answer in answers:
            match answer:
                case LookupRan(output):
                    return CallOutcome(output=output)
        if not all(isinstance(answer, LookupNotRun) for answer in answers):
            return failure_outcome(error)
        await self._abandon(intent)
        raise EndpointRejectedError(
            "the call did not run and never will", verdict=NOT_RUN, retry_after_s=0
        )

    async def _abandon(self, intent: CallIntended) -> None:
        await self._tools.session.commit([CallAbandoned(intent.program, intent.number)])


def _service(context: CallContext) -> Service:
    name = context.request.endpoint
    service = context.inventory.service(name)
    if service is None:
        raise NotFoundError(f"no endpoint is called {name!r}")
    return service


def _order(context: CallContext, service: Service, fence: int) -> ToolOrder:
    return ToolOrder(
        call_id=context.call_id,
        fence=fence,
        content=context.request.content,
        timeout_s=service.timeout_s,
    )


def _route(context: CallContext, service: Service, tools: Toolbox) -> RouteRequest:
    return RouteRequest(
        program=context.program.id, model=service.name, data_centre=tools.data_centre
    )
