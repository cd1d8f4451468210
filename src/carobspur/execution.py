"""Base of the kinds of calls: their context, shared runtime and protocol.

A kind of call (model, repeatable, at most once) is a plug-in that turns one admitted
call into a committed outcome.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import msgspec

from .budgets import Budgets, Reservation
from .clock import Clock
from .dispatch import Dispatcher, Urgency
from .endpoints import Endpoints
from .errors import CallError, NotFoundError, RefusedError, SessionLostError
from .fencing import FencingNumbers
from .history import Histories
from .holder import CacheHoldManager
from .inventory import Inventory
from .journal import CallFinished, CallIntended, CallOutcome, Record
from .outage import COMMIT_TIMEOUT_S, OutageGuard
from .pool import EndpointPool, EndpointState
from .programs import SINGLE_CALL_AGENT, Program, StoredCall, call_id
from .requests import CallRequest
from .retry import Backoff, RetryBudgets
from .routing import RouteRequest
from .running import RunningCall
from .session import Session
from .verdict import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RAN,
    Verdict,
    verdict_from_name,
    verdict_name,
)

MAX_SENDS = 3
FIRST_CALL_WAIT_SHARE = 0.2

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class CallContext:
    """One admitted call and what it is executed with.

    Attributes:
        program: The program's committed state.
        request: The call as its caller sent it.
        inventory: The organisation's inventory in force when the call began.
        running: The call in progress; receives the pieces of a streamed answer.
    """

    program: Program
    request: CallRequest
    inventory: Inventory
    running: RunningCall

    @property
    def call_id(self) -> str:
        """Id by which endpoints identify the call."""
        return call_id(self.program.id, self.request.number)

    @property
    def rank(self) -> int:
        """Rank of the program's priority class; lower ranks are served first.

        Single calls, and agents whose class the rules don't list, have rank 0.
        """
        if self.program.agent == SINGLE_CALL_AGENT:
            return 0
        agent = self.inventory.agent(self.program.agent)
        for item in self.inventory.rules.classes:
            if item.name == agent.priority_class:
                return item.rank
        return 0


@dataclass(frozen=True, slots=True)
class Price(Generic[Result]):
    """Cost units of one send of a call.

    Attributes:
        max_units: Upper bound, reserved before the send.
        cost_of: Returns the cost of a completed send from its result.
    """

    max_units: int
    cost_of: Callable[[Result], int]


@dataclass(frozen=True, slots=True)
class CallRuntime:
    """Parts of the scheduler that all kinds of calls share.

    Attributes:
        clock: Source of time.
        session: The scheduler's session, through which records are committed.
        budgets: Grants from which calls reserve cost units.
        dispatcher: Queue of calls that wait for an endpoint.
        pool: State of all endpoints.
        endpoints: HTTP client of the endpoints.
        hold_manager: Orders engines to hold or release cached histories.
        histories: Reads programs' histories from the object store.
        data_centre: Data centre of this scheduler.
        fences: Issues the fencing numbers of requests to endpoints.
        retries: Limits repeated sends per endpoint.
        outage: Detects that the table service does not answer.
    """

    clock: Clock
    session: Session
    budgets: Budgets
    dispatcher: Dispatcher
    pool: EndpointPool
    endpoints: Endpoints
    hold_manager: CacheHoldManager
    histories: Histories
    data_centre: str
    fences: FencingNumbers
    retries: RetryBudgets
    outage: OutageGuard

    @asynccontextmanager
    async def reserved(
        self, context: CallContext, units: int
    ) -> AsyncIterator[Reservation]:
        """Reserve cost units during the body.

        A reservation that the body does not settle is returned in full.

        Raises:
            StoreOutageError: The table service did not answer in time.
            BudgetExhaustedError: An allowance does not cover the units.
        """
        async with self.outage.limit_wait(NOT_RUN):
            reservation = await self.budgets.reserve(
                context.inventory, context.program.user, units
            )
        try:
            yield reservation
        finally:
            reservation.settle(0)

    @asynccontextmanager
    async def slot(
        self,
        context: CallContext,
        route: RouteRequest,
        candidates: list[EndpointState],
    ) -> AsyncIterator[EndpointState]:
        """Wait for an endpoint and occupy one of its slots during the body.

        Raises:
            NotFoundError: There are no candidates.
            OverloadedError: The queue is full, or the predicted wait is too long.
        """
        if not candidates:
            raise NotFoundError(f"no endpoint serves {route.model!r}")
        async with self.dispatcher.slot(
            route, candidates, urgency=self._urgency(context)
        ) as endpoint:
            yield endpoint

    def _urgency(self, context: CallContext) -> Urgency:
        program = context.program
        now_s = self.clock.wall()
        return Urgency(
            organisation=program.organisation,
            rank=context.rank,
            program_age_s=max(0.0, now_s - program.started_s),
            max_wait_s=_max_wait_s(context, now_s),
        )

    async def send(
        self,
        context: CallContext,
        route: RouteRequest,
        candidates: list[EndpointState],
        send_to: Callable[[EndpointState], Awaitable[Result]],
        price: Price[Result],
    ) -> tuple[Result, EndpointState]:
        """Send a repeatable call, and send it again after a failure.

        It is sent at most ``MAX_SENDS`` times, within the retry budget of the endpoint
        that it names, and to candidates that were not tried yet as long as there are
        any. A call that ran and failed (verdict ``RAN``) is not sent again.

        Args:
            context: The call.
            route: Input of the routing policy.
            candidates: Endpoints that serve the call.
            send_to: Sends the call to one endpoint.
            price: Cost of each send.

        Returns:
            The result and the endpoint that gave it.

        Raises:
            CallError: The failure of the last send.
            RefusedError: The first send was refused before any of it ran. If a later
                send is refused, the failure before it is raised.
        """
        backoff = Backoff()
        name = context.request.endpoint
        self.retries.record_first_send(name)
        failed: CallError | None = None
        tried: list[EndpointState] = []
        for _ in range(MAX_SENDS):
            untried = [item for item in candidates if item not in tried]
            try:
                return await self._send_once(
                    context, route, untried or candidates, send_to, price, tried
                )
            except RefusedError as error:
                raise (failed or error) from error
            except CallError as error:
                failed = error
            if failed.verdict == RAN or not self.retries.try_spend(name):
                break
            await self.clock.sleep(backoff.next_s())
        raise failed

    async def _send_once(
        self,
        context: CallContext,
        route: RouteRequest,
        candidates: list[EndpointState],
        send_to: Callable[[EndpointState], Awaitable[Result]],
        price: Price[Result],
        tried: list[EndpointState],
    ) -> tuple[Result, EndpointState]:
        """Reserve the highest cost of one send, send, and settle the actual cost.

        Raises:
            CallError: The send failed; if it may have run, it is charged in full.
        """
        async with (
            self.reserved(context, price.max_units) as reservation,
            self.slot(context, route, candidates) as endpoint,
        ):
            tried.append(endpoint)
            try:
                result = await self.with_breaker(endpoint, send_to(endpoint))
            except CallError as error:
                reservation.settle(0 if error.verdict == NOT_RUN else price.max_units)
                raise
            reservation.settle(min(price.max_units, price.cost_of(result)))
        return result, endpoint

    async def with_breaker(
        self, endpoint: EndpointState, sending: Awaitable[Result]
    ) -> Result:
        """Await a sent call and report its result to the endpoint's circuit breaker.

        The failure of a call that ran (verdict ``RAN``) counts neither as a success
        nor as a failure of the endpoint.
        """
        try:
            result = await sending
        except CallError as error:
            if error.verdict != RAN:
                endpoint.breaker.on_failure(self.clock.monotonic())
            raise
        endpoint.breaker.on_success()
        return result

    async def commit(
        self, context: CallContext, records: list[Record], *, pending_verdict: Verdict
    ) -> None:
        """Commit records of a call.

        After ``COMMIT_TIMEOUT_S`` the requests that wait for the call get an error; the
        commit itself continues.

        Args:
            context: The call.
            records: The records.
            pending_verdict: Verdict of the error that these requests get.

        Raises:
            SessionLostError: The session was taken over; the verdict is "may have run".
        """
        loop = asyncio.get_event_loop()
        timer = loop.call_later(
            COMMIT_TIMEOUT_S,
            lambda: context.running.fail_waiters(self.outage.error(pending_verdict)),
        )
        try:
            await self.session.commit(records)
        except SessionLostError as error:
            raise error.as_may_have_run() from error
        finally:
            timer.cancel()

    async def finish(self, context: CallContext, outcome: CallOutcome) -> StoredCall:
        """Commit a call's outcome and return the stored call.

        Raises:
            SessionLostError: The session was taken over.
        """
        request = context.request
        record = CallFinished(
            program=context.program.id,
            number=request.number,
            endpoint=request.endpoint,
            digest=request.digest,
            input=request.content.decode(),
            outcome=outcome,
        )
        verdict = verdict_from_name(outcome.verdict)
        await self.commit(context, [record], pending_verdict=verdict)
        return context.program.stored(request.number)


class CallKind(Protocol):
    """Protocol of the plug-ins that turn an admitted call into a committed outcome."""

    async def run(self, context: CallContext) -> StoredCall:
        """Run a call for which no intent is stored.

        Raises:
            CarobspurError: The call failed. Unless the verdict says that it may have
                run, nothing of it is stored and its number can be used again.
        """

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Resolve a stored intent: a call that another process may have sent.

        Raises:
            CarobspurError: The call did not run and never will; its number can be
                used again.
        """


def _max_wait_s(context: CallContext, now_s: float) -> float | None:
    """Return the longest predicted wait with which a call is accepted.

    For a program's first call it is ``FIRST_CALL_WAIT_SHARE`` of the agent's
    ``objective_s``, or the time to the deadline if that is less: refusing a program
    that could not meet its objective wastes no work. Later calls and sub-agents are
    limited by the deadline only, since refusing them would waste what the program has
    already used; so are single calls, which have no objective. ``None`` means that any
    wait is accepted.
    """
    program = context.program
    remaining_s = program.deadline_s - now_s if program.deadline_s else None
    has_run = program.next_number > 1 or bool(program.parent)
    if has_run or program.agent == SINGLE_CALL_AGENT:
        return remaining_s
    agent = context.inventory.agent(program.agent)
    first_wait_s = FIRST_CALL_WAIT_SHARE * agent.objective_s
    return first_wait_s if remaining_s is None else min(first_wait_s, remaining_s)


def failure_outcome(error: CallError) -> CallOutcome:
    """Return the outcome to store for a final failure.

    Every verdict but ``RAN`` is stored as "may have run".
    """
    return CallOutcome(
        verdict=verdict_name(RAN if error.verdict == RAN else MAY_HAVE_RUN),
        cause=error.cause,
        message=error.message,
    )


def with_cost(outcome: CallOutcome, units: int) -> CallOutcome:
    """Return a copy of an outcome with its cost set."""
    return msgspec.structs.replace(outcome, cost_units=units)
