"""A small model of callers, gateways and engines under overload, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from carobspur.gateway.admission.policy import AdmissionPolicy
from carobspur.gateway.calls import EndpointLoad

from .turn_requests import a_turn

SLOTS = 8
GAP_S = 0.008
CONTENTION = 0.02
PREFILL_TOKENS_PER_S = 85_000.0
NETWORK_S = 0.004
TOOL_S = 0.06
LATE_CREDIT = 0.5
SERVICE = "engines"


@dataclass(frozen=True, slots=True)
class ProgramClass:
    """One class of programs: its load, its length and its objective."""

    route: str
    priority: int
    rate_per_s: float
    turns: tuple[int, int]
    factor: float
    extra_s: float


URGENT = ProgramClass("urgent", 0, 28.8, (2, 4), 1.4, 0.2)
OTHER = ProgramClass("other", 1, 10.2, (8, 14), 1.5, 0.4)
TURN_S = 0.335  # mean time of a turn on fully occupied engines


@dataclass(slots=True)
class Program:
    """A program and how it has ended."""

    id: str
    kind: ProgramClass
    customer: str
    started_at: float
    turns: list[tuple[int, int]]
    objective_s: float = 0.0
    turn: int = 0
    restarts: int = 0
    credit: float = 0.0
    is_on_time: bool = False

    @property
    def end(self) -> float:
        """Time after which it earns nothing."""
        return self.started_at + 2 * self.objective_s


@dataclass(slots=True)
class Engine:
    """An engine with a queue by priority."""

    running: int = 0
    queue: list[tuple] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.queue)


@dataclass(slots=True)
class Refusal:
    """One refusal and the true load at that time."""

    at: float
    reason: str
    occupied: float
    queued: int


class Overload:
    """One run of the model.

    Args:
        engines: Number of engines.
        gateways: Number of gateways that decide independently.
        controlled: Whether admission control is enabled.
        has_reports: Whether engines report their load.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        *,
        engines: int,
        gateways: int = 37,
        controlled: bool = True,
        has_reports: bool = True,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.engines = [Engine() for _ in range(engines)]
        self.controlled = controlled
        self.has_reports = has_reports
        self.gateways = [self._gateway() for _ in range(gateways)]
        self.programs: list[Program] = []
        self.refusals: list[Refusal] = []
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def restart_gateways(self, number: int) -> None:
        """Replace gateways by ones that have just started."""
        self.gateways[:number] = [self._gateway() for _ in range(number)]

    def arrive(
        self, kind: ProgramClass, start: float, end: float, rate: float, customer: str
    ) -> None:
        """Let programs of a customer begin at random times in an interval."""
        at = start
        while (at := at + self.random.expovariate(rate)) < end:
            turns = [
                (self.random.randint(500, 4000), self.random.randint(22, 44))
                for _ in range(self.random.randint(*kind.turns))
            ]
            idle_s = sum(self._idle_s(*turn) for turn in turns) + TOOL_S * len(turns)
            program = Program(f"p{next(self._numbers)}", kind, customer, at, turns)
            program.objective_s = kind.factor * idle_s + kind.extra_s
            self.programs.append(program)
            self.at(at, partial(self._send, program, 0))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def begun(
        self,
        start: float,
        end: float,
        which: Callable[[Program], bool] = lambda _: True,
    ) -> list[Program]:
        """Return the programs that began in an interval."""
        return [p for p in self.programs if start <= p.started_at < end and which(p)]

    def _gateway(self) -> tuple[AdmissionPolicy, dict[int, tuple[EndpointLoad, float]]]:
        known: dict[int, tuple[EndpointLoad, float]] = {}
        policy = AdmissionPolicy(
            lambda _, now: [(load, now - at) for load, at in known.values()],
            self.random.random,
        )
        return policy, known

    @staticmethod
    def _idle_s(prompt: int, events: int) -> float:
        return NETWORK_S + prompt / PREFILL_TOKENS_PER_S + events * GAP_S

    def _send(self, program: Program, attempt: int) -> None:
        if self.now >= program.end:
            return
        gateway = self.random.choice(self.gateways)
        prompt, events = program.turns[program.turn]
        call = a_turn(
            f"r{next(self._numbers)}",
            arrived_at=self.now,
            program=program.id,
            left_s=program.started_at + program.objective_s - self.now,
            previous="t" if program.turn else "",
            parts=1 + 2 * program.turn,
            prompt=prompt,
            customer=program.customer,
            priority=program.kind.priority,
        )
        call.deadline = program.end
        priority = 5
        if self.controlled:
            decision = gateway[0].decide(
                call, program.kind.route, SERVICE, is_turn=True, now=self.now
            )
            if decision.reason:
                self._refused(program, attempt, decision.reason, decision.retry_after_s)
                return
            priority = decision.engine_priority
        sample = self.random.sample(range(len(self.engines)), min(3, len(self.engines)))
        chosen = min(sample, key=lambda number: self.engines[number].requests)
        entry = (priority, next(self._numbers), call, program, gateway, events, chosen)
        heapq.heappush(self.engines[chosen].queue, entry)
        self._start_next(chosen)

    def _refused(
        self, program: Program, attempt: int, reason: str, retry_after_s: float
    ) -> None:
        slots = SLOTS * len(self.engines)
        occupied = sum(item.running for item in self.engines) / slots
        queued = sum(len(item.queue) for item in self.engines)
        self.refusals.append(Refusal(self.now, reason, occupied, queued))
        if attempt < self.random.randint(1, 2):
            wait_s = min(retry_after_s, (program.end - self.now) / 3)
            self.at(self.now + wait_s, partial(self._send, program, attempt + 1))
        elif program.restarts < 2:
            program.restarts += 1
            wait_s = self.random.uniform(0.1, 0.4)
            self.at(self.now + wait_s, partial(self._send, program, 0))

    def _start_next(self, number: int) -> None:
        engine = self.engines[number]
        while engine.queue and engine.running < SLOTS:
            _, _, call, program, gateway, events, _ = heapq.heappop(engine.queue)
            if self.now >= program.end:
                gateway[0].service(SERVICE).end(call)
                continue
            engine.running += 1
            gap_s = GAP_S * (1 + CONTENTION * (engine.running - 1))
            prefill_s = NETWORK_S + call.prompt_tokens / PREFILL_TOKENS_PER_S
            first_s = self.now - call.arrived_at + prefill_s + gap_s
            done = self.now + prefill_s + events * gap_s
            args = number, call, program, gateway, first_s, gap_s, events
            self.at(done, partial(self._finish, *args))

    def _finish(self, number, call, program, gateway, first_s, gap_s, events) -> None:
        engine = self.engines[number]
        engine.running -= 1
        state = gateway[0].service(SERVICE)
        state.end(call)
        state.record_turn(call.prompt_tokens, first_s, gap_s, events, self.now)
        if self.has_reports:
            load = EndpointLoad(engine.running, len(engine.queue), SLOTS)
            gateway[1][number] = load, self.now
        self._start_next(number)
        program.turn += 1
        if self.now > program.end:
            return
        if program.turn < len(program.turns):
            self.at(self.now + TOOL_S, partial(self._send, program, 0))
        else:
            program.is_on_time = self.now <= program.started_at + program.objective_s
            program.credit = 1.0 if program.is_on_time else LATE_CREDIT
