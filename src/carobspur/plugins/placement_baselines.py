"""Baseline placement policies, with which the gateways' placement is compared."""

from __future__ import annotations

from collections.abc import Sequence

from ..gateway.endpoints import Endpoint
from ..gateway.health import HealthTracker
from ..gateway.placement import Need
from ..plugin_registry import PluginKind, register


@register(PluginKind.PLACEMENT, "round_robin")
class RoundRobinPlacement:
    """Chooses the endpoints in turn, regardless of their load."""

    __slots__ = ("_choices",)

    def __init__(self) -> None:
        self._choices = 0

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the next endpoint by id, or ``None`` if there are none."""
        if not endpoints:
            return None
        self._choices += 1
        by_id = sorted(endpoints, key=lambda item: item.id)
        return by_id[self._choices % len(by_id)]

    engine = plain


@register(PluginKind.PLACEMENT, "least_loaded")
class LeastLoadedPlacement:
    """Chooses the endpoint with the fewest requests in flight known to this gateway."""

    __slots__ = ()

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the least loaded endpoint, or ``None`` if there are none."""
        return min(
            endpoints,
            key=lambda item: (health.running(item.key, now), item.id),
            default=None,
        )

    engine = plain
