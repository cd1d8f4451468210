"""View that control sends to its instance's entry and scheduler, as deltas."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from . import membership, session_row, shard_rows
from .deltas import ChangeCounter, DeltaMap
from .endpoint_loads import EngineLoad, LoadSample
from .gossip import Item
from .inventory import Inventory
from .peers import decode, messages


class ControlView:
    """Current state of the view, with the change number of every part.

    Args:
        incarnation: Id of this start of the control process; change numbers are only
            valid within it.
        shards: Number of shards of the whole system.

    Attributes:
        all_instances: All instances by id, also those to which callers must not be
            directed.
        instances: Instances to which callers may be directed, by id.
        inventories: Inventories in force, by organisation.
        loads: Latest load reports, by address of the endpoint.
        sessions: Sessions of schedulers, by id.
        shard_owners: Ids of the sessions that hold the shards, by number of the
            shard; empty for none.
    """

    __slots__ = (
        "_counter",
        "_incarnation",
        "_shards",
        "all_instances",
        "instances",
        "inventories",
        "loads",
        "sessions",
        "shard_owners",
    )

    def __init__(self, incarnation: str, *, shards: int) -> None:
        self._counter = ChangeCounter()
        self._incarnation = incarnation
        self._shards = shards
        self.sessions: DeltaMap[str, Any] = DeltaMap(self._counter)
        self.shard_owners: DeltaMap[int, str] = DeltaMap(self._counter)
        self.all_instances: dict[str, Any] = {}
        self.instances: DeltaMap[str, Any] = DeltaMap(self._counter)
        self.loads: DeltaMap[str, LoadSample] = DeltaMap(self._counter)
        self.inventories: DeltaMap[str, Inventory] = DeltaMap(self._counter)

    def apply_items(self, items: Iterable[Item]) -> None:
        """Apply gossip items of sessions, shards and instances; ignore all others."""
        for item in items:
            kind, _, name = item.key.partition("/")
            match kind + "/":
                case membership.INSTANCE_PREFIX:
                    _apply_instance(
                        self.all_instances, name, item, messages.InstanceInfo
                    )
                case session_row.SESSION_PREFIX:
                    self._apply_session(name, item)
                case shard_rows.SHARD_PREFIX:
                    owner = (item.value or b"").decode()
                    self.shard_owners.set(shard_rows.shard_number(item.key), owner)

    def _apply_session(self, name: str, item: Item) -> None:
        if item.value is None:
            self.sessions.remove(name)
        else:
            self.sessions.set(name, decode(messages.SessionInfo, item.value))

    def message(
        self, request: Any, *, revision: int, is_current: bool, now_s: float
    ) -> Any:
        """Return the ``View`` message that answers a ``GetView`` message.

        Args:
            request: The ``GetView`` message. If it names another incarnation, the
                answer holds the whole view.
            revision: Revision of the inventories in force.
            is_current: Whether that revision is known to be the latest.
            now_s: Loop time, for the ages of load reports.
        """
        is_full = request.incarnation != self._incarnation
        known_change = -1 if is_full else request.known_change
        loads = self.loads.changed_since(known_change) if request.with_loads else ()
        samples = self.loads.values
        return messages.View(
            change=self._counter.value,
            incarnation=self._incarnation,
            is_full=is_full,
            revision=revision,
            is_current=is_current,
            shards=self._shards,
            sessions=_changed_values(self.sessions, known_change),
            gone_sessions=_removed_keys(self.sessions, known_change),
            shard_owners=self._shard_messages(known_change),
            instances=_changed_values(self.instances, known_change),
            gone_instances=_removed_keys(self.instances, known_change),
            loads=[
                _load_message(address, samples[address], now_s)
                for address in loads
                if address in samples
            ],
            inventories=self._inventories(known_change),
        )

    def _shard_messages(self, known_change: int) -> list[Any]:
        owners = self.shard_owners.values
        return [
            messages.ShardInfo(number=number, session=owners.get(number, ""))
            for number in self.shard_owners.changed_since(known_change)
        ]

    def _inventories(self, known_change: int) -> bytes | None:
        changed = _changed_values(self.inventories, known_change)
        return msgspec.json.encode(changed) if changed else None


def _apply_instance(
    instances: dict[str, Any], name: str, item: Item, cls: type
) -> None:
    if item.value is None:
        instances.pop(name, None)
    else:
        instances[name] = decode(cls, item.value)


def _changed_values(items: DeltaMap[str, Any], known_change: int) -> list[Any]:
    found: Mapping[str, Any] = items.values
    return [found[key] for key in items.changed_since(known_change) if key in found]


def _removed_keys(items: DeltaMap[str, Any], known_change: int) -> list[str]:
    changed: Iterable[str] = items.changed_since(known_change)
    return [key for key in changed if key not in items.values]


def _load_message(address: str, sample: LoadSample, now_s: float) -> Any:
    load = sample.load or EngineLoad()
    return messages.EndpointLoad(
        address=address,
        reachable=sample.load is not None,
        running=load.running,
        waiting=load.waiting,
        kv_used_tokens=load.kv_used_tokens,
        kv_capacity_tokens=load.kv_capacity_tokens,
        age_s=now_s - sample.at_s,
        leaving=load.leaving,
    )
