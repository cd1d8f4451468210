"""Rendezvous hashing: an order that everyone computes alike."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their weights for a key, heaviest first.

    Adding or removing a name leaves the order of all others as it was.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)
