"""Fencing numbers of what one scheduler sends to endpoints."""

from __future__ import annotations

NUMBERS_PER_EPOCH = 1 << 32


class FencingNumbers:
    """Numbers that grow with everything sent.

    A look-up must carry a higher number than the sending that it asks about, also
    where one session does both: else the sending could still be carried out after
    the look-up was answered. A session that takes over may be older than the one
    that it follows, so the number that was committed with the intent counts too.

    Args:
        epoch: The session's epoch.
    """

    __slots__ = ("_last",)

    def __init__(self, epoch: int) -> None:
        self._last = epoch * NUMBERS_PER_EPOCH

    def __repr__(self) -> str:
        return f"FencingNumbers(last={self._last})"

    @property
    def last(self) -> int:
        """The number that was taken last."""
        return self._last

    def take(self, *, above: int = 0) -> int:
        """Return a number that is higher than all before.

        Args:
            above: A number that an earlier session used for the same call.
        """
        self._last = max(self._last, above) + 1
        return self._last

    def skip_epoch(self) -> None:
        """Go on where no session can have been: an endpoint knows a higher number."""
        self._last += NUMBERS_PER_EPOCH
