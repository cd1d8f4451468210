"""Start and end of programs and of their sub-agents, on whichever scheduler they are.

A sub-agent is recorded with its parent ("adopted") before it starts. When the parent
has ended, its owner requests the ends of all recorded sub-agents from their owners
until each has confirmed. Which ends are unconfirmed follows from committed records, so
a scheduler that takes the parent over continues the requests.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from .errors import (
    CarobspurError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    ProgramEndedError,
)
from .execution import CallRuntime
from .forward import Forwarder
from .inventory import Inventory, Role
from .journal import ChildAdopted, ChildEnded, ProgramEnded, ProgramStarted, Record
from .metrics import PROGRAM_OBJECTIVE, PROGRAM_SECONDS
from .ownership import Ownership
from .peers import ADOPT_CHILD, END_CHILD, messages
from .program_index import ProgramIndex
from .programs import NEVER_STARTED, SINGLE_CALL_AGENT, Program
from .requests import Requester
from .rules import may_stop
from .verdict import MAY_HAVE_RUN

END_CHILDREN_PERIOD_S = 1.0
OWNER_TIMEOUT_S = 5.0
END_CHILDREN_WAIT_S = 2.0
PARENT_ENDED = "its parent ended"

_logger = logging.getLogger(__name__)


class Lifecycle:
    """Starts and ends the programs that one scheduler owns.

    Args:
        runtime: Parts of the scheduler that the kinds of calls share.
        program_index: Committed state of the programs.
        ownership: Decides which programs this scheduler serves.
        inventories: Returns the inventory in force of an organisation.
        forwarder: Sends requests to the owners of other programs.
    """

    __slots__ = (
        "_forwarder",
        "_inventories",
        "_ownership",
        "_program_index",
        "_runtime",
    )

    def __init__(
        self,
        *,
        runtime: CallRuntime,
        program_index: ProgramIndex,
        ownership: Ownership,
        inventories: Callable[[str], Inventory],
        forwarder: Forwarder,
    ) -> None:
        self._runtime = runtime
        self._program_index = program_index
        self._ownership = ownership
        self._inventories = inventories
        self._forwarder = forwarder

    async def start(
        self,
        requester: Requester,
        program: str,
        *,
        agent: str,
        parent: str = "",
        deadline_s: float = 0.0,
    ) -> bool:
        """Start a program; return ``False`` if it was started before.

        Args:
            requester: The requester, who becomes the program's user.
            program: Id of the program, derived from the caller's idempotency key.
            agent: Name of its agent.
            parent: Id of the program that starts it, or empty.
            deadline_s: Seconds from now by which it must end, or 0.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such agent or parent.
            ConflictError: It was started before with another agent or parent.
            ProgramEndedError: The parent has ended.
            StoreOutageError: The table service does not answer.
        """
        with self._ownership.working_on(program):
            if self._is_started(program, agent, parent):
                return False
            await self._runtime.outage.require_table()
            if agent != SINGLE_CALL_AGENT:
                self._inventories(requester.organisation).agent(agent)
            if parent:
                await self._register_with_parent(requester, parent, program)
            now_s = self._runtime.clock.wall()
            record = ProgramStarted(
                program=program,
                organisation=requester.organisation,
                user=requester.user,
                agent=agent,
                started_s=now_s,
                parent=parent,
                deadline_s=now_s + deadline_s if deadline_s else 0.0,
            )
            await self._commit(record)
            return self._is_started(program, agent, parent)

    async def end(self, requester: Requester, program: str, reason: str) -> None:
        """End a program and its sub-agents; idempotent.

        The end is committed first. Then the ends of the sub-agents are awaited for at
        most ``END_CHILDREN_WAIT_S``; :meth:`run` requests again those that were not
        confirmed by then.

        Args:
            requester: The requester.
            program: Id of the program.
            reason: Why it ends, for its report.

        Raises:
            NotOwnerError: Another scheduler owns the program.
            NotFoundError: There is no such program for this requester.
            ForbiddenError: The organisation's rules don't allow it.
            StoreOutageError: The table service does not answer.
        """
        with self._ownership.working_on(program):
            await self._runtime.outage.require_table()
            found = self._get_stoppable(requester, program)
            await self._end(found, reason)
            try:
                async with asyncio.timeout(END_CHILDREN_WAIT_S):
                    await self._end_children(found)
            except TimeoutError:
                _logger.info("not all sub-agents of %s have ended; will retry", program)

    async def adopt(self, requester: Requester, parent: str, child: str) -> None:
        """Record a sub-agent with its parent, before the sub-agent starts.

        Raises:
            NotOwnerError: Another scheduler owns the parent.
            NotFoundError: There is no such parent for this user.
            ProgramEndedError: The parent has ended.
        """
        with self._ownership.working_on(parent):
            await self._runtime.outage.require_table()
            found = self._program_index.get(
                parent, requester.organisation, requester.user
            )
            if found.ended:
                raise ProgramEndedError(f"program {parent} has ended")
            if child not in found.children:
                await self._commit(ChildAdopted(parent, child))

    async def end_child(self, requester: Requester, parent: str, child: str) -> None:
        """End a sub-agent whose parent has ended.

        For one that was not started yet, a record is committed that prevents any later
        start. A program with another organisation, user or parent is not changed.

        Raises:
            NotOwnerError: Another scheduler owns the sub-agent.
        """
        with self._ownership.working_on(child):
            found = self._program_index.find(child)
            if found is None:
                await self._commit(_never_started(requester, parent, child))
                found = self._program_index.find(child)
            identity = (found.organisation, found.user, found.parent)
            if identity == (requester.organisation, requester.user, parent):
                await self._end(found, PARENT_ENDED)

    async def run(self) -> None:
        """Request the ends of sub-agents of ended programs, every second.

        Runs until the session is lost or the task is cancelled.
        """
        while not self._runtime.session.is_lost:
            await self._runtime.clock.sleep(END_CHILDREN_PERIOD_S)
            for program in self._program_index.programs:
                if program.ended and program.children:
                    await self._end_children(program)

    def _get_stoppable(self, requester: Requester, program: str) -> Program:
        """Return a program if the organisation's rules let the requester stop it.

        Raises:
            NotFoundError: There is no such program, or it is another user's and the
                requester is a caller.
            ForbiddenError: The rules don't allow it.
        """
        found = self._program_index.get(program, requester.organisation, None)
        allowed = may_stop(
            self._inventories(found.organisation).rules,
            role=requester.role,
            user=requester.user,
            program_user=found.user,
        )
        if allowed:
            return found
        if requester.role == Role.CALLER:
            self._program_index.get(program, requester.organisation, requester.user)
        raise ForbiddenError(f"the rules let no {requester.role} stop this program")

    async def _end(self, program: Program, reason: str) -> None:
        if not program.ended:
            await self._commit(ProgramEnded(program.id, reason))
            self._record_duration(program)
        self._runtime.hold_manager.after_end(program)

    async def _end_children(self, program: Program) -> None:
        requester = Requester(program.organisation, program.user)
        confirmed = []
        for child in list(program.children):
            try:
                await self._request_child_end(requester, program.id, child)
                confirmed.append(ChildEnded(program.id, child))
            except CarobspurError as error:
                _logger.info("can't end sub-agent %s yet: %s", child, error.message)
        if confirmed and self._ownership.owns(program.id):
            try:
                await self._commit(*confirmed)
            except CarobspurError as error:
                _logger.info("can't record ends of sub-agents yet: %s", error.message)

    async def _request_child_end(
        self, requester: Requester, parent: str, child: str
    ) -> None:
        if self._ownership.owns(child):
            await self.end_child(requester, parent, child)
            return
        message = messages.EndChild(
            caller=_caller(requester), parent=parent, child=child
        )
        await self._forwarder.forward(
            child, END_CHILD, message, timeout_s=OWNER_TIMEOUT_S
        )

    async def _register_with_parent(
        self, requester: Requester, parent: str, child: str
    ) -> None:
        if self._ownership.owns(parent):
            await self.adopt(requester, parent, child)
            return
        message = messages.AdoptChild(
            caller=_caller(requester), parent=parent, child=child
        )
        await self._forwarder.forward(
            parent, ADOPT_CHILD, message, timeout_s=OWNER_TIMEOUT_S
        )

    def _is_started(self, program: str, agent: str, parent: str) -> bool:
        known = self._program_index.find(program)
        if known is None:
            return False
        if known.agent == NEVER_STARTED:
            raise ProgramEndedError(f"the parent of program {program} has ended")
        if (known.agent, known.parent) != (agent, parent):
            raise ConflictError("this idempotency key started another program")
        return True

    async def _commit(self, *records: Record) -> None:
        async with self._runtime.outage.limit_wait(MAY_HAVE_RUN):
            await self._runtime.session.commit(list(records))

    def _record_duration(self, program: Program) -> None:
        if program.agent in (SINGLE_CALL_AGENT, NEVER_STARTED):
            return
        try:
            agent = self._inventories(program.organisation).agent(program.agent)
        except NotFoundError:
            return
        elapsed_s = self._runtime.clock.wall() - program.started_s
        PROGRAM_SECONDS.labels(program.organisation, agent.name).observe(elapsed_s)
        is_met = "yes" if elapsed_s <= agent.objective_s else "no"
        PROGRAM_OBJECTIVE.labels(program.organisation, agent.name, is_met).inc()


def _caller(requester: Requester) -> Any:
    return messages.Caller(
        organisation=requester.organisation, user=requester.user, revision=0
    )


def _never_started(requester: Requester, parent: str, child: str) -> ProgramStarted:
    return ProgramStarted(
        program=child,
        organisation=requester.organisation,
        user=requester.user,
        agent=NEVER_STARTED,
        started_s=0.0,
        parent=parent,
    )
