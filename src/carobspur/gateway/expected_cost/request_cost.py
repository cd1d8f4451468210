"""Learned sizes of requests and speeds of services; pure.

It handles turns whose lengths differ by a factor of ten, and plain calls whose routes
cost from 20 to 80 ms at the same endpoints.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .estimates import ReuseShares, RobustMean

PRIOR_MS_PER_TOKEN = 0.01
"""Assumed prefill time of a prompt token before the first measurement; only the order
of magnitude matters."""
PRIOR_EVENTS = 8.0
PRIOR_FOOTPRINT = 1000.0
PRIOR_WARM_SHARE = 0.8
"""Assumed time of a call at the endpoint that handled the same object before, as a
share of its time elsewhere, until both were measured."""
FALLBACK_CALL_MS = 60.0


@dataclass(slots=True)
class ServiceModel:
    """Learned properties of the endpoints of one service.

    Attributes:
        ms_per_token: Prefill time of one prompt token.
        first_event_ms: Time to the first event beyond queue, prefill and one gap.
        uncached_tokens: Usual prompt tokens that a turn makes an engine prefill.
        events: Usual number of events of a turn.
        footprint: Usual tokens of engine memory that a turn needs.
        call_ms: Usual time of a plain call of any route.
        reuse: How much of the prompts expected to be cached was.
    """

    ms_per_token: RobustMean = field(
        default_factory=lambda: RobustMean(PRIOR_MS_PER_TOKEN)
    )
    first_event_ms: RobustMean = field(default_factory=lambda: RobustMean(2.0))
    uncached_tokens: RobustMean = field(default_factory=lambda: RobustMean(300.0))
    events: RobustMean = field(default_factory=lambda: RobustMean(PRIOR_EVENTS))
    footprint: RobustMean = field(default_factory=lambda: RobustMean(PRIOR_FOOTPRINT))
    call_ms: RobustMean = field(default_factory=lambda: RobustMean(FALLBACK_CALL_MS))
    reuse: ReuseShares = field(default_factory=ReuseShares)


@dataclass(slots=True)
class RouteModel:
    """Learned sizes of the requests of one route.

    Attributes:
        events: Usual number of events of a turn.
        hint_factor: Events divided by those that the caller's length hint implies.
        cold_ms: Time of a call at an endpoint of usual speed with a free slot.
        warm_ms: The same at the endpoint that the affinity key ranks first.
    """

    events: RobustMean
    hint_factor: RobustMean
    cold_ms: RobustMean
    warm_ms: RobustMean

    def expected_call_ms(self, *, is_warm: bool) -> float:
        """Return the expected time of a call at an endpoint of usual speed."""
        if not is_warm:
            return self.cold_ms.value
        return min(self.warm_ms.value, self.cold_ms.value)

    @classmethod
    def with_priors(cls, *, events: float, call_ms: float) -> RouteModel:
        """Return the model of a route without measurements."""
        return cls(
            RobustMean(events),
            RobustMean(1.0),
            RobustMean(call_ms),
            RobustMean(PRIOR_WARM_SHARE * call_ms),
        )

    def expected_events(self, hinted_events: float) -> float:
        """Return the expected number of events of a turn.

        Args:
            hinted_events: Events that the caller's length hint implies; 0 without one.
        """
        if hinted_events:
            return max(1.0, hinted_events * self.hint_factor.value)
        return self.events.value

    def record_events(self, events: int, hinted_events: float) -> None:
        """Record the number of events of a complete turn."""
        self.events.record(events)
        if hinted_events:
            self.hint_factor.record(events / hinted_events)
