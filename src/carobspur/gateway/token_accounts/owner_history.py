"""Decides what an owner may assume about grants of other owners; pure rules.

While the store is unreachable, the owner of a new program may grant a small share of
its budget without a row. Such grants are known only to processes. They are lost with
the last process that knows of them, whether it crashes, or stops before it has written
its rows.

Two rules keep the budget all the same:

* An owner grants without a row only if no other owner that may have had the account has
  ended within the loss window, and only while its own member row is in the store. The
  row is removed once all that it has granted is recorded or has another owner. A row
  that outlives its process is therefore a durable sign of grants that may be lost.
* An owner that knows of such a sign, or cannot know yet whether there is one, counts a
  share of the budget as spent for every program without a row.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OwnerHistory:
    """What one gateway knows about the owners within the loss window.

    All times are loop times in seconds.

    Attributes:
        now: The current time.
        window_s: The loss window: how long after its last turn a program may return,
            and a margin.
        started_at: When this gateway started; minus infinity if the whole system
            started with it, so that there were no earlier owners.
        last_crash_at: When this gateway last learned that another one had ended while
            its grants may not have been recorded.
        last_departure_at: When another gateway last began to leave or had left.
        unreachable_until: Time until which no gateway reached the store.
        is_listed: Whether this gateway's member row is known to be in the store.
        is_stopping: Whether this gateway is stopping.
        is_table_read: Whether the store has answered with the table of members.
        has_leaving_members: Whether a member that is not ready may have grants that are
            not recorded yet.
        has_unheard_members: Whether a member that should send heartbeats to this
            gateway has sent none so far.
        has_unrecorded_members: Whether a member reports grants that no row counts.
    """

    now: float
    window_s: float
    started_at: float
    last_crash_at: float
    last_departure_at: float
    unreachable_until: float
    is_listed: bool
    is_stopping: bool
    is_table_read: bool
    has_leaving_members: bool
    has_unheard_members: bool
    has_unrecorded_members: bool

    @property
    def was_unreachable(self) -> bool:
        """Whether the store may have been unreachable within the loss window."""
        return self._is_recent(max(self.unreachable_until, self.started_at))

    @property
    def may_grant_unrecorded(self) -> bool:
        """Whether this gateway may grant tokens that no row counts."""
        if not self.is_listed or self.is_stopping or self.may_have_lost_grants:
            return False
        return self._are_owners_unchanged

    @property
    def may_be_granted_elsewhere(self) -> bool:
        """Whether another gateway may have granted tokens of a program without a row.

        While the owners stay the same, only the first choice for a program does.
        """
        return self.has_unrecorded_members and not self._are_owners_unchanged

    @property
    def may_have_lost_grants(self) -> bool:
        """Whether owners that ended may have made grants that no row counts.

        A gateway that has just started does not know whether a member that it has not
        heard of has ended.
        """
        if self._is_recent(self.last_crash_at) or not self.is_table_read:
            return True
        is_new = self._is_recent(self.started_at)
        return (self.has_leaving_members and self.was_unreachable) or (
            self.has_unheard_members and is_new
        )

    @property
    def _are_owners_unchanged(self) -> bool:
        return not any(
            self._is_recent(moment)
            for moment in (self.started_at, self.last_crash_at, self.last_departure_at)
        )

    def _is_recent(self, moment: float) -> bool:
        return self.now - moment < self.window_s
