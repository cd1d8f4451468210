"""Status report on the system, for operators."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from .budgets import BUDGET_PREFIX, BudgetRow
from .errors import CarobspurError, StoreError
from .inventory import Inventory
from .peers import GET_STATUS, messages
from .table import Table

STATUS_TIMEOUT_S = 1.0


class EndpointStatus(msgspec.Struct, frozen=True):
    """An engine's load, from its latest report at this control process.

    Attributes:
        name: Name of the engine.
        address: Base URL of the engine.
        reachable: Whether the latest report has its load; false without a report.
        running: Calls that it runs.
        waiting: Calls that wait in its queue.
        kv_used_tokens: Tokens in its prefix cache.
        kv_capacity_tokens: Capacity of its prefix cache, in tokens.
    """

    name: str
    address: str
    reachable: bool
    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status of an instance, as its scheduler reported it.

    Attributes:
        id: Id of the instance.
        data_centre: Name of its data centre.
        state: ``ready``, ``not ready``, ``leaving``, or ``no answer``.
        revision: Revision of the inventories there; -1 if it did not answer.
        shards: Number of shards that its scheduler owns.
        programs: Number of the organisation's running programs there.
    """

    id: str
    data_centre: str
    state: str
    revision: int = -1
    shards: int = 0
    programs: int = 0


class DataCentreStatus(msgspec.Struct, frozen=True):
    """Status of a data centre.

    Attributes:
        name: Name of the data centre.
        instances: Number of its instances.
        ready: Number of those that are ready.
    """

    name: str
    instances: int
    ready: int


class BudgetStatus(msgspec.Struct, frozen=True):
    """Status of an allowance in its current window.

    Attributes:
        owner: The user, or ``organisation``.
        window_s: Length of the window, in seconds.
        units: Cost units of the allowance per window.
        spent: Cost units that schedulers reported as spent.
        granted: Cost units granted to schedulers and not yet reported as spent.
    """

    owner: str
    window_s: int
    units: int
    spent: int
    granted: int


class StatusReport(msgspec.Struct, frozen=True):
    """Report that ``carobspur status`` shows.

    Attributes:
        instance: Id of the instance whose control process answers.
        revision: System-wide revision of the inventories there.
        is_current: Whether that revision is known to be the latest.
        organisation_revision: Revision of the organisation's last change.
        unserved_shards: Number of shards that no live scheduler owns.
        data_centres: Data centres that have instances.
        instances: Instances whose schedulers have sessions.
        endpoints: The organisation's engines.
        budgets: The organisation's allowances; ``None`` while the table service can't
            be read.
    """

    instance: str
    revision: int
    is_current: bool
    organisation_revision: int
    unserved_shards: int
    data_centres: list[DataCentreStatus]
    instances: list[InstanceStatus]
    endpoints: list[EndpointStatus]
    budgets: list[BudgetStatus] | None


async def status_report(control: Any, peers: Any, organisation: str) -> StatusReport:
    """Return the status report for one organisation.

    Args:
        control: State of the control process, a :class:`.control_parts.Control`.
        peers: Client of the system's other processes.
        organisation: Name of the organisation whose programs, endpoints and budgets
            are reported.
    """
    inventory = control.inventories[organisation]
    sessions = sorted(control.sessions, key=lambda item: item.instance)
    instances = await asyncio.gather(
        *(_query_instance(peers, item, organisation) for item in sessions)
    )
    live = {item.id for item in sessions}
    owners = control.shard_owners
    try:
        budgets = await _budgets(control.table, inventory, control.clock.wall())
    except StoreError:
        budgets = None
    return StatusReport(
        instance=control.instance_id,
        revision=control.revision,
        is_current=control.is_current,
        organisation_revision=control.revisions.get(organisation, 0),
        unserved_shards=sum(owner not in live for owner in owners.values()),
        data_centres=_data_centres(instances),
        instances=list(instances),
        endpoints=_endpoints(control, inventory),
        budgets=budgets,
    )


async def _query_instance(
    peers: Any, session: Any, organisation: str
) -> InstanceStatus:
    request = messages.GetStatus(organisation=organisation)
    status_call = peers.call(
        session.host, session.port, GET_STATUS, request, timeout_s=STATUS_TIMEOUT_S
    )
    try:
        answer = await status_call
    except CarobspurError:
        return InstanceStatus(session.instance, session.data_centre, "no answer")
    state = "ready" if answer.ready else "not ready"
    return InstanceStatus(
        session.instance,
        session.data_centre,
        "leaving" if answer.leaving else state,
        answer.revision,
        answer.shards,
        answer.programs,
    )


def _data_centres(instances: list[InstanceStatus]) -> list[DataCentreStatus]:
    found = []
    for name in sorted({item.data_centre for item in instances}):
        located_here = [item for item in instances if item.data_centre == name]
        ready = sum(item.state == "ready" for item in located_here)
        found.append(DataCentreStatus(name, len(located_here), ready))
    return found


def _endpoints(control: Any, inventory: Inventory) -> list[EndpointStatus]:
    found = []
    for engine in inventory.engines:
        sample = control.loads.get(engine.address)
        load = None if sample is None else sample.load
        if load is None:
            found.append(EndpointStatus(engine.name, engine.address, reachable=False))
            continue
        found.append(
            EndpointStatus(
                engine.name,
                engine.address,
                reachable=True,
                running=load.running,
                waiting=load.waiting,
                kv_used_tokens=load.kv_used_tokens,
                kv_capacity_tokens=load.kv_capacity_tokens,
            )
        )
    return found


async def _budgets(
    table: Table, inventory: Inventory, now_s: float
) -> list[BudgetStatus]:
    """Read an organisation's budget rows; a row of a past window counts as unspent."""
    rows = await table.scan(f"{BUDGET_PREFIX}{inventory.organisation}/")
    stored = {
        row.key: msgspec.json.decode(row.value, type=BudgetRow, strict=False)
        for row in rows
    }
    users = {key.split("/")[2] for key in stored} - {""}
    found = []
    for allowance in inventory.allowances:
        owners = sorted(users) if allowance.user == "*" else [allowance.user]
        for owner in owners:
            key = f"{BUDGET_PREFIX}{inventory.organisation}/{owner}"
            row = stored.get(f"{key}/{allowance.window_s}")
            window = int(now_s // allowance.window_s)
            if row is None or row.window != window:
                row = BudgetRow(window)
            found.append(
                BudgetStatus(
                    owner or "organisation",
                    allowance.window_s,
                    allowance.units,
                    row.spent,
                    sum(row.open.values()),
                )
            )
    return found
