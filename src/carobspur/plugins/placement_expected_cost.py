"""Placement by expected cost: the request's own time and the delay to others.

It learns from each request that it places; see :mod:`carobspur.gateway.expected_cost`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..gateway.endpoints import Endpoint
from ..gateway.expected_cost.choice import (
    CandidateCost,
    EndpointView,
    ReusedPrompt,
    TurnSize,
    call_cost,
    choose,
    discount_stale_counts,
    turn_cost,
)
from ..gateway.expected_cost.estimates import Reuse
from ..gateway.expected_cost.observations import (
    NEW_ENDPOINT,
    CallObservation,
    EndpointState,
    TurnObservation,
)
from ..gateway.expected_cost.prompt_cache import DEFAULT_CAPACITY, RECENT_S, PromptCache
from ..gateway.expected_cost.request_cost import RouteModel, ServiceModel
from ..gateway.health import LOAD_REPORT_TTL_S, EndpointHealth, HealthTracker
from ..gateway.placement import Need, SendObservation, penalty_ms
from ..placement import first_of
from ..plugin_registry import PluginKind, register

SHARED_PART_SHARE = 0.7
"""Share of a first part that many programs use which an engine without other knowledge
is expected to have cached. It matters little: it is the same for all engines."""
HIDDEN_FLOOR = 0.5
"""Share of the usual hidden requests that an endpoint has at least, whatever it
reports."""
MAX_UNSEEN_PER_SLOT = 8.0
"""Most reported requests for each slot that count beyond those known otherwise; with as
many in its queue an endpoint is used only if all others are as full."""
HIDDEN_WEIGHT = 0.05
MAX_ENDPOINTS = 4096
"""Endpoints whose measurements are kept: more than the largest deployment has."""


@dataclass(slots=True)
class Choice:
    """A decision with its alternatives.

    Attributes:
        costs: Expected costs of all candidates.
        chosen: The chosen one; ``None`` without candidates.
    """

    costs: list[CandidateCost]
    chosen: CandidateCost | None


@register(PluginKind.PLACEMENT, "expected_cost")
class ExpectedCostPlacement:
    """Chooses the endpoint with the least expected cost.

    Args:
        source: Source of random numbers for the choice among near equals.
    """

    __slots__ = (
        "_endpoints",
        "_hidden",
        "_is_learning",
        "_last_cost",
        "_prompts",
        "_random",
        "_routes",
        "_services",
    )

    uses_call_affinity = True

    def __init__(self, source: random.Random | None = None) -> None:
        self._random = source or random.Random()
        self._endpoints: dict[str, EndpointState] = {}
        self._services: dict[str, ServiceModel] = {}
        self._routes: dict[str, RouteModel] = {}
        # Usual requests that are not counted by this gateway or a peer, by service.
        self._hidden: dict[str, float] = {}
        self._is_learning = True
        self._prompts = PromptCache()
        # The observation of a request follows its choice at once.
        self._last_cost: CandidateCost | None = None

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the endpoint for a plain call, or ``None`` if there is none."""
        return self._remember(self._plain_choice(endpoints, need, health, now))

    def engine(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the engine for a turn, or ``None`` if there is none."""
        return self._remember(self._engine_choice(endpoints, need, health, now))

    def explain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Choice:
        """Return what would be chosen now, without changing what was learned.

        Args:
            endpoints: The candidates.
            need: Properties of the request.
            health: Load and failures of endpoints.
            now: Loop time.
        """
        state = self._random.getstate()
        self._is_learning = False
        try:
            return self._choice(endpoints, need, health, now)
        finally:
            self._is_learning = True
            self._random.setstate(state)

    def observe(
        self, endpoint: Endpoint, need: Need, health: HealthTracker, now: float
    ) -> SendObservation:
        """Return the observation of a request that is now sent to an endpoint."""
        cost, self._last_cost = self._last_cost, None
        if cost is None or cost.view.key != endpoint.key:
            # A turn that is resumed at its engine is sent without a choice.
            cost = self._choice([endpoint], need, health, now).chosen
        service = self._service(endpoint.service)
        route = self._route(need, service)
        state = self._state(endpoint.key)
        if not need.is_turn:
            return CallObservation(state, service, route, cost, health, now)
        self._prompts.record(
            endpoint.key,
            need.prompt_parts,
            now,
            program=need.affinity,
            capacity=need.memory_tokens,
        )
        return TurnObservation(state, service, route, cost, need, health, now)

    def _remember(self, choice: Choice) -> Endpoint | None:
        self._last_cost = choice.chosen
        return choice.chosen.view.endpoint if choice.chosen else None

    def _choice(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Choice:
        decide = self._engine_choice if need.is_turn else self._plain_choice
        return decide(endpoints, need, health, now)

    def _plain_choice(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Choice:
        if not endpoints:
            return Choice([], None)
        service = self._service(endpoints[0].service)
        route = self._route(need, service)
        usual_ms = service.call_ms.value
        warm_key, _ = _ranked_keys(endpoints, need)
        views = [self._view(item, need, health, now) for item in endpoints]
        discount_stale_counts(views, usual_ms, health.peers.mean_age_s)
        costs = []
        for view in views:
            view.is_warm = view.key == warm_key
            work_ms = route.expected_call_ms(is_warm=view.is_warm)
            costs.append(call_cost(view, work_ms, usual_ms))
        position_ms = usual_ms / _usual_slots(endpoints)
        return Choice(costs, choose(costs, position_ms, self._random))

    def _engine_choice(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Choice:
        if not endpoints:
            return Choice([], None)
        service = self._service(endpoints[0].service)
        size = self._turn_size(endpoints[0].service, need, health)
        ranked = _ranked_keys(endpoints, need)
        tokens = _prompt_tokens(need)
        shared_tokens = 0
        if need.prompt_parts and self._prompts.is_shared(need.prompt_parts[0]):
            shared_tokens = need.prompt_parts[0].tokens
        slots = _usual_slots(endpoints)
        usual_ms = size.usual_turn_ms(slots)
        views = [self._view(item, need, health, now) for item in endpoints]
        discount_stale_counts(views, usual_ms, health.peers.mean_age_s)
        costs = []
        for view in views:
            reused = self._reused(view.key, need, service, ranked, tokens, now)
            cached = SHARED_PART_SHARE * shared_tokens
            if reused is not None:
                view.reuse = reused
                cached = max(cached, service.reuse.share(reused.reuse) * reused.tokens)
                view.is_warm = reused.is_sent and (
                    reused.tokens > max(shared_tokens, tokens / 2)
                )
            if view.key == ranked[0]:
                view.is_warm = True
            view.uncached_tokens = tokens - cached if cached < tokens else 0.0
            costs.append(turn_cost(view, size))
        position_ms = usual_ms / slots
        return Choice(costs, choose(costs, position_ms, self._random))

    def _turn_size(self, service: str, need: Need, health: HealthTracker) -> TurnSize:
        """Return the expected size of a turn, and the usual one of its service."""
        model = self._service(service)
        hinted = need.expected_tokens / need.tokens_per_event
        events = self._route(need, model).expected_events(hinted)
        if need.max_tokens:
            events = min(events, need.max_tokens / need.tokens_per_event)
        # A length that no engine can generate must not decide the choice.
        events = min(events, _most_tokens(need) / need.tokens_per_event)
        events = max(1.0, events - need.resumed_events)
        times = health.engine_times(service)
        idle_gap_ms = times.gap_ms(0)
        return TurnSize(
            events=events,
            footprint=_prompt_tokens(need) + events * need.tokens_per_event,
            idle_gap_ms=idle_gap_ms,
            gap_slope_ms=times.gap_ms(1) - idle_gap_ms,
            ms_per_token=model.ms_per_token.value,
            usual_events=model.events.value,
            usual_uncached=model.uncached_tokens.value,
            usual_footprint=model.footprint.value,
            memory_tokens=need.memory_tokens,
        )

    def _reused(
        self,
        key: str,
        need: Need,
        service: ServiceModel,
        ranked: tuple[str, str],
        tokens: int,
        now: float,
    ) -> ReusedPrompt | None:
        """Return which part of a prompt an engine is expected to have, and why.

        Args:
            key: Key of the engine.
            need: Properties of the turn.
            service: Learned properties of the engine's service.
            ranked: Keys of the engines that the affinity ranks first and second.
            tokens: Length of the prompt.
            now: Loop time.
        """
        reused = None
        best = 0.0
        known, age_s = self._prompts.known_prefix(key, need.prompt_parts, now)
        if known:
            is_recent = age_s < RECENT_S
            reuse = Reuse.SENT_RECENTLY if is_recent else Reuse.SENT_BEFORE
            reused = ReusedPrompt(reuse, known)
            best = known * service.reuse.share(reuse)
        if key in ranked:
            # The last part is the new input of the turn.
            new_tokens = need.prompt_parts[-1].tokens if need.prompt_parts else 0
            is_first = key == ranked[0]
            reuse = Reuse.FIRST_CHOICE if is_first else Reuse.SECOND_CHOICE
            old_tokens = max(0, tokens - new_tokens)
            if old_tokens * service.reuse.share(reuse) > best:
                return ReusedPrompt(reuse, old_tokens)
        return reused

    def _view(
        self, endpoint: Endpoint, need: Need, health: HealthTracker, now: float
    ) -> EndpointView:
        key = endpoint.key
        state = health.state(key)
        peers = health.peers.total(key, now)
        is_complete = health.peers.is_complete
        has_report = (
            state.reported_load is not None
            and now - state.reported_at <= LOAD_REPORT_TTL_S
        )
        known = self._endpoints.get(key, NEW_ENDPOINT)
        is_new = has_report and state.reported_at > known.backlog.reported_at
        if is_new and not is_complete and self._is_learning:
            self._record_report(endpoint, state, peers, now)
            known = self._state(key)
        backlog = known.backlog
        own = len(backlog.sent)
        if state.in_flight > own:
            own = state.in_flight
        counted = own + peers
        unseen = 0.0
        if has_report and not (is_complete and peers):
            most = MAX_UNSEEN_PER_SLOT * (endpoint.slots or 1)
            unseen = min(max(0.0, state.running(now) - counted), most)
        if not is_complete:
            usual = HIDDEN_FLOOR * self._hidden.get(endpoint.service, 0.0)
            hidden = backlog.hidden(now) if backlog.reported_at >= 0 else 0.0
            unseen = max(unseen, hidden, usual)
        view = EndpointView(
            endpoint,
            key,
            requests=counted + backlog.credibility(now) * unseen if unseen else counted,
            own_requests=own,
            is_local=endpoint.data_centre == need.data_centre,
            speed=known.speed.factor(state.slowdown(now) if has_report else None, now),
            penalty_ms=penalty_ms(endpoint, need, health, now),
        )
        if not backlog.sent:
            return view
        view.speed = max(view.speed, backlog.overdue_factor(now))
        work_ms = footprint = pending_tokens = 0.0
        for item in backlog.sent:
            work_ms += item.remaining_ms(now)
            footprint += item.footprint
            if not item.is_generating:
                pending_tokens += item.uncached_tokens
        view.own_work_ms = work_ms
        view.own_footprint = footprint
        view.pending_tokens = pending_tokens
        return view

    def _record_report(
        self, endpoint: Endpoint, state: EndpointHealth, peers: int, now: float
    ) -> None:
        """Compare a new load report with what this gateway and its peers count."""
        load = state.reported_load
        most = state.in_flight_at_report + MAX_UNSEEN_PER_SLOT * (endpoint.slots or 1)
        excess = self._state(endpoint.key).backlog.record_report(
            min(load.running + load.waiting, most),
            state.in_flight_at_report + peers,
            reported_at=state.reported_at,
            now=now,
        )
        if excess is not None:
            usual = self._hidden.get(endpoint.service, 0.0)
            usual += HIDDEN_WEIGHT * (min(excess, 4 * endpoint.slots) - usual)
            self._hidden[endpoint.service] = usual

    def _service(self, name: str) -> ServiceModel:
        return self._services.setdefault(name, ServiceModel())

    def _route(self, need: Need, service: ServiceModel) -> RouteModel:
        known = self._routes.get(need.route)
        if known is None:
            known = RouteModel.with_priors(
                events=service.events.value, call_ms=need.service_ms
            )
            self._routes[need.route] = known
        return known

    def _state(self, key: str) -> EndpointState:
        known = self._endpoints.get(key)
        if known is None:
            if len(self._endpoints) >= MAX_ENDPOINTS:
                self._endpoints = {
                    name: item
                    for name, item in self._endpoints.items()
                    if item.backlog.sent
                }
            known = self._endpoints[key] = EndpointState()
        return known


def _usual_slots(endpoints: Sequence[Endpoint]) -> int:
    """Return the median of the endpoints' slots, at least 1.

    A single endpoint that states a strange number must not change the margins of all.
    """
    slots = sorted([item.slots for item in endpoints])
    return slots[len(slots) // 2] or 1


def _prompt_tokens(need: Need) -> int:
    """Return the length of a prompt, at most what an engine holds."""
    tokens = need.prompt_tokens or sum(part.tokens for part in need.prompt_parts)
    return min(tokens, _most_tokens(need))


def _most_tokens(need: Need) -> int:
    """Return the most tokens that a request may be expected to need."""
    return need.memory_tokens or DEFAULT_CAPACITY


def _ranked_keys(endpoints: Sequence[Endpoint], need: Need) -> tuple[str, str]:
    """Return the keys of the two endpoints that the affinity ranks first.

    Every gateway of a data centre computes the same ones. Endpoints of the data centre
    are preferred: prompts are most of the traffic between data centres.
    """
    if not need.affinity:
        return "", ""
    local = [item.key for item in endpoints if item.data_centre == need.data_centre]
    keys = local or [item.key for item in endpoints]
    first, second = [*first_of(need.affinity, keys, 2), "", ""][:2]
    return first, second
