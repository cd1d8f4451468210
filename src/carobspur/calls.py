"""The life of a call in the scheduler that owns its program."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

import msgspec

from .budgets import Budgets, Reservation
from .clock import Clock
from .dispatch import Dispatcher
from .endpoints import (
    Endpoints,
    GenerateRequest,
    GenerateResult,
    LookupNotRun,
    LookupRan,
    LookupUnknown,
    ModelInput,
    ToolOrder,
    count_tokens,
    decode_model_input,
    extend_prefix_key,
)
from .errors import (
    CallError,
    CarobspurError,
    ConflictError,
    EndpointRejectedError,
    EndpointTimeoutError,
    LimitReachedError,
    NotFoundError,
    NotOwnerError,
    PrefixLostError,
    RequestError,
)
from .holder import CacheHolder
from .inventory import Agent, Inventory, Model, Service
from .journal import (
    CallAbandoned,
    CallFinished,
    CallIntended,
    CallOutcome,
    ProgramEnded,
    ProgramStarted,
    Record,
)
from .logs import call_fields
from .metrics import CALL_SECONDS, PREFIX_TOKENS, PROGRAM_OBJECTIVE, PROGRAM_SECONDS
from .placement import shard_of
from .pool import CachedPrefix, EndpointPool, EndpointState
from .programs import (
    SINGLE_CALL_AGENT,
    Program,
    ProgramBook,
    ProgramReport,
    Replay,
    RunNext,
    SettleIntent,
    StoredCall,
    admit_call,
    call_digest,
    call_id,
    report,
)
from .retry import Backoff
from .routing import RouteRequest
from .session import Session
from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, verdict_from_name, verdict_name

MAX_SENDS = 3
LOOKUP_TIMEOUT_S = 2.0
DEFAULT_SINGLE_CALL_AGENT = Agent(SINGLE_CALL_AGENT, "", max_calls=1)

_logger = logging.getLogger(__name__)

OnText = Callable[[int, str], None]


@dataclass(frozen=True, slots=True)
class Requester:
    """Who asks, as the entry process established it."""

    organisation: str
    user: str


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as a caller asked for it; ``content`` is the input's JSON text."""

    requester: Requester
    program: str
    number: int
    endpoint: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A finished call; ``is_replayed`` where it had finished before."""

    call: StoredCall
    is_replayed: bool = False


@dataclass(slots=True, eq=False)
class _RunningCall:
    """A call under way, with all who listen to its stream."""

    digest: str
    task: asyncio.Task[StoredCall] | None = None
    texts: list[str] = field(default_factory=list)
    listeners: list[OnText] = field(default_factory=list)

    def add_text(self, text: str) -> None:
        index = len(self.texts)
        self.texts.append(text)
        for listener in self.listeners:
            listener(index, text)

    @contextmanager
    def listening(self, listener: OnText | None) -> Iterator[None]:
        if listener is None:
            yield
            return
        for index, text in enumerate(self.texts):
            listener(index, text)
        self.listeners.append(listener)
        try:
            yield
        finally:
            self.listeners.remove(listener)


@dataclass(frozen=True, slots=True)
class ModelHistory:
    """The turns of a program with one model."""

    key: str
    tokens: int
    turns: list[StoredCall]

    def text(self) -> str:
        """Return the whole text."""
        parts = []
        for turn in self.turns:
            parts.append(msgspec.json.decode(turn.input, type=ModelInput).prompt)
            result = msgspec.json.decode(turn.outcome.output, type=GenerateResult)
            parts.append(result.text)
        return " ".join(parts)


def model_history(program: Program, model: str) -> ModelHistory:
    """Return the answered turns of a program with one model."""
    key, tokens, turns = "", 0, []
    for call in program.calls:
        if call.endpoint != model or call.outcome.cause:
            continue
        prompt = msgspec.json.decode(call.input, type=ModelInput).prompt
        answer = msgspec.json.decode(call.outcome.output, type=GenerateResult).text
        key = extend_prefix_key(key, prompt, answer)
        tokens += call.outcome.input_tokens + call.outcome.output_tokens
        turns.append(call)
    return ModelHistory(key, tokens, turns)


class CallService:
    """Serves the programs of the shards that one scheduler owns.

    Args:
        clock: Source of time.
        session: The scheduler's session; everything that must last goes through it.
        book: Committed state of the programs.
        owns: Tells whether this scheduler serves a program.
        shards: Number of shards of the whole system.
        inventories: Returns the inventory in force of an organisation.
        budgets: The scheduler's grants.
        dispatcher: Waiting calls.
        pool: Endpoints.
        endpoints: Client of the endpoints.
        holder: Keeps and releases engines' caches.
        data_centre: Where the scheduler stands.
    """

    __slots__ = (
        "_book",
        "_budgets",
        "_busy",
        "_clock",
        "_data_centre",
        "_dispatcher",
        "_endpoints",
        "_holder",
        "_inventories",
        "_owns",
        "_pool",
        "_running",
        "_session",
        "_shards",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        session: Session,
        book: ProgramBook,
        owns: Callable[[str], bool],
        shards: int,
        inventories: Callable[[str], Inventory],
        budgets: Budgets,
        dispatcher: Dispatcher,
        pool: EndpointPool,
        endpoints: Endpoints,
        holder: CacheHolder,
        data_centre: str,
    ) -> None:
        self._clock = clock
        self._session = session
        self._book = book
        self._owns = owns
        self._shards = shards
        self._inventories = inventories
        self._budgets = budgets
        self._dispatcher = dispatcher
        self._pool = pool
        self._endpoints = endpoints
        self._holder = holder
        self._data_centre = data_centre
        self._running: dict[tuple[str, int], _RunningCall] = {}
        self._busy: dict[int, int] = {}

    def is_busy(self, shard: int) -> bool:
        """Return whether work for a shard's programs is under way."""
        return shard in self._busy

    @property
    def is_idle(self) -> bool:
        """Whether no work is under way."""
        return not self._busy

    async def start_program(
        self,
        requester: Requester,
        program: str,
        *,
        agent: str,
        parent: str = "",
        deadline_s: float = 0.0,
    ) -> bool:
        """Start a program; return whether it is new.

        Args:
            requester: Who asks.
            program: Id of the program, made from the caller's idempotency key.
            agent: Name of its agent.
            parent: Id of the program that starts it, or empty.
            deadline_s: Seconds from now by which it must end, or 0.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such agent.
            ConflictError: The program was started before with another agent or parent.
        """
        with self._working_on(program):
            known = self._book.find(program)
            if known is not None:
                if (known.agent, known.parent) != (agent, parent):
                    raise ConflictError("this idempotency key started another program")
                return False
            if agent != SINGLE_CALL_AGENT:
                self._inventories(requester.organisation).agent(agent)
            now_s = self._clock.wall()
            record = ProgramStarted(
                program=program,
                organisation=requester.organisation,
                user=requester.user,
                agent=agent,
                started_s=now_s,
                parent=parent,
                deadline_s=now_s + deadline_s if deadline_s else 0.0,
            )
            await self._session.commit([record])
            return True

    async def run_call(
        self, request: CallRequest, on_text: OnText | None = None
    ) -> Answer:
        """Run a program's next call, or give a finished one's answer again.

        Args:
            request: The call.
            on_text: Called with index and text of each piece of a model's answer.

        Returns:
            The committed answer.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such program for this user.
            ConflictError: The number was used for another call, or leaves a gap.
            CarobspurError: The call failed; the verdict says whether it ran.
        """
        with self._working_on(request.program):
            program = self._program(request.requester, request.program)
            digest = _digest(request)
            key = (request.program, request.number)
            running = self._running.get(key)
            if running is not None and running.digest != digest:
                raise ConflictError(
                    f"call {request.number} is under way with other content"
                )
            if running is None:
                admission = admit_call(program, request.number, digest)
                if isinstance(admission, Replay):
                    return _answer(admission.call, is_replayed=True)
                running = self._launch(key, program, request, digest, admission)
            with running.listening(on_text):
                return _answer(await asyncio.shield(running.task))

    def show(
        self, requester: Requester, program: str, *, with_history: bool
    ) -> ProgramReport:
        """Return what a caller is told of a program."""
        self._require_owner(program)
        return report(self._program(requester, program), with_history=with_history)

    async def end_program(
        self, requester: Requester, program: str, reason: str
    ) -> None:
        """End a program and the sub-agents that are known here; idempotent."""
        with self._working_on(program):
            found = self._program(requester, program)
            await self._end(found, reason)

    async def run_single(
        self, request: CallRequest, on_text: OnText | None = None
    ) -> Answer:
        """Run one call that belongs to no program of the caller's."""
        await self.start_program(
            request.requester, request.program, agent=SINGLE_CALL_AGENT
        )
        return await self.run_call(request, on_text)

    # -- one call ------------------------------------------------------------

    def _launch(
        self,
        key: tuple[str, int],
        program: Program,
        request: CallRequest,
        digest: str,
        admission: RunNext | SettleIntent,
    ) -> _RunningCall:
        if any(other == key[0] for other, _ in self._running):
            raise ConflictError(f"another call of program {key[0]} is under way")
        running = _RunningCall(digest)
        self._running[key] = running
        running.task = asyncio.ensure_future(
            self._run(program, request, digest, admission, running)
        )
        running.task.add_done_callback(lambda task: self._forget(key, task))
        return running

    def _forget(self, key: tuple[str, int], task: asyncio.Task[StoredCall]) -> None:
        self._running.pop(key, None)
        if not task.cancelled():
            task.exception()

    async def _run(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        admission: RunNext | SettleIntent,
        running: _RunningCall,
    ) -> StoredCall:
        organisation = request.requester.organisation
        fields = call_fields(
            organisation=organisation, program=program.id, call=request.number
        )
        started_s = self._clock.monotonic()
        with self._working_on(program.id):
            try:
                stored = await self._outcome(
                    program, request, digest, admission, running
                )
            except CarobspurError as error:
                _logger.info("call failed: %s: %s", error.cause, error, extra=fields)
                raise
        elapsed_s = self._clock.monotonic() - started_s
        CALL_SECONDS.labels(organisation, request.endpoint).observe(elapsed_s)
        _logger.info("call finished on %s", stored.outcome.engine, extra=fields)
        return stored

    async def _outcome(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        admission: RunNext | SettleIntent,
        running: _RunningCall,
    ) -> StoredCall:
        inventory = self._inventories(request.requester.organisation)
        if isinstance(admission, SettleIntent):
            return await self._settle(program, admission.intent, inventory)
        self._check_limits(program, inventory)
        model = inventory.model(request.endpoint)
        if model is not None:
            return await self._call_model(
                program, request, digest, inventory, model, running
            )
        service = inventory.service(request.endpoint)
        if service is None:
            raise NotFoundError(f"no endpoint is called {request.endpoint!r}")
        return await self._call_service(program, request, digest, inventory, service)

    def _check_limits(self, program: Program, inventory: Inventory) -> None:
        agent = DEFAULT_SINGLE_CALL_AGENT
        if program.agent != SINGLE_CALL_AGENT:
            agent = inventory.agent(program.agent)
        age_s = self._clock.wall() - program.started_s
        if program.next_number > agent.max_calls:
            raise LimitReachedError(f"the program made all its {agent.max_calls} calls")
        if program.tokens_used >= agent.max_tokens:
            raise LimitReachedError(f"the program used its {agent.max_tokens} tokens")
        is_late = program.deadline_s and self._clock.wall() > program.deadline_s
        if age_s > agent.max_time_s or is_late:
            raise LimitReachedError("the program's time is over")

    @asynccontextmanager
    async def _reserved(
        self, inventory: Inventory, user: str, units: int
    ) -> AsyncIterator[Reservation]:
        reservation = await self._budgets.reserve(inventory, user, units)
        try:
            yield reservation
        finally:
            reservation.settle(0)

    async def _finish(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        outcome: CallOutcome,
    ) -> StoredCall:
        record = CallFinished(
            program=program.id,
            number=request.number,
            endpoint=request.endpoint,
            digest=digest,
            input=request.content.decode(),
            outcome=outcome,
        )
        await self._session.commit([record])
        return program.calls[request.number - 1]

    # -- model calls ---------------------------------------------------------

    async def _call_model(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        inventory: Inventory,
        model: Model,
        running: _RunningCall,
    ) -> StoredCall:
        content = decode_model_input(request.content)
        history = model_history(program, model.name)
        new_tokens = count_tokens(content.prompt)
        if history.tokens + new_tokens + content.max_tokens > model.context_tokens:
            raise RequestError(f"the history is over {model.context_tokens} tokens")
        most = new_tokens * model.input_cost + content.max_tokens * model.output_cost
        async with self._reserved(inventory, program.user, most) as reservation:
            result, engine = await self._generate(
                program, request, inventory, model, content, history, running
            )
            cost = new_tokens * model.input_cost
            cost += result.output_tokens * model.output_cost
            reservation.settle(min(cost, most))
        outcome = CallOutcome(
            output=msgspec.json.encode(result).decode(),
            cost_units=cost,
            input_tokens=new_tokens,
            output_tokens=result.output_tokens,
            engine=engine.address,
        )
        stored = await self._finish(program, request, digest, outcome)
        self._note_prefix(program, model, engine, history, content, result)
        return stored

    async def _generate(
        self,
        program: Program,
        request: CallRequest,
        inventory: Inventory,
        model: Model,
        content: ModelInput,
        history: ModelHistory,
        running: _RunningCall,
    ) -> tuple[GenerateResult, EndpointState]:
        route = RouteRequest(
            program=program.id,
            model=model.name,
            prefix_key=history.key,
            prefix_tokens=history.tokens,
            new_tokens=count_tokens(content.prompt),
            output_tokens=content.max_tokens,
            data_centre=self._data_centre,
        )
        order = GenerateRequest(
            call_id=call_id(program.id, request.number),
            program=program.id,
            model=model.name,
            prefix_key=history.key,
            prefix_tokens=history.tokens,
            history="",
            append=content.prompt,
            max_tokens=content.max_tokens,
            priority=self._rank(program, inventory),
        )

        async def _send(engine: EndpointState) -> GenerateResult:
            running.texts.clear()
            return await self._generate_on(
                engine, order, history, model.timeout_s, running
            )

        candidates = self._pool.engines(inventory, model.name)
        return await self._send(program, inventory, route, candidates, _send)

    async def _generate_on(
        self,
        engine: EndpointState,
        order: GenerateRequest,
        history: ModelHistory,
        timeout_s: float,
        running: _RunningCall,
    ) -> GenerateResult:
        whole = msgspec.structs.replace(order, history=history.text())
        cached = engine.prefixes.get((order.program, order.model))
        should_have_it = cached is not None and cached.key == history.key
        first = order if should_have_it or not history.key else whole
        try:
            result = await self._endpoints.generate(
                engine.address, first, timeout_s=timeout_s, on_text=running.add_text
            )
        except PrefixLostError:
            engine.prefixes.pop((order.program, order.model), None)
            result = await self._endpoints.generate(
                engine.address, whole, timeout_s=timeout_s, on_text=running.add_text
            )
        organisation = "any"
        found = min(result.cached_tokens, history.tokens)
        PREFIX_TOKENS.labels(organisation, "yes").inc(found)
        PREFIX_TOKENS.labels(organisation, "no").inc(history.tokens - found)
        return result

    def _note_prefix(
        self,
        program: Program,
        model: Model,
        engine: EndpointState,
        history: ModelHistory,
        content: ModelInput,
        result: GenerateResult,
    ) -> None:
        key = extend_prefix_key(history.key, content.prompt, result.text)
        tokens = history.tokens + count_tokens(content.prompt) + result.output_tokens
        for other in self._pool:
            other.prefixes.pop((program.id, model.name), None)
        engine.prefixes[(program.id, model.name)] = CachedPrefix(
            key, tokens, self._clock.monotonic()
        )
        self._holder.after_call(program, model.name, engine, key, tokens)

    # -- tools and plain services --------------------------------------------

    async def _call_service(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        inventory: Inventory,
        service: Service,
    ) -> StoredCall:
        async with self._reserved(inventory, program.user, service.cost) as reservation:
            if service.repeatable:
                output, address = await self._run_repeatable(
                    program, request, inventory, service
                )
                outcome = CallOutcome(output=output, engine=address)
            else:
                outcome = await self._run_once(
                    program, request, digest, inventory, service
                )
            reservation.settle(service.cost)
        outcome = msgspec.structs.replace(outcome, cost_units=service.cost)
        return await self._finish(program, request, digest, outcome)

    def _tool_order(
        self, program: Program, request: CallRequest, service: Service
    ) -> ToolOrder:
        return ToolOrder(
            call_id=call_id(program.id, request.number),
            fence=self._session.epoch,
            content=request.content,
            timeout_s=service.timeout_s,
        )

    async def _run_repeatable(
        self,
        program: Program,
        request: CallRequest,
        inventory: Inventory,
        service: Service,
    ) -> tuple[str, str]:
        order = self._tool_order(program, request, service)

        async def _send(endpoint: EndpointState) -> str:
            return await self._endpoints.run(endpoint.address, order)

        route = RouteRequest(program.id, service.name, data_centre=self._data_centre)
        output, endpoint = await self._send(
            program, inventory, route, self._pool.replicas(service), _send
        )
        return output, endpoint.address

    async def _run_once(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        inventory: Inventory,
        service: Service,
    ) -> CallOutcome:
        """Commit the intent, send once, and return what came of it."""
        route = RouteRequest(program.id, service.name, data_centre=self._data_centre)
        order = self._tool_order(program, request, service)
        async with self._dispatcher.slot(
            route,
            self._pool.replicas(service),
            organisation=program.organisation,
            rank=self._rank(program, inventory),
        ) as endpoint:
            intent = CallIntended(
                program=program.id,
                number=request.number,
                endpoint=service.name,
                digest=digest,
                input=request.content.decode(),
                call_id=order.call_id,
            )
            await self._session.commit([intent])
            try:
                output = await self._endpoints.run(endpoint.address, order)
            except CallError as error:
                self._note_failure(endpoint, error)
                return await self._failed_once(program, service, intent, error)
            endpoint.breaker.on_success()
            return CallOutcome(output=output, engine=endpoint.address)

    async def _failed_once(
        self,
        program: Program,
        service: Service,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        if error.verdict == NOT_RUN:
            await self._session.commit([CallAbandoned(program.id, intent.number)])
            raise error
        if error.verdict == RAN:
            return _failure_outcome(error)
        return await self._look_up(program, service, intent, error)

    async def _settle(
        self, program: Program, intent: CallIntended, inventory: Inventory
    ) -> StoredCall:
        """Find out what came of a call that another process may have sent."""
        service = inventory.service(intent.endpoint)
        error = EndpointTimeoutError(
            "the call was under way when its scheduler stopped; its effect is unknown"
        )
        if service is None:
            outcome = _failure_outcome(error)
        else:
            outcome = await self._look_up(program, service, intent, error)
            outcome = msgspec.structs.replace(outcome, cost_units=service.cost)
        record = CallFinished(
            program=program.id,
            number=intent.number,
            endpoint=intent.endpoint,
            digest=intent.digest,
            input=intent.input,
            outcome=outcome,
        )
        await self._session.commit([record])
        return program.calls[intent.number - 1]

    async def _look_up(
        self,
        program: Program,
        service: Service,
        intent: CallIntended,
        error: CallError,
    ) -> CallOutcome:
        """Ask the tool about an intended call.

        Raises:
            CallError: The call did not run and never will; the intent is cleared.
        """
        found: list[object] = []
        if service.has_lookup:
            for replica in service.replicas:
                found.append(
                    await self._endpoints.look_up(
                        replica.address,
                        intent.call_id,
                        fence=self._session.epoch,
                        is_fenced=service.checks_fencing,
                        timeout_s=LOOKUP_TIMEOUT_S,
                    )
                )
        for answer in found:
            match answer:
                case LookupRan(output):
                    return CallOutcome(output=output)
                case LookupUnknown():
                    return _failure_outcome(error)
        if found and all(isinstance(item, LookupNotRun) for item in found):
            await self._session.commit([CallAbandoned(program.id, intent.number)])
            raise EndpointRejectedError(
                "the call did not run and never will", verdict=NOT_RUN, retry_after_s=0
            )
        return _failure_outcome(error)

    # -- sending -------------------------------------------------------------

    async def _send(
        self,
        program: Program,
        inventory: Inventory,
        route: RouteRequest,
        candidates: list[EndpointState],
        send: Callable[[EndpointState], object],
    ) -> tuple[object, EndpointState]:
        """Send a repeatable call, to another endpoint after a failure."""
        if not candidates:
            raise NotFoundError(f"no endpoint serves {route.model!r}")
        backoff = Backoff()
        for attempt in range(1, MAX_SENDS + 1):
            async with self._dispatcher.slot(
                route,
                candidates,
                organisation=program.organisation,
                rank=self._rank(program, inventory),
                attained_units=program.attained_units,
            ) as endpoint:
                try:
                    result = await send(endpoint)
                except CallError as error:
                    self._note_failure(endpoint, error)
                    if error.verdict == RAN or attempt == MAX_SENDS:
                        raise
                else:
                    endpoint.breaker.on_success()
                    return result, endpoint
            candidates = _others(candidates, endpoint)
            await self._clock.sleep(backoff.next_s())
        raise AssertionError("unreachable")

    def _note_failure(self, endpoint: EndpointState, error: CallError) -> None:
        if error.verdict != RAN:
            endpoint.breaker.on_failure(self._clock.monotonic())

    def _rank(self, program: Program, inventory: Inventory) -> int:
        if program.agent == SINGLE_CALL_AGENT:
            return 0
        agent = inventory.agent(program.agent)
        for item in inventory.rules.classes:
            if item.name == agent.priority_class:
                return item.rank
        return 0

    # -- programs ------------------------------------------------------------

    async def _end(self, program: Program, reason: str) -> None:
        records: list[Record] = []
        ended = [program, *self._book.children(program.id)]
        for item in ended:
            if not item.ended:
                records.append(ProgramEnded(item.id, reason))
                self._observe_end(item)
        if records:
            await self._session.commit(records)
        for item in ended:
            self._holder.after_end(item)

    def _observe_end(self, program: Program) -> None:
        if program.agent == SINGLE_CALL_AGENT:
            return
        elapsed_s = self._clock.wall() - program.started_s
        agent = self._inventories(program.organisation).agent(program.agent)
        PROGRAM_SECONDS.labels(program.organisation, agent.name).observe(elapsed_s)
        is_met = "yes" if elapsed_s <= agent.objective_s else "no"
        PROGRAM_OBJECTIVE.labels(program.organisation, agent.name, is_met).inc()

    def _program(self, requester: Requester, program: str) -> Program:
        return self._book.get(program, requester.organisation, requester.user)

    def _require_owner(self, program: str) -> None:
        if self._session.is_lost or not self._owns(program):
            raise NotOwnerError(f"program {program} belongs to another scheduler")

    @contextmanager
    def _working_on(self, program: str) -> Iterator[None]:
        """Keep a program's shard from moving away."""
        shard = shard_of(program, self._shards)
        self._require_owner(program)
        self._busy[shard] = self._busy.get(shard, 0) + 1
        try:
            yield
        finally:
            self._busy[shard] -= 1
            if not self._busy[shard]:
                del self._busy[shard]


def _digest(request: CallRequest) -> str:
    try:
        return call_digest(request.endpoint, request.content)
    except msgspec.DecodeError as error:
        raise RequestError(f"the input is not JSON: {error}") from error


def _answer(call: StoredCall, *, is_replayed: bool = False) -> Answer:
    """Return a stored call as an answer, or raise the failure that it stored."""
    outcome = call.outcome
    if outcome.cause:
        verdict = verdict_from_name(outcome.verdict)
        error_class = EndpointRejectedError if verdict == RAN else EndpointTimeoutError
        raise error_class(outcome.message, verdict=verdict)
    return Answer(call, is_replayed)


def _failure_outcome(error: CallError) -> CallOutcome:
    return CallOutcome(
        verdict=verdict_name(error.verdict if error.verdict == RAN else MAY_HAVE_RUN),
        cause=error.cause,
        message=error.message,
    )


def _others(
    candidates: list[EndpointState], failed: EndpointState
) -> list[EndpointState]:
    rest = [item for item in candidates if item is not failed]
    return rest or candidates
