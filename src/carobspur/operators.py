"""Operators' HTTP handlers: authorization, inventory, its history and rules."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from .configuration import DEFAULT_HISTORY_LENGTH, OrganisationRow
from .differences import difference
from .errors import (
    BodyTooLargeError,
    ConflictError,
    ForbiddenError,
    InventoryConflictError,
    NotFoundError,
    NotReadyError,
    RequestError,
    UnauthenticatedError,
)
from .inventory import Inventory, Key, Role
from .inventory_checks import parse_inventory
from .keys import KeyIndex, secret_digest
from .problem import ProblemHandler, bearer_secret

PLATFORM_OPERATOR = "platform"
MAX_HISTORY_LENGTH = 1000
OUT_OF_CONTACT_RETRY_S = 5.0
MAX_INVENTORY_BYTES = 32 << 20
READER_ROLES = (Role.OPERATOR, Role.VIEWER)


class InventoryReport(msgspec.Struct, frozen=True):
    """An inventory in force with its revision.

    Attributes:
        revision: System-wide revision of the organisation's last change.
        inventory: The inventory.
    """

    revision: int
    inventory: Inventory


@dataclass(slots=True)
class OperatorContext:
    """State that the operators' handlers share.

    Attributes:
        control: State of the control process, a :class:`.control_parts.Control`.
        peers: Client of the system's other processes, or ``None`` if there is none.
        platform_key_sha256: Hexadecimal SHA-256 of the platform operators' key; empty
            if there is no such key.
    """

    control: Any
    peers: Any = None
    platform_key_sha256: str = ""
    _keys: KeyIndex = field(default_factory=KeyIndex)
    _indexed_revisions: dict[str, int] = field(default_factory=dict)

    @property
    def keys(self) -> KeyIndex:
        """Index of the keys of all inventories in force, updated when used."""
        for name, revision in self.control.revisions.items():
            if self._indexed_revisions.get(name) != revision:
                self._keys.replace(self.control.inventories[name])
                self._indexed_revisions[name] = revision
        return self._keys


class OperatorHandler(ProblemHandler):
    """Base of the operators' handlers; authorizes requests by their key."""

    def initialize(self, context: OperatorContext) -> None:
        """Set the state that the handlers share."""
        self._context = context

    def prepare(self) -> None:
        """Refuse bodies larger than any inventory may be."""
        if len(self.request.body) > MAX_INVENTORY_BYTES:
            raise BodyTooLargeError(f"request body over {MAX_INVENTORY_BYTES} bytes")

    @property
    def control(self) -> Any:
        """State of the control process, a :class:`.control_parts.Control`."""
        return self._context.control

    def require_key(self, organisation: str, *roles: Role) -> Key:
        """Return the key of the request if it may be used here.

        Args:
            organisation: The organisation that the request concerns.
            roles: Roles that allow the request.

        Raises:
            NotReadyError: No inventories have been read yet.
            UnauthenticatedError: No inventory has this key.
            ForbiddenError: The key is another organisation's or has another role.
        """
        if self.control.revision < 0:
            raise NotReadyError("no inventories have been read yet", retry_after_s=1.0)
        owner = self._context.keys.find(self._secret())
        if owner is None:
            raise UnauthenticatedError("unknown key")
        if owner.organisation != organisation or owner.key.role not in roles:
            raise ForbiddenError(
                "the organisation or role of this key does not allow this request"
            )
        return owner.key

    def is_platform_operator(self) -> bool:
        """Return whether the request carries the platform operators' key."""
        known = self._context.platform_key_sha256
        secret = self._secret()
        return bool(known and secret) and secret_digest(secret) == known

    def require_platform_operator(self) -> None:
        """Refuse the request unless it carries the platform operators' key.

        Raises:
            UnauthenticatedError: It carries no key or another one.
        """
        if not self.is_platform_operator():
            raise UnauthenticatedError("this request needs the platform operators' key")

    def inventory(self, organisation: str) -> Inventory:
        """Return an organisation's inventory in force.

        Raises:
            NotFoundError: There is no such organisation.
        """
        found = self.control.inventories.get(organisation)
        if found is None:
            raise NotFoundError(f"unknown organisation {organisation!r}")
        return found

    def send(self, content: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def _secret(self) -> str:
        return bearer_secret(self.request.headers.get("Authorization", ""))


class InventoryHandler(OperatorHandler):
    """Shows and imports an organisation's inventory."""

    async def get(self, organisation: str) -> None:
        """Answer with the inventory in force and its revision, read from the table."""
        self.require_key(organisation, *READER_ROLES)
        row = await _read_row(self.control, organisation)
        self.send(InventoryReport(row.revision, row.inventory))

    async def put(self, organisation: str) -> None:
        """Import an inventory.

        ``Carobspur-Change`` is the id of the change, ``If-Match`` the expected
        revision. Refused while this instance is out of contact with most others, since
        :attr:`.gossip_rounds.GossipRounds.is_configuration_current` relies on this.
        """
        operator = self._authorize_import(organisation)
        inventory = parse_inventory(self.request.body)
        if inventory.organisation != organisation:
            raise RequestError(
                f"the inventory is of organisation {inventory.organisation!r}, "
                f"not {organisation!r}"
            )
        if not self.control.rounds.is_in_contact:
            raise NotReadyError(
                "this instance is out of contact with most others",
                retry_after_s=OUT_OF_CONTACT_RETRY_S,
            )
        try:
            result = await self.control.configuration.import_inventory(
                inventory,
                expected=self._expected_revision(),
                change=self._change_id(),
                operator=operator,
                now_s=self.control.clock.wall(),
            )
        except InventoryConflictError as error:
            if operator == PLATFORM_OPERATOR:
                raise ConflictError(
                    f"{organisation} is already registered; "
                    "only its operators may change it"
                ) from error
            raise
        await self.control.read_table()
        self.send(result)

    def _authorize_import(self, organisation: str) -> str:
        """Return the name of the operator, for the change log.

        Platform operators may only register new organisations, so they have to expect
        revision 0.
        """
        if not self.is_platform_operator():
            return self.require_key(organisation, Role.OPERATOR).name
        if self._expected_revision():
            raise ForbiddenError(
                "the platform operators' key may only register new organisations"
            )
        return PLATFORM_OPERATOR

    def _change_id(self) -> str:
        change = self.request.headers.get("Carobspur-Change", "")
        if not change:
            raise RequestError(
                "the header Carobspur-Change, id of the change, is missing"
            )
        return change

    def _expected_revision(self) -> int:
        text = self.request.headers.get("If-Match", "").strip('"')
        if not text.isdecimal() or not text.isascii() or len(text) > 15:
            raise RequestError(
                "If-Match: expected the revision that the change is based on"
            )
        return int(text)


class DifferenceHandler(OperatorHandler):
    """Compares an organisation's new inventory with the one in force."""

    async def post(self, organisation: str) -> None:
        """Answer with the list of items that differ."""
        self.require_key(organisation, *READER_ROLES)
        inventory = parse_inventory(self.request.body)
        if inventory.organisation != organisation:
            raise RequestError(
                f"the inventory is of organisation {inventory.organisation!r}, "
                f"not {organisation!r}"
            )
        row = await self.control.configuration.organisation(organisation)
        self.send(difference(None if row is None else row.inventory, inventory))


class HistoryHandler(OperatorHandler):
    """Shows an organisation's change log."""

    async def get(self, organisation: str) -> None:
        """Answer with the last entries of the change log, oldest first."""
        self.require_key(organisation, *READER_ROLES)
        text = self.get_query_argument("limit", str(DEFAULT_HISTORY_LENGTH))
        if not (text.isascii() and text.isdecimal() and len(text) < 6):
            raise RequestError(
                f"limit: expected a whole number from 1 to {MAX_HISTORY_LENGTH}"
            )
        limit = min(max(int(text), 1), MAX_HISTORY_LENGTH)
        changes = self.control.configuration.changes(organisation, limit=limit)
        self.send(await changes)


class RulesHandler(OperatorHandler):
    """Shows an organisation's rules in force."""

    def get(self, organisation: str) -> None:
        """Answer with the rules."""
        self.require_key(organisation, *READER_ROLES)
        self.send(self.inventory(organisation).rules)


async def _read_row(control: Any, organisation: str) -> OrganisationRow:
    row = await control.configuration.organisation(organisation)
    if row is None:
        raise NotFoundError(f"unknown organisation {organisation!r}")
    return row
