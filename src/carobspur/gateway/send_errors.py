"""What may become of a request that gets no whole answer."""

from __future__ import annotations

from ..errors import CarobspurError
from ..verdict import MAY_HAVE_RUN, NOT_RUN


class SendError(CarobspurError):
    """A request got no whole answer."""

    cause = "send"
    status = 502


class NotSentError(SendError):
    """No connection; no byte of the request left."""

    cause = "not_sent"
    default_verdict = NOT_RUN


class LostAnswerError(SendError):
    """The request left, and its answer did not come whole."""

    cause = "lost_answer"
    default_verdict = MAY_HAVE_RUN


class EndlessAnswerError(LostAnswerError):
    """An answer has more bytes than any sound one."""

    cause = "endless_answer"
