"""Finds the customer of a request by its API key; pure functions."""

from __future__ import annotations

from ..calls import Call
from ..refusals import NoConfigurationError, UnknownKeyError
from ..routes import Configuration, Route
from .customer import Customer

STALE_RETRY_AFTER_S = 0.3
"""Retry-After for a key that a newer configuration may hold; gateways that reach the
store or a peer learn of a new version within this time."""


def authenticate(
    call: Call, route: Route, configuration: Configuration, *, is_current: bool
) -> Customer | None:
    """Return the customer of a request, ``None`` for an anonymous request.

    Also records the customer's name and the request's priority in the call. Where the
    configuration has no customers, every request is anonymous, and the header fields
    that name a customer are forwarded like any other.

    Args:
        call: The request.
        route: Its route.
        configuration: Configuration in force.
        is_current: Whether the configuration is known to be the newest.

    Raises:
        UnknownKeyError: No customer holds the key, and the route requires one.
        NoConfigurationError: The same, but a newer configuration may hold the key.
    """
    call.priority = route.priority
    if not configuration.has_customers:
        # An earlier version may have had some: a request is authenticated again if a
        # new version arrives while its key is confirmed to be unknown.
        call.customer = None
        return None
    customer = configuration.customer_of(call.key_digest) if call.key_digest else None
    if customer is not None:
        call.customer = customer.name
        if customer.priority is not None:
            call.priority = customer.priority
        return customer
    call.customer = ""
    if route.allows_anonymous:
        return None
    if not is_current:
        raise NoConfigurationError(
            f"no customer of configuration version {configuration.version} holds the "
            "API key, and a newer version may exist",
            retry_after_s=STALE_RETRY_AFTER_S,
        )
    raise UnknownKeyError("no customer holds the API key")
