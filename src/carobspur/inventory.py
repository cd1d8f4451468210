"""What one organisation owns: places, models, engines, services, agents, rules.

An inventory is one JSON document an organisation, exported by its asset register
and imported whole. It is checked whole: every fault is named with its place.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import StrEnum
from typing import Any, TypeVar

import msgspec

from .errors import InventoryError, NotFoundError

MAX_NAME_LENGTH = 100

Item = TypeVar("Item", bound=msgspec.Struct)


class Role(StrEnum):
    """What a key allows."""

    CALLER = "caller"
    OPERATOR = "operator"
    VIEWER = "viewer"


class ServiceKind(StrEnum):
    """What stands behind a service name."""

    TOOL = "tool"
    PLAIN = "plain"


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A secret key, known by its SHA-256 only.

    Attributes:
        name: Name for people and logs.
        sha256: Hexadecimal digest of the secret.
        role: What the key allows.
        user: The only user it speaks for; empty where it speaks for any user of
            the organisation and names one with each request.
    """

    name: str
    sha256: str
    role: Role
    user: str = ""


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A place where instances and endpoints stand."""

    name: str


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that engines serve.

    Attributes:
        name: The endpoint name that callers use.
        context_tokens: Longest history with answer, in tokens.
        input_cost: Cost units for each new input token.
        output_cost: Cost units for each generated token.
        timeout_s: Seconds a call may take.
    """

    name: str
    context_tokens: int
    input_cost: int = 1
    output_cost: int = 1
    timeout_s: float = 120.0


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a model engine.

    Attributes:
        name: Its name in the asset register.
        address: ``http://IP:port``.
        data_centre: Where it stands.
        models: Names of the models it serves.
        kv_tokens: Capacity of its prefix cache, in tokens.
        in_flight: Calls that it runs at once without slowing down much.
        checks_fencing: Whether it refuses orders with an old fencing number.
        prefill_tokens_per_s: Speed of reading input.
        decode_tokens_per_s: Speed of generating for one call.
    """

    name: str
    address: str
    data_centre: str
    models: list[str]
    kv_tokens: int
    in_flight: int = 8
    checks_fencing: bool = False
    prefill_tokens_per_s: float = 5000.0
    decode_tokens_per_s: float = 50.0


class Replica(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a tool or plain service."""

    address: str
    data_centre: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tool or plain service.

    Attributes:
        name: The endpoint name that callers use.
        kind: Tool service or plain service.
        replicas: Where it runs.
        repeatable: Whether a call may be sent twice without harm.
        has_lookup: Whether it tells by call id whether a call ran.
        checks_fencing: Whether it refuses calls with an old fencing number.
        timeout_s: Seconds a call may take.
        cost: Cost units of one call.
        in_flight: Calls that one replica takes at once.
    """

    name: str
    kind: ServiceKind
    replicas: list[Replica]
    repeatable: bool = False
    has_lookup: bool = False
    checks_fencing: bool = False
    timeout_s: float = 10.0
    cost: int = 1
    in_flight: int = 32


class Agent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of program.

    Attributes:
        name: The name that callers start programs by.
        priority_class: Name of one of the rules' classes.
        max_calls: Most calls that one program may make.
        max_tokens: Most tokens that one program may use.
        max_time_s: Longest time a program may take.
        objective_s: Program latency that the service-level objective names.
        objective_share: Share of programs that must meet it.
    """

    name: str
    priority_class: str
    max_calls: int = 500
    max_tokens: int = 1_000_000
    max_time_s: float = 3600.0
    objective_s: float = 30.0
    objective_share: float = 0.95


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost units that may be spent in each window of time.

    Attributes:
        units: Cost units a window.
        window_s: Length of the window.
        user: The user it holds for; ``*`` for each user on their own; empty for
            the whole organisation.
    """

    units: int
    window_s: int
    user: str = ""


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of programs.

    Attributes:
        name: Its name.
        rank: Lower ranks are served first.
    """

    name: str
    rank: int


class StopRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may stop programs.

    Attributes:
        role: Role of the key.
        own_only: Whether only programs of the key's own user.
    """

    role: Role
    own_only: bool = True


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an organisation cares for more.

    Attributes:
        latency: Weight of program latency.
        wasted_cache: Weight of wasted cache.
    """

    latency: float = 1.0
    wasted_cache: float = 1.0


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules on top of the inventory."""

    classes: list[PriorityClass] = []
    stop: list[StopRule] = []
    weights: Weights = Weights()


class Inventory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that one organisation describes."""

    organisation: str
    keys: list[Key] = []
    data_centres: list[DataCentre] = []
    models: list[Model] = []
    engines: list[Engine] = []
    services: list[Service] = []
    agents: list[Agent] = []
    allowances: list[Allowance] = []
    rules: Rules = Rules()

    def model(self, name: str) -> Model | None:
        """Return the model of this name, or ``None``."""
        return next((item for item in self.models if item.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service of this name, or ``None``."""
        return next((item for item in self.services if item.name == name), None)

    def agent(self, name: str) -> Agent:
        """Return the agent of this name.

        Raises:
            NotFoundError: There is none.
        """
        for item in self.agents:
            if item.name == name:
                return item
        raise NotFoundError(f"no agent is called {name!r}")

    def engines_for(self, model: str) -> list[Engine]:
        """Return the engines that serve a model."""
        return [item for item in self.engines if model in item.models]

    def key_for(self, secret: str) -> Key | None:
        """Return the key with this secret, or ``None``."""
        digest = hashlib.sha256(secret.encode()).hexdigest()
        for item in self.keys:
            if hmac.compare_digest(item.sha256, digest):
                return item
        return None


class Fault(msgspec.Struct, frozen=True):
    """One fault of an inventory: its place and what is wrong there."""

    place: str
    reason: str


_LISTS: dict[str, type[msgspec.Struct]] = {
    "keys": Key,
    "data_centres": DataCentre,
    "models": Model,
    "engines": Engine,
    "services": Service,
    "agents": Agent,
    "allowances": Allowance,
}


def parse_inventory(document: bytes) -> Inventory:
    """Read and check an inventory.

    Args:
        document: JSON text.

    Returns:
        The inventory.

    Raises:
        InventoryError: It has faults; ``detail`` is the JSON list of all of them.
    """
    try:
        raw = msgspec.json.decode(document)
    except msgspec.DecodeError as error:
        raise _refusal([Fault("document", f"not JSON: {error}")]) from error
    if not isinstance(raw, dict):
        raise _refusal([Fault("document", "expected an object")])
    faults = _shape_faults(raw)
    if faults:
        raise _refusal(faults)
    inventory = msgspec.convert(raw, Inventory)
    faults = _reference_faults(inventory)
    if faults:
        raise _refusal(faults)
    return inventory


def encode_inventory(inventory: Inventory) -> bytes:
    """Return an inventory as canonical JSON: equal content, equal bytes."""
    return msgspec.json.encode(inventory, order="sorted")


def inventory_digest(inventory: Inventory) -> str:
    """Return the SHA-256 of the canonical JSON, hexadecimal."""
    return hashlib.sha256(encode_inventory(inventory)).hexdigest()


def _refusal(faults: list[Fault]) -> InventoryError:
    lines = "; ".join(f"{fault.place}: {fault.reason}" for fault in faults)
    detail = msgspec.json.encode(faults).decode()
    return InventoryError(f"inventory refused: {lines}", detail=detail)


def _shape_faults(raw: dict[str, Any]) -> list[Fault]:
    faults = []
    for name, cls in _LISTS.items():
        items = raw.get(name, [])
        if not isinstance(items, list):
            faults.append(Fault(name, "expected a list"))
            continue
        for index, item in enumerate(items):
            faults.extend(_convert_faults(item, cls, f"{name}[{index}]"))
    faults.extend(_convert_faults(raw.get("rules", {}), Rules, "rules"))
    rest = {
        key: value for key, value in raw.items() if key not in _LISTS and key != "rules"
    }
    faults.extend(_convert_faults(rest, Inventory, "document"))
    return faults


def _convert_faults(item: Any, cls: type[msgspec.Struct], place: str) -> list[Fault]:
    try:
        msgspec.convert(item, cls)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        return [Fault(place + path.rstrip("`"), reason)]
    return []


def _reference_faults(inventory: Inventory) -> list[Fault]:
    return [
        *_name_faults(inventory),
        *_endpoint_faults(inventory),
        *_agent_faults(inventory),
    ]


def _name_faults(inventory: Inventory) -> list[Fault]:
    faults = []
    if not _is_name(inventory.organisation):
        faults.append(Fault("organisation", "expected letters, digits, '-' or '_'"))
    for name in ("keys", "data_centres", "models", "engines", "services", "agents"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(inventory, name)):
            place = f"{name}[{index}].name"
            if not _is_name(item.name):
                faults.append(Fault(place, f"{item.name!r} is not a name"))
            if item.name in seen:
                faults.append(Fault(place, f"{item.name!r} stands twice"))
            seen.add(item.name)
    both = {m.name for m in inventory.models} & {s.name for s in inventory.services}
    faults.extend(
        Fault("services", f"{name!r} is a model too") for name in sorted(both)
    )
    return faults


def _endpoint_faults(inventory: Inventory) -> list[Fault]:
    faults = []
    places = {item.name for item in inventory.data_centres}
    models = {item.name for item in inventory.models}
    for index, engine in enumerate(inventory.engines):
        place = f"engines[{index}]"
        faults.extend(_place_faults(place, engine.data_centre, places))
        faults.extend(_address_faults(place, engine.address))
        for model in engine.models:
            if model not in models:
                faults.append(Fault(f"{place}.models", f"no model {model!r}"))
    for index, service in enumerate(inventory.services):
        if not service.replicas:
            faults.append(Fault(f"services[{index}].replicas", "none is given"))
        for position, replica in enumerate(service.replicas):
            place = f"services[{index}].replicas[{position}]"
            faults.extend(_place_faults(place, replica.data_centre, places))
            faults.extend(_address_faults(place, replica.address))
    return faults


def _place_faults(place: str, data_centre: str, known: set[str]) -> list[Fault]:
    if data_centre in known:
        return []
    return [Fault(f"{place}.data_centre", f"no data centre {data_centre!r}")]


def _address_faults(place: str, address: str) -> list[Fault]:
    if address.startswith(("http://", "https://")):
        return []
    return [Fault(f"{place}.address", f"{address!r}: expected http://IP:port")]


def _agent_faults(inventory: Inventory) -> list[Fault]:
    faults = []
    classes = {item.name for item in inventory.rules.classes}
    for index, agent in enumerate(inventory.agents):
        if agent.priority_class not in classes:
            faults.append(
                Fault(
                    f"agents[{index}].priority_class",
                    f"no class {agent.priority_class!r} in rules.classes",
                )
            )
    for index, allowance in enumerate(inventory.allowances):
        if allowance.units < 0 or allowance.window_s <= 0:
            faults.append(Fault(f"allowances[{index}]", "units or window too small"))
    return faults


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and all(
        c.isalnum() or c in "-_." for c in text
    )
