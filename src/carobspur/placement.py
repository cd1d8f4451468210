"""Which shard a program belongs to, and which session should hold a shard."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def shard_of(program: str, shards: int) -> int:
    """Return the number of the shard that owns a program."""
    return xxhash.xxh64_intdigest(program) % shards


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in their rendezvous order for a key.

    Every process that knows the same names computes the same order, and a name that
    goes away changes nothing for keys that it did not lead.

    Args:
        key: What is placed.
        names: Where it may be placed.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\x00{name}"), name),
        reverse=True,
    )


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of the rendezvous order, or ``None`` without names."""
    best = None
    best_score = (-1, "")
    for name in names:
        score = (xxhash.xxh64_intdigest(f"{key}\x00{name}"), name)
        if score > best_score:
            best, best_score = name, score
    return best
