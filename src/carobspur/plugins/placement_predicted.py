"""The placement policy of gateways: the shortest predicted time."""

from __future__ import annotations

from collections.abc import Sequence

from ..gateway.endpoints import Endpoint
from ..gateway.health import HealthTracker
from ..gateway.placement import Need, choose_engine, choose_plain
from ..plugin_registry import PluginKind, register


@register(PluginKind.PLACEMENT, "predicted_time")
class PredictedTimePlacement:
    """Chooses the endpoint with the shortest predicted time."""

    __slots__ = ()

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the endpoint for a plain call, or ``None`` if there is none."""
        return choose_plain(endpoints, need, health, now)

    def engine(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the engine for a turn, or ``None`` if there is none."""
        return choose_engine(endpoints, need, health, now)
