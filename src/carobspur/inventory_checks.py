"""Validates an inventory on import and reports every fault with its path.

Paths look like ``engines[0].address``.
"""

from __future__ import annotations

import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, get_args, get_origin
from urllib.parse import urlsplit

import msgspec

from .errors import InventoryError
from .inventory import Bounds, Inventory, Role, Service

MAX_ITEMS = 20_000
MAX_FAULTS = 200
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")


class Fault(msgspec.Struct, frozen=True):
    """One fault of an inventory.

    Attributes:
        place: Path of the faulty value in the document.
        reason: What is wrong with it.
    """

    place: str
    reason: str


def parse_inventory(document: bytes) -> Inventory:
    """Decode and validate an inventory.

    Args:
        document: The inventory as JSON text.

    Returns:
        The inventory.

    Raises:
        InventoryError: It has faults; ``detail`` lists them as JSON.
    """
    try:
        raw = msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise inventory_error([Fault("document", f"not JSON: {error}")]) from error
    faults = list(_struct_faults(raw, Inventory, ""))
    try:
        inventory = msgspec.convert(raw, Inventory)
    except msgspec.ValidationError as error:
        raise inventory_error(faults or [Fault("document", str(error))]) from error
    # Also run when numbers are out of bounds, to report all faults in one answer.
    faults.extend(_content_faults(inventory))
    if faults:
        raise inventory_error(faults)
    return inventory


def inventory_error(faults: list[Fault]) -> InventoryError:
    """Return the error that lists faults, at most ``MAX_FAULTS`` of them."""
    shown = faults[:MAX_FAULTS]
    lines = "; ".join(f"{fault.place}: {fault.reason}" for fault in shown)
    if len(faults) > len(shown):
        lines += f"; and {len(faults) - len(shown)} more"
    detail = msgspec.json.encode(shown).decode()
    return InventoryError(f"inventory refused: {lines}", detail=detail)


def _struct_faults(raw: Any, cls: type[msgspec.Struct], place: str) -> Iterator[Fault]:
    """Yield wrong types, numbers out of bounds, and missing and unknown keys.

    Args:
        raw: The decoded JSON value.
        cls: Struct that it should convert to.
        place: Path of the value; empty for the whole document.
    """
    if not isinstance(raw, dict):
        yield Fault(place or "document", "expected an object")
        return
    fields = {item.encode_name: item for item in msgspec.structs.fields(cls)}
    for name in raw.keys() - fields.keys():
        yield Fault(_child_place(place, name), "unknown key")
    for name, item in fields.items():
        if name in raw:
            yield from _value_faults(raw[name], item.type, _child_place(place, name))
        elif item.required:
            yield Fault(_child_place(place, name), "missing")


def _value_faults(raw: Any, kind: Any, place: str) -> Iterator[Fault]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(raw, kind, place)
        return
    if get_origin(kind) is list and isinstance(raw, list):
        if len(raw) > MAX_ITEMS:
            yield Fault(place, f"{len(raw)} items; at most {MAX_ITEMS} are allowed")
            return
        for index, item in enumerate(raw):
            yield from _value_faults(item, get_args(kind)[0], f"{place}[{index}]")
        return
    try:
        value = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        yield Fault(place, str(error))
        return
    for bounds in getattr(kind, "__metadata__", ()):
        if isinstance(bounds, Bounds) and not bounds.low <= value <= bounds.high:
            expected = f"from {bounds.low:,} to {bounds.high:,}"
            yield Fault(place, f"{value} is out of range; expected {expected}")


def _child_place(place: str, name: str) -> str:
    return f"{place}.{name}" if place else name


def _content_faults(inventory: Inventory) -> Iterator[Fault]:
    yield from _all_name_faults(inventory)
    yield from _key_faults(inventory)
    yield from _engine_faults(inventory)
    yield from _service_faults(inventory)
    yield from _agent_faults(inventory)
    yield from _rule_faults(inventory)


def _all_name_faults(inventory: Inventory) -> Iterator[Fault]:
    yield from _name_syntax_faults(inventory.organisation, "organisation")
    for section in ("keys", "data_centres", "models", "engines", "services", "agents"):
        yield from _item_name_faults(getattr(inventory, section), section)
    yield from _item_name_faults(inventory.rules.classes, "rules.classes")
    ambiguous = {model.name for model in inventory.models} & {
        service.name for service in inventory.services
    }
    for name in sorted(ambiguous):
        yield Fault("services", f"{name!r} is also the name of a model")


def _item_name_faults(items: Iterable[Any], section: str) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        place = f"{section}[{index}].name"
        yield from _name_syntax_faults(item.name, place)
        if item.name in seen:
            yield Fault(place, f"{item.name!r} is listed twice")
        seen.add(item.name)


def _name_syntax_faults(name: str, place: str) -> Iterator[Fault]:
    if not _NAME.match(name):
        yield Fault(
            place,
            f"{name[:100]!r}: expected 1 to 100 ASCII letters, digits, '-', '_' "
            "or '.', the first a letter or digit",
        )


def _key_faults(inventory: Inventory) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, key in enumerate(inventory.keys):
        place = f"keys[{index}].sha256"
        if not _SHA256.match(key.sha256):
            yield Fault(place, "expected 64 lower-case hexadecimal digits")
        if key.sha256 in seen:
            yield Fault(place, "this key is listed twice")
        seen.add(key.sha256)
    if not any(key.role == Role.OPERATOR for key in inventory.keys):
        yield Fault("keys", "no operator key: nobody could change this inventory")


def _engine_faults(inventory: Inventory) -> Iterator[Fault]:
    data_centres = {item.name for item in inventory.data_centres}
    models = {item.name for item in inventory.models}
    seen: set[str] = set()
    for index, engine in enumerate(inventory.engines):
        place = f"engines[{index}]"
        yield from _location_faults(
            engine.address, engine.data_centre, data_centres, place
        )
        if engine.address in seen:
            yield Fault(f"{place}.address", f"{engine.address} is listed twice")
        seen.add(engine.address)
        if not engine.models:
            yield Fault(f"{place}.models", "at least one is needed")
        for model in engine.models:
            if model not in models:
                yield Fault(f"{place}.models", f"no model {model!r}")


def _service_faults(inventory: Inventory) -> Iterator[Fault]:
    data_centres = {item.name for item in inventory.data_centres}
    engines = {item.address for item in inventory.engines}
    for index, service in enumerate(inventory.services):
        if not service.replicas:
            yield Fault(f"services[{index}].replicas", "at least one is needed")
        yield from _replica_faults(service, engines, data_centres, f"services[{index}]")


def _replica_faults(
    service: Service, engines: set[str], data_centres: set[str], service_place: str
) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, replica in enumerate(service.replicas):
        place = f"{service_place}.replicas[{index}]"
        yield from _location_faults(
            replica.address, replica.data_centre, data_centres, place
        )
        if replica.address in engines:
            yield Fault(f"{place}.address", f"{replica.address} is also an engine")
        if replica.address in seen:
            yield Fault(f"{place}.address", f"{replica.address} is listed twice")
        seen.add(replica.address)


def _location_faults(
    address: str, data_centre: str, known: set[str], place: str
) -> Iterator[Fault]:
    if data_centre not in known:
        yield Fault(f"{place}.data_centre", f"no data centre {data_centre!r}")
    if not _is_address(address):
        reason = "expected http://IP:port or https://IP:port with an IP address"
        yield Fault(f"{place}.address", f"{address[:100]!r}: {reason}")


def _is_address(text: str) -> bool:
    try:
        parts = urlsplit(text)
        host = ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        return False
    shown = f"[{host}]" if host.version == 6 else str(host)
    is_canonical = text == f"{parts.scheme}://{shown}:{port}"
    return parts.scheme in ("http", "https") and bool(port) and is_canonical


def _agent_faults(inventory: Inventory) -> Iterator[Fault]:
    classes = {item.name for item in inventory.rules.classes}
    for index, agent in enumerate(inventory.agents):
        if agent.priority_class not in classes:
            place = f"agents[{index}].priority_class"
            yield Fault(place, f"no class {agent.priority_class!r} in rules.classes")


def _rule_faults(inventory: Inventory) -> Iterator[Fault]:
    allowances = Counter((item.user, item.window_s) for item in inventory.allowances)
    for index, item in enumerate(inventory.allowances):
        if allowances[item.user, item.window_s] > 1:
            owner = f"user {item.user!r}" if item.user else "the organisation"
            reason = f"{owner} has several allowances of {item.window_s} s"
            yield Fault(f"allowances[{index}]", reason)
        if "/" in item.user:
            yield Fault(f"allowances[{index}].user", "'/' is not allowed")
    roles = Counter(item.role for item in inventory.rules.stop)
    for index, rule in enumerate(inventory.rules.stop):
        if roles[rule.role] > 1:
            yield Fault(f"rules.stop[{index}]", f"role {rule.role} is listed twice")
    weights = inventory.rules.weights
    if not weights.latency and not weights.wasted_cache:
        yield Fault("rules.weights", "both are 0")
