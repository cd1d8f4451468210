"""Chooses the endpoint of a request; pure decisions on what is known now.

The loads each answers:

- Many callers at once on one service: the least predicted time wins, so that work
  goes where places are free before it waits.
- A fifth of the endpoints slow: their measured pace makes them dearer at once.
- An endpoint that crashed or resets: it is avoided for a while, used only when all
  others are worse.
- An endpoint that fails what it is sent while it looks idle: what all gateways saw
  fail there makes it dearer for each of them.
- Engines with warm caches: a program keeps to the engine that every gateway computes
  for it, until the load there costs more than to read its prompt elsewhere. What each
  further request costs is learned for each service: engines differ by ten times.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ..placement import rank
from .endpoints import Endpoint
from .health import HealthTracker

REMOTE_PENALTY_MS = 2.0
"""Added way between data centres and what its bytes cost, as time."""
SUSPECT_PENALTY_MS = 2000.0
"""Penalty of an endpoint that failed lately: more than any wait that is worth it."""
FAILURE_PENALTY_MS = 2000.0
"""What a request that fails costs, as time: as much as one that comes late by more
than any program allows."""
FULL_PENALTY_MS = 400.0
"""Penalty of an endpoint that refused for lack of places within the last moments."""
PREFILL_TOKENS_PER_MS = 150.0
"""Prompt tokens that an engine reads in a millisecond, from the platform's sheets (147
to 164). Answers do not tell it: they come after a queue of unknown length."""
PREFILL_WEIGHT = 2.5
"""A prompt that is read holds up the requests that run there too."""
CONTENTION_SHARE = 0.5
"""Share of a turn that those that run already have before them on average: so much of
it a further request holds up."""
DEFAULT_SERVICE_MS = 60.0
"""Time of a plain call of a route that was not answered yet."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs.

    Attributes:
        data_centre: Where the gateway stands.
        affinity: What should stay on one engine; empty for none.
        prompt_tokens: Length of the prompt that a cold engine would read.
        service_ms: Usual time of such a plain call.
    """

    data_centre: str
    affinity: str = ""
    prompt_tokens: int = 0
    service_ms: float = DEFAULT_SERVICE_MS


class PlacementPolicy(Protocol):
    """Chooses among endpoints that may be used; a plug-in that settings name."""

    def plain(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the endpoint for a plain call, ``None`` where there is none."""

    def engine(
        self,
        endpoints: Sequence[Endpoint],
        need: Need,
        health: HealthTracker,
        now: float,
    ) -> Endpoint | None:
        """Return the engine for a turn, ``None`` where there is none."""


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
    """Return the key of the engine that has a program's prompts in its cache.

    Callers stay with gateways of their data centre, so engines there come first:
    prompts are the larger part of the bytes between data centres.
    """
    if not need.affinity:
        return ""
    near = [item.key for item in endpoints if item.data_centre == need.data_centre]
    keys = near or [item.key for item in endpoints]
    return next(iter(rank(need.affinity, keys)), "")


def _plain_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float
) -> float:
    state = health.state(endpoint.key)
    expected_ms = need.service_ms * state.slowness(now)
    slots = max(endpoint.slots, 1)
    running = health.running(endpoint.key, now)
    waiting = max(0, running + 1 - slots)
    # Below its slots an endpoint serves at its pace; a little spread keeps the
    # shares even where nothing waits.
    busy_ms = expected_ms * (1 + 0.2 * running / slots + waiting / slots)
    return busy_ms + _penalty_ms(endpoint, need, health, now)


def _engine_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float, *, is_warm: bool
) -> float:
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
        + _penalty_ms(endpoint, need, health, now)
    )


def _penalty_ms(
    endpoint: Endpoint, need: Need, health: HealthTracker, now: float
) -> float:
    state = health.state(endpoint.key)
    penalty_ms = FAILURE_PENALTY_MS * health.failure_share(endpoint.key, now)
    if endpoint.data_centre != need.data_centre:
        penalty_ms += REMOTE_PENALTY_MS
    if now < state.suspect_until:
        penalty_ms += SUSPECT_PENALTY_MS
    if now < state.full_until:
        penalty_ms += FULL_PENALTY_MS
    return penalty_ms
