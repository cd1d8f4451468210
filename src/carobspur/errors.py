"""Exceptions of the package, each with a cause code, an HTTP status and a verdict.

The verdict states whether the failed request may have run; see
:mod:`carobspur.verdict`.
"""

from __future__ import annotations

from copy import copy
from typing import ClassVar

from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict


class CarobspurError(Exception):
    """Base class of all errors of this package.

    Attributes:
        cause: Stable machine-readable code of the error class.
        status: HTTP status of the answer to a caller.
        default_verdict: Verdict of errors that are raised without one.
        message: Text for people.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which a retry may succeed; ``None`` if unknown.
        detail: Machine-readable details, in a format specific to the class.
        covers_all_sends: Whether a verdict of "not run" holds for every earlier send
            of the same call too, because the program's owner knows of all of them.
    """

    cause: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    default_verdict: ClassVar[Verdict] = MAY_HAVE_RUN

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict | None = None,
        retry_after_s: float | None = None,
        detail: str = "",
    ) -> None:
        super().__init__(message)
        self.message = message
        self.verdict = self.default_verdict if verdict is None else verdict
        self.retry_after_s = retry_after_s
        self.detail = detail
        self.covers_all_sends = False

    def as_may_have_run(self) -> CarobspurError:
        """Return a copy with the verdict "may have run", the most cautious one."""
        error = copy(self)
        error.verdict = MAY_HAVE_RUN
        error.covers_all_sends = False
        return error

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.message!r}, verdict={self.verdict!r})"


class SettingsError(CarobspurError):
    """The settings file is missing or invalid; the message lists all faults."""

    cause = "settings"
    default_verdict = NOT_RUN


class RequestError(CarobspurError):
    """The request itself is invalid; an unchanged retry fails again."""

    cause = "bad_request"
    status = 400
    default_verdict = NOT_RUN


class BodyTooLargeError(RequestError):
    """The request's body exceeds the size limit."""

    cause = "body_too_large"
    status = 413


class InventoryError(RequestError):
    """An inventory is invalid; ``detail`` lists each fault with its place."""

    cause = "inventory"
    status = 422


class UnauthenticatedError(RequestError):
    """The request has no key, or an unknown one."""

    cause = "unauthenticated"
    status = 401


class ForbiddenError(RequestError):
    """The request's key is valid but does not permit this request."""

    cause = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """The requested object does not exist or is not visible to this caller."""

    cause = "not_found"
    status = 404


class ConflictError(RequestError):
    """The request contradicts the stored state; ``detail`` says what is expected."""

    cause = "conflict"
    status = 409


class InventoryConflictError(ConflictError):
    """Another operator has changed the inventory; ``detail`` has the difference."""

    cause = "inventory_conflict"


class ProgramEndedError(RequestError):
    """The program has ended and takes no more calls."""

    cause = "program_ended"
    status = 410


class RefusedError(CarobspurError):
    """The request was refused before any of it ran."""

    cause = "refused"
    status = 503
    default_verdict = NOT_RUN


class OverloadedError(RefusedError):
    """A queue is full, or the request could not finish before its deadline."""

    cause = "overloaded"
    status = 429


class BudgetExhaustedError(RefusedError):
    """The allowance of the organisation or user does not cover the request."""

    cause = "budget_exhausted"
    status = 429


class LimitReachedError(RefusedError):
    """The program has reached its limit of calls, tokens or time."""

    cause = "limit_reached"
    status = 429


class NotOwnerError(RefusedError):
    """This scheduler does not own the program; ``detail`` names possible owners."""

    cause = "not_owner"


class NotReadyError(RefusedError):
    """The process is starting or draining, or its state may be stale."""

    cause = "not_ready"


class StoreOutageError(RefusedError):
    """The table service does not answer; the same request may succeed later."""

    cause = "store_outage"


class CallError(CarobspurError):
    """A call to an endpoint failed."""

    cause = "call_failed"
    status = 502


class EndpointRejectedError(CallError):
    """The endpoint answered the call with an error."""

    cause = "endpoint_rejected"
    default_verdict = RAN


class EndpointTimeoutError(CallError):
    """The endpoint did not answer within the timeout."""

    cause = "endpoint_timeout"
    status = 504


class EndpointUnreachableError(CallError):
    """No connection to the endpoint could be made, so nothing was sent."""

    cause = "endpoint_unreachable"
    default_verdict = NOT_RUN


class PrefixLostError(CallError):
    """The engine no longer has the program's history in its prefix cache."""

    cause = "prefix_lost"
    default_verdict = NOT_RUN


class StoreError(CarobspurError):
    """The table service or the object store failed."""

    cause = "store"
    status = 503


class StoreConflictError(StoreError):
    """A row did not have the expected version; nothing was written.

    Attributes:
        keys: Keys of the rows with another version.
    """

    cause = "store_conflict"
    default_verdict = NOT_RUN

    def __init__(self, message: str, *, keys: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.keys = keys


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may have taken effect."""

    cause = "store_unavailable"


class SessionLostError(RefusedError):
    """The session was taken over; the scheduler must stop serving at once."""

    cause = "session_lost"


class PeerError(CarobspurError):
    """A request to another process of this system failed."""

    cause = "peer"
    status = 503


class PeerUnreachableError(PeerError):
    """No connection to the peer could be made, so nothing was sent."""

    cause = "peer_unreachable"
    default_verdict = NOT_RUN


class PeerDisconnectedError(PeerError):
    """The connection to the peer closed before the answer arrived."""

    cause = "peer_disconnected"


def _all_subclasses(root: type[CarobspurError]) -> list[type[CarobspurError]]:
    found = [root]
    for child in root.__subclasses__():
        found.extend(_all_subclasses(child))
    return found


_BY_CAUSE = {cls.cause: cls for cls in _all_subclasses(CarobspurError)}


def error_from_cause(
    cause: str,
    message: str,
    *,
    verdict: Verdict,
    retry_after_s: float | None = None,
    detail: str = "",
    covers_all_sends: bool = False,
) -> CarobspurError:
    """Rebuild an error that another process reported.

    Args:
        cause: Cause code of the error class; an unknown code gives the base class.
        message: Text for people.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which a retry may succeed.
        detail: Machine-readable details, in a format specific to the class.
        covers_all_sends: Whether the verdict holds for earlier sends too.

    Returns:
        An error of the class with this cause code; for a store conflict, whose keys
        are not sent, a plain :class:`StoreError`.
    """
    cls = _BY_CAUSE.get(cause, CarobspurError)
    if cls is StoreConflictError:
        cls = StoreError
    error = cls(message, verdict=verdict, retry_after_s=retry_after_s, detail=detail)
    error.covers_all_sends = covers_all_sends
    return error
