"""Tokens that a gateway holds for one customer; a pure module.

Handles the usual load without a message for each request: tokens are requested ahead of
demand, in proportion to the rate at which the gateway used them recently.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .rate_limit_times import REPEAT_AFTER_S, TOKEN_VALIDITY_S

AHEAD_S = TOKEN_VALIDITY_S / 2
"""Time for whose expected use a gateway holds tokens; with less than half of them left
it requests more."""
USE_WEIGHT = 0.5
"""Weight of the last measurement in the moving average of the use."""


@dataclass(slots=True)
class _Grant:
    """Tokens of one answer."""

    expires_at: float
    running: int
    other: int


class GrantedTokens:
    """Tokens of one customer, of which each expires."""

    __slots__ = ("_grants", "_requested_at", "_use_per_s", "_used", "_used_since")

    def __init__(self, now: float) -> None:
        self._grants: deque[_Grant] = deque()
        self._used = 0
        self._used_since = now
        self._use_per_s = 0.0
        self._requested_at = float("-inf")

    def add(self, running: int, other: int, expires_at: float) -> None:
        """Add the tokens of an answer.

        Args:
            running: Tokens for requests of running programs.
            other: Tokens for any requests.
            expires_at: Time at which they expire.
        """
        self._requested_at = float("-inf")
        if running or other:
            self._grants.append(_Grant(expires_at, running, other))

    def take(self, now: float, *, is_running: bool) -> float | None:
        """Take a token for a request.

        Returns:
            The time at which the token would have expired; ``None`` if there is no
            token for this kind of request.
        """
        self._expire(now)
        for grant in self._grants:
            if grant.expires_at <= now:
                continue
            if is_running and grant.running:
                grant.running -= 1
            elif grant.other:
                grant.other -= 1
            else:
                continue
            self._used += 1
            return grant.expires_at
        return None

    def give_back(self, expires_at: float, now: float) -> None:
        """Return the token of a request that was not sent, unless it has expired."""
        if now < expires_at:
            # Only requests of running programs may use it: it may be of the reserve.
            self._grants.append(_Grant(expires_at, 1, 0))
            self._used -= 1

    def wanted_ahead(self, now: float) -> int:
        """Return how many tokens to request ahead of demand now."""
        target = int(self._use_per_s * AHEAD_S)
        if not target or now - self._requested_at < REPEAT_AFTER_S:
            return 0
        self._expire(now)
        held = sum(grant.other for grant in self._grants if grant.expires_at > now)
        if held * 2 > target:
            return 0
        self._requested_at = now
        return target - held

    def measure_use(self, now: float) -> None:
        """Update the average use; called regularly."""
        elapsed_s = now - self._used_since
        if elapsed_s <= 0:
            return
        self._use_per_s += USE_WEIGHT * (
            max(0, self._used) / elapsed_s - self._use_per_s
        )
        self._used = 0
        self._used_since = now

    def clear(self) -> None:
        """Discard all tokens."""
        self._grants.clear()

    def _expire(self, now: float) -> None:
        while self._grants and (
            self._grants[0].expires_at <= now
            or not (self._grants[0].running or self._grants[0].other)
        ):
            self._grants.popleft()
