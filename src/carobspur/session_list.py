"""A cached copy of all session rows, scanned again only after a change."""

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
    """The sessions in the table, as of the last scan; a refresh usually reads one row.

    That row, ``sessions-changed``, is written by every transaction that adds, ends or
    drains a session. All session rows are scanned only if its version changed.

    Args:
        table: The table service.
        clock: Source of time.
        own_id: Id of this scheduler's session.
        rescan_s: Time in seconds after which all rows are scanned even without a
            change.
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
        """Sessions by id, as of the last scan; commit numbers may be outdated."""
        return self._sessions

    @property
    def eligible(self) -> list[str]:
        """Ids of the sessions to which shards may be assigned.

        Draining sessions are left out, and so are sessions without a commit: their
        process may have died, or lost the table's answer, while it opened the session.
        The own session counts even before its first commit.
        """
        return [
            item.id
            for item in self._sessions.values()
            if not item.leaving and (item.commits or item.id == self._own_id)
        ]

    async def refresh(self) -> bool:
        """Scan the session rows after a change, or if ``rescan_s`` has passed.

        Returns:
            Whether the rows were scanned.

        Raises:
            StoreUnavailableError: The table service did not answer.
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
        """Remove a session that was taken over, without waiting for the next scan."""
        self._sessions.pop(session, None)
