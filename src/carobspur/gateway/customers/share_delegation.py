"""To which owner a gateway has delegated its share of a rate; a pure module.

Handles moves and failures of owners: the share of a gateway is counted by at most one
owner at a time, whatever the gateways believe of each other.
"""

from __future__ import annotations

from .rate_limit_times import DELEGATION_MARGIN_S, DELEGATION_S


class ShareDelegation:
    """Delegation of one customer's share.

    Args:
        free_at: Time from which the share may be delegated.

    Attributes:
        holder: Address of the owner that may count the share; empty for none.
        level: Level received with the share from the last owner.
    """

    __slots__ = ("_number", "_until", "holder", "level")

    def __init__(self, free_at: float) -> None:
        self.holder = ""
        self._until = free_at
        # Number of the last message that delegates the share.
        self._number = 0
        self.level = 0.0

    def may_delegate(self, owner: str, now: float) -> bool:
        """Return whether the share may be delegated to an owner now."""
        if now >= self._until:
            self.holder = ""
        return self.holder == owner or (not self.holder and now >= self._until)

    def delegate(self, owner: str, stamp_received_at: float, number: int) -> float:
        """Record that a delegation is sent to the owner.

        Args:
            owner: Address of the owner.
            stamp_received_at: Time at which the owner's stamp in the message arrived.
            number: Number of the message.

        Returns:
            The level to hand over with it.
        """
        self.holder = owner
        self._number = number
        until = stamp_received_at + DELEGATION_S + DELEGATION_MARGIN_S
        self._until = max(self._until, until)
        level, self.level = self.level, 0.0
        return level

    def returned(self, owner: str, level: float, number: int, now: float) -> None:
        """Record that an owner no longer counts the share.

        Args:
            owner: Address of the owner.
            level: Level that goes with the share.
            number: Number of the message that withdrew the share. A delegation sent
                after it still holds.
            now: Time in seconds.
        """
        if self.holder == owner and number > self._number:
            self.holder = ""
            self._until = now
            self.level = level
