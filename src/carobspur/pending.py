"""Changes that wait for a session's next commit."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .journal import Record
from .table import Check, Write


@dataclass(slots=True, eq=False)
class PendingCommit:
    """Changes that wait for a commit."""

    records: list[Record]
    checks: list[Check]
    writes: list[Write]
    done: asyncio.Future[int]

    def resolve(self, commit: int) -> None:
        """Tell the waiter which commit holds the changes."""
        if not self.done.done():
            self.done.set_result(commit)

    def fail(self, error: Exception) -> None:
        """Tell the waiter that the changes were not, or may not be, committed."""
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()
