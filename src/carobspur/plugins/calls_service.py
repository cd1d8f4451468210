"""Calls of tools and services that may be repeated."""

from __future__ import annotations

from ..endpoints import ToolRequest
from ..errors import NotFoundError
from ..execution import CallContext, CallRuntime, Price, with_cost
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
        runtime: Parts of the scheduler that the kinds of calls share.
    """

    __slots__ = ("_runtime",)

    def __init__(self, runtime: CallRuntime) -> None:
        self._runtime = runtime

    async def run(self, context: CallContext) -> StoredCall:
        """Send a call and commit its answer; see :class:`..execution.CallKind`."""
        service = service_of(context)
        tool_request = service_request(context, service, self._runtime)

        async def _send_to(endpoint: EndpointState) -> str:
            return await self._runtime.endpoints.run(endpoint.address, tool_request)

        output, endpoint = await self._runtime.send(
            context,
            service_route(context, service, self._runtime),
            self._runtime.pool.endpoints_for(context.inventory, service.name),
            _send_to,
            Price(service.cost, lambda _: service.cost),
        )
        outcome = CallOutcome(output=output, address=endpoint.address)
        return await self._runtime.finish(context, with_cost(outcome, service.cost))

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Send the call again.

        ``CallService`` resolves every intent with the at-most-once plug-in, so it never
        calls this.
        """
        return await self.run(context)


def service_of(context: CallContext) -> Service:
    """Return the service that a call names.

    Raises:
        NotFoundError: The inventory has no such service.
    """
    name = context.request.endpoint
    service = context.inventory.service(name)
    if service is None:
        raise NotFoundError(f"no endpoint is called {name!r}")
    return service


def service_request(
    context: CallContext, service: Service, runtime: CallRuntime
) -> ToolRequest:
    """Return the request to a service, with a new fencing number."""
    return ToolRequest(
        call_id=context.call_id,
        fence=runtime.fences.take(),
        content=context.request.content,
        timeout_s=service.timeout_s,
    )


def service_route(
    context: CallContext, service: Service, runtime: CallRuntime
) -> RouteRequest:
    """Return the routing policy's input for a call of a service."""
    return RouteRequest(
        program=context.program.id, model=service.name, data_centre=runtime.data_centre
    )
