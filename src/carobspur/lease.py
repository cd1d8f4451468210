"""The lease of a session, judged on its holder's own clock."""

from __future__ import annotations

from .clock import Clock

MAX_CLOCK_DRIFT = 0.01


class Lease:
    """Knows whether somebody else may have taken a session over.

    Args:
        clock: Source of time.
        lease_s: Time after which others may take over a session that is silent.
        renewed_s: When the commit that wrote the session's row was sent.
    """

    __slots__ = ("_clock", "_lease_s", "_renewed_s", "_unanswered_since_s")

    def __init__(self, clock: Clock, lease_s: float, renewed_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._renewed_s = renewed_s
        self._unanswered_since_s: float | None = None

    def __repr__(self) -> str:
        return f"Lease(age_s={self.age_s:.3f})"

    @property
    def age_s(self) -> float:
        """Seconds since the commit that renewed it was sent."""
        return self._clock.monotonic() - self._renewed_s

    @property
    def is_held(self) -> bool:
        """Whether nobody can have taken the session over yet."""
        return self.age_s < self._lease_s * (1 - MAX_CLOCK_DRIFT)

    @property
    def is_stale(self) -> bool:
        """Whether it lapsed unnoticed, as in a process that was paused.

        False where the table stopped answering while the lease still held: then it
        lapsed because of the outage, and what goes on is decided elsewhere.
        """
        if self.is_held:
            return False
        noticed_s = self._unanswered_since_s
        return noticed_s is None or noticed_s - self._renewed_s >= self._lease_s

    def renew(self, sent_s: float) -> None:
        """Take note that a commit took effect.

        Args:
            sent_s: When it was first sent.
        """
        self._renewed_s = sent_s
        self._unanswered_since_s = None

    def record_unanswered(self, sent_s: float) -> None:
        """Take note that a commit had no answer."""
        if self._unanswered_since_s is None:
            self._unanswered_since_s = sent_s
