"""Who a secret key belongs to, found by the key's digest."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from .inventory import Inventory, Key


def secret_digest(secret: str) -> str:
    """Return the SHA-256 by which settings and inventories name a secret."""
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A key and the organisation that it belongs to."""

    organisation: str
    key: Key


class KeyIndex:
    """All keys in force by digest; a look-up hashes once and reads one entry."""

    __slots__ = ("_by_digest", "_digests_of")

    def __init__(self) -> None:
        self._by_digest: dict[str, KeyOwner] = {}
        self._digests_of: dict[str, set[str]] = {}

    def __len__(self) -> int:
        return len(self._by_digest)

    def __repr__(self) -> str:
        return f"KeyIndex({len(self)} keys of {len(self._digests_of)} organisations)"

    @classmethod
    def of(cls, inventories: Iterable[Inventory]) -> KeyIndex:
        """Return an index of the keys of inventories."""
        index = cls()
        for inventory in inventories:
            index.replace(inventory)
        return index

    def replace(self, inventory: Inventory) -> None:
        """Take the keys of an organisation's new inventory, in place of its old."""
        name = inventory.organisation
        new_entries = {key.sha256: KeyOwner(name, key) for key in inventory.keys}
        for digest in self._digests_of.get(name, set()) - new_entries.keys():
            owner = self._by_digest.get(digest)
            if owner is not None and owner.organisation == name:
                del self._by_digest[digest]
        self._by_digest.update(new_entries)
        self._digests_of[name] = set(new_entries)

    def find(self, secret: str) -> KeyOwner | None:
        """Return whose key a secret is, or ``None``."""
        if not secret:
            return None
        return self._by_digest.get(secret_digest(secret))
