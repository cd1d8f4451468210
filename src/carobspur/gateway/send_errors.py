"""Errors of requests that get no complete answer."""

from __future__ import annotations

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN


class SendError(CarobspurError):
    """A request got no complete answer."""

    cause = "send"
    status = 502


class NotSentError(SendError):
    """No byte of the request was sent, for example because no connection opened."""

    cause = "not_sent"
    default_verdict = NOT_RUN


class RefusedConnectionError(NotSentError):
    """Nobody listens at the endpoint's address: its process has ended."""

    cause = "connection_refused"


class LostAnswerError(SendError):
    """At least part of the request may have been sent, but no complete answer came."""

    cause = "lost_answer"
    default_verdict = MAY_HAVE_RUN


class ConnectionEndedError(LostAnswerError):
    """The endpoint or the network ended the connection before the answer's end."""

    cause = "connection_ended"


class EndlessAnswerError(LostAnswerError):
    """An answer exceeds a size limit that no correct answer reaches."""

    cause = "endless_answer"
