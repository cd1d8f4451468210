"""What the kinds of calls share: their context, their tools, and their protocol.

A kind of call is a plug-in. It turns one admitted call into a committed outcome.
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
from .holder import CacheHolder
from .inventory import Inventory
from .journal import CallFinished, CallIntended, CallOutcome, Record
from .outage import COMMIT_LIMIT_S, OutageGuard
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
    """One admitted call.

    Attributes:
        program: The program's committed state.
        request: The call.
        inventory: The organisation's inventory in force.
        running: Where pieces of the answer go.
    """

    program: Program
    request: CallRequest
    inventory: Inventory
    running: RunningCall

    @property
    def call_id(self) -> str:
        """Id by which endpoints know the call."""
        return call_id(self.program.id, self.request.number)

    @property
    def rank(self) -> int:
        """Rank of the program's priority class; lower ranks go first."""
        if self.program.agent == SINGLE_CALL_AGENT:
            return 0
        agent = self.inventory.agent(self.program.agent)
        for item in self.inventory.rules.classes:
            if item.name == agent.priority_class:
                return item.rank
        return 0


@dataclass(frozen=True, slots=True)
class Price(Generic[Result]):
    """Cost units of one sending of a call.

    Attributes:
        max_units: The most that it can cost.
        cost_of: Returns what it cost, from its result.
    """

    max_units: int
    cost_of: Callable[[Result], int]


@dataclass(frozen=True, slots=True)
class CallRuntime:
    """Parts of the scheduler that kinds of calls use.

    Attributes:
        clock: Source of time.
        session: The scheduler's session.
        budgets: The scheduler's grants.
        dispatcher: Waiting calls.
        pool: Endpoints.
        endpoints: Client of the endpoints.
        holder: Keeps and releases engines' caches.
        histories: Reads programs' histories.
        data_centre: Where the scheduler stands.
        fences: Fencing numbers of what is sent.
        retries: Limits repeated sends.
        outage: Tells whether the table answers.
    """

    clock: Clock
    session: Session
    budgets: Budgets
    dispatcher: Dispatcher
    pool: EndpointPool
    endpoints: Endpoints
    holder: CacheHolder
    histories: Histories
    data_centre: str
    fences: FencingNumbers
    retries: RetryBudgets
    outage: OutageGuard

    @asynccontextmanager
    async def reserved(
        self, context: CallContext, units: int
    ) -> AsyncIterator[Reservation]:
        """Reserve cost units; what is not settled in the body is given back."""
        async with self.outage.limited(NOT_RUN):
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
        """Wait for an endpoint and occupy a place there during the body.

        Raises:
            NotFoundError: There are no candidates.
            OverloadedError: Too many calls wait already.
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
        """Send a repeatable call, to another endpoint after a failure.

        Args:
            context: The call.
            route: What the routing policy is told of it.
            candidates: Endpoints that serve it.
            send_to: Sends it to one endpoint.
            price: What each sending costs.

        Returns:
            The result and the endpoint that gave it.

        Raises:
            CallError: The last endpoint's failure.
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
        """Reserve the most that one sending can cost, send, and pay what it cost.

        Raises:
            CallError: The sending failed; where it may have run, it is paid in full.
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
        """Await a sent call and tell the endpoint's circuit breaker how it went."""
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
        """Commit records of a call; after a limit, tell its callers to come back.

        Args:
            context: The call.
            records: The records.
            pending_verdict: What is true of the call while the commit takes too long.

        Raises:
            SessionLostError: The session was taken over; the verdict claims nothing.
        """
        loop = asyncio.get_event_loop()
        timer = loop.call_later(
            COMMIT_LIMIT_S,
            lambda: context.running.fail_waiters(self.outage.error(pending_verdict)),
        )
        try:
            await self.session.commit(records)
        except SessionLostError as error:
            raise error.as_may_have_run() from error
        finally:
            timer.cancel()

    async def finish(self, context: CallContext, outcome: CallOutcome) -> StoredCall:
        """Commit a call's outcome and return it as stored."""
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
    """Turns an admitted call into a committed outcome."""

    async def run(self, context: CallContext) -> StoredCall:
        """Run a call that was not sent before.

        Raises:
            CarobspurError: It failed; nothing of it is stored, and its number is
                free, unless the verdict says that it may have run.
        """

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Find out what came of a call that another process may have sent.

        Raises:
            CarobspurError: It did not run and never will; its number is free.
        """


def _max_wait_s(context: CallContext, now_s: float) -> float | None:
    """Return the longest predicted wait with which a call is worth taking.

    A program that has run something is stopped by its deadline only: what it used is
    lost with it. So is a sub-agent. One that has run nothing is refused where its
    objective is out of reach, which costs nobody anything.
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
    """Return the outcome that stores a failure which is final."""
    return CallOutcome(
        verdict=verdict_name(RAN if error.verdict == RAN else MAY_HAVE_RUN),
        cause=error.cause,
        message=error.message,
    )


def with_cost(outcome: CallOutcome, units: int) -> CallOutcome:
    """Return an outcome with its cost."""
    return msgspec.structs.replace(outcome, cost_units=units)
