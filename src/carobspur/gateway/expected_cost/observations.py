"""Learns from each request between its choice and its end.

It handles endpoints that become slow while requests run there, and engines that evict
prompts: both show in the times of events, long before the averages of whole answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..health import HealthTracker
from ..placement import Need, SendObservation
from .choice import CandidateCost
from .endpoint_backlog import OVERDUE_FACTOR, EndpointBacklog, SentRequest
from .endpoint_speed import EndpointSpeed
from .estimates import Reuse
from .request_cost import RouteModel, ServiceModel

MIN_RATE_TOKENS = 800
"""Fewest prompt tokens from which the prefill time is measured; for fewer the variation
of the first event's time exceeds it."""
MIN_REUSE_TOKENS = 300
"""Fewest prompt tokens from whose prefill time a cached share is measured."""
EVENTS_PER_MEASUREMENT = 4
"""Events of a stream after which its pace is measured, so that a slow engine shows
before the end of the turn."""


@dataclass(slots=True, eq=False)
class EndpointState:
    """What is learned about one endpoint.

    Attributes:
        speed: Its current speed.
        backlog: The requests that it still has to do.
    """

    speed: EndpointSpeed = field(default_factory=EndpointSpeed)
    backlog: EndpointBacklog = field(default_factory=EndpointBacklog)


NEW_ENDPOINT = EndpointState()
"""State of endpoints that were not used yet; it is never changed."""


class _Observation(SendObservation):
    """Part that turns and calls have in common.

    Args:
        state: What is learned about the endpoint.
        service: Learned properties of its service.
        route: Learned sizes of the route's requests.
        cost: Expected cost that the endpoint was chosen for.
        health: Load reports of endpoints.
        now: Loop time.
    """

    __slots__ = (
        "_cost",
        "_has_answer",
        "_health",
        "_request",
        "_route",
        "_service",
        "_state",
    )

    def __init__(
        self,
        state: EndpointState,
        service: ServiceModel,
        route: RouteModel,
        cost: CandidateCost,
        health: HealthTracker,
        now: float,
    ) -> None:
        self._state = state
        self._service = service
        self._route = route
        self._cost = cost
        self._health = health
        self._has_answer = False
        speed = cost.view.speed
        own_prefill_ms = cost.view.uncached_tokens * service.ms_per_token.value
        self._request = SentRequest(
            now,
            cost.completion_ms,
            cost.work_ms / speed + own_prefill_ms,
            speed,
            footprint=round(cost.footprint),
            uncached_tokens=cost.view.uncached_tokens,
        )
        state.backlog.sent.append(self._request)

    @property
    def expected_ms(self) -> float:
        """Expected time until the request is complete."""
        return self._request.expected_ms

    def close(self, now: float) -> None:
        """Record that the request is no longer under way; has an effect only once."""
        backlog = self._state.backlog
        if self._request not in backlog.sent:
            return
        backlog.sent.remove(self._request)
        elapsed_ms = self._elapsed_ms(now)
        ratio = elapsed_ms / max(self._request.expected_ms, 1.0)
        has_shown_pace = self._has_answer or self._request.is_generating
        if not has_shown_pace and ratio > OVERDUE_FACTOR:
            # Hedged and timed-out requests never show their full time.
            self._record_pace(ratio * self._request.speed, now)

    def _elapsed_ms(self, now: float) -> float:
        return 1000 * (now - self._request.sent_at)

    def _record_pace(self, ratio: float, now: float) -> None:
        slowdown = self._health.state(self._cost.view.key).slowdown(now)
        self._state.speed.record(ratio, slowdown, now)

    def _record_wait(self, actual_ms: float, now: float) -> None:
        """Record the time in a queue that was predicted; ignores short ones."""
        view, wait_ms = self._cost.view, self._cost.wait_ms
        if view.requests >= view.endpoint.slots + 1 and view.own_requests < (
            view.endpoint.slots
        ):
            self._state.backlog.record_wait(wait_ms, actual_ms, now)

    @property
    def _had_free_slot(self) -> bool:
        view = self._cost.view
        return view.requests + 1 <= view.endpoint.slots


class CallObservation(_Observation):
    """Learns from a plain call."""

    __slots__ = ()

    def record_answer(self, now: float) -> None:
        """Record that the endpoint has answered the request completely."""
        if self._has_answer:
            return
        self._has_answer = True
        cost = self._cost
        speed = cost.view.speed
        taken_ms = self._elapsed_ms(now)
        self._record_wait(taken_ms - cost.work_ms, now)
        usual_ms = (cost.work_ms + cost.wait_ms) / speed
        self._record_pace(taken_ms / max(usual_ms, 1e-3), now)
        if self._had_free_slot:
            route = self._route
            mean = route.warm_ms if cost.view.is_warm else route.cold_ms
            mean.record(taken_ms / speed)
            self._service.call_ms.record(taken_ms / speed)


class TurnObservation(_Observation):
    """Learns from a turn.

    Args:
        state: What is learned about the engine.
        service: Learned properties of its service.
        route: Learned sizes of the route's requests.
        cost: Expected cost that the engine was chosen for.
        need: Properties of the turn.
        health: Load reports of endpoints.
        now: Loop time.
    """

    __slots__ = (
        "_events",
        "_has_slow_caller",
        "_marked_at",
        "_marked_events",
        "_need",
    )

    def __init__(
        self,
        state: EndpointState,
        service: ServiceModel,
        route: RouteModel,
        cost: CandidateCost,
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> None:
        super().__init__(state, service, route, cost, health, now)
        self._need = need
        self._has_slow_caller = False
        self._events = 0
        self._marked_at = 0.0
        self._marked_events = 0

    @property
    def is_measured(self) -> bool:
        """Whether the whole turn was observed, with its events."""
        return self._has_answer and self._events > 0

    def record_event(self, now: float) -> None:
        """Record an event of the answer's stream."""
        self._events += 1
        request = self._request
        if self._events == 1:
            self._record_first_event(now)
            request.is_generating = True
            self._mark(now)
        elif self._events - self._marked_events == EVENTS_PER_MEASUREMENT:
            self._measure_gap(now)
        request.progress = self._events / max(self._cost.events, 1.0)

    def record_slow_caller(self) -> None:
        """Record that the times of further events do not show the engine's pace."""
        self._has_slow_caller = True

    def record_answer(self, now: float) -> None:
        """Record that the engine has generated the turn completely."""
        if self._has_answer:
            return
        self._has_answer = True
        if 1 < self._events <= EVENTS_PER_MEASUREMENT:
            self._measure_gap(now)
        need, service = self._need, self._service
        service.uncached_tokens.record(max(1.0, self._request.uncached_tokens))
        if need.resumed_events:
            return
        hinted = need.expected_tokens / need.tokens_per_event
        self._route.record_events(self._events, hinted)
        service.events.record(self._events)
        service.footprint.record(
            max(1.0, self._prompt_tokens + self._events * need.tokens_per_event)
        )

    def _mark(self, now: float) -> None:
        self._marked_at = now
        self._marked_events = self._events

    def _measure_gap(self, now: float) -> None:
        """Record the pace of the events since the last mark."""
        if self._has_slow_caller:
            return
        gaps = self._events - self._marked_events
        gap_ms = 1000 * (now - self._marked_at) / gaps
        self._record_pace(gap_ms / max(self._cost.usual_gap_ms, 1e-3), now)
        self._mark(now)

    def _record_first_event(self, now: float) -> None:
        """Learn from the time to the first event, unless a run is resumed."""
        if self._need.resumed_events:
            return
        cost, view, service = self._cost, self._cost.view, self._service
        per_token_ms = service.ms_per_token.value
        speed = self._request.speed
        # Time at the usual speed that is left for the queue and for prefilling.
        spent_ms = (
            self._elapsed_ms(now) / speed
            - cost.usual_gap_ms
            - service.first_event_ms.value
        )
        self._record_wait(speed * spent_ms - cost.prefill_ms, now)
        if not self._had_free_slot:
            return
        spent_ms -= view.pending_tokens * per_token_ms
        if view.reuse is None:
            if view.uncached_tokens >= MIN_RATE_TOKENS and (
                view.requests <= view.endpoint.slots / 2
            ):
                service.ms_per_token.record(max(spent_ms, 0.1) / view.uncached_tokens)
            return
        uncached = max(0.0, spent_ms) / per_token_ms
        tokens = view.reuse.tokens
        if tokens >= MIN_REUSE_TOKENS:
            new_tokens = max(0.0, self._prompt_tokens - tokens)
            service.reuse.record(view.reuse.reuse, 1 - (uncached - new_tokens) / tokens)
        if view.reuse.reuse is Reuse.SENT_RECENTLY:
            expected_ms = view.uncached_tokens * per_token_ms
            extra_ms = spent_ms + service.first_event_ms.value - expected_ms
            service.first_event_ms.record(max(extra_ms, 0.1))

    @property
    def _prompt_tokens(self) -> float:
        """Length of the prompt, at most what an engine holds."""
        generated = self._cost.events * self._need.tokens_per_event
        return self._cost.footprint - generated
