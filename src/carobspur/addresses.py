"""Which instances a caller should use, spread so that all get their share."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """One address; ``data_centre`` is where it stands."""

    host: str
    port: int
    data_centre: str


class Rotation:
    """Puts each instance first equally often.

    Every instance goes first once before any goes first again; the order within a
    round is random, so that the rotations of several processes do not run in step.

    Args:
        rng: Source of randomness.
    """

    __slots__ = ("_not_yet_first", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._not_yet_first: list[str] = []

    def order(self, names: Iterable[str]) -> list[str]:
        """Return the names for one answer, the one whose turn it is first."""
        known = sorted(names)
        if not known:
            return []
        present = set(known)
        self._not_yet_first = [name for name in self._not_yet_first if name in present]
        if not self._not_yet_first:
            self._not_yet_first = self._rng.sample(known, len(known))
        first = self._not_yet_first.pop()
        rest = [name for name in known if name != first]
        return [first, *self._rng.sample(rest, len(rest))]


def addresses(
    instances: Sequence[Any],
    *,
    owner_instance: str | None,
    rotation: Rotation,
    data_centre: str = "",
) -> list[AddressAnswer]:
    """Return the addresses to answer with, the best first.

    Args:
        instances: Usable instances, as ``InstanceInfo`` messages.
        owner_instance: Instance that owns the caller's program, if it asked for one.
        rotation: Spreads the first addresses.
        data_centre: Where the caller is, or empty; instances there go first.
    """
    by_id = {item.id: item for item in instances}
    local_ids = [item.id for item in instances if item.data_centre == data_centre]
    order = rotation.order(local_ids or by_id)
    remote_ids = by_id.keys() - set(order)
    order += sorted(remote_ids)
    if owner_instance in by_id:
        order.remove(owner_instance)
        order.insert(0, owner_instance)
    return [
        AddressAnswer(by_id[name].host, by_id[name].entry_port, by_id[name].data_centre)
        for name in order
    ]
