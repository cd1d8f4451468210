"""Index of the secret keys in force, by their digests."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from .inventory import Inventory, Key


def secret_digest(secret: str) -> str:
    """Return the SHA-256 in hex under which settings and inventories list a secret."""
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A key's inventory entry and the organisation that it belongs to."""

    organisation: str
    key: Key


class KeyIndex:
    """All keys in force by digest; a look-up costs one hash and one dict access."""

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
        """Return an index of the keys in some inventories."""
        index = cls()
        for inventory in inventories:
            index.replace(inventory)
        return index

    def replace(self, inventory: Inventory) -> None:
        """Replace an organisation's keys by those of its new inventory.

        A key that another organisation has taken over stays with that one.
        """
        name = inventory.organisation
        new_entries = {key.sha256: KeyOwner(name, key) for key in inventory.keys}
        for digest in self._digests_of.get(name, set()) - new_entries.keys():
            owner = self._by_digest.get(digest)
            if owner is not None and owner.organisation == name:
                del self._by_digest[digest]
        self._by_digest.update(new_entries)
        self._digests_of[name] = set(new_entries)

    def find(self, secret: str) -> KeyOwner | None:
        """Return the key that a secret belongs to, or ``None`` if it is unknown."""
        if not secret:
            return None
        return self._by_digest.get(secret_digest(secret))
