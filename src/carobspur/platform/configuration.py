"""Decodes the operator's configuration from its row in the platform's store."""

from __future__ import annotations

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
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = msgspec.field(default=0.0, name="ratePerS")
    burst: float = 0.0


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Config, strict=False)


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that is stored as a row's value.

    Raises:
        ConfigurationError: The value is damaged, or a route has an unknown kind.
    """
    try:
        wire = _decoder.decode(value)
        routes = tuple(_route(item) for item in wire.routes)
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        raise ConfigurationError(f"damaged configuration: {error}") from error
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
        customers=tuple(_customer(item) for item in wire.tenants),
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


def _customer(wire: _Tenant) -> Customer:
    return Customer(
        name=wire.name,
        key_digests=tuple(key_digest(key) for key in wire.api_keys),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
    )
