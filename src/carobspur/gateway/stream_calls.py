"""Handles calls on streaming routes: event streams of model engines.

On resumable routes a stream that breaks off is resumed at the same or another engine,
after the last event that the caller has, within the answer that it already receives.
Turns of agent programs may also have a token budget and a history.
"""

from __future__ import annotations

import asyncio

from ..errors import CarobspurError
from .calls import Call, Responder
from .context import GatewayContext
from .customers.ownership import program_name
from .endpoint_client import Exchange
from .endpoints import Endpoint
from .events import EventSplitter, StreamEvent, event_number
from .health import MeasuredTurn
from .objectives import Served
from .outcomes import MAX_SENDS
from .placement import Need, SendObservation, observe
from .quarantine.crash_history import Progress
from .refusals import (
    DeadlineExceededError,
    DeadlineExceededUnsentError,
    EndpointFailedError,
    NoEndpointError,
    TurnNotResumableError,
)
from .routes import Route
from .send_errors import (
    ConnectionEndedError,
    EndlessAnswerError,
    LostAnswerError,
    NotSentError,
)
from .turn_lifecycle import TurnLifecycle
from .turn_state import TurnState

RETRY_AFTER_S = 0.2
"""Retry-After of refused calls; about the time of one turn."""
EVENTS_PER_YIELD = 32
"""Events that are forwarded before the event loop may run other requests."""
SLOW_WRITE_S = 0.02
"""Time to forward an event from which the caller, or the gateway's own load, delays the
next ones: about the gap between two events of an engine."""
MAX_RESUMES = 2
"""How often the stream of one call is resumed; a third loss is taken for a fault of the
engine and fails the call."""


class StreamCallHandler:
    """Handles calls on streaming routes.

    Args:
        context: Components shared by all requests of the gateway.
        turn_lifecycle: Manages budgets and histories of turns.
    """

    __slots__ = ("_turn_lifecycle", "_context")

    def __init__(self, context: GatewayContext, turn_lifecycle: TurnLifecycle) -> None:
        self._context = context
        self._turn_lifecycle = turn_lifecycle

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> Served:
        """Answer a call with a stream.

        Args:
            call: The caller's request.
            route: Its route.
            responder: Sends the answer to the caller.
            deadline: Event loop time after which an answer is of no use.

        Raises:
            CarobspurError: The stream could not be completed. The verdict of the error
                says whether an engine may have run the call.
        """
        if call.last_event_id and route.keeps_history and call.program is not None:
            # The events before it are those of another request, so the output of this
            # turn could not be stored whole.
            raise TurnNotResumableError(
                "a turn that is stored can only be run from its start"
            )
        turn = TurnState(call, route, deadline, last_event_id=call.last_event_id)
        try:
            await self._turn_lifecycle.prepare(turn)
            with self._context.hold_bytes(len(turn.history.text)):
                status = await self._send_until_done(turn, responder)
                if turn.has_ended:
                    await self._turn_lifecycle.commit(turn)
                    responder.finish()
            return Served(status, turn.is_on_time)
        except TimeoutError:
            raise self._deadline_error(turn) from None
        finally:
            self._turn_lifecycle.settle(turn)

    async def _send_until_done(self, turn: TurnState, responder: Responder) -> int:
        """Send the request until a stream is complete or no retry is allowed.

        Returns:
            The status that was sent to the caller.

        Raises:
            EndpointFailedError: An engine may have run the call; no retry is allowed.
            NoEndpointError: No engine has run the call, and none is left to try.
            TimeoutError: The deadline passed.
        """
        resumes = 0
        reason = "no engine is registered"
        resume_at: Endpoint | None = None
        while len(turn.refused) < MAX_SENDS:
            if resume_at is None and turn.runs >= max(1, turn.route.max_attempts):
                break
            engine = self._choose(turn, resume_at)
            if engine is None:
                if await self._wait_for_limit(turn):
                    continue
                break
            resume_at = None
            earlier_events, earlier_runs = turn.events, turn.runs
            try:
                async with asyncio.timeout_at(turn.deadline):
                    status = await self._attempt(turn, engine, responder)
            except NotSentError as error:
                reason = error.message
                self._record_failure(turn, engine, "not_sent", reason)
                turn.refused.add(engine.key)
                turn.may_be_running = False
                continue
            except LostAnswerError as error:
                reason = error.message
                if isinstance(error, ConnectionEndedError):
                    progress = Progress.SENT
                    if turn.events > earlier_events:
                        progress = Progress.PRODUCING
                    elif turn.runs > earlier_runs:
                        progress = Progress.BEGUN
                    self._context.crash_watch.record_loss(
                        engine, turn.call, progress, reason=reason
                    )
                self._record_failure(turn, engine, "lost", reason)
                resumes += 1
                if not turn.is_resumable or resumes > MAX_RESUMES:
                    break
                await self._context.crash_watch.settle(engine)
                if self._context.quarantine.blocks(turn.call, turn.route):
                    break
                # Resuming at the same engine does not count against the route's limit.
                resume_at = engine
                continue
            if status is not None:
                return status
            reason = "engines refused the request without running it"
        if turn.runs:
            raise EndpointFailedError(reason)
        if turn.call.limited_for_s is not None:
            raise self._context.limits.refusal(turn.call, self._service(turn))
        raise NoEndpointError(reason, retry_after_s=RETRY_AFTER_S)

    async def _wait_for_limit(self, turn: TurnState) -> bool:
        limits = self._context.limits
        return await limits.wait(
            self._untried(turn), turn.call, turn.route, turn.deadline
        )

    def _service(self, turn: TurnState) -> str:
        return turn.route.service_for(_affinity(turn))

    def _untried(self, turn: TurnState) -> list[Endpoint]:
        """Return the engines that have not refused the request."""
        affinity = _affinity(turn)
        usable = self._context.endpoints.usable(
            turn.route.service_for(affinity),
            affinity=affinity,
            data_centre=self._context.data_centre,
        )
        return [item for item in usable if item.key not in turn.refused]

    def _choose(self, turn: TurnState, resume_at: Endpoint | None) -> Endpoint | None:
        context = self._context
        now = asyncio.get_running_loop().time()
        if resume_at is not None:
            known = context.endpoints.get(resume_at.id)
            is_same_start = known is not None and known.key == resume_at.key
            if (
                is_same_start
                and not known.is_draining
                and context.limits.allowed([resume_at], turn.call, turn.route, now)
            ):
                return resume_at
            turn.refused.add(resume_at.key)
        allowed = context.limits.allowed(
            self._untried(turn), turn.call, turn.route, now
        )
        allowed = context.quarantine.isolate(allowed, turn.call, now)
        return context.placement.engine(allowed, self._need(turn), context.health, now)

    def _need(self, turn: TurnState) -> Need:
        context, call = self._context, turn.call
        affinity = _affinity(turn)
        service = context.configuration and context.configuration.services.get(
            turn.route.service_for(affinity)
        )
        traits = service.engine if service else None
        return Need(
            context.data_centre,
            affinity,
            call.prompt_tokens,
            route=turn.route.name,
            is_turn=True,
            prompt_parts=call.prompt_parts,
            expected_tokens=call.expected_tokens,
            max_tokens=call.max_tokens,
            resumed_events=turn.events,
            tokens_per_event=max(1, traits.tokens_per_event) if traits else 1,
            memory_tokens=traits.cache_tokens if traits else 0,
        )

    async def _attempt(
        self, turn: TurnState, engine: Endpoint, responder: Responder
    ) -> int | None:
        """Send the request to one engine and forward its answer.

        Returns:
            The status that was sent to the caller; ``None`` if the engine has not run
            the request.
        """
        loop = asyncio.get_running_loop()
        context = self._context
        context.limits.record_send(engine, turn.call, turn.route, loop.time())
        observation = observe(
            context.placement, engine, self._need(turn), context.health, loop.time()
        )
        try:
            return await self._exchange(turn, engine, responder, observation)
        finally:
            observation.close(loop.time())

    async def _exchange(
        self,
        turn: TurnState,
        engine: Endpoint,
        responder: Responder,
        observation: SendObservation,
    ) -> int | None:
        loop = asyncio.get_running_loop()
        resumed_after = event_number(turn.last_event_id)
        turn.may_be_running = True
        running = self._context.health.running(engine.key, loop.time())
        async with self._context.endpoint_client.exchange(
            engine,
            turn.call,
            turn.body,
            deadline=turn.deadline,
            last_event_id=turn.last_event_id,
        ) as exchange:
            head = exchange.head
            if head.has_not_run:
                await exchange.body()
                self._context.health.record_full(engine.key, loop.time())
                self._log_sent(turn, engine, "not_run", f"refused: {head.status}")
                turn.refused.add(engine.key)
                turn.may_be_running = False
                return None
            turn.runs += 1
            if head.status >= 300:
                body = await exchange.body()
                self._log_sent(turn, engine, "answered", f"status {head.status}")
                if responder.has_started:
                    raise LostAnswerError(
                        f"resuming the stream failed with status {head.status}"
                    )
                responder.reply(head.status, head.headers, body)
                return head.status
            if not head.is_genuine:
                raise LostAnswerError(
                    "the answer lacks the engine's signature or is content-encoded"
                )
            if responder.has_started and not head.is_event_stream:
                raise LostAnswerError("the engine did not resume with a stream")
            self._log_sent(
                turn,
                engine,
                "streaming",
                "",
                expected_ms=round(observation.expected_ms, 1),
            )
            await self._forward(
                turn,
                exchange,
                responder,
                observation,
                running=running,
                resumed_after=resumed_after,
            )
            return head.status

    async def _forward(
        self,
        turn: TurnState,
        exchange: Exchange,
        responder: Responder,
        observation: SendObservation,
        *,
        running: int,
        resumed_after: int | None,
    ) -> None:
        """Forward the events of one answer.

        Args:
            turn: The request.
            exchange: The answer.
            responder: Sends the events to the caller.
            observation: Is told about each event and the end.
            running: Requests that the engine was processing when this one was sent.
            resumed_after: Number of the event after which the engine was asked to go
                on; ``None`` for a run from the start.

        Raises:
            LostAnswerError: The stream broke off, or does not go on after the events
                that the caller has.
        """
        loop = asyncio.get_running_loop()
        limits = self._context.answer_limits
        splitter = EventSplitter(max_bytes=limits.event_bytes)
        first_at = last_at = 0.0
        count = 0
        async for piece in exchange.pieces():
            for event in splitter.feed(piece):
                count += 1
                if count % EVENTS_PER_YIELD == 0:
                    await asyncio.sleep(0)
                if resumed_after is not None and not event.follows(resumed_after):
                    raise LostAnswerError("the engine did not resume the stream")
                last_at = loop.time()
                turn.record_event(event, last_at)
                observation.record_event(last_at)
                if turn.output_bytes > self._turn_lifecycle.max_turn_bytes:
                    raise EndlessAnswerError("the turn is too long to be stored")
                if count == 1:
                    first_at = last_at
                    self._observe_first_event(turn)
                await self._write_event(turn, event, exchange, responder)
                if loop.time() - last_at > SLOW_WRITE_S:
                    observation.record_slow_caller()
        if splitter.rest.strip():
            raise LostAnswerError("the stream ended inside an event")
        if not count and exchange.ended_with_connection:
            raise LostAnswerError("the connection ended before the first event")
        if not responder.has_started:
            responder.start(exchange.head.status, exchange.head.headers)
        turn.has_ended = True
        if count:
            observation.record_answer(last_at)
        if count > 1:
            # The pause between events shows a slow engine regardless of the length of
            # its prompts and of its queue.
            gap_ms = 1000 * (last_at - first_at) / (count - 1)
            self._context.health.record_turn(
                exchange.endpoint.key,
                exchange.endpoint.service,
                MeasuredTurn(running, count, gap_ms),
                last_at,
            )
            if self._context.observe_turn is not None and resumed_after is None:
                self._context.observe_turn(
                    turn.call,
                    exchange.endpoint.service,
                    first_at - turn.call.arrived_at,
                    gap_ms / 1000,
                    count,
                )

    async def _write_event(
        self,
        turn: TurnState,
        event: StreamEvent,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        if not responder.has_started:
            responder.start(exchange.head.status, exchange.head.headers)
        turn.record_forwarded(event)
        await responder.write(event.raw)

    def _record_failure(
        self, turn: TurnState, engine: Endpoint, outcome: str, reason: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._context.health.record_failure(engine.key, now)
        if outcome == "lost":
            turn.runs = max(turn.runs, 1)
        self._log_sent(turn, engine, outcome, reason)

    def _observe_first_event(self, turn: TurnState) -> None:
        now = asyncio.get_running_loop().time()
        self._context.telemetry.first_event_seconds.observe(now - turn.call.arrived_at)

    def _log_sent(
        self,
        turn: TurnState,
        engine: Endpoint,
        outcome: str,
        reason: str,
        **fields: object,
    ) -> None:
        state = self._context.health.state(engine.key)
        program = turn.call.program
        self._context.log.record(
            "sent",
            request=turn.call.id,
            program=program.id if program else "",
            endpoint=engine.id,
            registry_version=self._context.endpoints.version,
            in_flight=state.in_flight,
            pace=round(state.pace, 2),
            runs=turn.runs,
            events=turn.events,
            outcome=outcome,
            reason=reason,
            **fields,
        )

    def _deadline_error(self, turn: TurnState) -> CarobspurError:
        if turn.runs or turn.may_be_running:
            return DeadlineExceededError("no complete answer before the deadline")
        return DeadlineExceededUnsentError(
            "the deadline passed before the call was sent to an engine",
            retry_after_s=RETRY_AFTER_S,
        )


def _affinity(turn: TurnState) -> str:
    """Return the key whose turns should go to the same engine."""
    return program_name(turn.call) or turn.call.id
