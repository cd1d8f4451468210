"""Baselines that the gateways' placement is compared with."""

from __future__ import annotations

from collections.abc import Sequence

from ..gateway.endpoints import Endpoint
from ..gateway.health import HealthTracker
from ..gateway.placement import Need
from ..plugin_registry import PluginKind, register


@register(PluginKind.PLACEMENT, "round_robin")
class RoundRobinPlacement:
    """Takes the endpoints in turn, whatever they have under way."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the next endpoint."""
        if not endpoints:
            return None
        self._turn += 1
        order = sorted(endpoints, key=lambda item: item.id)
        return order[self._turn % len(order)]

    engine = plain


@register(PluginKind.PLACEMENT, "least_loaded")
class LeastLoadedPlacement:
    """Takes the endpoint with the fewest requests under way, as far as is known."""

    __slots__ = ()

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the least loaded endpoint."""
        return min(
            endpoints,
            key=lambda item: (health.running(item.key, now), item.id),
            default=None,
        )

    engine = plain
