"""Fencing numbers of the requests that a scheduler sends to endpoints."""

from __future__ import annotations

# Each session has this many numbers before those of the next epoch begin.
NUMBERS_PER_EPOCH = 1 << 32


class FencingNumbers:
    """Issues fencing numbers, each higher than all before.

    A look-up must carry a higher number than the request whose outcome it queries,
    even if the same session sends both: otherwise the endpoint could still execute the
    request after it answered the look-up. A session that takes over calls may be older
    than their former session, so the number that was committed with a call's intent
    counts as well.

    Args:
        epoch: Fencing number of the session.
    """

    __slots__ = ("_last",)

    def __init__(self, epoch: int) -> None:
        self._last = epoch * NUMBERS_PER_EPOCH

    def __repr__(self) -> str:
        return f"FencingNumbers(last={self._last})"

    @property
    def last(self) -> int:
        """The number that was issued last."""
        return self._last

    def take(self, *, above: int = 0) -> int:
        """Return a number that is higher than all before.

        Args:
            above: Number that an earlier request for the same call carried; the
                result is higher than this as well.
        """
        self._last = max(self._last, above) + 1
        return self._last

    def skip_epoch(self) -> None:
        """Continue with numbers that no session can have used yet.

        Called when an endpoint has seen a higher number than the one it was sent.
        """
        self._last += NUMBERS_PER_EPOCH
