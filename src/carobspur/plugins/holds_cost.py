"""Hold policies: by the cost of recomputing a history, and a baseline without holds."""

from __future__ import annotations

from ..holds import EngineDefault, Export, HoldDecision, Keep, Pause
from ..plugin_registry import PluginKind, register
from ..pool import EndpointState

MIN_TTL_S = 1.0
MAX_TTL_S = 60.0
NEARLY_FULL_SHARE = 0.85


@register(PluginKind.HOLDS, "cost")
class CostHoldPolicy:
    """Keeps a history until keeping it has cost as much as computing it again.

    The cost is then at most twice the lowest possible one, however long the pause is.
    A history is exported at once if its pause is expected to be longer than that, or
    if more than ``NEARLY_FULL_SHARE`` of the engine's cache is in use.
    """

    __slots__ = ()
    gives_orders = True

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return ``Keep`` up to the break-even time, or ``Export``."""
        if engine.load.kv_used_tokens > NEARLY_FULL_SHARE * engine.kv_tokens:
            return Export()
        ttl_s = min(max(MIN_TTL_S, _break_even_s(pause, engine)), MAX_TTL_S)
        return Export() if pause.expected_s > ttl_s else Keep(ttl_s)


def _break_even_s(pause: Pause, engine: EndpointState) -> float:
    """Return the pause at which keeping and recomputing cost the same, in seconds.

    Measured in wasted cache, keeping ``n`` tokens for ``s`` seconds costs
    ``n * s / capacity``, and computing them again costs ``n / prefill speed``.
    Computing also delays the calls that are running on the engine; the organisation's
    weights convert this latency into wasted cache.
    """
    weights = pause.weights
    capacity_s = engine.kv_tokens / engine.prefill_tokens_per_s
    latency_cost = engine.in_flight * weights.latency / max(weights.wasted_cache, 1e-6)
    return capacity_s * (1 + latency_cost)


@register(PluginKind.HOLDS, "none")
class NoHoldPolicy:
    """Baseline without orders to engines."""

    __slots__ = ()
    gives_orders = False

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return ``EngineDefault``."""
        return EngineDefault()
