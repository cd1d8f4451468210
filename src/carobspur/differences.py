"""Compares two inventories item by item."""

from __future__ import annotations

from typing import Any

import msgspec

from .inventory import Inventory


class Difference(msgspec.Struct, frozen=True):
    """One item that differs between two inventories.

    Attributes:
        place: Path of the item: section and name, such as ``engines/engine-1``.
        before: The item as JSON in the inventory in force; empty if absent.
        after: The item as JSON in the new inventory; empty if absent.
    """

    place: str
    before: str
    after: str


def difference(before: Inventory | None, after: Inventory) -> list[Difference]:
    """Return the items that differ between two inventories, sorted by path.

    Args:
        before: The inventory in force, or ``None`` if there is none.
        after: The new inventory.
    """
    found = []
    old = {} if before is None else _items_by_place(before)
    new = _items_by_place(after)
    for place in sorted(old.keys() | new.keys()):
        if old.get(place) != new.get(place):
            found.append(Difference(place, old.get(place, ""), new.get(place, "")))
    return found


def _items_by_place(inventory: Inventory) -> dict[str, str]:
    """Return every item of an inventory as canonical JSON, by its path."""
    found = {}
    sections = msgspec.to_builtins(inventory)
    rules = sections.pop("rules")
    sections.update((f"rules/{name}", content) for name, content in rules.items())
    for section, content in sections.items():
        if not isinstance(content, list):
            found[section] = _canonical_json(content)
            continue
        for item in content:
            found[f"{section}/{_item_name(item)}"] = _canonical_json(item)
    return found


def _item_name(item: dict[str, Any]) -> str:
    """Return a name that is unique among the items of a section."""
    if "window_s" in item:
        owner = item["user"] or "organisation"
        return f"{owner}/{item['window_s']}s"
    return str(item.get("name") or item.get("role"))


def _canonical_json(content: Any) -> str:
    return msgspec.json.encode(content, order="sorted").decode()
