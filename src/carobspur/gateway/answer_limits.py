"""How much of an answer a gateway holds; pure.

The load they answer: an endpoint that is out of order sends bytes without end, in a
head, a header's value, a body or an event, until its connection is closed. A gateway
has a few hundred megabytes, and one loop for all of its callers.
"""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Most that one answer may have; above it, its connection is closed.

    Attributes:
        head_bytes: Bytes without an end of a head, of a chunk's size or of trailers.
        head_fields: Header fields of one head, trailers included.
        stray_answers: Answers to others before the one that is waited for.
        stray_bytes: Bytes of their bodies.
        answer_bytes: Bytes of an answer that is held whole.
        answers_bytes: Bytes of all answers that are held whole at the same time.
        event_bytes: Bytes of one event of a stream.
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
    """Memory of the answers that are held whole at the same time.

    Args:
        limits: What they may take.
    """

    __slots__ = ("_sizes", "_limits")

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self._sizes: dict[object, int] = {}

    def __repr__(self) -> str:
        return f"BufferedAnswers({len(self._sizes)} answers, {self.total_bytes} bytes)"

    @property
    def total_bytes(self) -> int:
        """Bytes of all answers."""
        return sum(self._sizes.values())

    def add(self, answer: object) -> None:
        """Count an answer from now on."""
        self._sizes[answer] = 0

    def remove(self, answer: object) -> None:
        """Count an answer no longer."""
        del self._sizes[answer]

    def update(self, answer: object, size: int) -> str:
        """Take note of an answer's size so far.

        Where all together take too much, those above an equal share must end; small
        answers beside a few endless ones are not touched.

        Returns:
            Why it may not be held any longer; empty where it may.
        """
        self._sizes[answer] = size
        if size > self._limits.answer_bytes:
            return f"the answer has over {self._limits.answer_bytes} bytes"
        share = self._limits.answers_bytes // len(self._sizes)
        if size > share and self.total_bytes > self._limits.answers_bytes:
            return f"all answers have over {self._limits.answers_bytes} bytes"
        return ""
