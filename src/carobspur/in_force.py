"""The inventories in force in one process; a revision is never lowered."""

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
    """Return the item that tells of the revision in force."""
    return Item(HEAD_KEY, revision, msgspec.json.encode(revision))


def change_item(number: int, row: OrganisationRow) -> Item:
    """Return the item that carries a change, or that only tells of a large one.

    Args:
        number: The revision that the change made.
        row: The organisation's row as it was read after the change.
    """
    content = zlib.compress(msgspec.json.encode(row), COMPRESSION_LEVEL)
    is_small = len(content) <= MAX_GOSSIPED_ROW_BYTES
    return Item(change_key(number), number, content if is_small else b"")


class InventoriesInForce:
    """Inventories by organisation and the revision up to which they are complete."""

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
        """Revision of each organisation's inventory."""
        return self._revisions

    @property
    def revision(self) -> int:
        """Every change up to this one is in force; -1 before the first read."""
        return self._revision

    def apply(self, rows: Iterable[OrganisationRow], revision: int) -> list[str]:
        """Put rows in force.

        Args:
            rows: Rows of organisations, in any order and of any age.
            revision: Every change up to it is in these rows or in force already.

        Returns:
            The organisations that changed.
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
        """Put in force what gossip brought, as far as it is without a gap."""
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
    """Drop changes that every process has long had, so that they spread no more."""
    head = store.get(HEAD_KEY)
    if head is None:
        return
    last = head.version - RETAINED_CHANGES
    for item in items:
        if item.key == HEAD_KEY:
            store.discard(change_key(last))
        elif item.key.startswith("inventory/change/") and item.version <= last:
            store.discard(item.key)
