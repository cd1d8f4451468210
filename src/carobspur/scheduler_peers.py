"""Peer methods that a scheduler serves to the system's other processes."""

from __future__ import annotations

from typing import Any

import msgspec

from .errors import NotReadyError
from .inventory import Role
from .peer_server import PeerServer
from .peers import (
    ADOPT_CHILD,
    DRAIN,
    END_CHILD,
    END_PROGRAM,
    GET_STATUS,
    RUN_CALL,
    RUN_SINGLE_CALL,
    SHOW_PROGRAM,
    START_PROGRAM,
    SWEEP_CACHE,
    Emit,
    messages,
)
from .requests import CallRequest, Requester
from .running import OnText

SINGLE_CALL_NUMBER = 1


class SchedulerPeerMethods:
    """Translates peer messages to calls of a scheduler's services and back.

    Args:
        scheduler: A :class:`.scheduler_parts.Scheduler`.
    """

    __slots__ = ("_scheduler",)

    def __init__(self, scheduler: Any) -> None:
        self._scheduler = scheduler

    def register(self, server: PeerServer) -> None:
        """Register all methods with a server."""
        server.register(START_PROGRAM, self._start_program)
        server.register(RUN_CALL, self._run_call)
        server.register(RUN_SINGLE_CALL, self._run_single_call)
        server.register(SHOW_PROGRAM, self._show_program)
        server.register(END_PROGRAM, self._end_program)
        server.register(ADOPT_CHILD, self._adopt_child)
        server.register(END_CHILD, self._end_child)
        server.register(DRAIN, self._drain)
        server.register(SWEEP_CACHE, self._sweep_cache)
        server.register(GET_STATUS, self._get_status)

    def _requester(self, caller: Any) -> Requester:
        """Return the requester of a message.

        Raises:
            NotReadyError: The process that authenticated the requester has a newer
                revision of the inventories than this one.
        """
        if caller.revision > self._scheduler.view.revision:
            raise NotReadyError(
                f"inventory revision {caller.revision} is not in force here yet",
                retry_after_s=1.0,
            )
        role = Role(caller.role or Role.CALLER)
        return Requester(caller.organisation, caller.user, role)

    async def _start_program(self, request: Any, emit: Emit) -> Any:
        created = await self._scheduler.lifecycle.start(
            self._requester(request.caller),
            request.program,
            agent=request.agent,
            parent=request.parent or "",
            deadline_s=request.deadline_s or 0.0,
        )
        return messages.ProgramStarted(program=request.program, created=created)

    async def _run_call(self, request: Any, emit: Emit) -> Any:
        call = self._call(request, request.number)
        on_text = _text_emitter(emit) if request.stream else None
        return _answer_message(await self._scheduler.calls.run_call(call, on_text))

    async def _run_single_call(self, request: Any, emit: Emit) -> Any:
        call = self._call(request, SINGLE_CALL_NUMBER)
        on_text = _text_emitter(emit) if request.stream else None
        return _answer_message(await self._scheduler.calls.run_single(call, on_text))

    def _call(self, request: Any, number: int) -> CallRequest:
        return CallRequest(
            self._requester(request.caller),
            request.program,
            number,
            request.endpoint,
            request.input,
        )

    async def _show_program(self, request: Any, emit: Emit) -> Any:
        found = await self._scheduler.calls.show(
            self._requester(request.caller),
            request.program,
            with_history=request.with_history,
        )
        return messages.ProgramDocument(document=msgspec.json.encode(found))

    async def _end_program(self, request: Any, emit: Emit) -> Any:
        await self._scheduler.lifecycle.end(
            self._requester(request.caller), request.program, request.reason
        )
        return messages.Empty()

    async def _adopt_child(self, request: Any, emit: Emit) -> Any:
        requester = self._requester(request.caller)
        await self._scheduler.lifecycle.adopt(requester, request.parent, request.child)
        return messages.Empty()

    async def _end_child(self, request: Any, emit: Emit) -> Any:
        requester = self._requester(request.caller)
        await self._scheduler.lifecycle.end_child(
            requester, request.parent, request.child
        )
        return messages.Empty()

    async def _sweep_cache(self, request: Any, emit: Emit) -> Any:
        released = self._scheduler.release_ended(request.address, request.programs)
        return messages.CacheSwept(released=released)

    async def _drain(self, request: Any, emit: Emit) -> Any:
        await self._scheduler.drain(leaving=request.leaving)
        return messages.Empty()

    async def _get_status(self, request: Any, emit: Emit) -> Any:
        view, shard_manager = self._scheduler.view, self._scheduler.shard_manager
        return messages.SchedulerStatus(
            revision=view.revision,
            ready=view.is_ready and shard_manager is not None,
            leaving=shard_manager is not None and shard_manager.is_draining,
            shards=0 if shard_manager is None else len(shard_manager.owned),
            programs=self._scheduler.count_open_programs(request.organisation),
        )


def _text_emitter(emit: Emit) -> OnText:
    def _emit_text(generation: str, index: int, text: str) -> None:
        emit(messages.CallPart(index=index, text=text, generation=generation))

    return _emit_text


def _answer_message(answer: Any) -> Any:
    call = answer.call
    return messages.CallAnswer(
        program="",
        number=call.number,
        digest=call.digest,
        output=call.outcome.output.encode(),
        durable=True,
        replayed=answer.is_replayed,
        cost_units=call.outcome.cost_units,
    )
