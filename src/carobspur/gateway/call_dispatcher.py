"""Routes callers' requests to the handler of their route's kind."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

from ..errors import CarobspurError
from ..verdict import verdict_name
from .admission.request_gate import RequestGate
from .calls import Call, Responder
from .context import GatewayContext
from .customers.authentication import authenticate
from .customers.customer import Customer
from .objectives import Served, objective_of
from .plain_calls import PlainCallHandler
from .refusals import (
    DeadlineExceededError,
    NoConfigurationError,
    NoRouteError,
    StoppingError,
    UnknownKeyError,
    refusal_headers,
)
from .routes import Route, RouteKind
from .stream_calls import StreamCallHandler

STARTUP_RETRY_AFTER_S = 0.3
"""Retry-After of a gateway without a current configuration; about its start-up time."""
STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of a gateway that stops: other gateways can serve the request at once."""


class CallDispatcher:
    """Answers every caller request, logs its outcome and counts it in the metrics.

    Args:
        context: Components shared by all requests of the gateway.
        plain_calls: Handles calls on idempotent and run-once routes.
        stream_calls: Handles calls on streaming routes.
        is_configuration_current: Returns whether the configuration is known to be
            the newest version. Only then is a path without a route answered with
            404; otherwise with 503.
        confirm_configuration: Finds out whether the configuration is the newest
            version. Only then is an unknown API key answered with 401; otherwise with
            503. By default the same as ``is_configuration_current``.
        gates: Decisions that a request passes in this order before it is served.

    Attributes:
        in_flight: Number of requests being handled.
    """

    __slots__ = (
        "_confirm_configuration",
        "_context",
        "_end_at",
        "_gates",
        "_is_closed",
        "_is_configuration_current",
        "_plain_calls",
        "_stream_calls",
        "_time_limits",
        "in_flight",
    )

    def __init__(
        self,
        context: GatewayContext,
        plain_calls: PlainCallHandler,
        stream_calls: StreamCallHandler,
        *,
        is_configuration_current: Callable[[], bool],
        confirm_configuration: Callable[[], Awaitable[bool]] | None = None,
        gates: Sequence[RequestGate] = (),
    ) -> None:
        self._context = context
        self._plain_calls = plain_calls
        self._stream_calls = stream_calls
        self._is_configuration_current = is_configuration_current
        self._confirm_configuration = confirm_configuration
        self._gates = tuple(gates)
        self._is_closed = False
        # Loop time at which the gateway answers what is still in progress.
        self._end_at: float | None = None
        self._time_limits: set[asyncio.Timeout] = set()
        self.in_flight = 0

    def close(self) -> None:
        """Refuse all requests from now on; those in progress are served."""
        self._is_closed = True

    def end_by(self, end_at: float) -> None:
        """Answer all requests by a loop time, at which the gateway stops.

        A request that an endpoint is still running then gets 504, one that was not sent
        503; streams that have begun are cut.
        """
        self._end_at = end_at
        for time_limit in self._time_limits:
            time_limit.reschedule(end_at)

    async def handle(self, call: Call, responder: Responder) -> None:
        """Answer a request.

        On return the caller has been sent a complete answer or its connection has been
        closed, by the gateway or by the caller. Errors that are not a
        ``CarobspurError`` are raised again.
        """
        with self._count_in_flight():
            route = None
            try:
                if self._is_closed:
                    raise StoppingError(
                        "the gateway stops", retry_after_s=STOPPING_RETRY_AFTER_S
                    )
                route = self._route(call)
                with self._limit_time(call) as time_limit:
                    async with time_limit:
                        served = await self._admit_and_serve(call, route, responder)
            except CarobspurError as error:
                self._refuse(call, route, responder, error)
            except asyncio.CancelledError:
                self._record_outcome(call, route, status=0, cause="caller_left")
                raise
            except Exception as error:
                # A bug in the gateway: the caller must not take a truncated answer
                # for a complete one.
                responder.abort()
                self._record_outcome(call, route, status=0, cause=f"fault: {error!r}")
                raise
            else:
                self._record_outcome(
                    call,
                    route,
                    status=served.status,
                    cause="",
                    is_on_time=served.is_on_time,
                )

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        self._context.telemetry.in_flight.set(self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1
            self._context.telemetry.in_flight.set(self.in_flight)

    @contextmanager
    def _limit_time(self, call: Call) -> Iterator[asyncio.Timeout]:
        """Give a time limit by which the gateway stops, if it does."""
        time_limit = asyncio.timeout_at(self._end_at)
        self._time_limits.add(time_limit)
        try:
            yield time_limit
        except TimeoutError:
            if call.was_sent:
                raise DeadlineExceededError("the gateway stops") from None
            raise StoppingError(
                "the gateway stops", retry_after_s=STOPPING_RETRY_AFTER_S
            ) from None
        finally:
            self._time_limits.discard(time_limit)

    def _route(self, call: Call) -> Route:
        configuration = self._context.configuration
        if configuration is None:
            raise NoConfigurationError(
                "no configuration has been loaded yet",
                retry_after_s=STARTUP_RETRY_AFTER_S,
            )
        route = configuration.match(call.host, call.path)
        if route is not None:
            return route
        if not self._is_configuration_current():
            raise NoConfigurationError(
                f"no route matches in configuration version {configuration.version}, "
                "and a newer version may exist",
                retry_after_s=STARTUP_RETRY_AFTER_S,
            )
        raise NoRouteError(
            f"no route matches in configuration version {configuration.version}"
        )

    async def _admit_and_serve(
        self, call: Call, route: Route, responder: Responder
    ) -> Served:
        customer = await self._authenticate(call, route)
        passed: list[RequestGate] = []
        served = None
        try:
            for gate in self._gates:
                await gate.admit(call, route, customer)
                passed.append(gate)
            served = await self._serve(call, route, responder)
            return served
        finally:
            for gate in passed:
                gate.finished(call, route, served)

    async def _authenticate(self, call: Call, route: Route) -> Customer | None:
        """Return the customer of a request; see :func:`authenticate`."""
        context = self._context
        try:
            return authenticate(call, route, context.configuration, is_current=True)
        except UnknownKeyError:
            if self._confirm_configuration is None:
                is_current = self._is_configuration_current()
            else:
                is_current = await self._confirm_configuration()
            # A newer version with the key may have arrived in the meantime.
            return authenticate(
                call, route, context.configuration, is_current=is_current
            )

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
        self._record_outcome(
            call,
            route,
            status=error.status,
            cause=error.cause,
            reason=error.message,
            verdict=verdict_name(error.verdict),
            is_cut=is_cut,
        )

    def _record_outcome(
        self,
        call: Call,
        route: Route | None,
        *,
        status: int,
        cause: str,
        is_on_time: bool = False,
        **fields: object,
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
            customer=call.customer,
            configuration=version,
            status=status,
            cause=cause,
            taken_ms=round((now - call.arrived_at) * 1000, 1),
            left_ms=None
            if call.deadline is None
            else round((call.deadline - now) * 1000),
            **fields,
        )
