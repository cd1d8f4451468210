"""Calls of tools and services that run at most once.

Such a call is sent only after its intent is committed, and its outcome is committed
before a caller gets it. If the outcome is missing, it is looked up at the tool by the
call's id; if that does not decide it, "may have run" is stored permanently.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..endpoints import (
    Lookup,
    LookupNotRun,
    LookupRan,
    LookupUnanswered,
    ToolRequest,
)
from ..errors import (
    CallError,
    CarobspurError,
    EndpointRejectedError,
    EndpointTimeoutError,
)
from ..execution import CallContext, CallRuntime, failure_outcome, with_cost
from ..inventory import Service
from ..journal import CallAbandoned, CallIntended, CallOutcome
from ..plugin_registry import PluginKind, register
from ..pool import EndpointState
from ..programs import StoredCall
from ..retry import Backoff
from ..verdict import MAY_HAVE_RUN, NOT_RUN, RAN
from .calls_service import service_of, service_route

LOOKUP_TIMEOUT_S = 2.0
MAX_LOOKUPS = 4
LOOKUP_DELAY_S = 0.25


@register(PluginKind.CALLS, "once")
class OnceCalls:
    """Runs calls that may not be repeated.

    Args:
        runtime: Parts of the scheduler that the kinds of calls share.
    """

    __slots__ = ("_runtime",)

    def __init__(self, runtime: CallRuntime) -> None:
        self._runtime = runtime

    async def run(self, context: CallContext) -> StoredCall:
        """Send a call at most once; see :class:`..execution.CallKind`.

        The cost is charged in full unless it is proven that the call did not run.
        """
        service = service_of(context)
        route = service_route(context, service, self._runtime)
        replicas = self._runtime.pool.endpoints_for(context.inventory, service.name)
        async with (
            self._runtime.reserved(context, service.cost) as reservation,
            self._runtime.slot(context, route, replicas) as endpoint,
        ):
            fence = self._runtime.fences.take(above=context.program.fence)
            intent = _intent(context, service, endpoint, fence)
            try:
                with _weaken_unproven():
                    await self._commit(context, intent)
                    await self._ensure_lease(context, intent)
                    outcome = await self._send(context, service, intent, endpoint)
            except CarobspurError as error:
                reservation.settle(0 if error.covers_all_sends else service.cost)
                raise
            reservation.settle(service.cost)
        return await self._runtime.finish(context, with_cost(outcome, service.cost))

    async def settle(self, context: CallContext, intent: CallIntended) -> StoredCall:
        """Look the call up at the tool and commit the outcome.

        It is never sent again. Without a look-up the outcome is "may have run".

        Raises:
            CarobspurError: The call did not run and never will.
        """
        error = EndpointTimeoutError(
            "the call was under way when its scheduler stopped; its effect is unknown"
        )
        service = context.inventory.service(intent.endpoint)
        with _weaken_unproven():
            outcome = await self._look_up(context, service, intent, error)
        cost_units = 0 if service is None else service.cost
        return await self._runtime.finish(context, with_cost(outcome, cost_units))

    async def _ensure_lease(self, context: CallContext, intent: CallIntended) -> None:
        """Wait until the lease is valid, and refuse a call whose callers got an error.

        The process may be frozen between the commit of the intent and the send. Once
        its lease has lapsed, another scheduler may have resolved the intent, so the
        call must not be sent. An empty commit shows whether the session is still held.

        Raises:
            StoreOutageError: The commits took too long; the intent is cleared.
            SessionLostError: The session was taken over.
        """
        while not (
            self._runtime.session.has_lease or context.running.has_failed_waiters
        ):
            await self._commit(context)
        if context.running.has_failed_waiters:
            await self._abandon(context, intent)
            raise _as_proven(self._runtime.outage.error())

    async def _send(
        self,
        context: CallContext,
        service: Service,
        intent: CallIntended,
        endpoint: EndpointState,
    ) -> CallOutcome:
        tool_request = ToolRequest(
            call_id=intent.call_id,
            fence=intent.fence,
            content=context.request.content,
            timeout_s=service.timeout_s,
            send_once=True,
            is_fenced=service.checks_fencing,
        )
        sending = self._runtime.endpoints.run(endpoint.address, tool_request)
        try:
            output = await self._runtime.with_breaker(endpoint, sending)
        except CallError as error:
            return await self._outcome_of_failure(context, service, intent, error)
        return CallOutcome(output=output, address=endpoint.address)

    async def _outcome_of_failure(
        self,
        context: CallContext,
        service: Service,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        if error.verdict == RAN:
            return failure_outcome(error)
        if error.verdict == NOT_RUN:
            if isinstance(error, EndpointRejectedError):
                self._runtime.fences.skip_epoch()
            await self._abandon(context, intent)
            raise _as_proven(error)
        return await self._look_up(context, service, intent, error)

    async def _look_up(
        self,
        context: CallContext,
        service: Service | None,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        """Look an intended call up at every replica.

        It ran if one replica says so, and did not run only if all say so; else the
        outcome is ``error``, stored as "may have run".

        Args:
            context: The call.
            service: The service, or ``None`` if the inventory has it no longer.
            intent: The committed intent.
            error: Outcome to store if the look-ups can't decide.

        Raises:
            CallError: The call did not run and never will; the intent is cleared.
        """
        if service is None or not service.has_lookup:
            return failure_outcome(error)
        addresses = {replica.address for replica in service.replicas}
        if intent.address:
            addresses.add(intent.address)
        answers = [
            await self._look_up_at(address, service, intent)
            for address in sorted(addresses)
        ]
        for answer in answers:
            match answer:
                case LookupRan(output):
                    return CallOutcome(output=output)
        if not all(isinstance(answer, LookupNotRun) for answer in answers):
            return failure_outcome(error)
        await self._abandon(context, intent)
        raise _as_proven(
            EndpointRejectedError(
                "the call did not run and never will", verdict=NOT_RUN, retry_after_s=0
            )
        )

    async def _look_up_at(
        self, address: str, service: Service, intent: CallIntended
    ) -> Lookup:
        """Look a call up at one replica, ``MAX_LOOKUPS`` times if it does not answer.

        The fencing number is higher than that of the send, so that a replica which
        checks fencing refuses the call after it answered that it did not run.
        """
        backoff = Backoff(first_s=LOOKUP_DELAY_S)
        for attempt in range(MAX_LOOKUPS):
            if attempt:
                await self._runtime.clock.sleep(backoff.next_s())
            answer = await self._runtime.endpoints.look_up(
                address,
                intent.call_id,
                fence=self._runtime.fences.take(above=intent.fence),
                is_fenced=service.checks_fencing,
                timeout_s=LOOKUP_TIMEOUT_S,
            )
            if not isinstance(answer, LookupUnanswered):
                break
        return answer

    async def _abandon(self, context: CallContext, intent: CallIntended) -> None:
        fence = self._runtime.fences.last
        record = CallAbandoned(intent.program, intent.number, fence)
        await self._commit(context, record)

    async def _commit(
        self, context: CallContext, *records: CallIntended | CallAbandoned
    ) -> None:
        await self._runtime.commit(context, list(records), pending_verdict=MAY_HAVE_RUN)


@contextmanager
def _weaken_unproven() -> Iterator[None]:
    """Raise an unproven "not run" of the body as "may have run"."""
    try:
        yield
    except CarobspurError as error:
        if error.verdict == NOT_RUN and not error.covers_all_sends:
            raise error.as_may_have_run() from error
        raise


def _as_proven(error: CarobspurError) -> CarobspurError:
    """Mark a "not run" as proven for every send of the call and return the error.

    Only for errors raised after a committed record has cleared the intent.
    """
    error.covers_all_sends = True
    return error


def _intent(
    context: CallContext, service: Service, endpoint: EndpointState, fence: int
) -> CallIntended:
    return CallIntended(
        program=context.program.id,
        number=context.request.number,
        endpoint=service.name,
        digest=context.request.digest,
        input=context.request.content.decode(),
        call_id=context.call_id,
        address=endpoint.address,
        fence=fence,
    )
