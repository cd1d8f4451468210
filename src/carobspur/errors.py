"""The exception tree: every error has a cause code, an HTTP status and a verdict."""

from __future__ import annotations

from copy import copy
from typing import ClassVar

from .verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict


class CarobspurError(Exception):
    """The root of all errors of this package.

    Attributes:
        cause: Stable machine-readable code of the error class.
        status: HTTP status that a caller is given.
        default_verdict: The verdict where the raiser names none.
        covers_all_sends: Whether a verdict of "not run" covers every earlier sending of
            the same call too, because the program's owner knows of all of them.
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
        """Return the same error with the verdict that claims least."""
        error = copy(self)
        error.verdict = MAY_HAVE_RUN
        error.covers_all_sends = False
        return error

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.message!r}, verdict={self.verdict!r})"


class SettingsError(CarobspurError):
    """The settings file has faults; the message names all of them."""

    cause = "settings"
    default_verdict = NOT_RUN


class RequestError(CarobspurError):
    """The request itself is wrong; repeating it unchanged can't help."""

    cause = "bad_request"
    status = 400
    default_verdict = NOT_RUN


class BodyTooLargeError(RequestError):
    """The request's body has more bytes than are taken."""

    cause = "body_too_large"
    status = 413


class InventoryError(RequestError):
    """An inventory has faults; ``detail`` lists each with its place."""

    cause = "inventory"
    status = 422


class UnauthenticatedError(RequestError):
    """The request carries no key, or a key that is not known."""

    cause = "unauthenticated"
    status = 401


class ForbiddenError(RequestError):
    """The key is known but does not allow this request."""

    cause = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """The named thing does not exist for this caller."""

    cause = "not_found"
    status = 404


class ConflictError(RequestError):
    """The request contradicts what is stored; ``detail`` says what is expected."""

    cause = "conflict"
    status = 409


class InventoryConflictError(ConflictError):
    """Another operator changed the inventory first; ``detail`` has the difference."""

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
    """A queue is full, or the request could not finish in time."""

    cause = "overloaded"
    status = 429


class BudgetExhaustedError(RefusedError):
    """The allowance of the organisation or user does not cover the request."""

    cause = "budget_exhausted"
    status = 429


class LimitReachedError(RefusedError):
    """The program used up its limit of calls, tokens or time."""

    cause = "limit_reached"
    status = 429


class NotOwnerError(RefusedError):
    """This scheduler does not own the program; ``detail`` names who may."""

    cause = "not_owner"


class NotReadyError(RefusedError):
    """The process is starting, leaving, or can't know that it is current."""

    cause = "not_ready"


class StoreOutageError(RefusedError):
    """The table service does not answer; come back later with the same request."""

    cause = "store_outage"


class CallError(CarobspurError):
    """A call that was sent to an endpoint failed."""

    cause = "call_failed"
    status = 502


class EndpointRejectedError(CallError):
    """The endpoint answered the call with an error of its own."""

    cause = "endpoint_rejected"
    default_verdict = RAN


class EndpointTimeoutError(CallError):
    """The endpoint did not answer in time."""

    cause = "endpoint_timeout"
    status = 504


class EndpointUnreachableError(CallError):
    """No connection could be made, so nothing was sent."""

    cause = "endpoint_unreachable"
    default_verdict = NOT_RUN


class PrefixLostError(CallError):
    """The engine no longer has the prefix of the program's history."""

    cause = "prefix_lost"
    default_verdict = NOT_RUN


class StoreError(CarobspurError):
    """The table service or the object store failed."""

    cause = "store"
    status = 503


class StoreConflictError(StoreError):
    """A row's version was not the expected one; nothing was written.

    Attributes:
        keys: The keys whose checks failed.
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
    """The scheduler's session was taken over; it must stop serving at once."""

    cause = "session_lost"


class PeerError(CarobspurError):
    """A message to another process of this system failed."""

    cause = "peer"
    status = 503


class PeerUnreachableError(PeerError):
    """No connection to the peer could be made, so nothing was sent."""

    cause = "peer_unreachable"
    default_verdict = NOT_RUN


class PeerDisconnectedError(PeerError):
    """The connection to the peer ended before its answer arrived."""

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
        cause: Cause code of the error class; an unknown one gives the root class.
        message: Text for people.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which coming back may help.
        detail: Machine-readable addition, in the class's own form.
        covers_all_sends: Whether the verdict covers earlier sendings too.

    Returns:
        An error of the class that has this cause code.
    """
    cls = _BY_CAUSE.get(cause, CarobspurError)
    if cls is StoreConflictError:
        cls = StoreError
    error = cls(message, verdict=verdict, retry_after_s=retry_after_s, detail=detail)
    error.covers_all_sends = covers_all_sends
    return error
