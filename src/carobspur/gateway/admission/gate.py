"""Admission control as a gate that every request passes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from ..calls import Call, EndpointLoad
from ..context import GatewayContext
from ..customers.customer import Customer
from ..customers.ownership import program_name
from ..objectives import Served
from ..refusals import OverloadedError
from ..routes import Route, RouteKind
from .policy import AdmissionPolicy, Decision


class ProgramGate:
    """Refuses requests of services that are offered more than they can serve.

    It decides at once and never makes a request wait, so that nothing is left to
    answer when the gateway stops.

    Args:
        context: Components shared by all requests of the gateway.
        draw: Returns a random number from 0 to 1.
    """

    __slots__ = ("_context", "_policy", "_shedding")

    def __init__(self, context: GatewayContext, draw=random.random) -> None:
        self._context = context
        self._policy = AdmissionPolicy(self._reports, draw)
        self._shedding: set[str] = set()

    async def admit(self, call: Call, route: Route, customer: Customer | None) -> None:
        """Let a request pass or refuse it; see :class:`.request_gate.RequestGate`."""
        now = asyncio.get_running_loop().time()
        is_turn = route.kind is RouteKind.STREAM
        service = _service_of(call, route)
        decision = self._policy.decide(
            call, route.name, service, is_turn=is_turn, now=now
        )
        self._report_state(service)
        if decision.reason:
            raise self._refusal(call, route, service, decision)
        call.engine_priority = decision.engine_priority

    def finished(self, call: Call, route: Route, served: Served | None) -> None:
        """Record that a request that was admitted has ended."""
        if route.kind is RouteKind.STREAM:
            self._policy.service(_service_of(call, route)).end(call)

    def in_flight(self, service: str) -> int:
        """Return the number of turns that were admitted and have not ended."""
        return self._policy.service(service).in_flight

    def observe_turn(
        self, call: Call, service: str, first_s: float, gap_s: float, events: int
    ) -> None:
        """Record the times of a turn that ended.

        Args:
            call: The turn's request.
            service: Service of the engine that generated it.
            first_s: Time from the request's arrival to the first event.
            gap_s: Mean time between two events.
            events: Number of events.
        """
        now = asyncio.get_running_loop().time()
        state = self._policy.service(service)
        state.record_turn(call.prompt_tokens, first_s, gap_s, events, now)

    def _reports(
        self, service: str, now: float
    ) -> Iterator[tuple[EndpointLoad, float]]:
        health = self._context.health
        for endpoint in self._context.endpoints.usable(service):
            state = health.state(endpoint.key)
            if state.reported_load is not None:
                yield state.reported_load, now - state.reported_at

    def _refusal(
        self, call: Call, route: Route, service: str, decision: Decision
    ) -> OverloadedError:
        context = self._context
        context.telemetry.admission_refusals.labels(decision.reason).inc()
        now = asyncio.get_running_loop().time()
        program = call.program
        due = program.deadline if program else None
        view = self._policy.service(service).view
        context.log.record(
            "not_admitted",
            request=call.id,
            program=program.id if program else "",
            route=route.name,
            service=service,
            customer=call.customer,
            priority=call.priority,
            stage=decision.stage.value,
            reason=decision.reason,
            share=round(decision.level, 3),
            pressure=round(decision.pressure, 2),
            occupied=round(view.occupied, 2),
            queued=round(view.queued, 2),
            reports=view.reports,
            program_left_ms=None if due is None else round(1000 * (due - now)),
            retry_after_s=round(decision.retry_after_s, 3),
        )
        return OverloadedError(
            f"service {service} is overloaded ({decision.reason})",
            retry_after_s=decision.retry_after_s,
        )

    def _report_state(self, service: str) -> None:
        """Log the start and the end of shedding, and set the metric."""
        state = self._policy.service(service)
        controller = state.controller
        self._context.telemetry.admitted_share.labels(service).set(controller.level)
        if controller.is_shedding == (service in self._shedding):
            return
        self._shedding ^= {service}
        self._context.log.record(
            "shedding",
            service=service,
            state="start" if controller.is_shedding else "end",
            share=round(controller.level, 3),
            pressure=round(state.pressure, 2),
            allowed_stretch=round(controller.allowed_stretch, 2),
            occupied=round(state.view.occupied, 2),
            queued=round(state.view.queued, 2),
            reports=state.view.reports,
        )


def _service_of(call: Call, route: Route) -> str:
    """Return the service that a request is sent to."""
    if route.kind is RouteKind.STREAM:
        # The same key as in `stream_calls.py`: the turns of a program stay together.
        return route.service_for(program_name(call) or call.id)
    return route.service_for(call.id)
