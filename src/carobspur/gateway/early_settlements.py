"""Settlements that reach an owner before the turns that they end.

A gateway that stops waiting for a reservation settles it at once, and the settlement
can overtake the reservation. When an account changes its owner, a settlement can reach
the new owner before the account does.
"""

from __future__ import annotations

from .accounts import Account

MAX_SETTLEMENTS = 1000
"""Settlements that are stored: more than turns wait at one owner in an outage."""


class EarlySettlements:
    """Keeps the newest settlements until their turns are known to the owner."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"EarlySettlements({len(self._tokens)} turns)"

    def record(self, turn: str, tokens: int) -> None:
        """Keep what a turn generated; drops the oldest settlement above the limit."""
        self._tokens[turn] = tokens
        while len(self._tokens) > MAX_SETTLEMENTS:
            del self._tokens[next(iter(self._tokens))]

    def settle(self, account: Account) -> list[str]:
        """Settle open turns of an account that ended early; return their names."""
        ended = [turn for turn in account.open if turn in self._tokens]
        for turn in ended:
            account.settle(turn, self._tokens.pop(turn))
        return ended
