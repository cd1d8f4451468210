"""Problem documents: JSON bodies of error responses to callers and operators."""

from __future__ import annotations

import math

import msgspec
import tornado.web

from .errors import CarobspurError, NotFoundError, RequestError
from .verdict import verdict_name

PROBLEM_TYPE = "application/problem+json"
_NO_DETAIL = msgspec.Raw()


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document.

    Attributes:
        status: HTTP status.
        cause: Cause code of the error.
        title: Human-readable message.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which a retry is useful; absent where none is.
        detail: Further machine-readable JSON, by cause.
    """

    status: int
    cause: str
    title: str
    verdict: str
    retry_after_s: float | None = None
    detail: msgspec.Raw = _NO_DETAIL


def problem_from(error: CarobspurError) -> Problem:
    """Return the problem document of an error."""
    return Problem(
        status=error.status,
        cause=error.cause,
        title=error.message,
        verdict=verdict_name(error.verdict),
        retry_after_s=error.retry_after_s,
        detail=msgspec.Raw(error.detail.encode()) if error.detail else _NO_DETAIL,
    )


def write_problem(handler: tornado.web.RequestHandler, error: CarobspurError) -> None:
    """Finish a response with an error's problem document."""
    handler.set_status(error.status)
    handler.set_header("Content-Type", PROBLEM_TYPE)
    if error.retry_after_s is not None:
        handler.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
    handler.finish(msgspec.json.encode(problem_from(error)))


def bearer_secret(header: str) -> str:
    """Return the token of a ``Bearer`` authorization header, or an empty string."""
    scheme, _, secret = header.partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""


class ProblemHandler(tornado.web.RequestHandler):
    """Base of handlers that answer errors with problem documents."""

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer with the problem document of the exception that was raised."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, CarobspurError):
            error = _error_from_status(status_code, self._reason)
        if not self._finished:
            write_problem(self, error)

    def log_exception(self, typ: object, value: object, tb: object) -> None:
        """Log unexpected exceptions; a ``CarobspurError`` is a normal answer."""
        if not isinstance(value, CarobspurError):
            super().log_exception(typ, value, tb)


class NoSuchPathHandler(ProblemHandler):
    """Answers requests for unknown paths with 404."""

    def prepare(self) -> None:
        """Raise the error for an unknown path."""
        raise NotFoundError("no such path")


def _error_from_status(status: int, reason: str) -> CarobspurError:
    error = RequestError(reason) if status < 500 else CarobspurError(reason)
    error.status = status
    return error
