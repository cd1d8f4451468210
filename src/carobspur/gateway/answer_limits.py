"""Limits on the size of answers, and accounting of the memory that they take.

They protect against a faulty endpoint that sends bytes without end, in a head, the
value of a header field, a body or an event, until its connection is closed. A gateway
has a few hundred megabytes of memory, and one event loop for all callers. This module
does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Size limits of answers; the connection of an answer that exceeds one is closed.

    The fields are also keys of the ``[answers]`` section of the settings file.

    Attributes:
        head_bytes: Most bytes of an unfinished head, chunk size line or trailer.
        head_fields: Most header fields of one answer, including trailers.
        stray_answers: Most answers to other requests before the expected one.
        stray_bytes: Most bytes of the bodies of those answers.
        answer_bytes: Most bytes of the body of an answer that is buffered completely.
        answers_bytes: Most bytes of all answers that are buffered at the same time.
        event_bytes: Most bytes of one event of a stream.
    """

    head_bytes: int = 64 * KIB
    head_fields: int = 256
    stray_answers: int = 64
    stray_bytes: int = 1 * MIB
    answer_bytes: int = 16 * MIB
    answers_bytes: int = 48 * MIB
    event_bytes: int = 256 * KIB


DEFAULT_LIMITS = AnswerLimits()


class BufferedAnswers:
    """Accounts for the memory of all answers that are being buffered.

    Args:
        limits: Limits of one answer and of all together.

    Attributes:
        total_bytes: Bytes of all answers that are being buffered.
    """

    __slots__ = ("_limits", "_sizes", "total_bytes")

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self._sizes: dict[object, int] = {}
        self.total_bytes = 0

    def __repr__(self) -> str:
        return f"BufferedAnswers({len(self._sizes)} answers, {self.total_bytes} bytes)"

    def add(self, answer: object) -> None:
        """Start accounting for an answer."""
        self._sizes[answer] = 0

    def remove(self, answer: object) -> None:
        """Stop accounting for an answer."""
        self.total_bytes -= self._sizes.pop(answer)

    def update(self, answer: object, size: int) -> str:
        """Set the size of an answer so far, and check the limits.

        If all answers together exceed their limit, only an answer above an equal share
        of it must be aborted, so that small answers survive beside a few endless ones.

        Args:
            answer: The answer.
            size: Its bytes so far.

        Returns:
            Why the answer must be aborted; empty if it may continue.
        """
        self.total_bytes += size - self._sizes[answer]
        self._sizes[answer] = size
        if size > self._limits.answer_bytes:
            return f"the answer has over {self._limits.answer_bytes} bytes"
        share = self._limits.answers_bytes // len(self._sizes)
        if size > share and self.total_bytes > self._limits.answers_bytes:
            return f"all answers together have over {self._limits.answers_bytes} bytes"
        return ""
