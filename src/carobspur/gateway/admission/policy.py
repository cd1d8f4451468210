"""Decides whether a request is sent or refused, by the stage of its program; pure.

Guards against goodput that collapses under load: without it engines finish programs
that can no longer end on time before programs that can. One object serves one gateway;
it needs no messages, no clock and no network.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..calls import Call, EndpointLoad
from ..customers.ownership import program_name, turn_name
from .controller import ShareController
from .idle_times import IdleTimes
from .pressure import NO_REPORTS, InFlightShare, StretchWindow, load_view, pressure
from .programs import ProgramTracker, Stage
from .ranking import Ranking, position

HONOURED_RETRY_SHARE = 1 / 3
"""Share of the remaining time up to which callers honour ``Retry-After``."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0
"""Bounds of ``Retry-After`` where callers honour them; a burst lasts for seconds."""
DEFAULT_RETRY_S = 0.5
"""``Retry-After`` for programs that are not new; about the time of a queue."""
RETRY_SPREAD_SHARE = 0.3
"""Share of ``Retry-After`` that is random, so that refused callers do not return in a
burst."""
RECOVERY_PER_S = 0.25
"""Growth of the level that is expected when a program's turn comes is estimated."""
LATE_PRESSURE = 0.5
"""Pressure from which a share of the late programs is refused, if new ones are refused
too. Served behind all others they are a queue that keeps new programs out; refused,
they may return in time for the smaller credit."""
PROBE_INTERVAL_S = 0.3
"""Interval of the requests that are admitted while no report is recent; about the time
of the turn that brings one."""
LATE_ENGINE_PRIORITY = 8
LOOPING_ENGINE_PRIORITY = 9
MAX_ENGINE_RANK = 2
FIRST_ENGINE_PRIORITY = 2
"""Priorities at engines, where 5 is usual. Classes after the third share its levels."""
MAX_IN_FLIGHT = 4096
"""Turns in progress whose age is observed; more are served, but not observed."""

Reports = Callable[[float], Iterable[tuple[EndpointLoad, float]]]


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is sent, with the inputs of the decision.

    Attributes:
        reason: Why it is refused; empty if it is sent.
        stage: Stage of its program.
        level: Level of the service's controller.
        pressure: Load as a share of what the objectives allow.
        retry_after_s: When the caller should try again, if it is refused.
        engine_priority: Priority at the engine; ``None`` for plain calls.
    """

    reason: str
    stage: Stage
    level: float
    pressure: float
    retry_after_s: float | None = None
    engine_priority: int | None = None


class ServiceState:
    """What one gateway knows about the load of one service.

    Args:
        reports: Returns the newest load report of each endpoint with its age, for a
            loop time.
    """

    __slots__ = (
        "_in_flight",
        "_next_probe_at",
        "_own_share",
        "_reports",
        "_stretches",
        "controller",
        "idle",
        "pressure",
        "ranking",
        "view",
    )

    def __init__(self, reports: Reports) -> None:
        self._reports = reports
        self._stretches = StretchWindow()
        self._own_share = InFlightShare()
        # By the identity of the call: callers may repeat request ids or state none.
        self._in_flight: dict[int, tuple[float, float]] = {}
        self.controller = ShareController()
        self.idle = IdleTimes()
        self.ranking = Ranking()
        self.view = NO_REPORTS
        self.pressure = 0.0
        self._next_probe_at = 0.0

    @property
    def in_flight(self) -> int:
        """Number of turns that this gateway has sent and that have not ended."""
        return len(self._in_flight)

    def advance(self, now: float) -> None:
        """Take the controller's next step if it is due."""
        controller = self.controller
        if not controller.is_due(now):
            return
        self.view = load_view(self._reports(now))
        allowed = controller.allowed_stretch
        overdue = [
            (now - began_at) / idle_s
            for began_at, idle_s in self._in_flight.values()
            if now - began_at > allowed * idle_s
        ]
        stretch = self._stretches.median(overdue, now)
        own = self.in_flight
        self._own_share.record(own, self.view)
        queued = max(self.view.queued, self._own_share.queued(own))
        self.pressure = pressure(stretch, queued, allowed)
        if not self.may_refuse:
            self.pressure = 0.0
        controller.step(self.pressure, now)

    @property
    def may_refuse(self) -> bool:
        """Whether the endpoints' reports permit refusals."""
        return self.view.may_refuse(is_shedding=self.controller.is_shedding)

    def take_probe(self, now: float) -> bool:
        """Return whether a request is admitted only to obtain a load report."""
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_S
        return True

    def begin(self, call: Call, now: float) -> None:
        """Record a turn that is being sent."""
        if len(self._in_flight) < MAX_IN_FLIGHT:
            known = self.idle.is_known
            idle_s = self.idle.turn_s(call.prompt_tokens) if known else math.inf
            self._in_flight[id(call)] = now, idle_s

    def end(self, call: Call) -> None:
        """Record that a turn has ended or failed."""
        self._in_flight.pop(id(call), None)

    def record_turn(
        self,
        prompt_tokens: int,
        first_s: float,
        gap_s: float,
        events: int,
        now: float,
    ) -> None:
        """Record the measured times of a turn that ended."""
        stretch = self.idle.record(prompt_tokens, first_s, gap_s, events)
        self._stretches.record(stretch, now)


class AdmissionPolicy:
    """Decides for all requests of one gateway.

    Args:
        reports: Returns the newest load reports of a service's endpoints with their
            age, for the service's name and a loop time.
        draw: Returns a random number from 0 to 1.
    """

    __slots__ = ("_draw", "_programs", "_reports", "_services")

    def __init__(
        self,
        reports: Callable[[str, float], Iterable[tuple[EndpointLoad, float]]],
        draw: Callable[[], float],
    ) -> None:
        self._reports = reports
        self._draw = draw
        self._programs = ProgramTracker()
        self._services: dict[str, ServiceState] = {}

    def service(self, name: str) -> ServiceState:
        """Return the state of a service; adds one for a new name."""
        state = self._services.get(name)
        if state is None:
            state = ServiceState(lambda now: self._reports(name, now))
            self._services[name] = state
        return state

    def decide(
        self, call: Call, route: str, service: str, *, is_turn: bool, now: float
    ) -> Decision:
        """Decide on a request and record it.

        Args:
            call: The request.
            route: Name of its route.
            service: Service that it would be sent to.
            is_turn: Whether it is a turn, not a plain call.
            now: Loop time.
        """
        state = self.service(service)
        state.advance(now)
        stage = self._stage(call, route, state, is_turn=is_turn, now=now)
        if is_turn and stage in (Stage.IN_PROGRESS, Stage.LATE):
            state.controller.record_turn(is_late=stage is Stage.LATE)
        reason = self._refusal(call, state, stage, is_turn=is_turn, now=now)
        if stage is Stage.NEW:
            # Counted before the decision, the program itself would be taken for growth
            # of a customer that rarely sends any.
            state.ranking.record_new(call.customer or "", now)
        level = state.controller.level
        if reason:
            retry_s = self._retry_after_s(call, state, stage, now)
            return Decision(reason, stage, level, state.pressure, retry_s)
        if program_name(call):
            self._programs.record_admitted(call, route, is_turn=is_turn, now=now)
        if not is_turn:
            return Decision("", stage, level, state.pressure)
        state.begin(call, now)
        priority = _engine_priority(stage, state.ranking.rank(call.priority))
        return Decision("", stage, level, state.pressure, engine_priority=priority)

    def _stage(
        self,
        call: Call,
        route: str,
        state: ServiceState,
        *,
        is_turn: bool,
        now: float,
    ) -> Stage:
        if not program_name(call):
            return Stage.NEW
        least_s = state.idle.first_s(call.prompt_tokens) if is_turn else 0.0
        return self._programs.stage(
            call, route, is_turn=is_turn, least_s=least_s, now=now
        )

    def _refusal(
        self,
        call: Call,
        state: ServiceState,
        stage: Stage,
        *,
        is_turn: bool,
        now: float,
    ) -> str:
        """Return why a request is refused; empty if it is sent."""
        if not state.may_refuse:
            return ""
        if not state.view.is_recent and state.take_probe(now):
            return ""
        controller = state.controller
        match stage:
            case Stage.LOST:
                return "lost"
            case Stage.LOOPING | Stage.EXPIRED if controller.is_shedding:
                return stage.value
            case Stage.LATE if is_turn and controller.is_shedding:
                share = LATE_PRESSURE / max(state.pressure, LATE_PRESSURE)
                return "late" if position(_name(call)) >= share else ""
            case Stage.NEW if is_turn and not state.ranking.is_admitted(
                _name(call), call.customer or "", call.priority, controller.level, now
            ):
                return "shed"
        return ""

    def _retry_after_s(
        self, call: Call, state: ServiceState, stage: Stage, now: float
    ) -> float:
        """Return when there should be capacity, within what callers honour."""
        wait_s = DEFAULT_RETRY_S
        if stage is Stage.NEW:
            share = state.ranking.share(state.controller.level, call.priority)
            wait_s = (position(_name(call)) - share) / RECOVERY_PER_S
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        stated = [call.deadline, call.program.deadline if call.program else None]
        # Of a program that is late only the request's own deadline is ahead. A caller
        # without any should not return at once.
        ahead = [item for item in stated if item is not None and item > now]
        if ahead:
            wait_s = min(wait_s, HONOURED_RETRY_SHARE * (ahead[0] - now))
        wait_s *= 1 - RETRY_SPREAD_SHARE * self._draw()
        # Sent with two decimals; rounded up it would exceed what callers honour.
        return math.floor(100 * wait_s) / 100


def _name(call: Call) -> str:
    """Return the name by which a request is ranked: that of its program, if any.

    Requests without any id are ranked by their arrival; with one name for all of them
    either all or none would be refused.
    """
    return program_name(call) or turn_name(call) or str(call.arrived_at)


def _engine_priority(stage: Stage, rank: int) -> int:
    """Return the priority of a turn at its engine.

    Few levels, and the same one for all turns of a program after the first while it
    can end on time: a preempted request's prompt is read again.
    """
    match stage:
        case Stage.LATE | Stage.EXPIRED:
            return LATE_ENGINE_PRIORITY
        case Stage.LOOPING | Stage.LOST:
            return LOOPING_ENGINE_PRIORITY
    base = FIRST_ENGINE_PRIORITY + 2 * min(rank, MAX_ENGINE_RANK)
    return base + (stage is Stage.NEW)
