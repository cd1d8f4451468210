"""What control tells the entry and scheduler processes of its instance, as deltas."""

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
    """The view in its latest state and what changed when.

    Args:
        incarnation: Id of this control process; change numbers mean nothing to
            another one.
        shards: Number of shards.

    Attributes:
        all_instances: All instances by id, also those that callers must not use.
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

    def take(self, items: Iterable[Item]) -> None:
        """Follow items of sessions, shards and instances."""
        for item in items:
            kind, _, name = item.key.partition("/")
            match kind + "/":
                case membership.INSTANCE_PREFIX:
                    _follow(self.all_instances, name, item, messages.InstanceInfo)
                case session_row.SESSION_PREFIX:
                    self._follow_session(name, item)
                case shard_rows.SHARD_PREFIX:
                    owner = (item.value or b"").decode()
                    self.shard_owners.set(shard_rows.shard_number(item.key), owner)

    def _follow_session(self, name: str, item: Item) -> None:
        if item.value is None:
            self.sessions.remove(name)
        else:
            self.sessions.set(name, decode(messages.SessionInfo, item.value))

    def message(
        self, request: Any, *, revision: int, is_current: bool, now_s: float
    ) -> Any:
        """Return the answer to a ``GetView`` message."""
        is_full = request.incarnation != self._incarnation
        known = -1 if is_full else request.known_change
        loads = self.loads.since(known) if request.with_loads else ()
        found = self.loads.values
        return messages.View(
            change=self._counter.value,
            incarnation=self._incarnation,
            is_full=is_full,
            revision=revision,
            is_current=is_current,
            shards=self._shards,
            sessions=_present(self.sessions, known),
            gone_sessions=_gone(self.sessions, known),
            shard_owners=self._shard_messages(known),
            instances=_present(self.instances, known),
            gone_instances=_gone(self.instances, known),
            loads=[_load_message(x, found[x], now_s) for x in loads if x in found],
            inventories=self._inventories(known),
        )

    def _shard_messages(self, known: int) -> list[Any]:
        owners = self.shard_owners.values
        return [
            messages.ShardInfo(number=number, session=owners.get(number, ""))
            for number in self.shard_owners.since(known)
        ]

    def _inventories(self, known: int) -> bytes | None:
        changed = _present(self.inventories, known)
        return msgspec.json.encode(changed) if changed else None


def _follow(found: dict[str, Any], name: str, item: Item, cls: type) -> None:
    if item.value is None:
        found.pop(name, None)
    else:
        found[name] = decode(cls, item.value)


def _present(items: DeltaMap[str, Any], known: int) -> list[Any]:
    found: Mapping[str, Any] = items.values
    return [found[key] for key in items.since(known) if key in found]


def _gone(items: DeltaMap[str, Any], known: int) -> list[str]:
    changed: Iterable[str] = items.since(known)
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
