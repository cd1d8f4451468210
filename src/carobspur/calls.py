"""Runs the calls of programs in the scheduler that owns them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .admission import Replay, ReplaySpilled, RunNext, SettleIntent, admit_call, replay
from .errors import (
    CarobspurError,
    ConflictError,
    EndpointRejectedError,
    EndpointTimeoutError,
    NotFoundError,
    RequestError,
)
from .execution import CallContext, CallKind, CallRuntime
from .inventory import Inventory, Role
from .lifecycle import Lifecycle
from .limits import check_limits
from .logs import call_fields
from .metrics import CALL_SECONDS
from .ownership import Ownership
from .plugin_registry import PluginKind, plugin
from .program_index import ProgramIndex
from .programs import SINGLE_CALL_AGENT, Program, ProgramReport, StoredCall, report
from .requests import CallRequest, Requester
from .running import OnText, RunningCall
from .verdict import NOT_RUN, RAN, verdict_from_name

ONCE = "once"

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    """A finished call.

    Attributes:
        call: The call as stored.
        is_replayed: Whether it had finished before this request, which therefore ran
            nothing.
    """

    call: StoredCall
    is_replayed: bool = False


class CallService:
    """Runs and replays calls of the programs that one scheduler owns.

    Concurrent requests for the same call share one execution of it.

    Args:
        runtime: Parts of the scheduler that the kinds of calls share.
        program_index: Committed state of the programs.
        ownership: Decides which programs this scheduler serves.
        lifecycle: Starts the programs of single calls.
        inventories: Returns the inventory in force of an organisation.
    """

    __slots__ = (
        "_inventories",
        "_kinds",
        "_lifecycle",
        "_ownership",
        "_program_index",
        "_running",
        "_runtime",
    )

    def __init__(
        self,
        *,
        runtime: CallRuntime,
        program_index: ProgramIndex,
        ownership: Ownership,
        lifecycle: Lifecycle,
        inventories: Callable[[str], Inventory],
    ) -> None:
        self._runtime = runtime
        self._program_index = program_index
        self._ownership = ownership
        self._lifecycle = lifecycle
        self._inventories = inventories
        self._kinds: dict[str, CallKind] = {}
        self._running: dict[tuple[str, int], RunningCall] = {}

    def __repr__(self) -> str:
        return f"CallService({len(self._running)} calls under way)"

    async def run_call(
        self, request: CallRequest, on_text: OnText | None = None
    ) -> Answer:
        """Run a program's next call, or replay the answer of a finished one.

        A call that is already running is joined.

        Args:
            request: The call.
            on_text: Called with generation, index and text of each piece of a model's
                answer, starting with the first piece.

        Returns:
            The committed answer.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such program for this user.
            ConflictError: The number was used for another call or is not the next
                one, or another call of the program is running.
            CarobspurError: The call failed; the verdict says whether it ran.
        """
        with self._ownership.working_on(request.program):
            try:
                return await self._admit_and_run(request, on_text)
            except CarobspurError as error:
                raise self._with_final_verdict(request, error) from error

    async def run_single(
        self, request: CallRequest, on_text: OnText | None = None
    ) -> Answer:
        """Run one call outside any program of the caller's.

        It runs in a program of its own, with ``SINGLE_CALL_AGENT`` as the agent.
        ``request.program`` is that program's id.

        Raises:
            CarobspurError: As for :meth:`run_call`.
        """
        try:
            await self._lifecycle.start(
                request.requester, request.program, agent=SINGLE_CALL_AGENT
            )
        except CarobspurError as error:
            raise self._with_final_verdict(request, error) from error
        return await self.run_call(request, on_text)

    async def _replay_spilled(
        self, program: Program, number: int, digest: str
    ) -> Replay:
        stored = await self._runtime.histories.call(program, number)
        return replay(program, stored, digest)

    async def show(
        self, requester: Requester, program: str, *, with_history: bool
    ) -> ProgramReport:
        """Return the report of a program for a caller.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such program for this requester.
            StoreError: The history can't be read.
        """
        self._ownership.require(program)
        found = self._get_program(requester, program)
        history = await self._runtime.histories.calls(found) if with_history else []
        return report(found, history=history)

    async def _admit_and_run(
        self, request: CallRequest, on_text: OnText | None
    ) -> Answer:
        digest = _digest(request)
        if not self._is_running_or_stored(request, digest):
            await self._runtime.outage.require_table()
        running = self._running.get((request.program, request.number))
        if running is not None and running.digest != digest:
            raise ConflictError("the call is already running with different content")
        program = self._get_program(request.requester, request.program)
        if running is None:
            admission = admit_call(program, request.number, digest)
            if isinstance(admission, ReplaySpilled):
                admission = await self._replay_spilled(program, request.number, digest)
            if isinstance(admission, Replay):
                return _answer(admission.call, is_replayed=True)
            running = self._launch(program, request, digest, admission)
        with running.listening(on_text):
            return _answer(await running.result())

    def _is_running_or_stored(self, request: CallRequest, digest: str) -> bool:
        """Return whether a call is running here or its answer is stored.

        Such a call needs no commit before it can be joined or replayed, so it is
        served while the table service is down.
        """
        if (request.program, request.number) in self._running:
            return True
        program = self._find_program(request)
        if program is None or not 1 <= request.number < program.next_number:
            return False
        if request.number <= program.last_spilled:
            return True
        return program.stored(request.number).digest == digest

    def _with_final_verdict(
        self, request: CallRequest, error: CarobspurError
    ) -> CarobspurError:
        """Return the error with a verdict that holds for every send of the call.

        "Not run" becomes "may have run" if this scheduler's lease has lapsed, since
        another scheduler may have sent the call, and if an intent is open, since an
        earlier send may have reached the endpoint. Two cases are exempt: a repeatable
        call without an open intent, and a conflict while the lease is valid.
        """
        if error.verdict != NOT_RUN:
            return error
        program = self._find_program(request)
        intent = None if program is None else program.intent
        is_open = intent is not None and intent.number == request.number
        if not is_open and self._is_repeatable(request):
            return error
        if not self._runtime.session.has_lease:
            return error.as_may_have_run()
        if is_open and not isinstance(error, ConflictError):
            return error.as_may_have_run()
        error.covers_all_sends = True
        return error

    def _find_program(self, request: CallRequest) -> Program | None:
        try:
            return self._get_program(request.requester, request.program)
        except NotFoundError:
            return None

    def _is_repeatable(self, request: CallRequest) -> bool:
        try:
            inventory = self._inventories(request.requester.organisation)
        except NotFoundError:
            return False
        service = inventory.service(request.endpoint)
        if service is not None:
            return service.repeatable
        return inventory.model(request.endpoint) is not None

    def _launch(
        self,
        program: Program,
        request: CallRequest,
        digest: str,
        admission: RunNext | SettleIntent,
    ) -> RunningCall:
        if any(other == program.id for other, _ in self._running):
            raise ConflictError(f"another call of program {program.id} is running")
        key = (program.id, request.number)
        running = RunningCall(digest)
        self._running[key] = running
        inventory = self._inventories(program.organisation)
        context = CallContext(program, request, inventory, running)
        running.task = asyncio.ensure_future(self._run(context, admission))
        running.task.add_done_callback(lambda task: self._remove_running(key, task))
        return running

    def _remove_running(
        self, key: tuple[str, int], task: asyncio.Task[StoredCall]
    ) -> None:
        self._running.pop(key, None)
        if not task.cancelled():
            task.exception()

    async def _run(
        self, context: CallContext, admission: RunNext | SettleIntent
    ) -> StoredCall:
        """Run a call to its end, whether or not its caller stays connected."""
        program, request = context.program, context.request
        fields = call_fields(
            organisation=program.organisation, program=program.id, call=request.number
        )
        started_s = self._runtime.clock.monotonic()
        with self._ownership.working_on(program.id):
            try:
                stored = await self._execute(context, admission)
            except CarobspurError as error:
                _logger.info("call failed: %s: %s", error.cause, error, extra=fields)
                raise
        elapsed_s = self._runtime.clock.monotonic() - started_s
        CALL_SECONDS.labels(program.organisation, request.endpoint).observe(elapsed_s)
        _logger.info("call finished on %s", stored.outcome.address, extra=fields)
        return stored

    async def _execute(
        self, context: CallContext, admission: RunNext | SettleIntent
    ) -> StoredCall:
        """Run a new call, or resolve an open intent.

        An intent is always resolved by the at-most-once kind, also if the inventory
        has declared the service repeatable since, so that the call is not sent again.
        """
        match admission:
            case SettleIntent(intent):
                return await self._kind(ONCE).settle(context, intent)
            case RunNext():
                now_s = self._runtime.clock.wall()
                check_limits(context.program, context.inventory, now_s)
                return await self._kind(_kind_name(context)).run(context)

    def _kind(self, name: str) -> CallKind:
        if name not in self._kinds:
            self._kinds[name] = plugin(PluginKind.CALLS, name)(self._runtime)
        return self._kinds[name]

    def _get_program(self, requester: Requester, program: str) -> Program:
        is_caller = requester.role == Role.CALLER
        user = requester.user if is_caller else None
        return self._program_index.get(program, requester.organisation, user)


def _kind_name(context: CallContext) -> str:
    """Return the name of the plug-in that runs a call.

    The inventory decides it, not the caller.

    Raises:
        NotFoundError: The inventory has no endpoint of this name.
    """
    name = context.request.endpoint
    if context.inventory.model(name) is not None:
        return "model"
    service = context.inventory.service(name)
    if service is None:
        raise NotFoundError(f"no endpoint is called {name!r}")
    return "repeatable" if service.repeatable else ONCE


def _digest(request: CallRequest) -> str:
    try:
        return request.digest
    except msgspec.DecodeError as error:
        raise RequestError(f"the input is not JSON: {error}") from error


def _answer(call: StoredCall, *, is_replayed: bool = False) -> Answer:
    """Return a stored call as an answer.

    Raises:
        EndpointRejectedError: The stored outcome is a failure that the endpoint gave.
        EndpointTimeoutError: The stored outcome is unknown.
    """
    outcome = call.outcome
    if outcome.cause:
        verdict = verdict_from_name(outcome.verdict)
        if verdict == RAN:
            raise EndpointRejectedError(outcome.message, verdict=verdict)
        raise EndpointTimeoutError(outcome.message, verdict=verdict)
    return Answer(call, is_replayed)
