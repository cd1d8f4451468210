"""Which sessions are silent, judged on the watcher's own clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from .session_row import session_key
from .table import Row


@dataclass(slots=True)
class LeaseWatch:
    """Tells which sessions have been silent for the lease time.

    Attributes:
        lease_s: The lease time.
    """

    lease_s: float
    _seen: dict[str, tuple[int, float]] = field(default_factory=dict)

    def observe(self, rows: list[Row], now_s: float) -> None:
        """Take the session rows of one scan.

        Args:
            rows: All session rows.
            now_s: The watcher's own monotonic time before the scan was sent.
        """
        fresh = {}
        for row in rows:
            known = self._seen.get(row.key)
            unchanged = known is not None and known[0] == row.version
            fresh[row.key] = known if unchanged else (row.version, now_s)
        self._seen = fresh

    def silent_for_s(self, session: str, now_s: float) -> float:
        """Return for how long a session's row has been seen unchanged."""
        known = self._seen.get(session_key(session))
        return 0.0 if known is None else now_s - known[1]

    def is_expired(self, session: str, now_s: float, *, patience_s: float = 0) -> bool:
        """Return whether a session may be taken over."""
        return self.silent_for_s(session, now_s) >= self.lease_s + patience_s
