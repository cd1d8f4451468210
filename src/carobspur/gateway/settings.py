"""Settings of a gateway: one INI file, every fault named at once."""

from __future__ import annotations

import configparser
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..plugin_registry import PluginKind, load_plugins, plugin_names
from .answer_limits import AnswerLimits
from .host_port import split_address


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Who and where this gateway is.

    Attributes:
        name: Name of the instance.
        data_centre: Where it stands.
        region: Region of the data centre.
        host: IP number to bind.
    """

    name: str
    data_centre: str
    region: str
    host: str


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses, each ``HOST:PORT``.

    Attributes:
        callers: For callers' requests.
        ready: For readiness checks; empty for none.
        directory: For callers who ask where to connect; empty for none.
        peers: For other gateways.
        heartbeats: For datagrams between gateways.
        metrics: For metrics; empty for none.
    """

    callers: str
    peers: str
    heartbeats: str
    ready: str = ""
    directory: str = ""
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's row store.

    Attributes:
        address: ``HOST:PORT``.
        row_bytes: Largest value of a row.
        seeds: ``HOST:PORT`` of gateways that may pass calls on, comma-separated.
    """

    address: str
    row_bytes: int
    seeds: str = ""

    @property
    def seed_addresses(self) -> list[str]:
        """The seeds as a list."""
        return [item for item in self.seeds.split(",") if item]


@dataclass(frozen=True, slots=True)
class TimeSettings:
    """Times that the platform fixes.

    Attributes:
        stop_s: Seconds from the request to stop until the process is killed.
        address_ttl_s: Longest time for which an address answer may be kept.
    """

    stop_s: float
    address_ttl_s: float


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How endpoints are chosen; read at the start only.

    Attributes:
        policy: Name of the placement plug-in.
    """

    policy: str = "predicted_time"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a gateway."""

    instance: InstanceSettings
    listen: ListenSettings
    store: StoreSettings
    times: TimeSettings
    placement: PlacementSettings
    answers: AnswerLimits

    @classmethod
    def read(cls, path: str | Path) -> GatewaySettings:
        """Read a file.

        Raises:
            SettingsError: It cannot be read, or has faults; all are named.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"cannot read {path}: {error}") from error
        return cls.parse(text, name=str(path))

    @classmethod
    def parse(cls, text: str, *, name: str = "settings") -> GatewaySettings:
        """Read settings from text.

        Raises:
            SettingsError: The text has faults; all are named.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source=name)
        except configparser.Error as error:
            raise SettingsError(f"{name}: {error}") from error
        faults: list[str] = []
        known = {item.name for item in fields(cls)}
        faults += [
            f"[{section}]: no such section"
            for section in parser.sections()
            if section not in known
        ]
        sections = {
            "instance": InstanceSettings,
            "listen": ListenSettings,
            "store": StoreSettings,
            "times": TimeSettings,
            "placement": PlacementSettings,
            "answers": AnswerLimits,
        }
        values = {
            section: _section(kind, section, parser, faults)
            for section, kind in sections.items()
        }
        policy = parser.get("placement", "policy", fallback="")
        load_plugins(PluginKind.PLACEMENT)
        known_policies = plugin_names(PluginKind.PLACEMENT)
        if policy and policy not in known_policies:
            faults.append(
                f"[placement] policy: {policy!r} is none of {', '.join(known_policies)}"
            )
        if faults:
            raise SettingsError(f"{name}: " + "; ".join(faults))
        return cls(**values)


def _section(
    kind: type, section: str, parser: configparser.ConfigParser, faults: list[str]
) -> Any:
    given = dict(parser[section]) if parser.has_section(section) else {}
    values = {}
    for item in fields(kind):
        text = given.pop(item.name, "")
        if not text:
            if item.default is MISSING:
                faults.append(f"[{section}] {item.name}: missing")
            continue
        try:
            values[item.name] = _value(item.name, item.type, section, text)
        except ValueError:
            faults.append(f"[{section}] {item.name}: {text!r} is not valid")
    faults += [f"[{section}] {name}: no such key" for name in given]
    return kind(**values) if not faults else None


def _value(name: str, kind: str, section: str, text: str) -> object:
    match kind:
        case "int":
            value = int(text)
        case "float":
            value = float(text)
        case _:
            if section == "listen" or name == "address":
                split_address(text)
            return text
    if value <= 0:
        raise ValueError(text)
    return value
