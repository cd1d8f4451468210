"""Decodes the operator's configuration from its row in the platform's store."""

from __future__ import annotations

import json
import math

import msgspec

from ..errors import CarobspurError
from ..gateway.customers.customer import Customer, key_digest
from ..gateway.routes import (
    CallerLimits,
    Configuration,
    EngineTraits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

TABLE = "op"
KEY = "config"

_KEYS_FIELD = "apiKeys"
_DIGESTS_FIELD = "keyDigests"
_FIRST_PRINTABLE = " "
_DELETE = "\x7f"
_SPACE = " \t\r\n"

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}


class ConfigurationError(CarobspurError):
    """A configuration can't be decoded; the one in force stays."""

    cause = "configuration"


class _Split(msgspec.Struct, rename="camel"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    # Endpoints that one request may be sent to, the first one included.
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    resumable: bool = False
    keeps_history: bool = False
    retention_s: float = msgspec.field(default=60.0, name="retentionS")
    # Longest pause between two events of a stream that counts as on time.
    target_gap_ms: float = 1000
    allow_anonymous: bool = False
    sticky_sessions: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    # Tokens in each event of a stream.
    stride: int = 1
    slots: int = 0
    kv_cache_tokens: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 60_000
    # Absent or 0: a head is bounded by the idle timeout only.
    header_timeout_ms: float = 0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    # Hexadecimal; replace the keys themselves, see ``replace_keys``.
    key_digests: list[str] | None = None
    priority: int | None = None
    rate_per_s: float | None = msgspec.field(default=None, name="ratePerS")
    burst: float | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[msgspec.Raw] | None = None


_decoder = msgspec.json.Decoder(_Config, strict=False)
_tenant_decoder = msgspec.json.Decoder(_Tenant, strict=False)


def replace_keys(value: bytes) -> bytes:
    """Return the content of the row with digests in place of the customers' API keys.

    Gateways apply it to the row as soon as they have read it, so that no key is kept in
    memory, logged or sent to another gateway. It changes nothing the second time.
    """
    try:
        # Unlike msgspec it accepts text and numbers that only one entry may have.
        content = json.loads(value)
    except (ValueError, RecursionError):
        # Decoding it fails as well, so nothing of it is needed.
        return b""
    if not isinstance(content, dict):
        return b""
    if "tenants" not in content:
        return value
    match content["tenants"]:
        case list(tenants):
            content["tenants"] = [_replace_keys_of(tenant) for tenant in tenants]
        case None:
            # An earlier field of the same name may hold keys, so ``value`` may not be
            # returned unchanged.
            pass
        case _:
            # Decoding a field that is no list fails, with any content.
            content["tenants"] = False
    return json.dumps(content).encode()


def _replace_keys_of(tenant: object) -> object:
    """Return a tenant's entry with digests; ``None`` if it is damaged."""
    if not isinstance(tenant, dict):
        return None
    if not _is_encodable(tenant):
        return None
    keys = tenant.get(_KEYS_FIELD)
    # Fields that gateways do not know are dropped: a misspelt one may hold keys.
    known = {
        name: tenant[name]
        for name in _Tenant.__struct_encode_fields__
        if name in tenant
    }
    if keys is None:
        return known
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        return None
    stripped = [key.strip(_SPACE) for key in keys]
    digests = [key_digest(key).hex() for key in stripped if key]
    return known | {_DIGESTS_FIELD: digests}


def _is_encodable(tenant: dict) -> bool:
    """Return whether an entry has neither infinite numbers nor half characters."""
    try:
        json.dumps(tenant, allow_nan=False, ensure_ascii=False).encode()
    except (ValueError, RecursionError):
        return False
    return True


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that is stored as a row's value.

    An entry of a customer that is damaged costs that entry only.

    Raises:
        ConfigurationError: The value is damaged, or a route has an unknown kind.
    """
    try:
        wire = _decoder.decode(replace_keys(value))
        routes = tuple(_route(item) for item in wire.routes)
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        raise ConfigurationError(f"damaged configuration: {error}") from error
    customers, damaged = _customers(wire.tenants or [])
    return Configuration(
        version=wire.version,
        routes=routes,
        services={item.name: _service(item) for item in wire.services},
        limits=CallerLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
            header_timeout_s=(
                wire.limits.header_timeout_ms or wire.limits.idle_timeout_ms
            )
            / 1000,
        ),
        customers=customers,
        damaged_customers=damaged,
    )


def _route(wire: _Route) -> Route:
    split = wire.traffic_split or [_Split(wire.service, 1)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_KINDS[wire.kind],
        services=tuple(WeightedService(item.service, item.weight) for item in split),
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        max_attempts=max(wire.max_attempts, 1),
        priority=wire.priority,
        is_resumable=wire.resumable,
        keeps_history=wire.keeps_history,
        retention_s=wire.retention_s,
        max_gap_s=wire.target_gap_ms / 1000,
        allows_anonymous=wire.allow_anonymous,
        is_sticky=wire.sticky_sessions,
    )


def _service(wire: _Service) -> Service:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            wire.engine.stride,
            slots=wire.engine.slots,
            cache_tokens=wire.engine.kv_cache_tokens,
        )
    return Service(wire.name, engine)


def _customers(
    entries: list[msgspec.Raw],
) -> tuple[tuple[Customer, ...], tuple[str, ...]]:
    """Return the customers, and the numbers of the entries that are damaged."""
    customers, damaged = [], []
    for number, entry in enumerate(entries):
        try:
            customers.append(_customer(_tenant_decoder.decode(entry)))
        except (msgspec.MsgspecError, RecursionError, ValueError):
            damaged.append(str(number))
    return tuple(customers), tuple(damaged)


def _customer(wire: _Tenant) -> Customer:
    """Return a customer.

    Raises:
        ValueError: The name can't be sent in a header field, a digest is damaged, or a
            number is negative or not finite.
    """
    is_sendable = all(
        char >= _FIRST_PRINTABLE and char != _DELETE for char in wire.name
    )
    if not wire.name.strip() or not is_sendable:
        raise ValueError("the name can't be sent in a header field")
    rate_per_s, burst = wire.rate_per_s or 0.0, wire.burst or 0.0
    if not (0 <= rate_per_s < math.inf and 0 <= burst < math.inf):
        raise ValueError("the rate or the burst is out of range")
    wire.name.encode()
    return Customer(
        name=wire.name,
        key_digests=tuple(bytes.fromhex(item) for item in wire.key_digests or []),
        priority=wire.priority,
        rate_per_s=rate_per_s,
        burst=burst,
    )
