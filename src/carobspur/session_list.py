"""A copy of all session rows, read again only after one came, went or changed."""

from __future__ import annotations

from .clock import Clock
from .session_row import (
    SESSION_PREFIX,
    SESSIONS_CHANGED_KEY,
    SessionRow,
    decode_session,
)
from .table import ABSENT_VERSION, Table

UNKNOWN_VERSION = -1


class SessionList:
    """Follows which sessions there are, by one read of a single row each time.

    Args:
        table: The table service.
        clock: Source of time.
        own_id: Id of the own session.
        rescan_s: Time after which all rows are read in any case.
    """

    __slots__ = (
        "_changed_version",
        "_clock",
        "_own_id",
        "_rescan_s",
        "_scanned_s",
        "_sessions",
    )
    __slots__ += ("_table",)

    def __init__(
        self, table: Table, clock: Clock, *, own_id: str, rescan_s: float
    ) -> None:
        self._table = table
        self._clock = clock
        self._own_id = own_id
        self._rescan_s = rescan_s
        self._changed_version = UNKNOWN_VERSION
        self._scanned_s = float("-inf")
        self._sessions: dict[str, SessionRow] = {}

    def __contains__(self, session: str) -> bool:
        return session in self._sessions

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def sessions(self) -> dict[str, SessionRow]:
        """Sessions by id, as of the last scan; their commit numbers are old."""
        return self._sessions

    @property
    def eligible(self) -> list[str]:
        """Sessions that shards may go to.

        Not those that leave, and not those that never made a commit: their process may
        have died, or lost the answer, while it opened them.
        """
        return [
            item.id
            for item in self._sessions.values()
            if not item.leaving and (item.commits or item.id == self._own_id)
        ]

    async def refresh(self) -> bool:
        """Read what changed; return whether the sessions were read again.

        Raises:
            StoreUnavailableError: No answer.
        """
        row = await self._table.read(SESSIONS_CHANGED_KEY)
        change = ABSENT_VERSION if row is None else row.version
        now_s = self._clock.monotonic()
        if change == self._changed_version and now_s - self._scanned_s < self._rescan_s:
            return False
        rows = [decode_session(row) for row in await self._table.scan(SESSION_PREFIX)]
        self._sessions = {item.id: item for item in rows}
        self._changed_version = change
        self._scanned_s = now_s
        return True

    def forget(self, session: str) -> None:
        """Drop a session that was taken over."""
        self._sessions.pop(session, None)
