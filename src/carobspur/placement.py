"""Placement of programs on shards, and of keys on names by rendezvous hashing.

Rendezvous hashing (highest random weight) scores each name for a key; the name with
the highest score is the first choice.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

_NO_SESSION = (-1, "")


def shard_of(program: str, shards: int) -> int:
    """Return the number of the shard that owns a program."""
    return xxhash.xxh64_intdigest(program) % shards


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by descending rendezvous score for a key.

    Every process that knows the same names computes the same order. If a name is
    removed, the order of the others does not change, nor does the first name of any
    key for which the removed name was not the first.

    Args:
        key: What is placed, such as a program or a shard number.
        names: Where it may be placed, such as processes.
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def first_of(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the first ``count`` names of the order that :func:`rank` gives."""
    return heapq.nlargest(count, names, key=lambda name: _score(key, name))


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of the order that :func:`rank` gives, if there is any."""
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
    """Assignment of shards to sessions; the same as :func:`first` gives.

    An update computes one hash for each pair of a shard and an added name. Only the
    shards of removed names are compared with all names.

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
        """Set the names of the sessions and reassign the shards concerned."""
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
        """Return the session that should hold a shard, if there is any session."""
        return self._best[shard][1] or None

    def shards_of(self, name: str) -> list[int]:
        """Return the shards that a session should hold."""
        return [shard for shard, best in enumerate(self._best) if best[1] == name]
