"""Token accounts of programs: rules of what may be granted, without any I/O.

A program's account belongs to one gateway at a time, its owner. The owner writes an
allowance to the program's row in the store: a number of tokens that count as spent,
larger than what is spent so far. Up to its allowance it grants turns without a store
call, also while the store is unreachable. A gateway that takes an account over without
hearing from the former owner counts the whole allowance as spent. The former owner may
therefore still grant up to its allowance, unaware of the change, and the budget is not
exceeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeAlias

HEADROOM_SHARE = 0.12
"""Share of a budget by which an allowance exceeds what is spent. The program loses it
when the owner dies."""
LONG_HEADROOM_SHARE = 0.25
"""The same for a long program, which can then run through most of a store outage.
Programs on the users' benches use at most 0.6 of their budgets, so that enough is left
after the death of one owner."""
LONG_TURNS = 10
"""A program is long if its budget holds at least this many turns of the newest size."""
UNRECORDED_SHARE = 0.15
"""Share of a budget that an owner may grant to a new program without a row while the
store is unreachable."""
ASSUMED_SPENT_SHARE = 2 * UNRECORDED_SHARE
"""Share of a budget that counts as spent by a program without a row where owners may
have died with unrecorded grants: twice what one owner may grant without a row."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The turn may run.

    Attributes:
        other_tokens: Tokens that the program's other turns have spent or reserved.
    """

    other_tokens: int


@dataclass(frozen=True, slots=True)
class Spent:
    """The turn does not fit into the budget.

    Attributes:
        other_tokens: Tokens that the program's other turns have spent or reserved.
    """

    other_tokens: int


@dataclass(frozen=True, slots=True)
class NeedsAllowance:
    """The allowance must be raised in the store first.

    Attributes:
        tokens: The allowance to write.
    """

    tokens: int


Grant: TypeAlias = Granted | Spent | NeedsAllowance


@dataclass(slots=True)
class Account:
    """The account of one program at its owner.

    Attributes:
        budget: Tokens that all turns together may generate.
        spent_before: Tokens that count as spent before this owner took over.
        settled: Tokens that turns generated which ended here.
        open: Turns that are running, with the most tokens that each may generate.
        allowance: Tokens up to which turns are granted without a store call: what the
            row counts as spent, or a small share while there is no row.
        version: Version of the row; 0 while this account has no row.
        inherited_unrecorded: Tokens that a former owner granted and that no row counts.
        used_at: Loop time of the last reservation or of taking the account over.
        retention_s: How long after its last turn the program may return.
        opened_serial: Serial of the owner's last row write before it opened the
            account; a row with a higher serial was written by this account.
        is_row_uncertain: Whether the row may count more than ``allowance``, because
            a write was not answered.
        turn_tokens: Most tokens that the newest turn may generate.
    """

    budget: int
    spent_before: int = 0
    settled: int = 0
    open: dict[str, int] = field(default_factory=dict)
    allowance: int = 0
    version: int = 0
    inherited_unrecorded: int = 0
    used_at: float = 0.0
    retention_s: float = 0.0
    opened_serial: int = 0
    is_row_uncertain: bool = False
    turn_tokens: int = 0

    @property
    def spent(self) -> int:
        """Tokens spent or reserved."""
        return (
            self.spent_before
            + self.inherited_unrecorded
            + self.settled
            + sum(self.open.values())
        )

    @property
    def is_long(self) -> bool:
        """Whether the budget holds at least ``LONG_TURNS`` turns like the newest."""
        return self.budget >= LONG_TURNS * self.turn_tokens

    @property
    def headroom(self) -> int:
        """Tokens by which a new allowance should exceed what is spent."""
        return int(
            self.budget * (LONG_HEADROOM_SHARE if self.is_long else HEADROOM_SHARE)
        )

    @property
    def idle_allowance(self) -> int:
        """Allowance for the time in which the program runs no turn.

        It includes one more turn, which then needs no store call, but only where
        another turn would still fit after the death of this owner.
        """
        with_turn = self.spent + self.turn_tokens
        return with_turn if with_turn + self.turn_tokens <= self.budget else self.spent

    @property
    def is_row_too_high(self) -> bool:
        """Whether the row may count more than the allowance of an idle program."""
        is_higher = bool(self.version) and self.allowance > self.idle_allowance
        return is_higher or self.is_row_uncertain

    @property
    def row_refuses_next_turn(self) -> bool:
        """Whether one more turn fits the budget, but not beside what the row counts.

        If this owner died, the next one would refuse a turn that the budget holds.
        """
        fits = self.spent + self.turn_tokens <= self.budget
        return fits and self.allowance + self.turn_tokens > self.budget

    @property
    def is_new(self) -> bool:
        """Whether the account has no row and nothing was granted without one."""
        return not self.version and not self.unrecorded

    @property
    def unrecorded(self) -> int:
        """Granted tokens that no row counts."""
        if self.version:
            return 0
        return self.inherited_unrecorded + self.settled + sum(self.open.values())

    @property
    def unrecorded_turns(self) -> dict[str, int]:
        """Running turns that no row counts, with the most tokens of each."""
        return {} if self.version else dict(self.open)

    def grant(self, turn: str, tokens: int) -> Grant:
        """Decide on a turn, and reserve its tokens if it is granted.

        A turn that is already running is granted again without a second reservation.

        Args:
            turn: Name of the reservation.
            tokens: The most that the turn may generate.
        """
        if turn in self.open:
            return Granted(self.spent - self.open[turn])
        self.turn_tokens = tokens
        other_tokens = self.spent
        needed = other_tokens + tokens
        if needed > self.budget:
            return Spent(other_tokens)
        if needed > self.allowance:
            return NeedsAllowance(needed + self._headroom_above(needed))
        self.open[turn] = tokens
        return Granted(other_tokens)

    def _headroom_above(self, needed: int) -> int:
        """Return by how much an allowance should exceed the tokens needed.

        One more turn must still fit after the death of this owner, when the whole
        allowance counts as spent.
        """
        room = self.budget - needed - self.turn_tokens
        return max(0, min(self.headroom, room))

    def settle(self, turn: str, tokens: int) -> bool:
        """End a turn; return false if it is not running here."""
        if turn not in self.open:
            return False
        self.settled += min(tokens, self.open.pop(turn))
        return True

    def adopt(self, tokens: int, version: int, under_way: dict[str, int]) -> None:
        """Continue from a row that was found in the store.

        Args:
            tokens: Tokens spent or reserved according to it.
            version: Version of the row.
            under_way: Running turns, whose tokens are counted in ``tokens``.
        """
        self.spent_before = tokens - sum(under_way.values())
        self.settled = 0
        self.inherited_unrecorded = 0
        self.open = under_way
        self.allowance = tokens
        self.version = version
        self.is_row_uncertain = False


@dataclass(frozen=True, slots=True)
class ReleasedAccount:
    """What a former owner reports of an account that it released.

    Attributes:
        recorded: Tokens really spent of those that the row counts; ``None`` if
            unknown, and then all that the row counts is taken as spent.
        unrecorded: Granted tokens that the row does not count.
        row_version: Version of the row that ``recorded`` refers to.
        spent: All tokens spent or reserved. It replaces ``recorded`` where the row was
            written by this account but the answer to the write was lost, so that its
            version is unknown here.
        opened_serial: Serial of the owner's last row write before it opened the
            account.
        open: Running turns with the most tokens of each, counted in the above.
    """

    recorded: int | None
    unrecorded: int
    row_version: int = 0
    spent: int = 0
    opened_serial: int = 0
    open: dict[str, int] = field(default_factory=dict)

    def for_row(self, row_version: int, serial: int) -> ReleasedAccount:
        """Return the report adjusted to the row that the new owner has found.

        Args:
            row_version: Version of that row.
            serial: The former owner's serial in that row.
        """
        if row_version == self.row_version:
            return self
        if serial > self.opened_serial:
            return ReleasedAccount(self.spent, 0, open=self.open)
        # The account did not write this row, so its total can't be split by turn.
        return ReleasedAccount(
            None, self.unrecorded, open=self.open if self.unrecorded else {}
        )

    def with_settled(self, turn: str, tokens: int) -> ReleasedAccount:
        """Return the report after the end of a turn that was running at the release."""
        under_way = dict(self.open)
        most = under_way.pop(turn)
        unused = most - min(tokens, most)
        in_row = 0 if self.unrecorded else unused
        return replace(
            self,
            recorded=None if self.recorded is None else self.recorded - in_row,
            unrecorded=self.unrecorded - unused + in_row,
            spent=self.spent - unused,
            open=under_way,
        )

    def spent_with_row(self, row_tokens: int) -> int:
        """Return the tokens that count as spent, given what the row counts."""
        recorded = row_tokens if self.recorded is None else self.recorded
        return recorded + self.unrecorded
