"""Holds by what it costs to compute a history again."""

from __future__ import annotations

from ..holds import HoldDecision, Keep, Leave, Pause
from ..kernel import PluginKind, register
from ..pool import EndpointState

MIN_TTL_S = 1.0
MAX_TTL_S = 30.0
PAUSES_PER_TTL = 2.0
MAX_SHARE = 0.8


@register(PluginKind.HOLDS, "cost")
class CostHolds:
    """Keeps a history while its cache share costs less than recomputing it."""

    __slots__ = ()
    releases = True

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return what to ask of the engine that ran the last call."""
        capacity = max(1, engine.kv_tokens)
        if engine.load.kv_used_tokens > MAX_SHARE * capacity:
            return Leave()
        ttl_s = max(MIN_TTL_S, PAUSES_PER_TTL * pause.expected_s)
        return Keep(min(ttl_s, MAX_TTL_S))


@register(PluginKind.HOLDS, "none")
class NoHolds:
    """Tells engines nothing; a baseline."""

    __slots__ = ()
    releases = False

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return that the engine decides."""
        return Leave()
