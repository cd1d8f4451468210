"""Chooses the endpoint of a request by the least predicted time; pure functions.

The prediction takes account of these situations:

- Many callers use one service at once: requests are sent to endpoints with free slots
  before any of them queues.
- A fifth of the endpoints are slow: their measured answer times raise the prediction
  at once.
- An endpoint crashed or resets connections: a penalty keeps requests away from it for a
  while, unless all others are predicted to be worse.
- An endpoint fails requests at once and so has little load: failures that any gateway
  saw there raise the prediction at all gateways.
- Engines cache prefixes: every gateway computes the same engine for a program, and
  uses it until its load costs more than prefilling the prompt elsewhere. The cost of
  each further request is estimated per service: it differs between engines by a factor
  of ten.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from ..placement import rank
from .calls import PromptPart
from .endpoints import Endpoint
from .health import HealthTracker

REMOTE_PENALTY_MS = 2.0
"""Penalty of an endpoint in another data centre: extra latency and the cost of the
bytes, expressed as time."""
SUSPECT_PENALTY_MS = 2000.0
"""Penalty of an endpoint that failed recently: more than any queue worth waiting in."""
FAILURE_PENALTY_MS = 2000.0
"""Cost of a failed request, expressed as time: that of an answer later than any program
accepts. It is weighted with the expected share of failures."""
FULL_PENALTY_MS = 400.0
"""Penalty of an endpoint that has just refused a request because it is full."""
PREFILL_TOKENS_PER_MS = 150.0
"""Prompt tokens that an engine prefills in a millisecond, from the platform's data
sheets (147 to 164). It cannot be measured from answers: they include a queue of unknown
length."""
PREFILL_WEIGHT = 2.5
"""Factor on the prefill time, because prefilling also delays the requests that run on
the same engine."""
CONTENTION_SHARE = 0.5
"""Average share of its turn that a running request has yet to generate. Another request
on the engine slows down only this share."""
DEFAULT_SERVICE_MS = 60.0
"""Assumed duration of a plain call on a route where none was answered yet."""


@dataclass(frozen=True, slots=True)
class Need:
    """Properties of a request that placement takes into account.

    Attributes:
        data_centre: Data centre of the gateway.
        affinity: Key whose requests should go to the same engine, such as the program
            id; empty for none.
        prompt_tokens: Length of the prompt that an engine without it in its cache
            would have to prefill.
        service_ms: Usual duration of plain calls on the route.
        route: Name of the route.
        is_turn: Whether the request is a turn at a model engine.
        prompt_parts: Parts of the prompt in order; empty if not stated.
        expected_tokens: The caller's estimate of the tokens that a turn generates; 0
            if not stated.
        max_tokens: Most tokens that a turn may generate; 0 if not stated.
        resumed_events: Events of a turn that an earlier run has generated.
        tokens_per_event: Tokens in one event of the service's streams.
        memory_tokens: Tokens that an engine's memory holds; 0 if not stated.
    """

    data_centre: str
    affinity: str = ""
    prompt_tokens: int = 0
    service_ms: float = DEFAULT_SERVICE_MS
    route: str = ""
    is_turn: bool = False
    prompt_parts: tuple[PromptPart, ...] = ()
    expected_tokens: int = 0
    max_tokens: int = 0
    resumed_events: int = 0
    tokens_per_event: int = 1
    memory_tokens: int = 0


class SendObservation:
    """Progress of a request at the endpoint that it was sent to.

    This class ignores what is recorded; placement policies that learn from their
    requests return their own.
    """

    __slots__ = ()

    @property
    def expected_ms(self) -> float:
        """Expected time until the request is complete; 0 if it was not estimated."""
        return 0.0

    def record_event(self, now: float) -> None:
        """Record an event of the answer's stream."""

    def record_slow_caller(self) -> None:
        """Record that the caller delays the events that are read from now on."""

    def record_answer(self, now: float) -> None:
        """Record that the endpoint has answered the request completely."""

    def close(self, now: float) -> None:
        """Record that the request is no longer under way; has an effect only once."""


class PlacementPolicy(Protocol):
    """Chooses among usable endpoints; a plug-in that the settings select by name."""

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the endpoint for a plain call, ``None`` if ``endpoints`` is empty."""

    def engine(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the engine for a turn, ``None`` if ``endpoints`` is empty."""


@runtime_checkable
class ObservingPolicy(Protocol):
    """A placement policy that is told about each request from its choice to its end."""

    def observe(
        self, endpoint: Endpoint, need: Need, health: HealthTracker, now: float
    ) -> SendObservation:
        """Return the observation of a request that is now sent to an endpoint."""


IGNORED = SendObservation()


def uses_call_affinity(policy: PlacementPolicy) -> bool:
    """Return whether a policy places plain calls of one affinity key together.

    Under the others, calls of one key stay distributed over services and samples of
    endpoints by their request ids.
    """
    return getattr(policy, "uses_call_affinity", False)


def observe(
    policy: PlacementPolicy,
    endpoint: Endpoint,
    need: Need,
    health: HealthTracker,
    now: float,
) -> SendObservation:
    """Return the policy's observation of a request that is now sent to an endpoint."""
    if isinstance(policy, ObservingPolicy):
        return policy.observe(endpoint, need, health, now)
    return IGNORED


def choose_plain(
    endpoints: Sequence[Endpoint], need: Need, health: HealthTracker, now: float
) -> Endpoint | None:
    """Return the endpoint with the least predicted time for a plain call."""
    return min(
        endpoints,
        key=lambda item: (_plain_ms(item, need, health, now), item.id),
        default=None,
    )


def choose_engine(
    endpoints: Sequence[Endpoint], need: Need, health: HealthTracker, now: float
) -> Endpoint | None:
    """Return the engine with the least predicted time for a turn."""
    warm_key = _warm_engine_key(endpoints, need)
    return min(
        endpoints,
        key=lambda item: (
            _engine_ms(item, need, health, now, is_warm=item.key == warm_key),
            item.id,
        ),
        default=None,
    )


def _warm_engine_key(endpoints: Sequence[Endpoint], need: Need) -> str:
    """Return the key of the engine that should have the program's prompts cached.

    It is the highest-ranked engine for the affinity key, so that every gateway computes
    the same one. Callers stay with gateways of their data centre, so engines there are
    preferred: prompts are most of the traffic between data centres.
    """
    if not need.affinity:
        return ""
    local = [item.key for item in endpoints if item.data_centre == need.data_centre]
    keys = local or [item.key for item in endpoints]
    return next(iter(rank(need.affinity, keys)), "")


def _plain_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float
) -> float:
    """Return the predicted time of a plain call, with the endpoint's penalties."""
    state = health.state(endpoint.key)
    expected_ms = need.service_ms * state.slowness(now)
    slots = max(endpoint.slots, 1)
    running = health.running(endpoint.key, now)
    waiting = max(0, running + 1 - slots)
    # With free slots an endpoint takes its expected time; the small share for running
    # requests balances the load where nothing queues.
    busy_ms = expected_ms * (1 + 0.2 * running / slots + waiting / slots)
    return busy_ms + penalty_ms(endpoint, need, health, now)


def _engine_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float, *, is_warm: bool
) -> float:
    """Return the predicted cost of a turn, as time, with the engine's penalties.

    The cost includes the time by which the turn delays those that already run on the
    engine.

    Args:
        endpoint: The engine.
        need: Properties of the turn.
        health: Load, answer times and failures of endpoints.
        now: Loop time.
        is_warm: Whether the engine should have the prompt in its cache.
    """
    state = health.state(endpoint.key)
    slots = max(endpoint.slots, 1)
    running = health.running(endpoint.key, now)
    waiting = max(0, running + 1 - slots)
    times = health.engine_times(endpoint.service)
    turn_ms = times.turn_ms(running + 1) * state.slowness(now)
    delay_to_others_ms = CONTENTION_SHARE * times.contention_ms * min(running, slots)
    uncached_tokens = 0 if is_warm else need.prompt_tokens
    return (
        turn_ms * (1 + waiting / slots)
        + delay_to_others_ms
        + PREFILL_WEIGHT * uncached_tokens / PREFILL_TOKENS_PER_MS
        + penalty_ms(endpoint, need, health, now)
    )


def penalty_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float
) -> float:
    """Return the sum of an endpoint's penalties."""
    state = health.state(endpoint.key)
    total_ms = FAILURE_PENALTY_MS * health.failure_share(endpoint.key, now)
    if endpoint.data_centre != need.data_centre:
        total_ms += REMOTE_PENALTY_MS
    if now < state.suspect_until:
        total_ms += SUSPECT_PENALTY_MS
    if now < state.full_until:
        total_ms += FULL_PENALTY_MS
    return total_ms
