"""Ends of turns that come before the turns are known at a home."""

from __future__ import annotations

from .accounts import Account

MAX_SETTLEMENTS = 1000
"""Ends that are remembered: more than turns wait at one home during an outage."""


class EarlySettlements:
    """Remembers what turns generated, newest ends only, until the turns are known."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"EarlyEnds({len(self._tokens)} turns)"

    def record(self, turn: str, tokens: int) -> None:
        """Remember what a turn generated."""
        self._tokens[turn] = tokens
        while len(self._tokens) > MAX_SETTLEMENTS:
            del self._tokens[next(iter(self._tokens))]

    def settle(self, account: Account) -> list[str]:
        """End the turns of an account whose ends are remembered; returns these."""
        ended = [turn for turn in account.open if turn in self._tokens]
        for turn in ended:
            account.settle(turn, self._tokens.pop(turn))
        return ended
