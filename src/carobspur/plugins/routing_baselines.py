"""Baselines that the routing policy is compared with."""

from __future__ import annotations

from collections.abc import Sequence

from ..placement import first
from ..plugin_registry import PluginKind, register
from ..pool import EndpointState
from ..routing import QueueOrder, RouteChoice, RouteRequest, Send, WaitFor


def _accepting(endpoints: Sequence[EndpointState], now_s: float) -> list[EndpointState]:
    return [item for item in endpoints if item.can_accept(now_s)]


@register(PluginKind.ROUTING, "round_robin")
class RoundRobinRouting:
    """Takes the endpoints in turn."""

    __slots__ = ("_turn",)
    order = QueueOrder.ARRIVAL

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the next endpoint that may take a call."""
        found = _accepting(endpoints, now_s)
        if not found:
            return WaitFor()
        self._turn += 1
        return Send(found[self._turn % len(found)])


@register(PluginKind.ROUTING, "least_loaded")
class LeastLoadedRouting:
    """Takes the endpoint with the fewest calls under way."""

    __slots__ = ()
    order = QueueOrder.ARRIVAL

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the least loaded endpoint that may take a call."""
        found = _accepting(endpoints, now_s)
        if not found:
            return WaitFor()
        return Send(min(found, key=_load))


@register(PluginKind.ROUTING, "sticky")
class StickyRouting:
    """Takes the same endpoint for all calls of a program."""

    __slots__ = ()
    order = QueueOrder.ARRIVAL

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the program's endpoint once it may take a call."""
        usable = {
            item.address: item
            for item in endpoints
            if not item.is_draining and item.breaker.allows(now_s)
        }
        chosen = first(request.program, usable)
        if chosen is None:
            return WaitFor()
        endpoint = usable[chosen]
        return Send(endpoint) if endpoint.can_accept(now_s) else WaitFor(endpoint)


def _load(endpoint: EndpointState) -> tuple[int, str]:
    return (endpoint.in_flight + endpoint.load.waiting, endpoint.address)
