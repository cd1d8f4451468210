"""Which instances a caller should use, spread so that all get their share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .placement import rank


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """One address; ``data_centre`` is where it stands."""

    host: str
    port: int
    data_centre: str


def addresses(
    instances: Sequence[Any], *, owner_instance: str | None, spread_key: str
) -> list[AddressAnswer]:
    """Return the addresses to answer with, the best first.

    Args:
        instances: Usable instances, as ``InstanceInfo`` messages.
        owner_instance: Instance that owns the caller's program, if it asked for one.
        spread_key: Different for every answer, so that the first addresses spread.
    """
    by_id = {item.id: item for item in instances}
    order = rank(spread_key, by_id)
    if owner_instance in by_id:
        order.remove(owner_instance)
        order.insert(0, owner_instance)
    return [
        AddressAnswer(by_id[name].host, by_id[name].entry_port, by_id[name].data_centre)
        for name in order
    ]
