"""Settings of the daemons, read from one INI file with a section per role.

Every key is checked before a daemon starts.
"""

from __future__ import annotations

import configparser
import ipaddress
from collections.abc import Callable
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path
from typing import Any, TypeVar

from .errors import SettingsError

MAX_PORT = 65535

Section = TypeVar("Section")


@dataclass(frozen=True, slots=True)
class ValueRule:
    """Parser and description of a key's value.

    Attributes:
        parse: Converts the text to the value; raises ``ValueError`` if it is invalid.
        expected: Description of valid values, for error messages.
        unit: Unit of the value, for error messages.
        is_shown: Whether error messages may contain an invalid value; false if it
            could be a secret.
    """

    parse: Callable[[str], Any]
    expected: str
    unit: str = ""
    is_shown: bool = True


def _integer(low: int, high: int, unit: str) -> ValueRule:
    def _parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return ValueRule(_parse, f"a whole number from {low} to {high}", unit)


def _number(low: float, high: float, unit: str) -> ValueRule:
    def _parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return ValueRule(_parse, f"a number from {low:g} to {high:g}", unit)


def _choice(*names: str) -> ValueRule:
    def _parse(text: str) -> str:
        if text not in names:
            raise ValueError(text)
        return text

    return ValueRule(_parse, "one of " + ", ".join(names))


def _ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _base_url(text: str) -> str:
    scheme, _, rest = text.partition("://")
    if scheme not in ("http", "https") or not rest:
        raise ValueError(text)
    host = rest.rstrip("/").rpartition(":")[0].strip("[]")
    ipaddress.ip_address(host)
    return text.rstrip("/")


def _name(text: str) -> str:
    if not text or not all(
        character.isalnum() or character in "-_." for character in text
    ):
        raise ValueError(text)
    return text


def _file(text: str) -> str:
    if text and not Path(text).is_file():
        raise ValueError(text)
    return text


def _sha256(text: str) -> str:
    if text and (len(text) != 64 or set(text) - set("0123456789abcdef")):
        raise ValueError(text)
    return text


NAME = ValueRule(_name, "letters, digits, '-', '_' or '.'")
IP_ADDRESS = ValueRule(_ip, "an IP address")
BASE_URL = ValueRule(_base_url, "http(s)://IP:port")
FILE = ValueRule(_file, "an existing file, or nothing")
SHA256 = ValueRule(
    _sha256, "64 lower-case hexadecimal digits, or nothing", is_shown=False
)
PORT = _integer(0, MAX_PORT, "port")


def _setting(rule: ValueRule, default: Any = MISSING) -> Any:
    if default is MISSING:
        return field(metadata={"rule": rule})
    return field(default=default, metadata={"rule": rule})


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: the instance that this process belongs to.

    Attributes:
        id: Id of the instance.
        data_centre: Name of its data centre.
        host: IP address on which its processes listen.
    """

    id: str = _setting(NAME)
    data_centre: str = _setting(NAME)
    host: str = _setting(IP_ADDRESS)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Section ``[platform]``: the platform's services.

    Attributes:
        table_url: Base URL of the table service.
        objects_url: Base URL of the object store.
        live_list_url: Base URL of the list of instances.
        table_timeout_s: Time-out of requests to the table service, in seconds.
        table_writes_per_s: Row writes per second that all schedulers together may
            use; the interval between their commits is derived from it.
    """

    table_url: str = _setting(BASE_URL)
    objects_url: str = _setting(BASE_URL)
    live_list_url: str = _setting(BASE_URL)
    table_timeout_s: float = _setting(_number(0.05, 60, "s"), 2.0)
    table_writes_per_s: int = _setting(_integer(1, 1_000_000, "rows/s"), 300)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Section ``[entry]``: the process that serves callers.

    Attributes:
        port: Port for callers.
        keep_addresses_s: Seconds for which callers may cache addresses.
        max_body_bytes: Maximum size of a request's body.
        call_timeout_s: Maximum duration of a call's request, in seconds.
    """

    port: int = _setting(PORT)
    keep_addresses_s: int = _setting(_integer(1, 3600, "s"), 20)
    max_body_bytes: int = _setting(_integer(1024, 1 << 30, "bytes"), 16 << 20)
    call_timeout_s: float = _setting(_number(1, 86400, "s"), 600.0)


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Section ``[scheduler]``: the process that owns programs.

    Attributes:
        port: Port for peers.
        metrics_port: Port of the HTTP server for health and metrics.
        lease_s: Lease time of the scheduler's session, in seconds.
        shards: Number of shards of the whole system.
        routing: Name of the routing plug-in.
        holds: Name of the plug-in that decides on engine memory of paused programs.
        max_waiting: Maximum number of queued calls of one organisation.
        grant_units: Cost units that one grant of a budget holds at most.
        checkpoint_commits: Commits after which a shard is checkpointed.
    """

    port: int = _setting(PORT)
    metrics_port: int = _setting(PORT)
    lease_s: float = _setting(_number(0.2, 300, "s"), 4.0)
    shards: int = _setting(_integer(1, 65536, "shards"), 64)
    routing: str = _setting(NAME, "finish")
    holds: str = _setting(NAME, "cost")
    max_waiting: int = _setting(_integer(1, 1_000_000, "calls"), 500)
    grant_units: int = _setting(_integer(1, 1 << 40, "cost units"), 20_000)
    checkpoint_commits: int = _setting(_integer(1, 1_000_000, "commits"), 200)


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Section ``[control]``: configuration, membership and endpoint load.

    Attributes:
        port: Port for operators.
        peer_port: Port for peers.
        poll_s: Time between two polls of the table, and least time between two of an
            endpoint's load, in seconds.
        platform_key_sha256: Hexadecimal SHA-256 of the key that registers
            organisations and drains instances; without it, neither is possible here.
    """

    port: int = _setting(PORT)
    peer_port: int = _setting(PORT)
    poll_s: float = _setting(_number(0.05, 60, "s"), 0.5)
    platform_key_sha256: str = _setting(SHA256, "")


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Section ``[tls]``; without it nothing is encrypted.

    Attributes:
        certificate: PEM file of this instance's certificate, which names its IP
            address; if set, callers and operators are served over HTTPS.
        key: PEM file of the certificate's private key.
        ca: PEM file of a certificate authority that signs only the instances'
            certificates; if set, the system's processes verify each other's.
    """

    certificate: str = _setting(FILE, "")
    key: str = _setting(FILE, "")
    ca: str = _setting(FILE, "")


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Section ``[logs]``.

    Attributes:
        level: Lowest level that is logged.
    """

    level: str = _setting(_choice("debug", "info", "warning", "error"), "info")


@dataclass(frozen=True, slots=True)
class Settings:
    """All sections of a settings file."""

    instance: InstanceSettings
    platform: PlatformSettings
    entry: EntrySettings
    scheduler: SchedulerSettings
    control: ControlSettings
    tls: TlsSettings
    logs: LogSettings

    @classmethod
    def read(cls, path: str | Path) -> Settings:
        """Read and check a settings file.

        Args:
            path: The INI file.

        Returns:
            The settings.

        Raises:
            SettingsError: The file can't be read or has faults; the message has one
                line per fault, with file, section and key.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: can't be read: {error}") from error
        return cls.parse(text, source=str(path))

    @classmethod
    def parse(cls, text: str, *, source: str = "settings") -> Settings:
        """Parse and check the text of a settings file; see :meth:`read`.

        Args:
            text: The text.
            source: Name of the source, for error messages.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source=source)
        except configparser.Error as error:
            raise SettingsError(f"{source}: {error}") from error
        faults = _Faults(source)
        sections = {
            item.name: faults.section(parser, item.name, _SECTIONS[item.name])
            for item in fields(cls)
        }
        for name in parser.sections():
            if name not in sections:
                faults.add(f"[{name}] is not a known section")
        faults.raise_if_any()
        return cls(**sections)


_SECTIONS: dict[str, type] = {
    "instance": InstanceSettings,
    "platform": PlatformSettings,
    "entry": EntrySettings,
    "scheduler": SchedulerSettings,
    "control": ControlSettings,
    "tls": TlsSettings,
    "logs": LogSettings,
}


class _Faults:
    """Collects all faults of one settings file.

    Args:
        source: Name of the file, for error messages.
    """

    __slots__ = ("_found", "_source")

    def __init__(self, source: str) -> None:
        self._source = source
        self._found: list[str] = []

    def add(self, text: str) -> None:
        """Add one fault."""
        self._found.append(f"{self._source}: {text}")

    def raise_if_any(self) -> None:
        """Raise one error with all faults, one per line, if there are any."""
        if self._found:
            raise SettingsError("\n".join(self._found))

    def section(
        self, parser: configparser.ConfigParser, name: str, cls: type[Section]
    ) -> Section | None:
        """Check one section and return its settings, or ``None`` if it has faults."""
        given = dict(parser[name]) if parser.has_section(name) else {}
        before = len(self._found)
        values = {}
        for item in fields(cls):  # type: ignore[arg-type]
            values[item.name] = self._value(name, item, given.pop(item.name, None))
        for key in given:
            self.add(f"[{name}] {key}: unknown key")
        return cls(**values) if len(self._found) == before else None

    def _value(self, section: str, item: Field[Any], text: str | None) -> Any:
        rule: ValueRule = item.metadata["rule"]
        if text is None:
            if item.default is MISSING:
                self.add(f"[{section}] {item.name}: missing; expected {rule.expected}")
            return item.default
        try:
            return rule.parse(text.strip())
        except ValueError:
            unit = f" ({rule.unit})" if rule.unit else ""
            shown = repr(text) if rule.is_shown else "(not shown)"
            self.add(
                f"[{section}] {item.name} = {shown}: expected {rule.expected}{unit}"
            )
            return None
