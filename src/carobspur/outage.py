"""What goes on and what is refused while the table service does not answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from .clock import Clock
from .errors import StoreError, StoreOutageError
from .session import Session
from .verdict import NOT_RUN, Verdict

COMMIT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 0.5
OUTAGE_SHARE_OF_LEASE = 0.75
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 15.0


class OutageGuard:
    """Tells from the age of a session's lease whether the table answers.

    A session renews its lease several times a lease time, so an old lease means that
    commits do not come through: then no work is begun that would need one.

    Args:
        session: The scheduler's session.
        clock: Source of time.
        lease_s: Its lease time.
    """

    __slots__ = ("_clock", "_lease_s", "_session", "_probe", "_probe_started_s")

    def __init__(self, session: Session, clock: Clock, lease_s: float) -> None:
        self._session = session
        self._clock = clock
        self._lease_s = lease_s
        self._probe: asyncio.Future[int] | None = None
        self._probe_started_s = 0.0

    def __repr__(self) -> str:
        return f"OutageGuard(is_out={self.is_outage})"

    @property
    def is_outage(self) -> bool:
        """Whether the table has not answered for a part of the lease time."""
        return self._session.lease_age_s > OUTAGE_SHARE_OF_LEASE * self._lease_s

    def error(self, verdict: Verdict = NOT_RUN) -> StoreOutageError:
        """Return the error that tells a caller when to come back."""
        half_s = self._session.lease_age_s / 2
        return StoreOutageError(
            "the table service does not answer; ask again with the same number or key",
            verdict=verdict,
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, half_s)),
        )

    async def require_table(self) -> None:
        """Refuse what would need a commit, or could rest on old state.

        An old lease is tried once; while that takes too long, all are refused at once.

        Raises:
            StoreOutageError: The table does not answer.
            SessionLostError: The session was taken over.
        """
        if not self.is_outage:
            return
        now_s = self._clock.monotonic()
        if self._probe is None or self._probe.done():
            self._probe = asyncio.ensure_future(self._session.commit())
            self._probe.add_done_callback(_retrieve_exception)
            self._probe_started_s = now_s
        remaining_s = self._probe_started_s + PROBE_TIMEOUT_S - now_s
        if remaining_s > 0:
            await asyncio.wait({self._probe}, timeout=remaining_s)
        if not self._probe.done():
            raise self.error()
        self._probe.result()

    @asynccontextmanager
    async def limit_wait(self, verdict: Verdict) -> AsyncIterator[None]:
        """End the body's wait for the table after a limit; a commit goes on.

        Args:
            verdict: What is true of the request while the commit goes on.

        Raises:
            StoreOutageError: The limit was reached, or the table did not answer.
        """
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                yield
        except (TimeoutError, StoreError) as error:
            raise self.error(verdict) from error


def _retrieve_exception(probe: asyncio.Future[int]) -> None:
    if not probe.cancelled():
        probe.exception()
