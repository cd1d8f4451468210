"""Streams of model engines and turns of agent programs."""

from __future__ import annotations

import asyncio

from ..errors import CarobspurError
from .calls import Call, Responder
from .context import GatewayContext
from .endpoint_client import Exchange
from .endpoints import Endpoint
from .events import EventSplitter, StreamEvent, event_number
from .health import MeasuredTurn
from .objectives import Served
from .outcomes import MAX_SENDS
from .placement import Need
from .refusals import (
    DeadlineExceededError,
    DeadlineExceededUnsentError,
    EndpointFailedError,
    NoEndpointError,
)
from .routes import Route
from .send_errors import EndlessAnswerError, LostAnswerError, NotSentError
from .turn_lifecycle import TurnLifecycle
from .turn_state import TurnState

RETRY_AFTER_S = 0.2
"""When to come back after a refusal: about one turn."""
EVENTS_A_TURN = 32
"""Events that are passed on without a turn of the loop for other requests."""
MAX_RESUMES = 2
"""How often one call's stream is resumed: a third loss is the engine's own fault."""


class StreamCallHandler:
    """Serves requests of streaming routes.

    Args:
        context: Shared parts of the gateway.
        book: Budgets and histories of turns.
    """

    __slots__ = ("_book", "_context")

    def __init__(self, context: GatewayContext, book: TurnLifecycle) -> None:
        self._context = context
        self._book = book

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> Served:
        """Answer a request with a stream.

        Raises:
            CarobspurError: There is no answer to pass on; its verdict is true.
        """
        turn = TurnState(call, route, deadline, last_event_id=call.last_event_id)
        try:
            await self._book.prepare(turn)
            status = await self._run(turn, responder)
            if turn.has_ended:
                await self._book.commit(turn)
                responder.finish()
            return Served(status, turn.is_on_time)
        except TimeoutError:
            raise self._out_of_time(turn) from None
        finally:
            self._book.settle(turn)

    async def _run(self, turn: TurnState, responder: Responder) -> int:
        """Send the request until a stream has ended or nothing more may be sent."""
        resumes = 0
        reason = "no engine is registered"
        again_at: Endpoint | None = None
        while len(turn.refused) < MAX_SENDS:
            engine = self._choose(turn, again_at)
            if engine is None:
                break
            again_at = None
            try:
                async with asyncio.timeout_at(turn.deadline):
                    status = await self._attempt(turn, engine, responder)
            except NotSentError as error:
                reason = error.message
                self._failed(turn, engine, "not_sent", reason)
                turn.refused.add(engine.key)
                turn.may_be_running = False
                continue
            except LostAnswerError as error:
                reason = error.message
                self._failed(turn, engine, "lost", reason)
                resumes += 1
                if not turn.route.is_resumable or resumes > MAX_RESUMES:
                    break
                # The same engine does not count as a further one.
                again_at = engine
                continue
            if status is not None:
                return status
            reason = "engines are full"
        if turn.runs:
            raise EndpointFailedError(reason)
        raise NoEndpointError(reason, retry_after_s=RETRY_AFTER_S)

    def _choose(self, turn: TurnState, again_at: Endpoint | None) -> Endpoint | None:
        context = self._context
        call, program = turn.call, turn.call.program
        if again_at is not None:
            known = context.endpoints.get(again_at.id)
            is_same = known is not None and known.key == again_at.key
            if is_same and not known.is_draining:
                return again_at
            turn.refused.add(again_at.key)
        if turn.runs and turn.runs >= turn.route.max_attempts and again_at is None:
            return None
        affinity = program.id if program else call.id
        usable = context.endpoints.usable(
            turn.route.service_for(affinity),
            affinity=affinity,
            data_centre=context.data_centre,
        )
        fresh = [item for item in usable if item.key not in turn.refused]
        need = Need(context.data_centre, affinity, call.prompt_tokens)
        now = asyncio.get_running_loop().time()
        return context.placement.engine(fresh, need, context.health, now)

    async def _attempt(
        self, turn: TurnState, engine: Endpoint, responder: Responder
    ) -> int | None:
        """Send to one engine; returns the status, or ``None`` if it did not run."""
        loop = asyncio.get_running_loop()
        last_event_id = "" if turn.replays_from_start else turn.last_event_id
        turn.may_be_running = True
        running = self._context.health.running(engine.key, loop.time())
        async with self._context.endpoint_client.exchange(
            engine,
            turn.call,
            turn.body,
            deadline=turn.deadline,
            last_event_id=last_event_id,
        ) as exchange:
            head = exchange.head
            if head.has_not_run:
                await exchange.body()
                self._context.health.record_full(engine.key, loop.time())
                self._record_sent(turn, engine, "not_run", f"refused: {head.status}")
                turn.refused.add(engine.key)
                turn.may_be_running = False
                return None
            turn.runs += 1
            if head.status >= 300:
                body = await exchange.body()
                self._record_sent(turn, engine, "answered", f"status {head.status}")
                if responder.has_started:
                    raise LostAnswerError(f"resuming failed with {head.status}")
                responder.reply(head.status, head.headers, body)
                return head.status
            if not head.is_genuine:
                raise LostAnswerError("the answer is not the engine's")
            self._record_sent(turn, engine, "streaming", "")
            await self._pass_on(turn, exchange, responder, running=running)
            return head.status

    async def _pass_on(
        self,
        turn: TurnState,
        exchange: Exchange,
        responder: Responder,
        *,
        running: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        limits = self._context.answer_limits
        splitter = EventSplitter(max_bytes=limits.event_bytes)
        first_at = last_at = 0.0
        count = 0
        skip_to = event_number(turn.last_event_id) if turn.replays_from_start else None
        turn.reset_output()
        async for piece in exchange.pieces():
            for event in splitter.feed(piece):
                count += 1
                if count % EVENTS_A_TURN == 0:
                    await asyncio.sleep(0)
                last_at = loop.time()
                turn.record_event(event, last_at)
                if turn.output_bytes > self._book.max_turn_bytes:
                    raise EndlessAnswerError("the turn is longer than can be kept")
                if count == 1:
                    first_at = last_at
                    self._record_first(turn)
                if skip_to is not None and (event.number or 0) <= skip_to:
                    continue
                await self._write_event(turn, event, exchange, responder)
        if splitter.rest.strip():
            raise LostAnswerError("the stream ended inside an event")
        if not responder.has_started:
            responder.start(exchange.head.status, exchange.head.headers)
        turn.has_ended = True
        if count > 1:
            # The pause between events shows a slow engine whatever the length of
            # its prompts and of its queue.
            gap_ms = 1000 * (last_at - first_at) / (count - 1)
            self._context.health.record_turn(
                exchange.endpoint.key,
                exchange.endpoint.service,
                MeasuredTurn(running, count, gap_ms),
                last_at,
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
        if event.id:
            turn.last_event_id = event.id
        await responder.write(event.raw)

    def _failed(
        self, turn: TurnState, engine: Endpoint, outcome: str, reason: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._context.health.record_failure(engine.key, now)
        if outcome == "lost":
            turn.runs = max(turn.runs, 1)
        self._record_sent(turn, engine, outcome, reason)

    def _record_first(self, turn: TurnState) -> None:
        now = asyncio.get_running_loop().time()
        self._context.telemetry.first_event_seconds.observe(now - turn.call.arrived_at)

    def _record_sent(
        self, turn: TurnState, engine: Endpoint, outcome: str, reason: str
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
        )

    def _out_of_time(self, turn: TurnState) -> CarobspurError:
        if turn.runs or turn.may_be_running:
            return DeadlineExceededError("no whole answer within the time allowed")
        return DeadlineExceededUnsentError(
            "the time ran out before an engine was asked", retry_after_s=RETRY_AFTER_S
        )
