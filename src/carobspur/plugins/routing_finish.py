"""Routing by predicted finish."""

from __future__ import annotations

from collections.abc import Sequence

from ..kernel import PluginKind, register
from ..pool import EndpointState
from ..routing import RouteRequest, run_seconds

OTHER_DATA_CENTRE_S = 0.002


@register(PluginKind.ROUTING, "finish")
class FinishRouting:
    """Sends a call where it should finish first."""

    __slots__ = ()

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> EndpointState | None:
        """Return the endpoint with the earliest predicted finish, or ``None``."""
        return min(
            (item for item in endpoints if item.may_take(now_s)),
            key=lambda item: (_finish_s(item, request), item.address),
            default=None,
        )


def _finish_s(endpoint: EndpointState, request: RouteRequest) -> float:
    distance_s = 0.0
    if endpoint.data_centre != request.data_centre:
        distance_s = OTHER_DATA_CENTRE_S
    waiting_s = endpoint.work_s / max(1, endpoint.window)
    return waiting_s + run_seconds(endpoint, request) + distance_s
