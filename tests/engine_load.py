"""Engines and plain endpoints under the load of many gateways, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from carobspur.gateway.calls import EndpointLoad
from carobspur.gateway.endpoints import Endpoint
from carobspur.gateway.health import HealthTracker, MeasuredTurn
from carobspur.gateway.load_sharing import LoadReport, name_hash
from carobspur.gateway.placement import Need, SendObservation, observe
from carobspur.plugin_registry import PluginKind, load_plugins, plugin

load_plugins(PluginKind.PLACEMENT)
SLOTS = 6
STEP_S, STEP_PER_TURN_S = 0.003, 0.0001
CHUNK_TOKENS, TOKENS_PER_S = 512, 100_000
EVENT_TOKENS, VIEW_AGE_S = 4, 0.3


@dataclass(eq=False)
class Work:
    """One request: a turn that generates tokens, or a plain call of some seconds."""

    need: Need
    objective_s: float
    tokens: int = 0
    work_s: float = 0.0
    then: Callable[[], None] = lambda: None
    gateway: int = 0
    sent_at: float = 0.0
    running_when_sent: int = 0
    unread: int = 0
    made: int = 0
    events: list[float] = field(default_factory=list)
    observation: SendObservation | None = None


class Site:
    """Endpoints of one service, and gateways with views up to 0.3 s old.

    Args:
        policy: Name of the placement plug-in.
        speeds: Time that work takes at each endpoint, as a multiple of the usual time.
        memory: Tokens that each engine holds.
        lies: Endpoints that report neither load nor slowdown.
        heard: Gateways that exchange load reports with each other; 0 for all.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        policy: str,
        speeds: list[float],
        *,
        gateways: int = 12,
        memory: int = 50_000,
        lies: frozenset[int] = frozenset(),
        heard: int = 0,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.speeds, self.memory, self.lies = speeds, memory, lies
        ids = [f"e{n}" for n in range(len(speeds))]
        self.engines = [Endpoint(item, "s", "h", 1, "a", SLOTS) for item in ids]
        make = plugin(PluginKind.PLACEMENT, policy)
        args = [random.Random(seed)] if policy == "expected_cost" else []
        self.policies = [make(*args) for _ in range(gateways)]
        self.trackers = [HealthTracker() for _ in range(gateways)]
        self.heard = heard or gateways
        self.queues: list[deque[Work]] = [deque() for _ in speeds]
        self.batches: list[list[Work]] = [[] for _ in speeds]
        self.caches: list[OrderedDict[str, int]] = [OrderedDict() for _ in speeds]
        self.stepping = [False] * len(speeds)
        self.seen: set[str] = set()
        self.placed: Counter[int] = Counter()
        self.late = self.reread = 0
        self.now, self._order, self._actions = 0.0, count(), []
        for n, tracker in enumerate(self.trackers):
            tracker.peers.is_complete = not heard
            self.at(self.rng.uniform(0, VIEW_AGE_S), self._report, n)

    def at(self, when: float, act: Callable[..., None], *args: object) -> None:
        """Schedule an action."""
        heapq.heappush(self._actions, (when, next(self._order), act, args))

    def run(self, until: float) -> Site:
        """Run all actions up to a time."""
        while self._actions[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._actions)
            act(*args)
        return self

    def send(self, work: Work) -> None:
        """Place a request by the policy of a random gateway."""
        gateway = work.gateway = self.rng.randrange(len(self.trackers))
        health, policy, need = self.trackers[gateway], self.policies[gateway], work.need
        place = policy.engine if need.is_turn else policy.plain
        engine = place(self.engines, need, health, self.now)
        number = self.engines.index(engine)
        work.sent_at = self.now
        work.running_when_sent = health.running(engine.key, self.now)
        work.observation = observe(policy, engine, need, health, self.now)
        health.begin(engine.key)
        self.placed[number] += 1
        self.queues[number].append(work)
        if not need.is_turn:
            self._start_calls(number)
        elif not self.stepping[number]:
            self._step(number)

    def _start_calls(self, number: int) -> None:
        queue, batch = self.queues[number], self.batches[number]
        while queue and len(batch) < SLOTS:
            batch.append(queue.popleft())
            taken_s = batch[-1].work_s * self.speeds[number]
            self.at(self.now + taken_s, self._end, number, batch[-1])

    def _step(self, number: int) -> None:
        batch, queue = self.batches[number], self.queues[number]
        while queue and len(batch) < SLOTS:
            self._read(number, queue.popleft())
        self.stepping[number] = bool(batch)
        if not batch:
            return
        free = CHUNK_TOKENS
        for work in batch:
            read = min(work.unread, free)
            work.unread, free = work.unread - read, free - read
        taken_s = STEP_S + STEP_PER_TURN_S * len(batch)
        taken_s += (CHUNK_TOKENS - free) / TOKENS_PER_S
        self.at(self.now + taken_s * self.speeds[number], self._generate, number)

    def _read(self, number: int, work: Work) -> None:
        """Add a turn to the batch; evict the least recently used parts if needed."""
        cache, batch = self.caches[number], self.batches[number]
        batch.append(work)
        parts = work.need.prompt_parts
        cached = next((n for n, x in enumerate(parts) if x.id not in cache), len(parts))
        work.unread = sum(part.tokens for part in parts[cached:])
        self.reread += sum(x.tokens for x in parts[cached:] if x.id in self.seen)
        for part in reversed(parts):
            cache[part.id] = part.tokens
            cache.move_to_end(part.id)
            self.seen.add(part.id)
        needed = sum(item.need.prompt_tokens + item.tokens for item in batch)
        while cache and sum(cache.values()) + needed > self.memory:
            cache.popitem(last=False)

    def _generate(self, number: int) -> None:
        for work in list(self.batches[number]):
            work.made += work.unread == 0
            if work.unread == 0 and work.made % EVENT_TOKENS == 0:
                if not work.events:
                    self._report_load(number, work)
                work.events.append(self.now)
                work.observation.record_event(self.now)
            if work.made >= work.tokens:
                self._end(number, work)
        self._step(number)

    def _report_load(self, number: int, work: Work) -> None:
        running, waiting = len(self.batches[number]), len(self.queues[number])
        load = EndpointLoad(running, waiting, SLOTS, self.speeds[number])
        if number in self.lies:
            load = EndpointLoad(0, 0, SLOTS)
        key = self.engines[number].key
        self.trackers[work.gateway].record_load(key, load, self.now)

    def _end(self, number: int, work: Work) -> None:
        self.batches[number].remove(work)
        health, key = self.trackers[work.gateway], self.engines[number].key
        taken_s = self.now - work.sent_at
        if not work.need.is_turn:
            self._report_load(number, work)
            health.record_success(key, work.need.route, taken_s, self.now)
            self._start_calls(number)
        elif len(work.events) > 1:
            gap_ms = 1000 * (work.events[-1] - work.events[0]) / (len(work.events) - 1)
            turn = MeasuredTurn(work.running_when_sent, len(work.events), gap_ms)
            health.record_turn(key, "s", turn, self.now)
        work.observation.record_answer(self.now)
        work.observation.close(self.now)
        health.end(key)
        self.late += taken_s > work.objective_s
        work.then()

    def _report(self, gateway: int) -> None:
        counts = self.trackers[gateway].counts()
        report = LoadReport(gateway, {name_hash(key): n for key, n in counts.items()})
        for other, tracker in enumerate(self.trackers):
            if other != gateway and other // self.heard == gateway // self.heard:
                tracker.peers.record(report, self.now)
        self.at(self.now + VIEW_AGE_S, self._report, gateway)
