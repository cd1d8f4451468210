"""HTTP for operators: status, programs, reports, drain, and all operators' routes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .errors import NotFoundError, NotReadyError, RequestError
from .forward import Forwarder
from .inventory import Key, Role
from .lease_watch import successors
from .operators import (
    READERS,
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

FORWARD_LIMIT_S = 2.0


class DrainResult(msgspec.Struct, frozen=True):
    """Answer to a drain or undrain."""

    instance: str
    leaving: bool


class OwnerView:
    """Finds programs' owners in a control process's own state.

    Args:
        control: The control process's state.
    """

    __slots__ = ("_control", "on_change")

    def __init__(self, control: Any) -> None:
        self._control = control
        self.on_change: Callable[[], None] = lambda: None

    @property
    def sessions(self) -> list[Any]:
        """Live schedulers."""
        return self._control.sessions

    def owner_of(self, program: str) -> Any | None:
        """Return the session of the scheduler that owns a program."""
        shard = shard_of(program, self._control.shards)
        owner = self._control.shard_owners.get(shard)
        return next((s for s in self._control.sessions if s.id == owner), None)

    def successors_of(self, program: str) -> list[Any]:
        """Return the sessions that probably own a program if its owner does not."""
        shard = shard_of(program, self._control.shards)
        owner = self._control.shard_owners.get(shard, "")
        return successors(shard, owner, self._control.sessions)


class StatusHandler(OperatorHandler):
    """Shows the state of the system."""

    async def get(self, organisation: str) -> None:
        """Answer with the status."""
        self.operator_key(organisation, *READERS)
        self.send(await status_report(self.control, self._context.peers, organisation))


class ProgramHandler(OperatorHandler):
    """Shows and stops an organisation's programs."""

    async def get(self, organisation: str, program: str) -> None:
        """Answer with a program, its history left out."""
        key = self.operator_key(organisation, *READERS)
        request = messages.ShowProgram(
            caller=self._requester(organisation, key),
            program=program,
            with_history=False,
        )
        found = await self._ask(program, SHOW_PROGRAM, request)
        self.set_header("Content-Type", "application/json")
        self.finish(found.document)

    async def delete(self, organisation: str, program: str) -> None:
        """Stop a program, if the organisation's rules let this key do so."""
        key = self.operator_key(organisation, Role.OPERATOR, Role.VIEWER)
        request = messages.EndProgram(
            caller=self._requester(organisation, key),
            program=program,
            reason=f"stopped by {key.role} {key.name}",
        )
        await self._ask(program, END_PROGRAM, request)
        self.set_status(204)
        self.finish()

    def _requester(self, organisation: str, key: Key) -> Any:
        return messages.Caller(
            organisation=organisation,
            user=key.name,
            revision=self.control.revision,
            role=key.role.value,
        )

    async def _ask(self, program: str, method: Any, request: Any) -> Any:
        forwarder = Forwarder(
            self._context.peers,
            OwnerView(self.control),
            self.control.clock,
            limit_s=FORWARD_LIMIT_S,
        )
        return await forwarder.forward(program, method, request)


class ReportHandler(OperatorHandler):
    """Collects a report of the plug-in that the path names."""

    async def get(self, organisation: str, name: str) -> None:
        """Answer with the report."""
        self.operator_key(organisation, *READERS)
        if name not in plugin_names(PluginKind.REPORTS):
            raise NotFoundError(f"no report {name!r}")
        inventory = self.inventory(organisation)
        now_s = self.control.clock.wall()
        reporter = plugin(PluginKind.REPORTS, name)()
        self.send(await reporter.collect(self.control.table, inventory, now_s))


class DrainHandler(OperatorHandler):
    """Drains an instance of its programs, or lets it take programs again."""

    async def post(self, instance: str, action: str) -> None:
        """Tell the instance's scheduler."""
        self.require_platform_operator()
        sessions = [s for s in self.control.sessions if s.instance == instance]
        if not sessions:
            known = ", ".join(sorted({s.instance for s in self.control.sessions}))
            raise NotFoundError(f"no live instance {instance!r}; live: {known}")
        if len(sessions) > 1:
            raise NotReadyError(
                f"{instance} has an old session that has not lapsed yet",
                retry_after_s=5.0,
            )
        leaving = action == "drain"
        others = {s.instance for s in self.control.sessions if not s.leaving}
        if leaving and not others - {instance}:
            raise RequestError(f"{instance} is the last instance that takes programs")
        request = messages.Drain(leaving=leaving)
        target = sessions[0]
        await self._context.peers.call(target.host, target.port, DRAIN, request)
        self.send(DrainResult(instance, leaving))


def operator_routes(
    control: Any, peers: Any, *, platform_key_sha256: str = ""
) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the operators' routes.

    Args:
        control: The control process's state.
        peers: Client of our own processes.
        platform_key_sha256: Digest of the platform operators' key; empty for none.
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
