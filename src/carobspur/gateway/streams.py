"""Streams of model engines and turns of agent programs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import CarobspurError
from .calls import Call, Responder
from .context import GatewayContext
from .endpoints import Endpoint
from .events import EventSplitter, StreamEvent
from .http1 import LostAnswerError, NotSentError
from .outcomes import MAX_SENDS
from .placement import Need, choose_engine
from .refusals import (
    EndpointFailedError,
    NoEndpointError,
    OutOfTimeError,
    OutOfTimeUnsentError,
    StateAwayError,
)
from .routes import Route
from .rows import RowKey, RowStore, RowStoreAwayError
from .sender import Exchange
from .spending_client import Reservation, SpendingClient
from .turns import EMPTY_CHAIN, Chain, TurnKeeper

RETRY_AFTER_S = 0.2
"""When to come back after a refusal: about one turn."""
STATE_TIMEOUT_S = 0.8
"""Longest wait for the row store before a turn: a slow store answers within 0.5 s."""
COMMIT_TIMEOUT_S = 1.6
"""Longest wait for the row store after a turn: callers give up after 2 s of silence."""
STATE_SHARE_OF_TIME = 0.3
"""Share of the time left that such a wait may take."""
STATE_RETRY_AFTER_S = 0.7
"""When to come back while the store is away: a fraction of a short outage."""
STORE_POLL_S = 0.02
GAP_KIND = "event_gap"
"""What is measured of engines: the pause between two events of a stream."""
MAX_RESUMES = 2
"""How often one call's stream is resumed: a third loss is the engine's own fault."""


@dataclass(slots=True)
class _Turn:
    """A stream under way.

    Attributes:
        call: The request.
        route: Its terms.
        deadline: Loop time of the last useful answer.
        chain: What comes before the new input.
        reservation: Tokens set aside, for programs with a budget.
        passed: Whole events that were passed on or, before the caller's last event,
            read again.
        last_event: Id of the newest event that the caller has.
        runs: Engines that may have run it.
        may_be_running: Whether a request is at an engine that has not answered.
        refused: Engines that did not run it.
        has_ended: Whether the engine's stream came whole.
    """

    call: Call
    route: Route
    deadline: float
    chain: Chain = EMPTY_CHAIN
    reservation: Reservation | None = None
    passed: list[StreamEvent] = field(default_factory=list)
    last_event: str = ""
    runs: int = 0
    may_be_running: bool = False
    refused: set[str] = field(default_factory=set)
    has_ended: bool = False

    @property
    def reads_from_start(self) -> bool:
        """Whether the engine must make all events, because they are kept."""
        return self.route.keeps_history

    @property
    def body(self) -> bytes:
        """What the engine is given."""
        return self.chain.text + self.call.body


class StreamCalls:
    """Serves requests of streaming routes.

    Args:
        context: Shared parts of the gateway.
        turns: Keeps turns.
        spending: Keeps budgets.
        store: Turns are written to it.
        store_is_away: Returns whether no gateway reaches the store.
        on_kept: Called with the key of a row that was written, and for how many
            seconds it must stay.
    """

    __slots__ = (
        "_context",
        "_on_kept",
        "_spending",
        "_store",
        "_store_is_away",
        "_turns",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnKeeper,
        spending: SpendingClient,
        store: RowStore,
        *,
        store_is_away: Callable[[], bool],
        on_kept: Callable[[RowKey, float], None],
    ) -> None:
        self._context = context
        self._turns = turns
        self._spending = spending
        self._store = store
        self._store_is_away = store_is_away
        self._on_kept = on_kept

    async def serve(
        self, call: Call, route: Route, responder: Responder, *, deadline: float
    ) -> int:
        """Answer a request with a stream; returns the status.

        Raises:
            CarobspurError: There is no answer to pass on; its verdict is true.
        """
        turn = _Turn(call, route, deadline, last_event=call.last_event)
        try:
            await self._prepare(turn)
            status = await self._run(turn, responder)
            if turn.has_ended:
                await self._keep(turn)
                responder.finish()
            return status
        except TimeoutError:
            raise self._out_of_time(turn) from None
        finally:
            self._settle(turn)

    async def _prepare(self, turn: _Turn) -> None:
        """Reserve the turn's tokens and read its chain, both at once."""
        call, program = turn.call, turn.call.program
        if program is None:
            return
        steps = []
        if program.token_budget is not None and call.max_tokens:
            steps.append(self._reserve(turn, program.token_budget))
        if turn.route.keeps_history:
            steps.append(self._await_store())
            if program.previous_turn:
                steps.append(self._read_chain(turn, program.previous_turn))
        try:
            async with asyncio.timeout(self._state_wait_s(turn)):
                results = await asyncio.gather(*steps, return_exceptions=True)
        except TimeoutError:
            results = [RowStoreAwayError("turns or budgets were not told in time")]
        for result in results:
            if isinstance(result, RowStoreAwayError):
                raise StateAwayError(
                    result.message, retry_after_s=STATE_RETRY_AFTER_S
                ) from result
        for result in results:
            if isinstance(result, BaseException):
                raise result

    @staticmethod
    def _state_wait_s(turn: _Turn) -> float:
        """Return how long to wait for the store.

        A caller with little time left must hear the refusal before it leaves.
        """
        left_s = turn.deadline - asyncio.get_running_loop().time()
        return min(STATE_TIMEOUT_S, STATE_SHARE_OF_TIME * left_s)

    async def _reserve(self, turn: _Turn, budget: int) -> None:
        call = turn.call
        turn.reservation = await self._spending.reserve(
            call.program.id,
            call.id,
            call.max_tokens,
            budget,
            kept_s=turn.route.retention_s,
        )
        self._context.log.note(
            "reserved",
            request=call.id,
            program=call.program.id,
            home=turn.reservation.home,
            tokens=call.max_tokens,
            others=turn.reservation.others,
            budget=budget,
        )

    async def _await_store(self) -> None:
        """Wait a little for the store; without it the turn could not be kept."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STATE_TIMEOUT_S
        while self._store_is_away():
            if loop.time() >= deadline:
                raise RowStoreAwayError("the turn could not be kept")
            await asyncio.sleep(STORE_POLL_S)

    async def _read_chain(self, turn: _Turn, previous: str) -> None:
        turn.chain = await self._turns.chain(
            previous, program=turn.call.program.id, timeout_s=STATE_TIMEOUT_S
        )

    async def _run(self, turn: _Turn, responder: Responder) -> int:
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

    def _choose(self, turn: _Turn, again_at: Endpoint | None) -> Endpoint | None:
        context = self._context
        call, program = turn.call, turn.call.program
        if again_at is not None:
            known = context.endpoints.get(again_at.id)
            if known is not None and known.key == again_at.key:
                return again_at
            turn.refused.add(again_at.key)
        if turn.runs and turn.runs >= turn.route.max_attempts and again_at is None:
            return None
        affinity = program.id if program else call.id
        usable = context.endpoints.usable(turn.route.service_for(affinity))
        fresh = [item for item in usable if item.key not in turn.refused]
        need = Need(context.data_centre, affinity, call.prompt_tokens)
        now = asyncio.get_running_loop().time()
        return choose_engine(fresh, need, context.health, now)

    async def _attempt(
        self, turn: _Turn, engine: Endpoint, responder: Responder
    ) -> int | None:
        """Send to one engine; returns the status, or ``None`` if it did not run."""
        loop = asyncio.get_running_loop()
        last_event = "" if turn.reads_from_start else turn.last_event
        turn.may_be_running = True
        async with self._context.sender.exchange(
            engine,
            turn.call,
            turn.body,
            deadline=turn.deadline,
            last_event=last_event,
        ) as exchange:
            head = exchange.head
            if head.is_not_run:
                await exchange.body()
                self._context.health.note_full(engine.key, loop.time())
                self._note_sent(turn, engine, "not_run", f"refused: {head.status}")
                turn.refused.add(engine.key)
                turn.may_be_running = False
                return None
            turn.runs += 1
            if head.status >= 300:
                body = await exchange.body()
                self._note_sent(turn, engine, "answered", f"status {head.status}")
                if responder.has_started:
                    raise LostAnswerError(f"resuming failed with {head.status}")
                responder.reply(head.status, head.headers, body)
                return head.status
            if not head.is_genuine:
                raise LostAnswerError("the answer is not the engine's")
            self._note_sent(turn, engine, "streaming", "")
            await self._pass_on(turn, exchange, responder)
            return head.status

    async def _pass_on(
        self, turn: _Turn, exchange: Exchange, responder: Responder
    ) -> None:
        loop = asyncio.get_running_loop()
        splitter = EventSplitter()
        first_at = last_at = 0.0
        count = 0
        skip_to = _number(turn.last_event) if turn.reads_from_start else None
        if turn.reads_from_start:
            turn.passed.clear()
        async for piece in exchange.pieces():
            for event in splitter.feed(piece):
                count += 1
                last_at = loop.time()
                if count == 1:
                    first_at = last_at
                    self._note_first(turn)
                turn.passed.append(event)
                if skip_to is not None and (event.number or 0) <= skip_to:
                    continue
                await self._write_event(turn, event, exchange, responder)
        if splitter.rest.strip():
            raise LostAnswerError("the stream ended inside an event")
        if not responder.has_started:
            responder.start(exchange.head.status, exchange.head.headers)
        turn.has_ended = True
        if count > 1:
            gap_s = (last_at - first_at) / (count - 1)
            # The pause between events shows a slow engine whatever the length of
            # its prompts and of its queue.
            self._context.health.note_success(
                exchange.endpoint.key, GAP_KIND, gap_s, last_at
            )

    async def _write_event(
        self, turn: _Turn, event: StreamEvent, exchange: Exchange, responder: Responder
    ) -> None:
        if not responder.has_started:
            responder.start(exchange.head.status, exchange.head.headers)
        if event.id:
            turn.last_event = event.id
        await responder.write(event.raw)

    async def _keep(self, turn: _Turn) -> None:
        """Write the turn and its spending before the caller sees its end."""
        if not turn.route.keeps_history or turn.call.program is None:
            return
        output = b"".join(event.data + b"\n" for event in turn.passed)
        write, chain = self._turns.write_of(
            turn.chain,
            turn.call.id,
            turn.call.program.id,
            turn.call.body + output,
            retention_s=turn.route.retention_s,
        )
        try:
            await self._store.write([write], timeout_s=COMMIT_TIMEOUT_S)
        except RowStoreAwayError as error:
            self._context.log.note(
                "turn_not_kept",
                request=turn.call.id,
                program=turn.call.program.id,
                reason=error.message,
            )
            raise EndpointFailedError("the turn could not be kept") from error
        self._turns.note_kept(chain)
        self._on_kept(write.key, turn.route.retention_s)

    def _generated(self, turn: _Turn) -> int:
        """Return the tokens that the turn generated, at most what was reserved."""
        if not turn.runs:
            return 0
        service = self._context.configuration.services.get(
            turn.route.service_for(turn.call.program.id)
        )
        if service is None or service.engine is None:
            return turn.reservation.tokens
        return len(turn.passed) * service.engine.tokens_per_event

    def _settle(self, turn: _Turn) -> None:
        if turn.reservation is not None:
            generated = self._generated(turn)
            self._context.spawn(self._spending.settle(turn.reservation, generated))

    def _failed(self, turn: _Turn, engine: Endpoint, outcome: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._context.health.note_failure(engine.key, now)
        if outcome == "lost":
            turn.runs = max(turn.runs, 1)
        self._note_sent(turn, engine, outcome, reason)

    def _note_first(self, turn: _Turn) -> None:
        now = asyncio.get_running_loop().time()
        self._context.telemetry.first_event_seconds.observe(now - turn.call.arrived)

    def _note_sent(
        self, turn: _Turn, engine: Endpoint, outcome: str, reason: str
    ) -> None:
        state = self._context.health.state(engine.key)
        program = turn.call.program
        self._context.log.note(
            "sent",
            request=turn.call.id,
            program=program.id if program else "",
            endpoint=engine.id,
            registry_version=self._context.endpoints.version,
            in_flight=state.in_flight,
            pace=round(state.pace, 2),
            runs=turn.runs,
            events=len(turn.passed),
            outcome=outcome,
            reason=reason,
        )

    def _out_of_time(self, turn: _Turn) -> CarobspurError:
        if turn.runs or turn.may_be_running:
            return OutOfTimeError("no whole answer within the time allowed")
        return OutOfTimeUnsentError(
            "the time ran out before an engine was asked", retry_after_s=RETRY_AFTER_S
        )


def _number(ident: str) -> int | None:
    return int(ident) if ident.isdigit() else None
