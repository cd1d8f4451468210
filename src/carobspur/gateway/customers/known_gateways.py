"""Counts the gateways among which a customer's rate is divided; a pure module.

Handles partitions: each side removes the rows of the other side's gateways after 30 s
and would otherwise divide the whole rate among its own gateways only.
"""

from __future__ import annotations

from collections.abc import Iterable

FORGET_AFTER_S = 600.0
"""Time without a row after which a gateway that did not leave no longer counts. In a
partition, the side that reaches the store removes the rows of the other side, which
goes on with its own shares; a dead gateway's unused share costs little."""
REPORT_TTL_S = 5.0
"""How long a larger number that another gateway reported counts."""


class KnownGateways:
    """Gateways that are listed, or were until recently, by their caller addresses."""

    __slots__ = (
        "_is_loaded",
        "_leaving",
        "_reported",
        "_reported_at",
        "_seen_at",
        "_updated_at",
    )

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._is_loaded = False
        self._reported = 0
        self._reported_at = float("-inf")
        self._updated_at: float | None = None

    def update(
        self,
        addresses: Iterable[str],
        now: float,
        *,
        is_table_current: bool,
        leaving: Iterable[str] = (),
    ) -> None:
        """Record the listed gateways.

        Args:
            addresses: Caller addresses of all known members, this one included.
            now: Time in seconds.
            is_table_current: Whether the member table was recently read from the store.
                Otherwise missing gateways are not forgotten.
            leaving: Those of the addresses whose gateways are stopping. They no longer
                count once they are not listed.
        """
        if self._updated_at is not None and not is_table_current:
            elapsed_s = now - self._updated_at
            for address in self._seen_at:
                self._seen_at[address] += elapsed_s
        self._updated_at = now
        self._is_loaded |= is_table_current
        listed = set(addresses)
        self._seen_at.update(dict.fromkeys(listed, now))
        self._leaving = (self._leaving - listed) | set(leaving)
        if not is_table_current:
            return
        for address, seen_at in list(self._seen_at.items()):
            if address not in listed and (
                address in self._leaving or now - seen_at > FORGET_AFTER_S
            ):
                del self._seen_at[address]
                self._leaving.discard(address)

    def record_report(self, count: int, now: float) -> None:
        """Record the number that another gateway knows; 0 if it does not know it."""
        if count <= 0:
            return
        self._is_loaded = True
        is_expired = now - self._reported_at > REPORT_TTL_S
        if count >= self._reported or is_expired:
            self._reported = count
            self._reported_at = now

    def __contains__(self, address: str) -> bool:
        return address in self._seen_at

    def own_count(self) -> int:
        """Return the number to report to others; 0 before the table was read."""
        return len(self._seen_at) if self._is_loaded else 0

    def count(self, now: float) -> int:
        """Return the number of gateways; 0 before it is known."""
        if not self._is_loaded:
            return 0
        is_expired = now - self._reported_at > REPORT_TTL_S
        return max(len(self._seen_at), 0 if is_expired else self._reported)
