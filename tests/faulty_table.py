"""A table that injects faults into commits, and can be made unreachable."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum

from carobspur.errors import StoreConflictError, StoreUnavailableError
from carobspur.table import Check, Row, Write
from carobspur.verdict import NOT_RUN
from carobspur_standins.table import MemoryTable


class CommitFault(StrEnum):
    """What happens to a commit.

    All faults but ``NONE`` raise a :class:`StoreUnavailableError`. ``REFUSED`` is known
    not to have run; ``DROPPED`` never arrives; ``LATE`` arrives when
    :meth:`FaultyTable.deliver_late` is called; ``ANSWER_LOST`` takes effect.
    """

    NONE = "none"
    REFUSED = "refused"
    DROPPED = "dropped"
    LATE = "late"
    ANSWER_LOST = "answer_lost"


class FaultyTable:
    """Wraps a table and injects faults.

    Attributes:
        inner: The wrapped table, which has no faults.
        is_down: Whether every read, scan and commit fails.
        fault: Returns the fault of a commit with the given writes.
        late: Transactions that have not arrived yet.
    """

    def __init__(self, inner: MemoryTable) -> None:
        self.inner = inner
        self.is_down = False
        self.fault: Callable[[list[Write]], CommitFault] = lambda _: CommitFault.NONE
        self.late: list[tuple[list[Check], list[Write]]] = []

    async def commit(self, checks: list[Check], writes: list[Write]) -> int:
        """Commit with the fault that ``fault`` returns."""
        fault = CommitFault.REFUSED if self.is_down else self.fault(writes)
        match fault:
            case CommitFault.REFUSED:
                raise StoreUnavailableError("commit refused", verdict=NOT_RUN)
            case CommitFault.LATE:
                self.late.append((checks, writes))
            case CommitFault.ANSWER_LOST:
                await self.inner.commit(checks, writes)
            case CommitFault.NONE:
                return await self.inner.commit(checks, writes)
        raise StoreUnavailableError("no answer")

    def deliver_late(self) -> None:
        """Apply the late transactions; those whose checks fail have no effect."""
        late, self.late = self.late, []
        for checks, writes in late:
            with suppress(StoreConflictError):
                self.inner.apply(checks, writes)

    async def read(self, key: str) -> Row | None:
        """Read a row, unless the table is down."""
        self._require_up()
        return await self.inner.read(key)

    async def scan(self, prefix: str) -> list[Row]:
        """Scan rows, unless the table is down."""
        self._require_up()
        return await self.inner.scan(prefix)

    def _require_up(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("the table is down")


def faults_in_order(*faults: CommitFault) -> Callable[[list[Write]], CommitFault]:
    """Return a function that returns these faults in order, and then ``NONE``."""
    remaining = list(faults)
    return lambda writes: remaining.pop(0) if remaining else CommitFault.NONE
