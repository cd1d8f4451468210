"""HTTP for operators: inventory, its history, and the state of the system."""

from __future__ import annotations

from typing import Any

import msgspec

from .configuration import difference
from .errors import ForbiddenError, NotReadyError, RequestError, UnauthenticatedError
from .inventory import Inventory, Key, Role, parse_inventory
from .problem import ProblemHandler, bearer_secret

BOOTSTRAP_OPERATOR = "bootstrap"
OUT_OF_CONTACT_RETRY_S = 5.0


class EndpointStatus(msgspec.Struct, frozen=True):
    """An engine's load as this control process last saw it."""

    address: str
    reachable: bool
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int


class InstanceStatusReport(msgspec.Struct, frozen=True):
    """A usable instance with the shards that its scheduler holds."""

    id: str
    data_centre: str
    shards: int
    leaving: bool


class StatusReport(msgspec.Struct, frozen=True):
    """What ``carobspur status`` shows."""

    instance: str
    revision: int
    is_current: bool
    instances: list[InstanceStatusReport]
    endpoints: list[EndpointStatus]


class InventoryReport(msgspec.Struct, frozen=True):
    """An inventory in force with its revision."""

    revision: int
    inventory: Inventory


class OperatorHandler(ProblemHandler):
    """A handler that knows the operator's key."""

    def initialize(self, control: Any) -> None:
        """Take the control process's state."""
        self._control = control

    def operator_key(self, organisation: str, *roles: Role) -> Key:
        """Return the key of the request.

        Raises:
            UnauthenticatedError: It is not known.
            ForbiddenError: It is another organisation's, or its role is too small.
        """
        secret = bearer_secret(self.request.headers.get("Authorization", ""))
        for name, inventory in self._control.inventories.items():
            key = inventory.key_for(secret) if secret else None
            if key is None:
                continue
            if name != organisation or key.role not in roles:
                raise ForbiddenError("this key does not allow that")
            return key
        raise UnauthenticatedError("the key is not known")

    def send(self, content: Any) -> None:
        """Answer with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))


class InventoryHandler(OperatorHandler):
    """Shows and imports an organisation's inventory."""

    async def get(self, organisation: str) -> None:
        """Answer with what is in force."""
        self.operator_key(organisation, Role.OPERATOR, Role.VIEWER)
        row = await self._control.configuration.organisation(organisation)
        self.send(InventoryReport(row.revision, row.inventory))

    async def put(self, organisation: str) -> None:
        """Put an inventory in force."""
        inventory = parse_inventory(self.request.body)
        if inventory.organisation != organisation:
            raise RequestError(f"the inventory is {inventory.organisation!r}'s")
        operator = self._operator_name(organisation, inventory)
        change = self.request.headers.get("Carobspur-Change", "")
        if not change:
            raise RequestError("the header Carobspur-Change is missing")
        if not self._control.rounds.is_in_contact:
            raise NotReadyError(
                "this instance is out of contact with most others",
                retry_after_s=OUT_OF_CONTACT_RETRY_S,
            )
        result = await self._control.configuration.import_inventory(
            inventory,
            expected=self._expected_revision(),
            change=change,
            operator=operator,
            now_s=self._control.clock.wall(),
        )
        await self._control.poll()
        self.send(result)

    def _operator_name(self, organisation: str, inventory: Inventory) -> str:
        """Return who imports; the first inventory is allowed by its own key."""
        if organisation in self._control.inventories:
            return self.operator_key(organisation, Role.OPERATOR).name
        secret = bearer_secret(self.request.headers.get("Authorization", ""))
        key = inventory.key_for(secret) if secret else None
        if key is None or key.role != Role.OPERATOR:
            raise UnauthenticatedError(
                "the first inventory must hold the operator's key"
            )
        return key.name

    def _expected_revision(self) -> int:
        text = self.request.headers.get("If-Match", "")
        try:
            return int(text.strip('"'))
        except ValueError:
            raise RequestError("If-Match must carry the revision you saw") from None


class DifferenceHandler(OperatorHandler):
    """Compares an inventory with the one in force."""

    async def post(self, organisation: str) -> None:
        """Answer with the differences."""
        self.operator_key(organisation, Role.OPERATOR, Role.VIEWER)
        inventory = parse_inventory(self.request.body)
        row = await self._control.configuration.organisation(organisation)
        self.send(difference(None if row is None else row.inventory, inventory))


class HistoryHandler(OperatorHandler):
    """Shows an organisation's changes."""

    async def get(self, organisation: str) -> None:
        """Answer with the change log."""
        self.operator_key(organisation, Role.OPERATOR, Role.VIEWER)
        self.send(await self._control.configuration.changes(organisation))


class StatusHandler(OperatorHandler):
    """Shows the state of the system as this process sees it."""

    def get(self, organisation: str) -> None:
        """Answer with the status."""
        self.operator_key(organisation, Role.OPERATOR, Role.VIEWER)
        control = self._control
        owners = list(control.shard_owners.values())
        instances = [
            InstanceStatusReport(
                item.instance, item.data_centre, owners.count(item.id), item.leaving
            )
            for item in control.sessions
        ]
        own = {e.address for e in control.inventories[organisation].engines}
        endpoints = [
            EndpointStatus(
                address,
                sample.load is not None,
                sample.load.running if sample.load else 0,
                sample.load.waiting if sample.load else 0,
                sample.load.kv_used_tokens if sample.load else 0,
                sample.load.kv_capacity_tokens if sample.load else 0,
            )
            for address, sample in control.loads.items()
            if address in own
        ]
        self.send(
            StatusReport(
                control.instance_id,
                control.revision,
                control.is_current,
                instances,
                endpoints,
            )
        )


def operator_routes(control: Any) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the operators' routes.

    Args:
        control: The control process's state.
    """
    options = {"control": control}
    prefix = r"/v1/organisations/([^/]+)"
    return [
        (prefix + r"/inventory", InventoryHandler, options),
        (prefix + r"/inventory/difference", DifferenceHandler, options),
        (prefix + r"/inventory/history", HistoryHandler, options),
        (prefix + r"/status", StatusHandler, options),
    ]
