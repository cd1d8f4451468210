"""Inventories in the table: numbered changes, in force once and for all.

``inventory/head`` holds the revision. A change rewrites it with a version check,
writes the organisation's row, and adds a row to the change log; so two operators who
race get one winner, and every process follows by reading the changes it lacks.
"""

from __future__ import annotations

import msgspec

from .errors import InventoryConflictError, StoreConflictError, StoreError
from .inventory import Inventory, inventory_digest
from .table import ABSENT_VERSION, Check, Row, Table, Write

INVENTORY_PREFIX = "inventory/"
HEAD_KEY = "inventory/head"
ORGANISATION_PREFIX = "inventory/organisation/"
CHANGE_PREFIX = "inventory/change/"
MAX_IMPORT_TRIES = 20
_REVISION_DIGITS = 12


class AppliedChange(msgspec.Struct, frozen=True):
    """A change that an operator made; ``id`` makes it idempotent."""

    id: str
    revision: int


class OrganisationRow(msgspec.Struct, frozen=True):
    """The inventory in force of one organisation.

    Attributes:
        revision: System-wide revision of its last change.
        digest: Digest of the inventory.
        inventory: The inventory.
        last_change: Id and revision of the last change.
    """

    revision: int
    digest: str
    inventory: Inventory
    last_change: AppliedChange


class ChangeRow(msgspec.Struct, frozen=True):
    """An entry of the change log.

    Attributes:
        organisation: Whose inventory changed.
        revision: System-wide revision that the change made.
        before: The organisation's revision before it; 0 for its first.
        digest: Digest of the new inventory.
        operator: Name of the key that made it.
        change: Id of the change.
        at_s: Time of the change, seconds since 1970.
    """

    organisation: str
    revision: int
    before: int
    digest: str
    operator: str
    change: str
    at_s: float


class ImportResult(msgspec.Struct, frozen=True):
    """What an import did."""

    revision: int
    digest: str
    changed: bool


def change_key(revision: int) -> str:
    """Return the key of a change's row."""
    return f"{CHANGE_PREFIX}{revision:0{_REVISION_DIGITS}d}"


def organisation_key(organisation: str) -> str:
    """Return the key of an organisation's row."""
    return ORGANISATION_PREFIX + organisation


def _decode_row(row: Row | None) -> OrganisationRow | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=OrganisationRow)


class Configuration:
    """Reads and changes the inventories in the table.

    Args:
        table: The table service.
    """

    __slots__ = ("_table",)

    def __init__(self, table: Table) -> None:
        self._table = table

    async def head(self) -> int:
        """Return the revision in force; 0 before the first import."""
        row = await self._table.read(HEAD_KEY)
        return 0 if row is None else msgspec.json.decode(row.value, type=int)

    async def organisation(self, organisation: str) -> OrganisationRow | None:
        """Return what is in force of one organisation, or ``None``."""
        return _decode_row(await self._table.read(organisation_key(organisation)))

    async def organisations(self) -> list[OrganisationRow]:
        """Return what is in force of all organisations."""
        rows = await self._table.scan(ORGANISATION_PREFIX)
        return [msgspec.json.decode(row.value, type=OrganisationRow) for row in rows]

    async def changes(self, organisation: str) -> list[ChangeRow]:
        """Return the log of one organisation's changes, oldest first."""
        rows = await self._table.scan(CHANGE_PREFIX)
        changes = [msgspec.json.decode(row.value, type=ChangeRow) for row in rows]
        return [item for item in changes if item.organisation == organisation]

    async def changes_since(self, revision: int, head: int) -> list[ChangeRow]:
        """Return every change after a revision, oldest first.

        Args:
            revision: The revision that is known.
            head: The revision in force.
        """
        found = []
        for number in range(revision + 1, head + 1):
            row = await self._table.read(change_key(number))
            if row is None:
                raise StoreError(f"change {number} is missing from the log")
            found.append(msgspec.json.decode(row.value, type=ChangeRow))
        return found

    async def import_inventory(
        self,
        inventory: Inventory,
        *,
        expected: int,
        change: str,
        operator: str,
        now_s: float,
    ) -> ImportResult:
        """Put an inventory in force.

        Args:
            inventory: The checked inventory.
            expected: Revision of the organisation's inventory that the operator
                saw; 0 where there was none.
            change: Id of the change; the same id never applies twice.
            operator: Name of the operator's key.
            now_s: Time for the log, seconds since 1970.

        Raises:
            InventoryConflictError: Another change came first.
            StoreUnavailableError: No answer; asking again with the same id is safe.
        """
        for _ in range(MAX_IMPORT_TRIES):
            stored = await self._table.read(organisation_key(inventory.organisation))
            current = _decode_row(stored)
            if current is not None and current.last_change.id == change:
                done = current.last_change.revision
                return ImportResult(done, current.digest, changed=False)
            revision = 0 if current is None else current.revision
            if revision != expected:
                raise _conflict(expected, current, inventory)
            version = ABSENT_VERSION if stored is None else stored.version
            try:
                return await self._write(
                    inventory, version, revision, change, operator, now_s
                )
            except StoreConflictError:
                continue
        raise StoreError("too many operators change inventories at once")

    async def _write(
        self,
        inventory: Inventory,
        version: int,
        before: int,
        change: str,
        operator: str,
        now_s: float,
    ) -> ImportResult:
        head = await self._table.read(HEAD_KEY)
        head_version = ABSENT_VERSION if head is None else head.version
        revision = 1 if head is None else msgspec.json.decode(head.value, type=int) + 1
        digest = inventory_digest(inventory)
        organisation = inventory.organisation
        row = OrganisationRow(
            revision, digest, inventory, AppliedChange(change, revision)
        )
        log = ChangeRow(organisation, revision, before, digest, operator, change, now_s)
        await self._table.commit(
            [
                Check(HEAD_KEY, head_version),
                Check(organisation_key(organisation), version),
            ],
            [
                Write(HEAD_KEY, msgspec.json.encode(revision)),
                Write(organisation_key(organisation), msgspec.json.encode(row)),
                Write(change_key(revision), msgspec.json.encode(log)),
            ],
        )
        return ImportResult(revision, digest, changed=True)


class Difference(msgspec.Struct, frozen=True):
    """One difference between two inventories."""

    place: str
    before: str
    after: str


def difference(before: Inventory | None, after: Inventory) -> list[Difference]:
    """Return the items that two inventories do not share.

    Args:
        before: The inventory in force, or ``None``.
        after: The one to compare it with.
    """
    found = []
    old = {} if before is None else _items(before)
    new = _items(after)
    for place in sorted(old.keys() | new.keys()):
        if old.get(place) != new.get(place):
            found.append(Difference(place, old.get(place, ""), new.get(place, "")))
    return found


def _items(inventory: Inventory) -> dict[str, str]:
    """Return every item of an inventory as JSON, by its place."""
    found = {}
    for section, content in msgspec.to_builtins(inventory).items():
        if not isinstance(content, list):
            found[section] = msgspec.json.encode(content, order="sorted").decode()
            continue
        for index, item in enumerate(content):
            name = item.get("name", str(index))
            text = msgspec.json.encode(item, order="sorted").decode()
            found[f"{section}/{name}"] = text
    return found


def _conflict(
    expected: int, current: OrganisationRow | None, inventory: Inventory
) -> InventoryConflictError:
    revision = 0 if current is None else current.revision
    before = None if current is None else current.inventory
    differences = difference(before, inventory)
    return InventoryConflictError(
        f"the inventory is at revision {revision}, not {expected}",
        detail=msgspec.json.encode(differences).decode(),
    )
