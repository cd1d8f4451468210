"""Errors with which the gateway itself answers a request.

Each states in ``default_verdict`` whether an endpoint may have run the request, so that
the caller knows whether it may be repeated. Answers and logs contain its ``cause``.
"""

from __future__ import annotations

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN, NotRun

UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class NoConfigurationError(CarobspurError):
    """No configuration was read yet, or it may be too old to rule out a route."""

    cause = "no_configuration"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class NoRouteError(CarobspurError):
    """No route matches the request, and the configuration is known to be current."""

    cause = "no_route"
    status = 404
    default_verdict = NOT_RUN


class StoppingError(CarobspurError):
    """The gateway is about to end; the request was not sent."""

    cause = "stopping"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class UnknownKeyError(CarobspurError):
    """No customer holds the API key, and the configuration is known to be current."""

    cause = "unknown_key"
    status = UNAUTHORIZED
    default_verdict = NOT_RUN


class OverLimitError(CarobspurError):
    """The customer has used up its rate limit; nothing was sent."""

    cause = "over_limit"
    status = TOO_MANY_REQUESTS
    default_verdict = NOT_RUN


class OverloadedError(CarobspurError):
    """The service could not serve the request in time, so it was not sent."""

    cause = "overloaded"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class NoEndpointError(CarobspurError):
    """No endpoint can take the request, and none has run it."""

    cause = "no_endpoint"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class EndpointLimitedError(CarobspurError):
    """Every endpoint has named a rate limit that is used up; nothing was sent."""

    cause = "endpoints_limited"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class QuarantinedError(CarobspurError):
    """Endpoints crashed while they ran the same request; it was not sent again."""

    cause = "quarantined"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class OutOfMemoryError(CarobspurError):
    """The bytes to send would exceed the bound on buffered bytes; nothing was sent."""

    cause = "out_of_memory"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class StateUnavailableError(CarobspurError):
    """The row store was not available to prepare a turn; nothing was sent."""

    cause = "state_away"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class TurnNotResumableError(CarobspurError):
    """The caller resumes a turn on a route that keeps history; nothing was sent."""

    cause = "turn_not_resumable"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class EndpointFailedError(CarobspurError):
    """An endpoint may have run the request, but there is no complete answer."""

    cause = "endpoint_failed"
    status = BAD_GATEWAY
    default_verdict = MAY_HAVE_RUN


class DeadlineExceededError(CarobspurError):
    """The deadline passed while an endpoint may have been running the request."""

    cause = "out_of_time"
    status = GATEWAY_TIMEOUT
    default_verdict = MAY_HAVE_RUN


class DeadlineExceededUnsentError(CarobspurError):
    """The deadline passed before the request was sent to any endpoint."""

    cause = "out_of_time_unsent"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class CallerDisconnectedError(CarobspurError):
    """The caller closed its connection, so no answer can be sent."""

    cause = "caller_left"
    status = 0


class CallerTooSlowError(CallerDisconnectedError):
    """The caller does not read its answer, so its connection is closed."""

    cause = "caller_slow"


def refusal_headers(error: CarobspurError) -> list[tuple[str, str]]:
    """Return the header fields of a refusal.

    ``Retry-After`` if its request has not run and may be repeated later, and the
    scheme of the key that a request without a valid one lacks.
    """
    if error.status == UNAUTHORIZED:
        return [("WWW-Authenticate", "Bearer")]
    if isinstance(error.verdict, NotRun) and error.retry_after_s is not None:
        return [("Retry-After", f"{error.retry_after_s:.2f}")]
    return []
