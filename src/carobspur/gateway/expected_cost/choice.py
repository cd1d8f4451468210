"""Chooses an endpoint by expected completion time and delay to others; pure.

The decision handles:

- many gateways with views up to a second old: it draws among nearly equal endpoints;
- engines of which one has the session's prompt cached: that one, unless its load costs
  more than prefilling the prompt elsewhere, including the delay of the turns there;
- engine memory that would overflow, so that running turns are preempted and read again;
- slow endpoints and endpoints with a queue of long requests.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, log1p
from random import Random

from ..endpoints import Endpoint
from .estimates import Reuse

LOAD_UNCERTAINTY = 1.0
"""Standard deviation, in requests, that a view of an endpoint's load is taken to have.
It makes a nearly full endpoint worse than an empty one before a queue is visible."""
WARM_MARGIN = 4.0
"""Queue positions by which a warm endpoint may be worse than the best one. The views of
load are about as old as a turn takes. With a margin of one, sessions moved after
differences that were gone, and engines read 742,000 tokens again instead of 92,000."""
NEAR_MARGIN = 2.0
"""Queue positions up to which endpoints count as nearly equal."""
LOCAL_MARGIN = 1.0
"""Queue positions by which the best endpoint of the gateway's own data centre may be
worse than the best one elsewhere. Draws among near equals would otherwise send most
requests through the links between data centres."""
TRIED_PENALTY_MS = 1000.0
"""Penalty from which an endpoint is not considered for having room in its memory."""


@dataclass(frozen=True, slots=True)
class TurnSize:
    """Expected size of a turn and the speed of its service.

    Attributes:
        events: Expected events.
        footprint: Tokens of engine memory that it needs.
        idle_gap_ms: Time between two events of a turn that runs alone.
        gap_slope_ms: Growth of that time with each further running turn.
        ms_per_token: Prefill time of a prompt token.
        usual_events: Usual events of the service's turns.
        usual_uncached: Usual prompt tokens that a turn makes an engine prefill.
        usual_footprint: Usual tokens of engine memory of a turn.
        memory_tokens: Tokens that an engine's memory holds; 0 if unknown.
    """

    events: float
    footprint: float
    idle_gap_ms: float
    gap_slope_ms: float
    ms_per_token: float
    usual_events: float
    usual_uncached: float
    usual_footprint: float
    memory_tokens: int

    def usual_turn_ms(self, running: float) -> float:
        """Return the usual time of a turn at an engine that runs so many."""
        gap_ms = self.idle_gap_ms + self.gap_slope_ms * (running - 1)
        return self.usual_events * gap_ms + self.usual_uncached * self.ms_per_token


@dataclass(frozen=True, slots=True)
class ReusedPrompt:
    """Leading part of a prompt that an engine may have cached.

    Attributes:
        reuse: Why it may.
        tokens: Length of the part.
    """

    reuse: Reuse
    tokens: int

    @property
    def is_sent(self) -> bool:
        """Whether this gateway sent the part to the engine."""
        return self.reuse in (Reuse.SENT_RECENTLY, Reuse.SENT_BEFORE)


@dataclass(slots=True)
class EndpointView:
    """What is known about a candidate when a request is placed.

    Attributes:
        endpoint: The candidate.
        key: Its key.
        requests: Expected requests there, queued ones included.
        own_requests: Those of them that this gateway sent.
        own_work_ms: Remaining work of these, at the usual speed.
        own_footprint: Tokens of engine memory of these.
        pending_tokens: Prompt tokens of these that are not prefilled yet.
        is_local: Whether it is in the gateway's data centre.
        speed: Time that work takes there, as a multiple of the usual time.
        penalty_ms: Penalties for failures, refusals and distance.
        reuse: Part of the prompt that it may have cached; ``None`` for none.
        uncached_tokens: Expected prompt tokens that the engine has to prefill.
        is_warm: Whether the request's affinity prefers it.
    """

    endpoint: Endpoint
    key: str
    requests: float
    own_requests: int
    is_local: bool = True
    speed: float = 1.0
    penalty_ms: float = 0.0
    own_work_ms: float = 0.0
    own_footprint: float = 0.0
    pending_tokens: float = 0.0
    reuse: ReusedPrompt | None = None
    uncached_tokens: float = 0.0
    is_warm: bool = False


@dataclass(slots=True)
class CandidateCost:
    """Expected cost of a request at one candidate, by term, in milliseconds.

    Attributes:
        view: What is known about the candidate.
        wait_ms: Time in its queue.
        prefill_ms: Time to read the prompt, and the prompts sent before.
        work_ms: Time to generate the answer or to handle the call.
        delay_ms: Sum of the delays of other requests.
        penalty_ms: Penalties for failures, refusals and distance.
        usual_gap_ms: Expected time between two events at an engine of usual speed.
        footprint: Tokens of engine memory that a turn needs.
        events: Expected events of a turn.
        has_room: Whether the engine's memory holds the request with those there.
        total_ms: Sum of the terms.
    """

    view: EndpointView
    wait_ms: float
    prefill_ms: float
    work_ms: float
    delay_ms: float
    penalty_ms: float
    usual_gap_ms: float = 0.0
    footprint: float = 0.0
    events: float = 0.0
    has_room: bool = True
    total_ms: float = 0.0

    def __post_init__(self) -> None:
        self.total_ms = (
            self.wait_ms
            + self.prefill_ms
            + self.work_ms
            + self.delay_ms
            + self.penalty_ms
        )

    @property
    def completion_ms(self) -> float:
        """Expected time until the request is complete."""
        return self.wait_ms + self.prefill_ms + self.work_ms


def discount_stale_counts(
    views: Sequence[EndpointView], usual_ms: float, age_s: float
) -> None:
    """Move the counted requests of others towards their mean, by the counts' age.

    After the usual time of a request a count says little: most of the requests in it
    have ended, and others have begun. A queue remains for longer.

    Args:
        views: The candidates; their number of requests is changed.
        usual_ms: Usual time of a request.
        age_s: Expected age of the counts.
    """
    usual_kept = exp(-1000 * age_s / usual_ms)
    groups: dict[str, list[EndpointView]] = {}
    for view in views:
        groups.setdefault(view.endpoint.data_centre, []).append(view)
    for group in groups.values():
        # Bounded, so that a false report of a long queue does not shift the mean far.
        mean = sum(
            min(item.requests - item.own_requests, 2 * item.endpoint.slots)
            for item in group
        ) / len(group)
        for view in group:
            slots = view.endpoint.slots or 1
            kept = usual_kept
            if view.requests > slots:
                kept **= slots / view.requests
            view.requests += (1 - kept) * (mean - view.requests + view.own_requests)


def queue_excess(requests: float, slots: int, work_ms: float, usual_ms: float) -> float:
    """Return the usual requests that have to leave before a new one starts.

    If all slots are occupied, the new request starts when the remaining work has shrunk
    to that of the others which then run; these are on average half done.

    Args:
        requests: Requests at the endpoint.
        slots: Requests that it processes at once.
        work_ms: Remaining work of its requests.
        usual_ms: Mean work of one of them; positive.
    """
    excess = work_ms / usual_ms - (slots - 1) / 2
    by_count = requests + 1 - slots
    if by_count >= 1:
        if excess < 0.5:
            excess = 0.5
    elif excess > by_count:
        # With a free slot, long requests in the others do not matter.
        excess = by_count
    if excess > 20 * LOAD_UNCERTAINTY:
        return excess
    return LOAD_UNCERTAINTY * log1p(exp(excess / LOAD_UNCERTAINTY))


def turn_cost(view: EndpointView, size: TurnSize) -> CandidateCost:
    """Return the expected cost of a turn at an engine."""
    slots = view.endpoint.slots or 1
    speed = view.speed
    others = view.requests if view.requests < slots - 1 else slots - 1
    gap_ms = size.idle_gap_ms + size.gap_slope_ms * others
    usual_ms = size.usual_turn_ms(others + 1)
    prefill_ms = view.uncached_tokens * size.ms_per_token
    wait_ms = usual_ms / slots * _excess(view, slots, usual_ms)
    overlap = size.events
    if overlap > size.usual_events / 2:
        overlap = size.usual_events / 2
    delay_ms = others * (prefill_ms + size.gap_slope_ms * overlap)
    has_room = True
    if size.memory_tokens:
        foreign = view.requests - view.own_requests
        reserved = view.own_footprint + foreign * size.usual_footprint
        has_room = reserved + size.footprint <= size.memory_tokens
        if not has_room:
            # A preempted turn is read again, which delays all that run there.
            reread_ms = size.usual_footprint * size.ms_per_token
            delay_ms += reread_ms * (1 + others)
    return CandidateCost(
        view,
        wait_ms=speed * wait_ms,
        prefill_ms=speed * (prefill_ms + view.pending_tokens * size.ms_per_token),
        work_ms=speed * size.events * gap_ms,
        delay_ms=speed * delay_ms,
        penalty_ms=view.penalty_ms,
        usual_gap_ms=gap_ms,
        footprint=size.footprint,
        events=size.events,
        has_room=has_room,
    )


def call_cost(view: EndpointView, work_ms: float, usual_ms: float) -> CandidateCost:
    """Return the expected cost of a plain call at an endpoint.

    Args:
        view: The candidate.
        work_ms: Expected time of the call at an endpoint of usual speed.
        usual_ms: Usual time of calls of all routes.
    """
    slots = view.endpoint.slots or 1
    excess = _excess(view, slots, usual_ms)
    # The call delays a later one if that finds no free slot.
    delay_ms = work_ms / slots * min(1.0, excess)
    return CandidateCost(
        view,
        wait_ms=view.speed * usual_ms / slots * excess,
        prefill_ms=0.0,
        work_ms=view.speed * work_ms,
        delay_ms=view.speed * delay_ms,
        penalty_ms=view.penalty_ms,
    )


def _excess(view: EndpointView, slots: int, usual_ms: float) -> float:
    """Return the excess of requests; other gateways' are taken to be usual ones."""
    foreign = view.requests - view.own_requests
    running = foreign if foreign < slots else slots
    work_ms = view.own_work_ms + (foreign - running / 2) * usual_ms
    return queue_excess(view.requests, slots, work_ms, usual_ms)


def choose(
    costs: Sequence[CandidateCost], position_ms: float, random: Random
) -> CandidateCost | None:
    """Return the chosen candidate, ``None`` if there is none.

    A warm endpoint is chosen if it is within ``WARM_MARGIN`` of the best: different
    sessions have different ones, so that gateways do not crowd there. Otherwise two
    candidates within ``NEAR_MARGIN`` are drawn, and the better of them is chosen; they
    are of the gateway's data centre unless those are worse by ``LOCAL_MARGIN``.

    Args:
        costs: Expected costs of all candidates.
        position_ms: Time that one usual request ahead in a queue costs.
        random: Source of random numbers.
    """
    if not costs:
        return None
    pool = [
        item for item in costs if item.has_room and item.penalty_ms < TRIED_PENALTY_MS
    ] or costs
    best = min(pool, key=_total_ms)
    warm_limit_ms = best.total_ms + WARM_MARGIN * position_ms
    warm = [
        item for item in pool if item.view.is_warm and item.total_ms <= warm_limit_ms
    ]
    if warm:
        return min(warm, key=_total_ms)
    scale_ms = max(NEAR_MARGIN * position_ms, 1e-3)
    local = [item for item in pool if item.view.is_local]
    if local:
        best_local = min(local, key=_total_ms)
        if best_local.total_ms <= best.total_ms + LOCAL_MARGIN * position_ms:
            pool, best = local, best_local
    near = [item for item in pool if item.total_ms <= best.total_ms + scale_ms]
    if len(near) == 1:
        return best
    weights = [exp((best.total_ms - item.total_ms) / scale_ms) for item in near]
    return min(random.choices(near, weights, k=2), key=_total_ms)


def _total_ms(cost: CandidateCost) -> float:
    return cost.total_ms
