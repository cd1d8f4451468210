"""Calls of tools and plain services that may be repeated."""

from __future__ import annotations

from ..endpoints import ToolRequest
from ..errors import NotFoundError
from ..execution import CallContext, Price, Toolbox, with_cost
from ..inventory import Service
from ..journal import CallIntended, CallOutcome
from ..plugin_registry import PluginKind, register
from ..pool import EndpointState
from ..programs import StoredCall
from ..routing import RouteRequest


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
        service = service_of(context)
        order = service_order(context, service, self._tools)

        async def _send_to(endpoint: EndpointState) -> str:
            return await self._tools.endpoints.run(endpoint.address, order)

        output, endpoint = await self._tools.send(
            context,
            service_route(context, service, self._tools),
            self._tools.pool.endpoints_for(context.inventory, service.name),
            _send_to,
            Price(service.cost, lambda _: service.cost),
        )
        outcome = CallOutcome(output=output, address=endpoint.address)
        return await self._tools.finish(context, with_cost(outcome, service.cost))

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Run the call again; it became repeatable after it was intended."""
        return await self.run(context)


def service_of(context: CallContext) -> Service:
    """Return the service that a call names.

    Raises:
        NotFoundError: There is none.
    """
    name = context.request.endpoint
    service = context.inventory.service(name)
    if service is None:
        raise NotFoundError(f"no endpoint is called {name!r}")
    return service


def service_order(
    context: CallContext, service: Service, tools: Toolbox
) -> ToolRequest:
    """Return what is sent to a service."""
    return ToolRequest(
        call_id=context.call_id,
        fence=tools.fences.take(),
        content=context.request.content,
        timeout_s=service.timeout_s,
    )


def service_route(
    context: CallContext, service: Service, tools: Toolbox
) -> RouteRequest:
    """Return what the routing policy is told of a service's call."""
    return RouteRequest(
        program=context.program.id, model=service.name, data_centre=tools.data_centre
    )
