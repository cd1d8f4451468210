"""Final answers of the gateway's own, and what they promise."""

from __future__ import annotations

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN, NotRun

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class NoConfigurationError(CarobspurError):
    """No configuration was read yet, or the one in force may be too old to deny."""

    cause = "no_configuration"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class NoRouteError(CarobspurError):
    """No route matches; the configuration in force is fresh."""

    cause = "no_route"
    status = 404
    default_verdict = NOT_RUN


class NoEndpointError(CarobspurError):
    """No endpoint can take the request; it was not run anywhere."""

    cause = "no_endpoint"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class StateUnavailableError(CarobspurError):
    """Turns or budgets can't be checked, so the request was not sent."""

    cause = "state_away"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class EndpointFailedError(CarobspurError):
    """An endpoint may have run the request and gave no whole answer."""

    cause = "endpoint_failed"
    status = BAD_GATEWAY
    default_verdict = MAY_HAVE_RUN


class DeadlineExceededError(CarobspurError):
    """The time ran out while an endpoint may have been at work."""

    cause = "out_of_time"
    status = GATEWAY_TIMEOUT
    default_verdict = MAY_HAVE_RUN


class DeadlineExceededUnsentError(CarobspurError):
    """The time ran out before anything was sent."""

    cause = "out_of_time_unsent"
    status = UNAVAILABLE
    default_verdict = NOT_RUN


class CallerDisconnectedError(CarobspurError):
    """The caller's connection ended; nobody is left to answer."""

    cause = "caller_left"
    status = 0


def refusal_headers(error: CarobspurError) -> list[tuple[str, str]]:
    """Return the headers of a refusal: when to come back, where nothing ran."""
    if isinstance(error.verdict, NotRun) and error.retry_after_s is not None:
        return [("Retry-After", f"{error.retry_after_s:.2f}")]
    return []
