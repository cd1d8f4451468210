"""Programs and their calls in the scheduler that owns them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from .errors import (
    CarobspurError,
    ConflictError,
    EndpointRejectedError,
    EndpointTimeoutError,
    ForbiddenError,
    LimitReachedError,
    NotFoundError,
    NotOwnerError,
    RequestError,
)
from .execution import (
    CallContext,
    CallKind,
    CallRequest,
    OnText,
    Requester,
    RunningCall,
    Toolbox,
)
from .inventory import Agent, Inventory, Role
from .journal import ProgramEnded, ProgramStarted, Record
from .kernel import PluginKind, plugin
from .logs import call_fields
from .metrics import CALL_SECONDS, PROGRAM_OBJECTIVE, PROGRAM_SECONDS
from .placement import shard_of
from .programs import (
    SINGLE_CALL_AGENT,
    Program,
    ProgramBook,
    ProgramReport,
    Replay,
    ReplaySpilled,
    RunNext,
    SettleIntent,
    StoredCall,
    admit_call,
    replay,
    report,
)
from .rules import may_stop
from .verdict import RAN, verdict_from_name

SINGLE_CALL_LIMITS = Agent(SINGLE_CALL_AGENT, "", max_calls=1)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    """A finished call; ``is_replayed`` where it had finished before."""

    call: StoredCall
    is_replayed: bool = False


class CallService:
    """Serves the programs of the shards that one scheduler owns.

    Args:
        tools: Parts of the scheduler that kinds of calls use.
        book: Committed state of the programs.
        owns: Tells whether this scheduler serves a program.
        shards: Number of shards of the whole system.
        inventories: Returns the inventory in force of an organisation.
    """

    __slots__ = (
        "_book",
        "_busy",
        "_inventories",
        "_kinds",
        "_owns",
        "_running",
        "_shards",
        "_tools",
    )

    def __init__(
        self,
        *,
        tools: Toolbox,
        book: ProgramBook,
        owns: Callable[[str], bool],
        shards: int,
        inventories: Callable[[str], Inventory],
    ) -> None:
        self._tools = tools
        self._book = book
        self._owns = owns
        self._shards = shards
        self._inventories = inventories
        self._kinds: dict[str, CallKind] = {}
        self._running: dict[tuple[str, int], RunningCall] = {}
        self._busy: dict[int, int] = {}

    def __repr__(self) -> str:
        return f"CallService({len(self._running)} calls under way)"

    def is_busy(self, shard: int) -> bool:
        """Return whether work for a shard's programs is under way."""
        return shard in self._busy

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
            ConflictError: It was started before with another agent or parent.
        """
        with self._working_on(program):
            known = self._book.find(program)
            if known is not None:
                if (known.agent, known.parent) != (agent, parent):
                    raise ConflictError("this idempotency key started another program")
                return False
            if agent != SINGLE_CALL_AGENT:
                self._inventories(requester.organisation).agent(agent)
            now_s = self._tools.clock.wall()
            record = ProgramStarted(
                program=program,
                organisation=requester.organisation,
                user=requester.user,
                agent=agent,
                started_s=now_s,
                parent=parent,
                deadline_s=now_s + deadline_s if deadline_s else 0.0,
            )
            await self._tools.session.commit([record])
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
            running = self._running.get((request.program, request.number))
            if running is not None and running.digest != digest:
                raise ConflictError("the call is under way with other content")
            if running is None:
                admission = admit_call(program, request.number, digest)
                if isinstance(admission, ReplaySpilled):
                    admission = await self._spilled(program, request.number, digest)
                if isinstance(admission, Replay):
                    return _answer(admission.call, is_replayed=True)
                running = self._launch(program, request, digest, admission)
            with running.listening(on_text):
                return _answer(await asyncio.shield(running.task))

    async def run_single(
        self, request: CallRequest, on_text: OnText | None = None
    ) -> Answer:
        """Run one call that belongs to no program of the caller's."""
        await self.start_program(
            request.requester, request.program, agent=SINGLE_CALL_AGENT
        )
        return await self.run_call(request, on_text)

    async def _spilled(self, program: Program, number: int, digest: str) -> Replay:
        stored = await self._tools.histories.call(program, number)
        return replay(program, stored, digest)

    async def show(
        self, requester: Requester, program: str, *, with_history: bool
    ) -> ProgramReport:
        """Return what a caller is told of a program."""
        self._require_owner(program)
        found = self._program(requester, program)
        history = await self._tools.histories.calls(found) if with_history else []
        return report(found, history=history)

    async def end_program(
        self, requester: Requester, program: str, reason: str
    ) -> None:
        """End a program and the sub-agents that are known here; idempotent."""
        with self._working_on(program):
            found = self._stoppable(requester, program)
            ended = [found, *self._book.children(found.id)]
            records: list[Record] = []
            for item in ended:
                if not item.ended:
                    records.append(ProgramEnded(item.id, reason))
            if records:
                await self._tools.session.commit(records)
                self._observe_end(found)
            for item in ended:
                self._tools.holder.after_end(item)

    def _launch(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        admission: RunNext | SettleIntent,
    ) -> RunningCall:
        if any(other == program.id for other, _ in self._running):
            raise ConflictError(f"another call of program {program.id} is under way")
        key = (program.id, request.number)
        running = RunningCall(digest)
        self._running[key] = running
        inventory = self._inventories(program.organisation)
        context = CallContext(program, request, inventory, running)
        running.task = asyncio.ensure_future(self._run(context, admission))
        running.task.add_done_callback(lambda task: self._forget(key, task))
        return running

    def _forget(self, key: tuple[str, int], task: asyncio.Task[StoredCall]) -> None:
        self._running.pop(key, None)
        if not task.cancelled():
            task.exception()

    async def _run(
        self, context: CallContext, admission: RunNext | SettleIntent
    ) -> StoredCall:
        """Run a call to its end, whether or not its caller stays."""
        program, request = context.program, context.request
        fields = call_fields(
            organisation=program.organisation, program=program.id, call=request.number
        )
        started_s = self._tools.clock.monotonic()
        with self._working_on(program.id):
            try:
                stored = await self._execute(context, admission)
            except CarobspurError as error:
                _logger.info("call failed: %s: %s", error.cause, error, extra=fields)
                raise
        elapsed_s = self._tools.clock.monotonic() - started_s
        CALL_SECONDS.labels(program.organisation, request.endpoint).observe(elapsed_s)
        _logger.info("call finished on %s", stored.outcome.engine, extra=fields)
        return stored

    async def _execute(
        self, context: CallContext, admission: RunNext | SettleIntent
    ) -> StoredCall:
        kind = self._kind(context)
        match admission:
            case SettleIntent(intent):
                return await kind.settle(context, intent)
            case RunNext():
                self._check_limits(context.program, context.inventory)
                return await kind.run(context)

    def _kind(self, context: CallContext) -> CallKind:
        name = _kind_name(context)
        if name not in self._kinds:
            self._kinds[name] = plugin(PluginKind.CALLS, name)(self._tools)
        return self._kinds[name]

    def _check_limits(self, program: Program, inventory: Inventory) -> None:
        """Stop programs that loop: limits on calls, tokens and time."""
        agent = SINGLE_CALL_LIMITS
        if program.agent != SINGLE_CALL_AGENT:
            agent = inventory.agent(program.agent)
        now_s = self._tools.clock.wall()
        if program.next_number > agent.max_calls:
            raise LimitReachedError(f"the program made all its {agent.max_calls} calls")
        if program.tokens_used >= agent.max_tokens:
            raise LimitReachedError(f"the program used its {agent.max_tokens} tokens")
        is_late = program.deadline_s and now_s > program.deadline_s
        if now_s - program.started_s > agent.max_time_s or is_late:
            raise LimitReachedError("the program's time is over")

    def _observe_end(self, program: Program) -> None:
        if program.agent == SINGLE_CALL_AGENT:
            return
        elapsed_s = self._tools.clock.wall() - program.started_s
        agent = self._inventories(program.organisation).agent(program.agent)
        PROGRAM_SECONDS.labels(program.organisation, agent.name).observe(elapsed_s)
        is_met = "yes" if elapsed_s <= agent.objective_s else "no"
        PROGRAM_OBJECTIVE.labels(program.organisation, agent.name, is_met).inc()

    def _program(self, requester: Requester, program: str) -> Program:
        is_caller = requester.role == Role.CALLER
        user = requester.user if is_caller else None
        return self._book.get(program, requester.organisation, user)

    def _stoppable(self, requester: Requester, program: str) -> Program:
        """Return a program if the organisation's rules let the requester stop it."""
        found = self._book.get(program, requester.organisation, None)
        rules = self._inventories(found.organisation).rules
        allowed = may_stop(
            rules,
            role=requester.role,
            user=requester.user,
            program_user=found.user,
        )
        if not allowed:
            self._program(requester, program)
            raise ForbiddenError(f"the rules let no {requester.role} stop this program")
        return found

    def _require_owner(self, program: str) -> None:
        if self._tools.session.is_lost or not self._owns(program):
            raise NotOwnerError(f"program {program} belongs to another scheduler")

    @contextmanager
    def _working_on(self, program: str) -> Iterator[None]:
        """Keep a program's shard from moving away."""
        self._require_owner(program)
        shard = shard_of(program, self._shards)
        self._busy[shard] = self._busy.get(shard, 0) + 1
        try:
            yield
        finally:
            self._busy[shard] -= 1
            if not self._busy[shard]:
                del self._busy[shard]


def _kind_name(context: CallContext) -> str:
    """Return which plug-in runs a call; the inventory decides, not the caller."""
    name = context.request.endpoint
    if context.inventory.model(name) is not None:
        return "model"
    service = context.inventory.service(name)
    if service is None:
        raise NotFoundError(f"no endpoint is called {name!r}")
    return "repeatable" if service.repeatable else "once"


def _digest(request: CallRequest) -> str:
    try:
        return request.digest
    except msgspec.DecodeError as error:
        raise RequestError(f"the input is not JSON: {error}") from error


def _answer(call: StoredCall, *, is_replayed: bool = False) -> Answer:
    """Return a stored call as an answer, or raise the failure that it stored."""
    outcome = call.outcome
    if outcome.cause:
        verdict = verdict_from_name(outcome.verdict)
        if verdict == RAN:
            raise EndpointRejectedError(outcome.message, verdict=verdict)
        raise EndpointTimeoutError(outcome.message, verdict=verdict)
    return Answer(call, is_replayed)
