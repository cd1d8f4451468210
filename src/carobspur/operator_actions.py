"""Operators' HTTP handlers of status, programs, reports and drains; all routes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .errors import NotFoundError, NotReadyError, RequestError
from .forward import Forwarder
from .inventory import Key, Role
from .lease_watch import successors
from .operators import (
    READER_ROLES,
    DifferenceHandler,
    HistoryHandler,
    InventoryHandler,
    OperatorContext,
    OperatorHandler,
    RulesHandler,
)
from .peers import DRAIN, END_PROGRAM, SHOW_PROGRAM, messages
from .placement import shard_of
from .plugin_registry import PluginKind, plugin, plugin_names
from .status import status_report

FORWARD_TIMEOUT_S = 2.0


class DrainResult(msgspec.Struct, frozen=True):
    """Answer to a drain or undrain request.

    Attributes:
        instance: Id of the instance.
        leaving: Whether it drains now.
    """

    instance: str
    leaving: bool


class OwnerLookup:
    """Finds the schedulers that own programs, for a :class:`.forward.Forwarder`.

    Reads the control process's own state; other processes use their copy of it, a
    :class:`.view.ViewClient`.

    Args:
        control: State of the control process, a :class:`.control_parts.Control`.
    """

    __slots__ = ("_control", "on_change")

    def __init__(self, control: Any) -> None:
        self._control = control
        self.on_change: Callable[[], None] = lambda: None

    @property
    def sessions(self) -> list[Any]:
        """Sessions of live schedulers, as ``SessionInfo`` messages."""
        return self._control.sessions

    def owner_of(self, program: str) -> Any | None:
        """Return the ``SessionInfo`` of the scheduler that owns a program, if any."""
        shard = shard_of(program, self._control.shards)
        owner = self._control.shard_owners.get(shard)
        return next(
            (session for session in self._control.sessions if session.id == owner), None
        )

    def successors_of(self, program: str) -> list[Any]:
        """Return the sessions likely to take a program over from its owner."""
        shard = shard_of(program, self._control.shards)
        owner = self._control.shard_owners.get(shard, "")
        return successors(shard, owner, self._control.sessions)


class StatusHandler(OperatorHandler):
    """Shows the state of the system."""

    async def get(self, organisation: str) -> None:
        """Answer with a :class:`.status.StatusReport`."""
        self.require_key(organisation, *READER_ROLES)
        self.send(await status_report(self.control, self._context.peers, organisation))


class ProgramHandler(OperatorHandler):
    """Shows and stops an organisation's programs."""

    async def get(self, organisation: str, program: str) -> None:
        """Answer with a program, without its calls' history."""
        key = self.require_key(organisation, *READER_ROLES)
        request = messages.ShowProgram(
            caller=self._caller_message(organisation, key),
            program=program,
            with_history=False,
        )
        found = await self._forward_to_owner(program, SHOW_PROGRAM, request)
        self.set_header("Content-Type", "application/json")
        self.finish(found.document)

    async def delete(self, organisation: str, program: str) -> None:
        """Stop a program; its owner checks that the rules let this key do so."""
        key = self.require_key(organisation, Role.OPERATOR, Role.VIEWER)
        request = messages.EndProgram(
            caller=self._caller_message(organisation, key),
            program=program,
            reason=f"stopped by {key.role} {key.name}",
        )
        await self._forward_to_owner(program, END_PROGRAM, request)
        self.set_status(204)
        self.finish()

    def _caller_message(self, organisation: str, key: Key) -> Any:
        return messages.Caller(
            organisation=organisation,
            user=key.name,
            revision=self.control.revision,
            role=key.role.value,
        )

    async def _forward_to_owner(self, program: str, method: Any, request: Any) -> Any:
        forwarder = Forwarder(
            self._context.peers,
            OwnerLookup(self.control),
            self.control.clock,
            limit_s=FORWARD_TIMEOUT_S,
        )
        return await forwarder.forward(program, method, request)


class ReportHandler(OperatorHandler):
    """Answers with the report of the plug-in that the path names."""

    async def get(self, organisation: str, name: str) -> None:
        """Answer with the report, computed now."""
        self.require_key(organisation, *READER_ROLES)
        if name not in plugin_names(PluginKind.REPORTS):
            raise NotFoundError(f"unknown report {name!r}")
        inventory = self.inventory(organisation)
        now_s = self.control.clock.wall()
        reporter = plugin(PluginKind.REPORTS, name)()
        self.send(await reporter.collect(self.control.table, inventory, now_s))


class DrainHandler(OperatorHandler):
    """Moves the programs of an instance away, or lets it own programs again."""

    async def post(self, instance: str, action: str) -> None:
        """Send the drain or undrain request to the instance's scheduler.

        The last instance that accepts programs can't be drained.
        """
        self.require_platform_operator()
        sessions = [
            session for session in self.control.sessions if session.instance == instance
        ]
        if not sessions:
            known = ", ".join(
                sorted({session.instance for session in self.control.sessions})
            )
            raise NotFoundError(f"no live instance {instance!r}; live: {known}")
        if len(sessions) > 1:
            raise NotReadyError(
                f"an earlier session of {instance} has not expired yet",
                retry_after_s=5.0,
            )
        leaving = action == "drain"
        others = {
            session.instance for session in self.control.sessions if not session.leaving
        }
        if leaving and not others - {instance}:
            raise RequestError(f"{instance} is the last instance that accepts programs")
        request = messages.Drain(leaving=leaving)
        target = sessions[0]
        await self._context.peers.call(target.host, target.port, DRAIN, request)
        self.send(DrainResult(instance, leaving))


def operator_routes(
    control: Any, peers: Any, *, platform_key_sha256: str = ""
) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the routes of all operators' handlers.

    Args:
        control: State of the control process, a :class:`.control_parts.Control`.
        peers: Client of the system's other processes.
        platform_key_sha256: Hexadecimal SHA-256 of the platform operators' key; empty
            if there is no such key.
    """
    options = {"context": OperatorContext(control, peers, platform_key_sha256)}
    prefix = r"/v1/organisations/([^/]+)"
    return [
        (prefix + r"/inventory", InventoryHandler, options),
        (prefix + r"/inventory/difference", DifferenceHandler, options),
        (prefix + r"/inventory/history", HistoryHandler, options),
        (prefix + r"/rules", RulesHandler, options),
        (prefix + r"/status", StatusHandler, options),
        (prefix + r"/programs/([^/]+)", ProgramHandler, options),
        (prefix + r"/reports/([^/]+)", ReportHandler, options),
        (r"/v1/instances/([^/]+)/(drain|undrain)", DrainHandler, options),
    ]
