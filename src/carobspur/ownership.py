"""Which programs this scheduler serves, and which shards have calls in progress."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from .errors import NotOwnerError
from .placement import shard_of
from .session import Session


class Ownership:
    """Admits work only for programs served here, and tracks which shards are busy.

    A busy shard is not handed over to another scheduler.

    Args:
        session: The scheduler's session.
        owns: Returns whether this scheduler serves a program.
        shards: Number of shards of the whole system.
    """

    __slots__ = ("_busy", "_owns", "_session", "_shard_count")

    def __init__(
        self, *, session: Session, owns: Callable[[str], bool], shards: int
    ) -> None:
        self._session = session
        self._owns = owns
        self._shard_count = shards
        self._busy: dict[int, int] = {}

    def __repr__(self) -> str:
        return f"Ownership({len(self._busy)} busy shards)"

    def is_busy(self, shard: int) -> bool:
        """Return whether work for a shard's programs is in progress."""
        return shard in self._busy

    def owns(self, program: str) -> bool:
        """Return whether a program is served by this scheduler."""
        return not self._session.is_lost and self._owns(program)

    def require(self, program: str) -> None:
        """Raise an error unless a program is served by this scheduler.

        Raises:
            NotOwnerError: Another scheduler owns it.
        """
        if not self.owns(program):
            raise NotOwnerError(f"program {program} belongs to another scheduler")

    @contextmanager
    def working_on(self, program: str) -> Iterator[None]:
        """Mark a program's shard as busy, so that it is not handed over meanwhile.

        Raises:
            NotOwnerError: Another scheduler owns the program.
        """
        self.require(program)
        shard = shard_of(program, self._shard_count)
        self._busy[shard] = self._busy.get(shard, 0) + 1
        try:
            yield
        finally:
            self._busy[shard] -= 1
            if not self._busy[shard]:
                del self._busy[shard]
