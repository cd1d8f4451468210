"""Inventory of an organisation: data centres, models, engines, services, agents, rules.

An organisation has one JSON document, which its asset register exports and which is
imported as a whole. The types of its numbers carry :class:`Bounds`; module
``inventory_checks`` enforces them on import but not when a stored document is read, so
that a later release with narrower bounds still reads what an earlier one accepted.
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
    """What the holder of a key is allowed to do."""

    CALLER = "caller"
    OPERATOR = "operator"
    VIEWER = "viewer"


class ServiceKind(StrEnum):
    """Kind of a service that is not a model."""

    TOOL = "tool"
    PLAIN = "plain"


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A secret key, of which only the SHA-256 is stored.

    Attributes:
        name: Name that reports and logs show.
        sha256: SHA-256 of the secret, 64 lower-case hexadecimal digits.
        role: What the key allows.
        user: The only user that requests with this key may act for; if empty, each
            request names the user, who may be any of the organisation's.
    """

    name: str
    sha256: str
    role: Role
    user: str = ""


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre, in which instances and endpoints run."""

    name: str


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that engines serve.

    Attributes:
        name: The endpoint name that callers use.
        context_tokens: Maximum length of history, prompt and answer together, in
            tokens.
        input_cost: Cost units for each new input token.
        output_cost: Cost units for each generated token.
        timeout_s: Maximum duration of a call, in seconds.
    """

    name: str
    context_tokens: TokenCount
    input_cost: Cost = 1
    output_cost: Cost = 1
    timeout_s: Duration = 120.0


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica of a model engine.

    Attributes:
        name: Name of the engine in the asset register.
        address: Base URL, ``http://IP:port`` or ``https://IP:port``.
        data_centre: Name of its data centre.
        models: Names of the models that it serves.
        kv_tokens: Capacity of its prefix cache, in tokens.
        in_flight: Number of concurrent calls that it runs without slowing down much.
        checks_fencing: Whether it rejects orders with an outdated fencing number.
        prefill_tokens_per_s: Speed of processing input tokens.
        decode_tokens_per_s: Speed of generating tokens, for one call.
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
    """A replica of a tool or plain service.

    Attributes:
        address: Base URL, ``http://IP:port`` or ``https://IP:port``.
        data_centre: Name of its data centre.
    """

    address: str
    data_centre: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tool or plain service.

    Attributes:
        name: The endpoint name that callers use.
        kind: Tool service or plain service.
        replicas: Its replicas.
        repeatable: Whether calls are idempotent, so that one may be sent twice.
        has_lookup: Whether it can be queried, by call id, whether a call has run.
        checks_fencing: Whether it rejects calls with an outdated fencing number.
        timeout_s: Maximum duration of a call, in seconds.
        cost: Cost units of one call.
        in_flight: Number of concurrent calls that one replica accepts.
        shared: Whether inventories of other organisations may list the same replicas.
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
    """A kind of agent program.

    Attributes:
        name: Name by which callers start such a program.
        priority_class: Name of one of the classes in ``rules.classes``.
        max_calls: Maximum number of calls of one program.
        max_tokens: Maximum number of tokens of one program.
        max_time_s: Maximum duration of a program, in seconds.
        objective_s: Program latency of the service-level objective, in seconds.
        objective_share: Share of the programs that must end within that latency.
    """

    name: str
    priority_class: str
    max_calls: CallCount = 500
    max_tokens: TokenCount = 1_000_000
    max_time_s: Duration = 3600.0
    objective_s: Duration = 30.0
    objective_share: Share = 0.95


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Budget of cost units for each window of time.

    Attributes:
        units: Cost units per window.
        window_s: Length of the window, in seconds.
        user: The user that it applies to; ``*`` for each user separately; empty for
            the organisation as a whole.
    """

    units: Annotated[int, Bounds(0, _MAX_UNITS)]
    window_s: Annotated[int, Bounds(1, 366 * 86_400)]
    user: str = ""


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A priority class of programs.

    Attributes:
        name: Name of the class.
        rank: Lower ranks are served first.
    """

    name: str
    rank: Annotated[int, Bounds(-1000, 1000)]


class StopRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Permission to stop programs.

    Attributes:
        role: Role of the keys that have the permission.
        own_only: Whether it covers only programs of the user that the key acts for.
    """

    role: Role
    own_only: bool = True


def _default_stop_rules() -> list[StopRule]:
    return [
        StopRule(Role.CALLER, own_only=True),
        StopRule(Role.OPERATOR, own_only=False),
    ]


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relative weights of the goals of scheduling.

    Attributes:
        latency: Weight of program latency.
        wasted_cache: Weight of wasted engine cache.
    """

    latency: Weight = 1.0
    wasted_cache: Weight = 1.0


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules of an organisation for its programs.

    Attributes:
        classes: Priority classes of programs.
        stop: Who may stop programs; a role without an entry may not.
        weights: Relative weights of the goals of scheduling.
    """

    classes: list[PriorityClass] = []
    stop: list[StopRule] = msgspec.field(default_factory=_default_stop_rules)
    weights: Weights = Weights()


class Inventory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Inventory of one organisation; see the module's docstring."""

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
        raise NotFoundError(f"no agent {name!r} in the inventory")

    def engines_for(self, model: str) -> list[Engine]:
        """Return the engines that serve the model of this name."""
        return [item for item in self.engines if model in item.models]


def encode_inventory(inventory: Inventory) -> bytes:
    """Return an inventory as canonical JSON: equal content, equal bytes."""
    return msgspec.json.encode(inventory, order="sorted")


def inventory_digest(inventory: Inventory) -> str:
    """Return the hexadecimal SHA-256 of an inventory's canonical JSON."""
    return hashlib.sha256(encode_inventory(inventory)).hexdigest()
