"""Inventories stored in the table service, and the log of their changes.

The row ``inventory/head`` holds the system-wide revision. Each change is one
transaction: it rewrites that row under a version check, writes the organisation's
row, and adds a row to the change log and one for the id of the change. Of two
concurrent transactions only one therefore commits; the other is tried again, and
refused if both change the same organisation. A change that is sent again after a lost
answer is applied once, and a process catches up by reading the log from the revision
that it has.
"""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass

import msgspec

from .claims import plan_claims
from .differences import difference
from .errors import (
    ConflictError,
    InventoryConflictError,
    RequestError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from .inventory import Inventory, inventory_digest
from .inventory_checks import inventory_error
from .table import ABSENT_VERSION, Check, Row, Table, Write

INVENTORY_PREFIX = "inventory/"
HEAD_KEY = "inventory/head"
ORGANISATION_PREFIX = "inventory/organisation/"
CHANGE_PREFIX = "inventory/change/"
APPLIED_PREFIX = "inventory/applied/"
MAX_IMPORT_ATTEMPTS = 20
DEFAULT_HISTORY_LENGTH = 50
RETRY_AFTER_S = 2.0
_CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\Z")
_REVISION_DIGITS = 12

_logger = logging.getLogger(__name__)


class AppliedChange(msgspec.Struct, frozen=True):
    """Row of the id of an applied change; makes a repeated request idempotent.

    Attributes:
        revision: System-wide revision that the change made.
        digest: Digest of the inventory that it put in force.
    """

    revision: int
    digest: str


class OrganisationRow(msgspec.Struct, frozen=True):
    """The inventory in force of one organisation.

    Attributes:
        revision: System-wide revision of the organisation's last change.
        digest: Digest of the inventory.
        inventory: The inventory.
    """

    revision: int
    digest: str
    inventory: Inventory


class ChangeRow(msgspec.Struct, frozen=True):
    """An entry of the change log.

    Attributes:
        organisation: Name of the organisation whose inventory changed.
        revision: System-wide revision that the change made.
        before: Revision of the organisation's previous change; 0 for its first.
        digest: Digest of the new inventory.
        operator: Name of the operator key that made the change.
        change: Id of the change.
        at_s: Unix time of the change, in seconds.
    """

    organisation: str
    revision: int
    before: int
    digest: str
    operator: str
    change: str
    at_s: float


class ImportResult(msgspec.Struct, frozen=True):
    """Result of an import.

    Attributes:
        revision: System-wide revision that the change made.
        digest: Digest of the inventory.
        changed: Whether this request made the change; false where an earlier request
            with the same change id had.
    """

    revision: int
    digest: str
    changed: bool


def change_key(revision: int) -> str:
    """Return the key of a change's row in the change log."""
    return f"{CHANGE_PREFIX}{revision:0{_REVISION_DIGITS}d}"


def organisation_key(organisation: str) -> str:
    """Return the key of an organisation's row."""
    return ORGANISATION_PREFIX + organisation


def applied_key(organisation: str, change: str) -> str:
    """Return the key of the row that records that a change id was applied."""
    return f"{APPLIED_PREFIX}{organisation}/{change}"


def _decode_row(row: Row | None) -> OrganisationRow | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=OrganisationRow)


class Configuration:
    """Reads and changes the inventories in the table service.

    Args:
        table: Client of the table service.
    """

    __slots__ = ("_table",)

    def __init__(self, table: Table) -> None:
        self._table = table

    async def head(self) -> int:
        """Return the latest system-wide revision; 0 before the first import."""
        row = await self._table.read(HEAD_KEY)
        return 0 if row is None else msgspec.json.decode(row.value, type=int)

    async def organisation(self, organisation: str) -> OrganisationRow | None:
        """Return the row of an organisation, or ``None`` if it has no inventory."""
        return _decode_row(await self._table.read(organisation_key(organisation)))

    async def organisations(self) -> list[OrganisationRow]:
        """Return the rows of all organisations.

        A row that can't be decoded is logged and left out, so that it affects no other
        organisation.
        """
        rows = []
        for row in await self._table.scan(ORGANISATION_PREFIX):
            try:
                rows.append(msgspec.json.decode(row.value, type=OrganisationRow))
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                _logger.error("row %s can't be decoded, skipped: %s", row.key, error)
        return rows

    async def changes(
        self, organisation: str, *, limit: int = DEFAULT_HISTORY_LENGTH
    ) -> list[ChangeRow]:
        """Return the last changes of one organisation, oldest first.

        Each change names the organisation's previous one, so the changes of other
        organisations are not read.

        Args:
            organisation: Name of the organisation.
            limit: Maximum number of changes to return.
        """
        current = await self.organisation(organisation)
        revision = 0 if current is None else current.revision
        entries: list[ChangeRow] = []
        while revision and len(entries) < limit:
            row = await self._table.read(change_key(revision))
            if row is None:
                break
            entries.append(msgspec.json.decode(row.value, type=ChangeRow))
            revision = entries[-1].before
        return entries[::-1]

    async def changes_since(self, revision: int, head: int) -> list[ChangeRow]:
        """Return the changes of all organisations after a revision, oldest first.

        Args:
            revision: Revision that the caller already has.
            head: The latest revision.

        Raises:
            StoreError: A change is missing from the log.
        """
        entries = []
        for number in range(revision + 1, head + 1):
            row = await self._table.read(change_key(number))
            if row is None:
                raise StoreError(f"change {number} is missing from the change log")
            entries.append(msgspec.json.decode(row.value, type=ChangeRow))
        return entries

    async def import_inventory(
        self,
        inventory: Inventory,
        *,
        expected: int,
        change: str,
        operator: str,
        now_s: float,
    ) -> ImportResult:
        """Store an inventory as the organisation's new one, in one transaction.

        If another change commits first, the transaction is tried again, at most
        ``MAX_IMPORT_ATTEMPTS`` times.

        Args:
            inventory: The inventory, already validated.
            expected: Revision of the organisation's inventory that the operator's
                change is based on; 0 if there was none.
            change: Id of the change; an id is applied at most once.
            operator: Name of the operator's key, for the change log.
            now_s: Unix time for the change log, in seconds.

        Raises:
            RequestError: The change id is malformed.
            InventoryConflictError: The inventory is at another revision than expected.
            ConflictError: The change id was used for a different inventory.
            InventoryError: It lists an address or key in a way that conflicts with
                another organisation's inventory.
            StoreUnavailableError: The table service did not answer; retrying with the
                same change id is safe.
            StoreError: Other changes came first at each attempt.
        """
        if not _CHANGE_ID.match(change):
            raise RequestError(
                "change id: expected 1 to 100 ASCII letters, digits, '-', '_' or '.', "
                "the first a letter or digit"
            )
        requested = _RequestedChange(
            inventory, inventory_digest(inventory), change, operator
        )
        for _ in range(MAX_IMPORT_ATTEMPTS):
            applied = await self._find_applied(requested)
            if applied is not None:
                return ImportResult(applied.revision, applied.digest, changed=False)
            try:
                return await self._apply(requested, expected, now_s)
            except StoreConflictError:
                continue
            except StoreUnavailableError as error:
                raise StoreUnavailableError(
                    f"{error.message}; retrying with change id {change!r} is safe",
                    verdict=error.verdict,
                    retry_after_s=RETRY_AFTER_S,
                ) from error
        raise StoreError("other changes of inventories came first at each attempt")

    async def _find_applied(self, change: _RequestedChange) -> AppliedChange | None:
        """Return the row of the change id if it was applied before, else ``None``."""
        row = await self._table.read(applied_key(change.organisation, change.id))
        if row is None:
            return None
        applied = msgspec.json.decode(row.value, type=AppliedChange)
        if applied.digest != change.digest:
            raise ConflictError(
                f"change id {change.id!r} was used before, with a different inventory, "
                f"for revision {applied.revision}; use a new id for a new change"
            )
        return applied

    async def _apply(
        self, change: _RequestedChange, expected: int, now_s: float
    ) -> ImportResult:
        head = await self._table.read(HEAD_KEY)
        stored = await self._table.read(organisation_key(change.organisation))
        current = _decode_row(stored)
        before = 0 if current is None else current.revision
        if before != expected:
            raise _conflict_error(expected, current, change.inventory)
        in_force = None if current is None else current.inventory
        claims = await plan_claims(self._table, in_force, change.inventory)
        if claims.faults:
            raise inventory_error(claims.faults)
        revision = 1 if head is None else msgspec.json.decode(head.value, type=int) + 1
        await self._table.commit(
            [
                Check(HEAD_KEY, _version(head)),
                Check(organisation_key(change.organisation), _version(stored)),
                Check(applied_key(change.organisation, change.id), ABSENT_VERSION),
            ],
            [*change.writes(revision, before, now_s), *claims.writes],
        )
        return ImportResult(revision, change.digest, changed=True)


@dataclass(frozen=True, slots=True)
class _RequestedChange:
    """A change that an operator requested."""

    inventory: Inventory
    digest: str
    id: str
    operator: str

    @property
    def organisation(self) -> str:
        """Name of the organisation whose inventory changes."""
        return self.inventory.organisation

    def writes(self, revision: int, before: int, now_s: float) -> list[Write]:
        """Return the row writes of the change.

        Args:
            revision: System-wide revision that the change makes.
            before: Revision of the organisation's previous change; 0 for its first.
            now_s: Unix time of the change, in seconds.
        """
        name, digest = self.organisation, self.digest
        row = OrganisationRow(revision, digest, self.inventory)
        log = ChangeRow(name, revision, before, digest, self.operator, self.id, now_s)
        applied = AppliedChange(revision, digest)
        return [
            Write(HEAD_KEY, msgspec.json.encode(revision)),
            Write(organisation_key(name), msgspec.json.encode(row)),
            Write(change_key(revision), msgspec.json.encode(log)),
            Write(applied_key(name, self.id), msgspec.json.encode(applied)),
        ]


def _version(row: Row | None) -> int:
    return ABSENT_VERSION if row is None else row.version


def _conflict_error(
    expected: int, current: OrganisationRow | None, inventory: Inventory
) -> InventoryConflictError:
    revision = 0 if current is None else current.revision
    before = None if current is None else current.inventory
    differences = difference(before, inventory)
    return InventoryConflictError(
        f"the inventory is at revision {revision}, not {expected}; look at the "
        "difference, then import again with that revision",
        detail=msgspec.json.encode(differences).decode(),
    )
