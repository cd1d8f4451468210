"""Which shard a program belongs to, and which session should hold a shard."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

_NO_SESSION = (-1, "")


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
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def first_of(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the first so many names of the rendezvous order."""
    return heapq.nlargest(count, names, key=lambda name: _score(key, name))


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of the rendezvous order, or ``None`` without names."""
    best = None
    best_score = (-1, "")
    for name in names:
        score = _score(key, name)
        if score > best_score:
            best, best_score = name, score
    return best


def _score(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}"), name


class Placement:
    """Which session should hold each shard; gives the same answers as :func:`first`.

    A change of the names costs one hash for each shard and name that came, and a full
    comparison only for the shards of names that went.

    Args:
        shards: Number of shards of the whole system.
    """

    __slots__ = ("_best", "_names")

    def __init__(self, shards: int) -> None:
        self._names: frozenset[str] = frozenset()
        self._best: list[tuple[int, str]] = [_NO_SESSION] * shards

    def __repr__(self) -> str:
        return f"Placement({len(self._best)} shards on {len(self._names)} sessions)"

    def update(self, names: Iterable[str]) -> None:
        """Follow a change of the names."""
        new = frozenset(names)
        added = new - self._names
        removed = self._names - new
        if not added and not removed:
            return
        self._names = new
        for number, best in enumerate(self._best):
            key = str(number)
            is_gone = best == _NO_SESSION or best[1] in removed
            scores = (_score(key, name) for name in (new if is_gone else added))
            floor = _NO_SESSION if is_gone else best
            self._best[number] = max(scores, default=floor)
            if not is_gone:
                self._best[number] = max(self._best[number], best)

    def target(self, shard: int) -> str | None:
        """Return the session that should hold a shard, or ``None`` without any."""
        return self._best[shard][1] or None

    def shards_of(self, name: str) -> list[int]:
        """Return the shards that a session should hold."""
        return [n for n, best in enumerate(self._best) if best[1] == name]
