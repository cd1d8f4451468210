"""Settings of a gateway from one INI file; all errors in it are reported at once."""

from __future__ import annotations

import configparser
import math
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any

from ..errors import SettingsError
from ..plugin_registry import PluginKind, load_plugins, plugin_names
from .answer_limits import AnswerLimits
from .customers.rate_limit_times import RateLimitTolerance
from .host_port import split_address
from .memory.settings import MemorySettings

SECTIONS_WITH_ZEROS = ("rate_limits",)
"""Sections in which a number may be 0: a platform may permit no tolerance."""

ADMISSION_POLICIES = ("programs",)


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: the instance that the gateway runs on.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        host: IP address of the instance.
        is_first_start: Whether the whole system starts for the first time, so that no
            gateway has granted tokens before; ``true`` or ``false``.
    """

    name: str
    data_centre: str
    region: str
    host: str
    is_first_start: bool = False


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Section ``[listen]``: addresses to listen on, each ``HOST:PORT``.

    Attributes:
        callers: For callers' requests.
        peers: For HTTP requests of other gateways.
        heartbeats: For UDP datagrams of other gateways.
        ready: For readiness checks; empty for none.
        directory: For callers that look up the addresses of gateways; empty for none.
        metrics: For scrapes of metrics; empty for none.
    """

    callers: str
    peers: str
    heartbeats: str
    ready: str = ""
    directory: str = ""
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Section ``[store]``: the platform's row store.

    Attributes:
        address: ``HOST:PORT`` of the store.
        row_bytes: Largest size of a row's value in bytes.
        seeds: ``HOST:PORT`` of gateways, separated by commas. While no other gateway is
            known, they relay calls to the store and supply copies of its tables.
    """

    address: str
    row_bytes: int
    seeds: str = ""

    @property
    def seed_addresses(self) -> list[str]:
        """The addresses in ``seeds`` as a list."""
        return [item for item in self.seeds.split(",") if item]


@dataclass(frozen=True, slots=True)
class TimeSettings:
    """Section ``[times]``: time limits that the platform imposes on the gateway.

    Attributes:
        stop_s: Seconds from the request to stop until the process is killed.
        address_ttl_s: Most seconds for which callers may cache an address answer.
    """

    stop_s: float
    address_ttl_s: float


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Section ``[placement]``: how endpoints are chosen; read only at start-up.

    Attributes:
        policy: Name of the placement plug-in.
    """

    policy: str = "predicted_time"


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Section ``[admission]``: whether requests are refused under overload.

    Attributes:
        policy: Name of the policy, one of ``ADMISSION_POLICIES``; empty for none.
    """

    policy: str = ""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a gateway, one attribute for each section of the file."""

    instance: InstanceSettings
    listen: ListenSettings
    store: StoreSettings
    times: TimeSettings
    placement: PlacementSettings
    answers: AnswerLimits
    rate_limits: RateLimitTolerance
    admission: AdmissionSettings
    memory: MemorySettings

    @classmethod
    def read(cls, path: str | Path) -> GatewaySettings:
        """Read settings from a file.

        Raises:
            SettingsError: The file cannot be read, or has errors; the message lists all
                of them.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"cannot read {path}: {error}") from error
        return cls.parse(text, name=str(path))

    @classmethod
    def parse(cls, text: str, *, name: str = "settings") -> GatewaySettings:
        """Parse settings from the text of an INI file.

        Args:
            text: The text.
            name: Name of the text in error messages.

        Raises:
            SettingsError: The text has errors; the message lists all of them.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source=name)
        except configparser.Error as error:
            raise SettingsError(f"{name}: {error}") from error
        errors: list[str] = []
        known = {item.name for item in fields(cls)}
        errors += [
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
            "rate_limits": RateLimitTolerance,
            "admission": AdmissionSettings,
            "memory": MemorySettings,
        }
        values = {
            section: _parse_section(kind, section, parser, errors)
            for section, kind in sections.items()
        }
        if values["memory"] is not None:
            errors += [f"[memory] {error}" for error in values["memory"].errors()]
        policy = parser.get("placement", "policy", fallback="")
        load_plugins(PluginKind.PLACEMENT)
        known_policies = plugin_names(PluginKind.PLACEMENT)
        if policy and policy not in known_policies:
            errors.append(
                f"[placement] policy: {policy!r} is none of {', '.join(known_policies)}"
            )
        admission = parser.get("admission", "policy", fallback="")
        if admission and admission not in ADMISSION_POLICIES:
            errors.append(
                f"[admission] policy: {admission!r} is none of "
                + ", ".join(ADMISSION_POLICIES)
            )
        if errors:
            raise SettingsError(f"{name}: " + "; ".join(errors))
        return cls(**values)


def _parse_section(
    kind: type, section: str, parser: configparser.ConfigParser, errors: list[str]
) -> Any:
    """Return the settings of a section, or ``None`` if any error was found so far.

    Args:
        kind: Class of the section's settings; its fields are the keys.
        section: Name of the section.
        parser: Parsed file.
        errors: Errors of the file so far; those of the section are added.
    """
    given = dict(parser[section]) if parser.has_section(section) else {}
    values = {}
    for item in fields(kind):
        text = given.pop(item.name, "")
        if not text:
            if item.default is MISSING:
                errors.append(f"[{section}] {item.name}: missing")
            continue
        try:
            values[item.name] = _parse_value(item.name, item.type, section, text)
        except ValueError:
            errors.append(f"[{section}] {item.name}: {text!r} is not valid")
    errors += [f"[{section}] {name}: no such key" for name in given]
    return kind(**values) if not errors else None


def _parse_value(name: str, kind: str, section: str, text: str) -> object:
    """Return the value of a key.

    Raises:
        ValueError: The text is no finite number above 0, or from 0 in sections that
            permit it, neither ``true`` nor ``false``, or no address, as the key
            requires.
    """
    match kind:
        case "int":
            value = int(text)
        case "float":
            value = float(text)
        case "bool":
            if text not in ("true", "false"):
                raise ValueError(text)
            return text == "true"
        case _:
            if section == "listen" or name == "address":
                split_address(text)
            return text
    is_zero_valid = section in SECTIONS_WITH_ZEROS
    if not 0 <= value < math.inf or (value == 0 and not is_zero_valid):
        raise ValueError(text)
    return value
