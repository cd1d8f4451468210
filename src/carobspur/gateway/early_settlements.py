"""Settlements that reach an owner before the turns that they end.

A gateway that stops waiting for a reservation settles it at once, and the settlement
can overtake the reservation. When an account changes its owner, a settlement can reach
the new owner before the account does.
"""

from __future__ import annotations

from .accounts import Account

MAX_SETTLEMENTS = 1000
"""Largest number of stored settlements: more than the turns that wait at one owner
during an outage."""


class EarlySettlements:
    """Stores the newest settlements until the owner learns of their turns."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"EarlySettlements({len(self._tokens)} turns)"

    def record(self, turn: str, tokens: int) -> None:
        """Store a settlement; drop the oldest one above ``MAX_SETTLEMENTS``."""
        self._tokens[turn] = tokens
        while len(self._tokens) > MAX_SETTLEMENTS:
            del self._tokens[next(iter(self._tokens))]

    def settle(self, account: Account) -> list[str]:
        """Apply stored settlements to an account's open turns; return those turns."""
        ended = [turn for turn in account.open if turn in self._tokens]
        for turn in ended:
            account.settle(turn, self._tokens.pop(turn))
        return ended
