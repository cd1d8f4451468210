"""Holds by what it costs to compute a history again."""

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

    Whatever the pause turns out to be, the cost is then at most twice the least
    possible one. A history whose pause is expected to be longer goes out at once, and
    so do all where the cache is nearly full.
    """

    __slots__ = ()
    gives_orders = True

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return what to ask of the engine that runs the call before the pause."""
        if engine.load.kv_used_tokens > NEARLY_FULL_SHARE * engine.kv_tokens:
            return Export()
        ttl_s = min(max(MIN_TTL_S, _break_even_s(pause, engine)), MAX_TTL_S)
        return Export() if pause.expected_s > ttl_s else Keep(ttl_s)


def _break_even_s(pause: Pause, engine: EndpointState) -> float:
    """Return the pause at which keeping and computing again cost the same.

    In the measure of wasted cache, ``n`` tokens held for ``s`` seconds cost
    ``n * s / capacity``, and computed again ``n / prefill speed``. The latter also
    stops the calls that run, which costs latency: the weights say how much.
    """
    weights = pause.weights
    capacity_s = engine.kv_tokens / engine.prefill_tokens_per_s
    stopped = engine.in_flight * weights.latency / max(weights.wasted_cache, 1e-6)
    return capacity_s * (1 + stopped)


@register(PluginKind.HOLDS, "none")
class NoHoldPolicy:
    """Tells engines nothing; a baseline."""

    __slots__ = ()
    gives_orders = False

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return that the engine decides."""
        return EngineDefault()
