"""The inventories that are in force in one control process.

Their revisions only increase. Changes arrive from the table or by gossip.
"""

from __future__ import annotations

import logging
import zlib
from collections.abc import Iterable

import msgspec

from .configuration import HEAD_KEY, OrganisationRow, change_key
from .gossip import Item, ItemStore
from .inventory import Inventory

NO_REVISION = -1
RETAINED_CHANGES = 256
MAX_GOSSIPED_ROW_BYTES = 8192
COMPRESSION_LEVEL = 6

_logger = logging.getLogger(__name__)


def head_item(revision: int) -> Item:
    """Return the gossip item that announces the latest revision."""
    return Item(HEAD_KEY, revision, msgspec.json.encode(revision))


def change_item(number: int, row: OrganisationRow) -> Item:
    """Return the gossip item of a change.

    A change above ``MAX_GOSSIPED_ROW_BYTES`` (compressed) is only announced, with an
    empty value; receivers read it from the table.

    Args:
        number: Revision that the change made.
        row: The organisation's row as it was read after the change.
    """
    content = zlib.compress(msgspec.json.encode(row), COMPRESSION_LEVEL)
    is_small = len(content) <= MAX_GOSSIPED_ROW_BYTES
    return Item(change_key(number), number, content if is_small else b"")


class InventoriesInForce:
    """Inventories by organisation, and the revision up to which they are complete.

    Lower revisions than the present ones are ignored.
    """

    __slots__ = ("_inventories", "_revision", "_revisions")

    def __init__(self) -> None:
        self._inventories: dict[str, Inventory] = {}
        self._revisions: dict[str, int] = {}
        self._revision = NO_REVISION

    def __repr__(self) -> str:
        return f"InventoriesInForce(revision={self._revision})"

    @property
    def inventories(self) -> dict[str, Inventory]:
        """Inventories in force, by organisation."""
        return self._inventories

    @property
    def revisions(self) -> dict[str, int]:
        """Revision of each organisation's inventory, by organisation."""
        return self._revisions

    @property
    def revision(self) -> int:
        """Revision up to which every change is applied; -1 before the first read."""
        return self._revision

    def apply(self, rows: Iterable[OrganisationRow], revision: int) -> list[str]:
        """Put rows in force.

        Args:
            rows: Rows of organisations in any order; older ones than those in force
                are ignored.
            revision: Revision up to which every change is in these rows or already
                applied.

        Returns:
            Names of the organisations whose inventories changed.
        """
        changed = []
        for row in rows:
            name = row.inventory.organisation
            if row.revision > self._revisions.get(name, NO_REVISION):
                self._inventories[name] = row.inventory
                self._revisions[name] = row.revision
                changed.append(name)
        if revision > self._revision:
            self._revision = revision
            _logger.info("inventory revision %d is in force", revision)
        return changed

    def apply_gossiped(self, store: ItemStore) -> list[str]:
        """Put in force the changes that gossip brought, up to the first gap.

        Args:
            store: The gossip items.

        Returns:
            Names of the organisations whose inventories changed.
        """
        if self._revision == NO_REVISION:
            return []
        rows = []
        revision = self._revision
        while (item := store.get(change_key(revision + 1))) is not None:
            if not item.value:
                break
            content = zlib.decompress(item.value)
            rows.append(msgspec.json.decode(content, type=OrganisationRow))
            revision += 1
        return self.apply(rows, revision) if rows else []


def prune_changes(store: ItemStore, items: Iterable[Item]) -> None:
    """Discard old changes from gossip; only the last ``RETAINED_CHANGES`` are kept.

    Older ones have reached every process, so they need not be exchanged any more.

    Args:
        store: The gossip items.
        items: Items that are new here; only what they make obsolete is discarded.
    """
    head = store.get(HEAD_KEY)
    if head is None:
        return
    last = head.version - RETAINED_CHANGES
    for item in items:
        if item.key == HEAD_KEY:
            store.discard(change_key(last))
        elif item.key.startswith("inventory/change/") and item.version <= last:
            store.discard(item.key)
