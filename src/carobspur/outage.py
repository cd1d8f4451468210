"""Detects outages of the table service and limits how long requests wait for it."""

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
    """Detects outages of the table service by the age of a session's lease.

    A session renews its lease several times per lease time, so an old lease means that
    commits do not succeed. Then no work is started that would need a commit.

    Args:
        session: The scheduler's session.
        clock: Source of time.
        lease_s: Lease time of the session, in seconds.
    """

    __slots__ = ("_clock", "_lease_s", "_session", "_probe", "_probe_started_s")

    def __init__(self, session: Session, clock: Clock, lease_s: float) -> None:
        self._session = session
        self._clock = clock
        self._lease_s = lease_s
        self._probe: asyncio.Future[int] | None = None
        self._probe_started_s = 0.0

    def __repr__(self) -> str:
        return f"OutageGuard(is_outage={self.is_outage})"

    @property
    def is_outage(self) -> bool:
        """Whether the lease's age exceeds ``OUTAGE_SHARE_OF_LEASE`` of its time."""
        return self._session.lease_age_s > OUTAGE_SHARE_OF_LEASE * self._lease_s

    def error(self, verdict: Verdict = NOT_RUN) -> StoreOutageError:
        """Return the error of a refused request, with the time after which to retry.

        That time grows with the length of the outage.

        Args:
            verdict: Verdict of the error: whether the request may have run.
        """
        half_s = self._session.lease_age_s / 2
        return StoreOutageError(
            "the table service does not answer; retry with the same call number or "
            "idempotency key",
            verdict=verdict,
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, half_s)),
        )

    async def require_table(self) -> None:
        """Raise an error during an outage.

        Called before a request that needs a commit or must not rely on outdated state.
        During an outage, one commit at a time probes the table. Requests wait for the
        probe until ``PROBE_TIMEOUT_S`` after its start; later ones are refused at once.

        Raises:
            StoreOutageError: The table does not answer.
            SessionLostError: The probe found that the session was taken over.
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
        """Limit the time that the body waits for the table to ``COMMIT_TIMEOUT_S``.

        A commit that was started continues in the background.

        Args:
            verdict: Verdict of the error: whether the request may have run.

        Raises:
            StoreOutageError: The time is up, or the body raised a ``StoreError``.
        """
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                yield
        except (TimeoutError, StoreError) as error:
            raise self.error(verdict) from error


def _retrieve_exception(probe: asyncio.Future[int]) -> None:
    if not probe.cancelled():
        probe.exception()
