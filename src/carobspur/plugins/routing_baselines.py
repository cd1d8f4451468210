"""Baseline routing policies, with which routing by predicted finish is compared."""

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
    """Chooses the endpoints in turn."""

    __slots__ = ("_choices",)
    order = QueueOrder.ARRIVAL

    def __init__(self) -> None:
        self._choices = 0

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the next endpoint that can accept a call."""
        accepting = _accepting(endpoints, now_s)
        if not accepting:
            return WaitFor()
        self._choices += 1
        return Send(accepting[self._choices % len(accepting)])


@register(PluginKind.ROUTING, "least_loaded")
class LeastLoadedRouting:
    """Chooses the endpoint with the fewest calls in flight or queued there."""

    __slots__ = ()
    order = QueueOrder.ARRIVAL

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the least loaded endpoint that can accept a call."""
        accepting = _accepting(endpoints, now_s)
        if not accepting:
            return WaitFor()
        return Send(min(accepting, key=_load))


@register(PluginKind.ROUTING, "sticky")
class StickyRouting:
    """Chooses the same endpoint for all calls of a program."""

    __slots__ = ()
    order = QueueOrder.ARRIVAL

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the program's endpoint, to send the call now or to wait for it."""
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
