"""Chooses the instances for a caller so that load spreads evenly over them."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Address of one instance for callers, with the instance's data centre."""

    host: str
    port: int
    data_centre: str


class Rotation:
    """Orders names so that each comes first equally often.

    In each round every name comes first once. The order within a round is random, so
    that the rotations of several processes do not synchronise.

    Args:
        rng: Source of randomness.
    """

    __slots__ = ("_not_yet_first", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._not_yet_first: list[str] = []

    def order(self, names: Iterable[str]) -> list[str]:
        """Return the names in the order for one answer.

        Names that are new take part from the next round on.
        """
        sorted_names = sorted(names)
        if not sorted_names:
            return []
        current_names = set(sorted_names)
        self._not_yet_first = [
            name for name in self._not_yet_first if name in current_names
        ]
        if not self._not_yet_first:
            self._not_yet_first = self._rng.sample(sorted_names, len(sorted_names))
        first = self._not_yet_first.pop()
        rest = [name for name in sorted_names if name != first]
        return [first, *self._rng.sample(rest, len(rest))]


def addresses(
    instances: Sequence[Any],
    *,
    owner_instance: str | None,
    rotation: Rotation,
    data_centre: str = "",
) -> list[AddressAnswer]:
    """Return addresses in the order in which a caller should try them.

    The owner of the caller's program comes first, then instances of the caller's data
    centre, then all others.

    Args:
        instances: Usable instances, as ``InstanceInfo`` messages.
        owner_instance: Instance that owns the caller's program, if it asked for one.
        rotation: Chooses which of the equally suitable instances comes first.
        data_centre: Data centre of the caller, or empty if unknown.
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
