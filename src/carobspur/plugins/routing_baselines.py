"""Baselines that the routing policy is compared with."""

from __future__ import annotations

from collections.abc import Sequence

from ..kernel import PluginKind, register
from ..placement import first
from ..pool import EndpointState
from ..routing import RouteRequest


def _open(endpoints: Sequence[EndpointState], now_s: float) -> list[EndpointState]:
    return [item for item in endpoints if item.may_take(now_s)]


@register(PluginKind.ROUTING, "round_robin")
class RoundRobinRouting:
    """Takes the endpoints in turn."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> EndpointState | None:
        """Return the next endpoint that may take a call, or ``None``."""
        found = _open(endpoints, now_s)
        if not found:
            return None
        self._turn += 1
        return found[self._turn % len(found)]


@register(PluginKind.ROUTING, "least_loaded")
class LeastLoadedRouting:
    """Takes the endpoint with the fewest calls under way."""

    __slots__ = ()

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> EndpointState | None:
        """Return the least loaded endpoint that may take a call, or ``None``."""
        return min(
            _open(endpoints, now_s),
            key=lambda item: (item.in_flight + item.load.waiting, item.address),
            default=None,
        )


@register(PluginKind.ROUTING, "sticky")
class StickyRouting:
    """Takes the same endpoint for all calls of a program."""

    __slots__ = ()

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> EndpointState | None:
        """Return the program's endpoint once it may take a call, or ``None``."""
        usable = {
            item.address: item
            for item in endpoints
            if not item.is_leaving and item.breaker.allows(now_s)
        }
        chosen = first(request.program, usable)
        if chosen is None or not usable[chosen].may_take(now_s):
            return None
        return usable[chosen]
