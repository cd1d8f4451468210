"""Answers callers' requests: finds the route and hands over to the kind of call."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager

from ..errors import CarobspurError
from ..verdict import verdict_name
from .calls import Call, Responder
from .context import GatewayContext
from .objectives import Served, objective_of
from .plain_calls import PlainCallHandler
from .refusals import NoConfigurationError, NoRouteError, refusal_headers
from .routes import Route, RouteKind
from .stream_calls import StreamCallHandler

FIRST_RETRY_AFTER_S = 0.3
"""When to come back to a gateway that has just started: about its start-up."""


class CallDispatcher:
    """Serves every request of callers.

    Args:
        context: Shared parts of the gateway.
        plain_calls: Serves plain services.
        stream_calls: Serves model engines.
        is_configuration_current: Returns whether the configuration is known to be
            the newest, so that a path may be said not to exist.
    """

    __slots__ = (
        "_context",
        "_is_configuration_current",
        "_plain_calls",
        "_stream_calls",
        "in_flight",
    )

    def __init__(
        self,
        context: GatewayContext,
        plain_calls: PlainCallHandler,
        stream_calls: StreamCallHandler,
        *,
        is_configuration_current,
    ) -> None:
        self._context = context
        self._plain_calls = plain_calls
        self._stream_calls = stream_calls
        self._is_configuration_current = is_configuration_current
        self.in_flight = 0

    async def handle(self, call: Call, responder: Responder) -> None:
        """Answer a request; every way out leaves a final answer or a closed way."""
        with self._counted():
            route = None
            try:
                route = self._route(call)
                served = await self._serve(call, route, responder)
            except CarobspurError as error:
                self._refuse(call, route, responder, error)
            except asyncio.CancelledError:
                self._record(call, route, status=0, cause="caller_left")
                raise
            except Exception as error:
                # A fault of ours: the caller must not take a cut answer for whole.
                responder.abort()
                self._record(call, route, status=0, cause=f"fault: {error!r}")
                raise
            else:
                self._record(
                    call,
                    route,
                    status=served.status,
                    cause="",
                    is_on_time=served.is_on_time,
                )

    @contextmanager
    def _counted(self):
        self.in_flight += 1
        self._context.telemetry.in_flight.set(self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1
            self._context.telemetry.in_flight.set(self.in_flight)

    def _route(self, call: Call) -> Route:
        configuration = self._context.configuration
        if configuration is None:
            raise NoConfigurationError(
                "no configuration was read yet", retry_after_s=FIRST_RETRY_AFTER_S
            )
        route = configuration.match(call.host, call.path)
        if route is not None:
            return route
        if not self._is_configuration_current():
            raise NoConfigurationError(
                f"version {configuration.version} has no such route, "
                "and a newer one may be in force",
                retry_after_s=FIRST_RETRY_AFTER_S,
            )
        raise NoRouteError(f"version {configuration.version} has no such route")

    async def _serve(self, call: Call, route: Route, responder: Responder) -> Served:
        deadline = call.arrived_at + route.timeout_s
        if call.deadline is not None:
            deadline = min(deadline, call.deadline)
        match route.kind:
            case RouteKind.STREAM:
                return await self._stream_calls.serve(
                    call, route, responder, deadline=deadline
                )
            case RouteKind.IDEMPOTENT | RouteKind.ONCE:
                return await self._plain_calls.serve(
                    call, route, responder, deadline=deadline
                )

    def _refuse(
        self,
        call: Call,
        route: Route | None,
        responder: Responder,
        error: CarobspurError,
    ) -> None:
        is_cut = responder.has_started
        if is_cut:
            responder.abort()
        else:
            body = error.message.encode() + b"\n"
            headers = [("Content-Type", "text/plain"), *refusal_headers(error)]
            responder.reply(error.status, headers, body)
        self._record(
            call,
            route,
            status=error.status,
            cause=error.cause,
            reason=error.message,
            verdict=verdict_name(error.verdict),
            is_cut=is_cut,
        )

    def _record(
        self,
        call: Call,
        route: Route | None,
        *,
        status: int,
        cause: str,
        is_on_time: bool = False,
        **more: object,
    ) -> None:
        context = self._context
        now = asyncio.get_running_loop().time()
        kind = route.kind.value if route else "none"
        label = cause.partition(":")[0]
        context.telemetry.answers.labels(kind, str(status), label).inc()
        context.telemetry.answer_seconds.labels(kind).observe(now - call.arrived_at)
        objective = objective_of(status, is_on_time=is_on_time)
        if objective is not None:
            context.telemetry.objectives.labels(kind, objective.value).inc()
        version = context.configuration.version if context.configuration else 0
        program = call.program
        context.log.record(
            "answered" if not cause else "failed",
            request=call.id,
            program=program.id if program else "",
            previous=program.previous_turn if program else "",
            route=route.name if route else "",
            configuration=version,
            status=status,
            cause=cause,
            taken_ms=round((now - call.arrived_at) * 1000, 1),
            left_ms=None
            if call.deadline is None
            else round((call.deadline - now) * 1000),
            **more,
        )
