"""One account of the bytes that the process buffers for callers.

The load handled here is many clients at once whose bodies stop short, exceed the limit
or arrive slowly, or which do not read their answers. The account decides whose bytes
are dropped when the bound is reached.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from .settings import MemorySettings

SMALL_SHARE = 0.2
"""Share of the bound that only small bodies may use, so that ordinary requests are
served while large ones fill the rest."""
PROGRESS_BYTES = 1024
"""Bytes that count as progress. A client that sends single bytes makes none."""
SEND_COPIES = 2
"""Copies of a complete body while it is sent: the body itself, which a retry needs, and
the encoded request."""


class Phase(StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    """It waits for the first byte of a request."""
    HEAD = "head"
    BODY = "body"
    REQUEST = "request"
    """Its request was read completely and is being handled."""
    ANSWER = "answer"
    """Its request has been handled; bytes of the answer may wait for the caller."""


@dataclass(slots=True, eq=False)
class ConnectionUse:
    """What one connection of a caller takes up.

    Attributes:
        phase: What the connection is doing.
        phase_since: Time at which the phase began.
        request_bytes: Bytes of its request that are in memory.
        unread_bytes: Bytes of its answer that wait for the caller.
        progress_at: Time of the last progress in the request or the answer.
        is_dropped: Whether it is being closed; it no longer counts.
    """

    phase: Phase = Phase.IDLE
    phase_since: float = 0.0
    request_bytes: int = 0
    unread_bytes: int = 0
    progress_at: float = 0.0
    is_dropped: bool = False
    _uncounted: int = 0

    @property
    def size(self) -> int:
        """All its bytes."""
        return self.request_bytes + self.unread_bytes

    @property
    def is_incomplete(self) -> bool:
        """Whether its request has been read only in part."""
        return self.phase in (Phase.HEAD, Phase.BODY)

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.phase_since = self.progress_at = now
        self._uncounted = 0

    def record_bytes(self, count: int, now: float) -> None:
        """Record bytes that were received or that the caller has taken."""
        self._uncounted += count
        if self._uncounted >= PROGRESS_BYTES:
            self._uncounted = 0
            self.progress_at = now

    def stalled_s(self, now: float) -> float:
        """Return the seconds since the last progress."""
        return now - self.progress_at


class MemoryAccount:
    """Counts the bytes of all connections against one bound.

    Args:
        settings: The bounds.
        other_bytes: Returns further bytes that count towards the bound, but that are
            bounded elsewhere: answers of endpoints that are buffered completely.
    """

    __slots__ = ("_bytes", "_other_bytes", "_settings", "uses")

    def __init__(
        self,
        settings: MemorySettings,
        *,
        other_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._other_bytes = other_bytes
        self._bytes = 0
        self.uses: set[ConnectionUse] = set()

    @property
    def settings(self) -> MemorySettings:
        """The bounds."""
        return self._settings

    @property
    def total_bytes(self) -> int:
        """All bytes that count towards the bound."""
        return self._bytes + self._other_bytes()

    def add(self, use: ConnectionUse) -> None:
        """Start to count a connection."""
        self.uses.add(use)
        self._bytes += use.size

    def remove(self, use: ConnectionUse) -> None:
        """Stop counting a connection; does nothing if it is not counted."""
        if use in self.uses:
            self.uses.remove(use)
            self._bytes -= use.size
        use.is_dropped = True

    def set_request(
        self, use: ConnectionUse, size: int, now: float
    ) -> list[ConnectionUse]:
        """Set the bytes of an incomplete request.

        Returns:
            Connections that must be closed for it; they no longer count. Its own may be
            among them.
        """
        has_grown = size > use.request_bytes
        self._set(use, size, use.unread_bytes)
        return self._drop_until_within(use, now) if has_grown else []

    def set_unread(
        self, use: ConnectionUse, size: int, now: float
    ) -> list[ConnectionUse]:
        """Set the bytes of the answer that wait for the caller.

        Returns:
            Connections that must be closed for it, as with :meth:`set_request`.
        """
        has_grown = size > use.unread_bytes
        if has_grown and not use.unread_bytes:
            use.progress_at = now
        self._set(use, use.request_bytes, size)
        return self._drop_until_within(use, now) if has_grown else []

    def retain(
        self, use: ConnectionUse, body_bytes: int, now: float
    ) -> tuple[bool, list[ConnectionUse]]:
        """Count a request that was read completely, for as long as it is handled.

        Returns:
            Whether there is room for it, and connections that must be closed for it.
            Without room it must be refused; its bytes no longer count.
        """
        use.enter(Phase.REQUEST, now)
        self._set(use, body_bytes * SEND_COPIES, use.unread_bytes)
        dropped = self._drop_until_within(use, now)
        if self._is_over(use):
            self.release(use)
            return False, dropped
        return True, dropped

    def release(self, use: ConnectionUse) -> None:
        """Stop counting the bytes of a connection's request."""
        self._set(use, 0, use.unread_bytes)

    def _set(self, use: ConnectionUse, request_bytes: int, unread_bytes: int) -> None:
        if use in self.uses:
            self._bytes += request_bytes + unread_bytes - use.size
        use.request_bytes, use.unread_bytes = request_bytes, unread_bytes

    def _is_over(self, use: ConnectionUse) -> bool:
        bound = self._settings.buffer_bytes
        if use.size > self._settings.small_bytes:
            bound -= int(bound * SMALL_SHARE)
        return self.total_bytes > bound

    def _drop_until_within(self, use: ConnectionUse, now: float) -> list[ConnectionUse]:
        dropped: list[ConnectionUse] = []
        while use in self.uses and self._is_over(use):
            victim = first_to_drop(
                self.uses,
                now,
                stall_s=self._settings.stall_s,
                may_drop_readers=use.phase is not Phase.REQUEST or use.unread_bytes > 0,
            )
            if victim is None:
                break
            self.remove(victim)
            dropped.append(victim)
        return dropped


def first_to_drop(
    uses: Iterable[ConnectionUse],
    now: float,
    *,
    stall_s: float,
    may_drop_readers: bool,
) -> ConnectionUse | None:
    """Return the connection to close first for its memory; ``None`` if there is none.

    The largest incomplete request that makes no progress comes first, then the largest
    answer that is not read, then the largest incomplete request of all. A request that
    was read completely is never dropped unless its answer is not read.

    Args:
        uses: All connections.
        now: The present time.
        stall_s: Seconds without progress after which a connection counts as stalled.
        may_drop_readers: Whether, as the last resort, callers that read their answer
            slowly are dropped too.
    """

    def _rank(use: ConnectionUse) -> int:
        is_stalled = use.stalled_s(now) >= stall_s
        if use.is_incomplete and use.request_bytes:
            return 3 if is_stalled else 1
        if use.unread_bytes:
            return 2 if is_stalled else int(may_drop_readers) - 1
        return -1

    found = max(uses, key=lambda use: (_rank(use), use.size), default=None)
    return found if found is not None and _rank(found) >= 0 else None


def first_to_disconnect(
    uses: Iterable[ConnectionUse], now: float, *, stall_s: float
) -> ConnectionUse | None:
    """Return the connection to close so that another can be accepted.

    Heads and bodies without progress come first, the longest without it before others,
    then the connection that has been idle for longest, then answers that are not read,
    then heads and bodies that make progress. ``None`` if all are being served.

    Args:
        uses: All connections.
        now: The present time.
        stall_s: Seconds without progress after which a connection counts as stalled.
    """

    def _rank(use: ConnectionUse) -> int:
        is_stalled = use.stalled_s(now) >= stall_s
        if use.is_incomplete:
            return 3 if is_stalled else 0
        if use.phase is Phase.IDLE:
            return 2
        if use.unread_bytes and is_stalled:
            return 1
        return -1

    found = max(uses, key=lambda use: (_rank(use), use.stalled_s(now)), default=None)
    return found if found is not None and _rank(found) >= 0 else None


def overdue(
    use: ConnectionUse, now: float, *, head_s: float, settings: MemorySettings
) -> str:
    """Return the name of the time limit that a connection has exceeded; else nothing.

    Args:
        use: The connection.
        now: The present time.
        head_s: Longest time from the first byte of a head to its end.
        settings: The other limits.
    """
    if use.phase is Phase.HEAD and now - use.phase_since > head_s:
        return "head_time"
    if use.phase is Phase.BODY and use.stalled_s(now) > settings.body_idle_s:
        return "body_idle_s"
    if use.unread_bytes and use.stalled_s(now) > settings.unread_idle_s:
        return "unread_idle_s"
    return ""
