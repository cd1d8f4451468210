"""The lease of a session, measured by its holder's own clock."""

from __future__ import annotations

from .clock import Clock

# Relative difference between the rates of two machines' clocks that is allowed for.
MAX_CLOCK_DRIFT = 0.01


class Lease:
    """Determines whether another scheduler may have taken a session over.

    Used by the session's holder. The lease time starts when the last commit that took
    effect was sent.

    Args:
        clock: Source of time.
        lease_s: Time in seconds without a commit after which other schedulers may
            take the session over.
        renewed_s: Monotonic time in seconds at which the commit that wrote the
            session's row was sent.
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
        """Seconds since the commit that last renewed the lease was sent."""
        return self._clock.monotonic() - self._renewed_s

    @property
    def is_held(self) -> bool:
        """Whether no other scheduler can have taken the session over yet."""
        return self.age_s < self._lease_s * (1 - MAX_CLOCK_DRIFT)

    @property
    def is_stale(self) -> bool:
        """Whether the lease expired unnoticed, as in a process that was paused.

        False if the table stopped answering before the lease time was over. The lease
        then expired because of the outage, and :mod:`carobspur.outage` decides
        which work may continue.
        """
        if self.is_held:
            return False
        noticed_s = self._unanswered_since_s
        return noticed_s is None or noticed_s - self._renewed_s >= self._lease_s

    def renew(self, sent_s: float) -> None:
        """Record that a commit took effect.

        Args:
            sent_s: Monotonic time in seconds at which the commit was sent.
        """
        self._renewed_s = sent_s
        self._unanswered_since_s = None

    def record_unanswered(self, sent_s: float) -> None:
        """Record that a commit was not answered.

        Args:
            sent_s: Monotonic time in seconds at which the commit was sent. Only the
                first one after a renewal counts.
        """
        if self._unanswered_since_s is None:
            self._unanswered_since_s = sent_s
