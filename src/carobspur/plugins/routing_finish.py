"""Routing by predicted finish, the default policy of schedulers."""

from __future__ import annotations

from collections.abc import Sequence

from ..plugin_registry import PluginKind, register
from ..pool import EndpointState
from ..routing import (
    QueueOrder,
    RouteChoice,
    RouteRequest,
    Send,
    WaitFor,
    fetch_seconds,
    has_prefix,
    run_seconds,
)

OTHER_DATA_CENTRE_COST_S = 0.002
CACHED_PREFIX_COST_S = 0.05


@register(PluginKind.ROUTING, "finish")
class FinishRouting:
    """Chooses the endpoint with the lowest cost for the call and for other calls.

    The cost is the predicted time until the call finishes there, plus the delay of
    other calls: computing a history again stops all calls in that engine's batch.
    A call waits for a busy engine where that costs less than another engine.
    """

    __slots__ = ()
    order = QueueOrder.PROGRAM

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return the endpoint with the lowest cost, to send the call or wait for it."""
        best = None
        best_cost = (float("inf"), "")
        for item in endpoints:
            if item.is_draining or not item.breaker.allows(now_s):
                continue
            cost = (_cost_s(item, request), item.address)
            if cost < best_cost:
                best, best_cost = item, cost
        if best is None:
            return WaitFor()
        return Send(best) if best.can_accept(now_s) else WaitFor(best)


def _cost_s(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return an endpoint's cost in seconds, weighted by the organisation.

    For an endpoint without the call's history, ``CACHED_PREFIX_COST_S`` times the
    number of histories cached there, divided by its window, is added. This spreads
    programs evenly.
    """
    weights = request.weights
    fetch_s = fetch_seconds(endpoint, request)
    finish_s = _wait_s(endpoint) + run_seconds(endpoint, request)
    if endpoint.data_centre != request.data_centre:
        finish_s += OTHER_DATA_CENTRE_COST_S
    if not has_prefix(endpoint, request):
        finish_s += (
            CACHED_PREFIX_COST_S * len(endpoint.prefixes) / max(1, endpoint.window)
        )
    delay_of_others_s = fetch_s * endpoint.in_flight
    return (
        weights.latency * (finish_s + delay_of_others_s)
        + weights.wasted_cache * fetch_s
    )


def _wait_s(endpoint: EndpointState) -> float:
    """Return the predicted wait for a free slot, in seconds.

    Only this scheduler's calls are counted: those in flight, and those that wait for
    the endpoint ahead of this one.
    """
    calls_ahead = endpoint.in_flight + endpoint.calls_ahead - endpoint.window + 1
    if calls_ahead <= 0 or not endpoint.in_flight:
        return 0.0
    service_s = endpoint.work_s / endpoint.in_flight
    return calls_ahead * service_s / endpoint.window
