"""The operator's configuration: routes, services and limits on callers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

from .customers.customer import Customer


class RouteKind(StrEnum):
    """Kind of a route: whether its requests may be repeated, or are streams.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may not, and
    ``STREAM`` requests are answered with a stream of events by model engines.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of a route.

    Its share of the route's traffic is its weight divided by the sum of all weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services for the requests of one host and path prefix, with their time limits.

    Attributes:
        name: Name of the route.
        host: Host in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be repeated, or are streams.
        services: Services with their weights; at least one.
        timeout_s: Longest time until the answer is complete.
        target_latency_s: Time within which an answer, or the first event of a stream,
            is on time.
        max_attempts: Largest number of endpoints that may run one call.
        priority: Priority of the requests; 0 is the highest.
        is_resumable: Whether a lost stream may be resumed, also at another endpoint.
        keeps_history: Whether the gateway stores turns, so that requests carry only
            their new input.
        retention_s: How long turns and spent tokens of programs are stored.
        max_gap_s: Longest gap between events with which a stream is on time.
        allows_anonymous: Whether requests without an API key are accepted where the
            configuration has customers.
        is_sticky: Whether an endpoint that has handled the same object, or has the same
            prompt cached, answers faster.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    is_resumable: bool = False
    keeps_history: bool = False
    retention_s: float = 60.0
    max_gap_s: float = 1.0
    allows_anonymous: bool = False
    is_sticky: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, key: str) -> str:
        """Return the service for a key; keys are distributed over services by weight.

        Equal keys get the same service.

        Args:
            key: Identifies requests that belong together, such as a program id.
        """
        if len(self.services) == 1:
            return self.services[0].service
        digest = hashlib.blake2b(f"{self.name} {key}".encode(), digest_size=8).digest()
        total = sum(item.weight for item in self.services)
        point = int.from_bytes(digest) / 2**64 * total
        for item in self.services:
            point -= item.weight
            if point < 0:
                return item.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all engines of a model service share.

    Attributes:
        tokens_per_event: Tokens in one event of a stream.
        slots: Requests that an engine processes at the same time; 0 if not stated.
        cache_tokens: Tokens that an engine's memory holds, of running requests and
            cached prompts together; 0 if not stated.
    """

    tokens_per_event: int
    slots: int = 0
    cache_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints.

    Attributes:
        name: Name of the service.
        engine: Properties of its model engines; ``None`` for plain services.
    """

    name: str
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        max_header_bytes: Largest size of a request's head.
        max_body_bytes: Largest size of a request's body.
        idle_timeout_s: Longest time that a connection may be idle between requests,
            until the end of the next head.
        header_timeout_s: Longest time from the first byte of a head to its end.
    """

    max_header_bytes: int = 65536
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 60.0
    header_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version number; a larger one is newer.
        routes: All routes; of two with the same host and prefix the first is used.
        services: Services by name.
        limits: Limits on callers.
        customers: Customers; without any, requests need no API key.
        damaged_customers: Entries of customers that could not be decoded. They admit
            nobody, but requests need an API key as if they were whole.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: tuple[Customer, ...] = ()
    damaged_customers: tuple[str, ...] = ()
    _by_key: dict[bytes, Customer] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _by_prefix: dict[tuple[str, str], Route] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _longest_prefix: int = field(init=False, repr=False, compare=False, default=0)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_prefix.setdefault((route.host, route.prefix), route)
        for customer in self.customers:
            for digest in customer.key_digests:
                self._by_key.setdefault(digest, customer)
        longest = max((len(route.prefix) for route in self.routes), default=0)
        object.__setattr__(self, "_longest_prefix", longest)

    @property
    def has_customers(self) -> bool:
        """Whether requests are identified by an API key."""
        return bool(self.customers or self.damaged_customers)

    def customer_of(self, key_digest: bytes) -> Customer | None:
        """Return the customer that holds an API key, ``None`` if none does.

        Of several customers with the same key, the first in the configuration holds it.

        Args:
            key_digest: Digest of the key; see :func:`~.customers.customer.key_digest`.
        """
        return self._by_key.get(key_digest)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest that the path begins with.

        Args:
            host: Host of the request in lower case.
            path: Path of the request without its query.
        """
        # Every prefix ends with a slash, so one look-up per path segment is enough.
        end = path.rfind("/", 0, self._longest_prefix) + 1
        while end:
            route = self._by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
