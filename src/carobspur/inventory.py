"""What one organisation owns: places, models, engines, services, agents, rules.

An inventory is one JSON document an organisation, exported by its asset register
and imported whole. Its numbers carry :class:`Bounds`; ``inventory_checks`` enforces
them when a document is imported, not when a stored one is read, so that a later
release with narrower bounds still reads what an earlier one accepted.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec

from .errors import NotFoundError

_MAX_UNITS = 1 << 50


@dataclass(frozen=True, slots=True)
class Bounds:
    """Smallest and largest value that an imported number may have."""

    low: float
    high: float


TokenCount = Annotated[int, Bounds(1, 1 << 40)]
TokenRate = Annotated[float, Bounds(0.1, 1e9)]
CallCount = Annotated[int, Bounds(1, 1_000_000)]
Duration = Annotated[float, Bounds(0.01, 30 * 86_400)]
Cost = Annotated[int, Bounds(0, 1 << 30)]
Share = Annotated[float, Bounds(0.01, 0.999_999)]
Weight = Annotated[float, Bounds(0, 1000)]


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
    context_tokens: TokenCount
    input_cost: Cost = 1
    output_cost: Cost = 1
    timeout_s: Duration = 120.0


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
    kv_tokens: TokenCount
    in_flight: CallCount = 8
    checks_fencing: bool = False
    prefill_tokens_per_s: TokenRate = 5000.0
    decode_tokens_per_s: TokenRate = 50.0


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
        shared: Whether other organisations may list the same replicas.
    """

    name: str
    kind: ServiceKind
    replicas: list[Replica]
    repeatable: bool = False
    has_lookup: bool = False
    checks_fencing: bool = False
    timeout_s: Duration = 10.0
    cost: Cost = 1
    in_flight: CallCount = 32
    shared: bool = False


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
    max_calls: CallCount = 500
    max_tokens: TokenCount = 1_000_000
    max_time_s: Duration = 3600.0
    objective_s: Duration = 30.0
    objective_share: Share = 0.95


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost units that may be spent in each window of time.

    Attributes:
        units: Cost units a window.
        window_s: Length of the window.
        user: The user it holds for; ``*`` for each user on their own; empty for
            the whole organisation.
    """

    units: Annotated[int, Bounds(0, _MAX_UNITS)]
    window_s: Annotated[int, Bounds(1, 366 * 86_400)]
    user: str = ""


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of programs.

    Attributes:
        name: Its name.
        rank: Lower ranks are served first.
    """

    name: str
    rank: Annotated[int, Bounds(-1000, 1000)]


class StopRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may stop programs.

    Attributes:
        role: Role of the key.
        own_only: Whether only programs of the key's own user.
    """

    role: Role
    own_only: bool = True


def _default_stop_rules() -> list[StopRule]:
    return [
        StopRule(Role.CALLER, own_only=True),
        StopRule(Role.OPERATOR, own_only=False),
    ]


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an organisation cares for more.

    Attributes:
        latency: Weight of program latency.
        wasted_cache: Weight of wasted cache.
    """

    latency: Weight = 1.0
    wasted_cache: Weight = 1.0


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules on top of the inventory.

    Attributes:
        classes: Priority classes of programs.
        stop: Who may stop programs; whoever no entry allows may not.
        weights: What the organisation cares for more.
    """

    classes: list[PriorityClass] = []
    stop: list[StopRule] = msgspec.field(default_factory=_default_stop_rules)
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


def encode_inventory(inventory: Inventory) -> bytes:
    """Return an inventory as canonical JSON: equal content, equal bytes."""
    return msgspec.json.encode(inventory, order="sorted")


def inventory_digest(inventory: Inventory) -> str:
    """Return the SHA-256 of the canonical JSON, hexadecimal."""
    return hashlib.sha256(encode_inventory(inventory)).hexdigest()
