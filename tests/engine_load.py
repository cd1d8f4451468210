"""Virtual-time engines and plain endpoints under the load of many gateways."""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from itertools import count

from carobspur.gateway.calls import EndpointLoad, PromptPart
from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.health import HealthTracker, MeasuredTurn
from carobspur.gateway.load_sharing import LoadReport, name_hash
from carobspur.gateway.placement import Need, observe
from carobspur.plugin_registry import PluginKind, load_plugins, plugin

load_plugins(PluginKind.PLACEMENT)
STEP_S = 0.003
STEP_PER_TURN_S = 0.0001
CHUNK_TOKENS = 512
TOKENS_PER_MS = 100.0
EVENT_TOKENS = 4
VIEW_AGE_S = 0.3


@dataclass(eq=False)
class Work:
    """One request: a turn with prompt parts, or a plain call with a time of work."""

    need: Need
    gateway: int
    sent_at: float
    tokens: int = 0
    work_s: float = 0.0
    objective_s: float = 0.0
    then: object = None
    unread: int = -1
    made: int = 0
    events: list[float] = field(default_factory=list)
    observation: object = None
    running_at_send: int = 0

    @property
    def footprint(self) -> int:
        return self.need.prompt_tokens + self.tokens


class Site:
    """Endpoints of one service and the gateways that place requests on them.

    Args:
        policy: Name of the placement plug-in.
        speeds: Time that work takes at each endpoint, as a multiple of the usual time.
        gateways: Number of gateways, in one data centre.
        memory: Tokens that each engine holds.
        lies: Endpoints that always report no load and no slowdown.
        reports_slowdown: Whether the others report their slowdown.
    """

    def __init__(
        self,
        policy: str,
        speeds: list[float],
        *,
        gateways: int = 12,
        memory: int = 50_000,
        slots: int = 6,
        lies: frozenset[int] = frozenset(),
        reports_slowdown: bool = False,
        is_partial: bool = False,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.speeds, self.memory, self.slots = speeds, memory, slots
        self.lies, self.reports_slowdown = lies, reports_slowdown
        self.endpoints = [
            Endpoint(f"e{n}", "s", "h", n, "a", slots) for n in range(len(speeds))
        ]
        self.index = {item.key: n for n, item in enumerate(self.endpoints)}
        make = plugin(PluginKind.PLACEMENT, policy)
        is_random = policy == "expected_cost"
        self.policies = [
            make(random.Random(seed + n)) if is_random else make()
            for n in range(gateways)
        ]
        self.trackers = [HealthTracker() for _ in range(gateways)]
        self.reach = 3 if is_partial else gateways
        for tracker in self.trackers:
            tracker.peers.is_complete = not is_partial
        self.queues = [deque() for _ in speeds]
        self.batches: list[list[Work]] = [[] for _ in speeds]
        self.caches = [OrderedDict() for _ in speeds]
        self.stepping = [False for _ in speeds]
        self.now, self._order, self._events = 0.0, count(), []
        self.served, self.late, self.read, self.reread = Counter(), 0, 0, 0
        self.work_s, self.durations, self.seen = Counter(), [], set()
        for gateway in range(gateways):
            self.at(self.rng.uniform(0, VIEW_AGE_S), self._report, gateway)

    def at(self, when: float, act, *args: object) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._order), act, args))

    def run(self, until: float) -> Site:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = until
        return self

    def send(self, work: Work) -> None:
        """Place a request by the policy of its gateway."""
        health, policy = self.trackers[work.gateway], self.policies[work.gateway]
        place = policy.engine if work.need.is_turn else policy.plain
        endpoint = place(self.endpoints, work.need, health, self.now)
        work.running_at_send = health.running(endpoint.key, self.now)
        work.observation = observe(policy, endpoint, work.need, health, self.now)
        health.begin(endpoint.key)
        number = self.index[endpoint.key]
        self.served[number] += 1
        self.queues[number].append(work)
        self._start(number)

    def _start(self, number: int) -> None:
        if self.queues[number] and not self.queues[number][0].need.is_turn:
            while self.queues[number] and len(self.batches[number]) < self.slots:
                work = self.queues[number].popleft()
                self.batches[number].append(work)
                taken_s = work.work_s * self.speeds[number]
                self.work_s[number] += taken_s
                self.at(self.now + taken_s, self._end, number, work)
        elif not self.stepping[number]:
            self.stepping[number] = True
            self._step(number)

    def _step(self, number: int) -> None:
        batch, queue = self.batches[number], self.queues[number]
        while queue and len(batch) < self.slots:
            work = queue.popleft()
            self._fit(number, work)
            work.unread = work.need.prompt_tokens - self._cached(number, work)
            batch.append(work)
        if not batch:
            self.stepping[number] = False
            return
        chunk, taken_s = CHUNK_TOKENS, STEP_S + STEP_PER_TURN_S * len(batch)
        for work in batch:
            tokens = min(work.unread, chunk)
            work.unread, chunk = work.unread - tokens, chunk - tokens
        taken_s += (CHUNK_TOKENS - chunk) / TOKENS_PER_MS / 1000
        taken_s *= self.speeds[number]
        self.work_s[number] += taken_s
        self.at(self.now + taken_s, self._generate, number)

    def _generate(self, number: int) -> None:
        for work in list(self.batches[number]):
            if work.unread == 0:
                work.made += 1
                if work.made % EVENT_TOKENS == 0 or work.made == work.tokens:
                    if not work.events:
                        self._head(number, work)
                    work.events.append(self.now)
                    work.observation.record_event(self.now)
                if work.made == work.tokens:
                    self._end(number, work)
        self._step(number)

    def _fit(self, number: int, new: Work) -> None:
        """Evict cached parts, then the newest running turns, which are read again."""
        cache, batch = self.caches[number], self.batches[number]
        while cache and sum(cache.values()) + self._reserved(number, new) > self.memory:
            cache.popitem(last=False)
        while batch and self._reserved(number, new) > self.memory:
            victim = batch.pop()
            self.queues[number].append(victim)

    def _reserved(self, number: int, new: Work) -> int:
        return sum(item.footprint for item in self.batches[number]) + new.footprint

    def _cached(self, number: int, work: Work) -> int:
        tokens, cache = 0, self.caches[number]
        for part in work.need.prompt_parts:
            if part.id not in cache:
                break
            tokens += part.tokens
        new = work.need.prompt_tokens - tokens
        self.read += new
        known = sum(
            part.tokens for part in work.need.prompt_parts if part.id in self.seen
        )
        self.reread += max(0, known - tokens)
        for part in reversed(work.need.prompt_parts):
            cache[part.id] = part.tokens
            cache.move_to_end(part.id)
            self.seen.add(part.id)
        return tokens

    def _head(self, number: int, work: Work) -> None:
        running, waiting = len(self.batches[number]), len(self.queues[number])
        load = EndpointLoad(running, waiting, self.slots)
        if number in self.lies:
            load = EndpointLoad(0, 0, self.slots)
        elif self.reports_slowdown:
            load = EndpointLoad(running, waiting, self.slots, self.speeds[number])
        key = self.endpoints[number].key
        self.trackers[work.gateway].record_load(key, load, self.now)

    def _end(self, number: int, work: Work) -> None:
        self.batches[number].remove(work)
        health, key = self.trackers[work.gateway], self.endpoints[number].key
        taken_s = self.now - work.sent_at
        if work.need.is_turn:
            if len(work.events) > 1:
                gap_ms = 1000 * (self.now - work.events[0]) / (len(work.events) - 1)
                turn = MeasuredTurn(work.running_at_send, len(work.events), gap_ms)
                health.record_turn(key, "s", turn, self.now)
        else:
            self._head(number, work)
            health.record_success(key, work.need.route, taken_s, self.now)
        work.observation.record_answer(self.now)
        work.observation.close(self.now)
        health.end(key)
        self.durations.append(taken_s)
        self.late += taken_s > work.objective_s
        if work.then:
            work.then()
        if not work.need.is_turn:
            self._start(number)

    def _report(self, gateway: int) -> None:
        counts = self.trackers[gateway].counts()
        report = LoadReport(gateway, {name_hash(key): n for key, n in counts.items()})
        for other, tracker in enumerate(self.trackers):
            if other != gateway and other // self.reach == gateway // self.reach:
                tracker.peers.record(report, self.now)
        self.at(self.now + VIEW_AGE_S, self._report, gateway)


def call(site: Site, route: str, work_s: float, *, objective_s: float = 1.0) -> None:
    """Send a plain call through a random gateway."""
    need = Need("a", service_ms=50.0, route=route)
    gateway = site.rng.randrange(len(site.trackers))
    site.send(Work(need, gateway, site.now, work_s=work_s, objective_s=objective_s))


def session(site: Site, name: str, *, turns: int, tokens: int, new: int = 400) -> None:
    """Run the turns of a session one after the other, through random gateways."""
    parts = [PromptPart(f"shared{site.rng.randrange(8)}", 512)]

    def _next(number: int) -> None:
        if number == turns:
            return
        parts.append(PromptPart(f"{name}/{number}", new if number else 2 * new))
        length = max(EVENT_TOKENS, round(tokens * site.rng.uniform(0.6, 1.4)))
        prompt = sum(part.tokens for part in parts)
        need = Need(
            "a",
            name,
            prompt,
            route=f"r{tokens}",
            is_turn=True,
            prompt_parts=tuple(parts),
            expected_tokens=tokens,
            tokens_per_event=EVENT_TOKENS,
            memory_tokens=site.memory,
        )
        # 1.5 times the time on an idle engine that has the session's earlier turns.
        idle_s = length * (STEP_S + STEP_PER_TURN_S) + parts[-1].tokens / 1e5
        gateway = site.rng.randrange(len(site.trackers))
        site.send(
            Work(
                need,
                gateway,
                site.now,
                tokens=length,
                objective_s=1.5 * idle_s + 0.02,
                then=lambda: site.at(
                    site.now + site.rng.uniform(0.02, 0.3), _next, number + 1
                ),
            )
        )

    _next(0)


def arrivals(site: Site, per_s: float, until: float, act) -> None:
    """Call ``act`` with numbers at random times, with a mean rate."""
    when = site.now
    for number in count():
        when += site.rng.expovariate(per_s)
        if when > until:
            return
        site.at(when, act, number)
