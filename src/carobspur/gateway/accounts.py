"""Token accounts of programs: pure rules of what may be granted.

A program's account is held by one gateway at a time, its home. The home's row in the
store covers more tokens than are spent, so that most turns need no store call, and
turns go on while the store is away. Whoever takes an account over counts everything
that was covered as spent. So a former home that does not know of the change can
still grant what its cover holds, and the budget is never exceeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TypeAlias

HEADROOM_SHARE = 0.12
"""Share of a budget that is covered beyond what is spent; lost where a home dies."""
LONG_HEADROOM_SHARE = 0.25
"""The same for a long program, so that it goes on through most of an outage. Programs
seen on the users' benches use 0.6 of a budget at most, so one death leaves enough."""
LONG_TURNS = 10
"""A program is long from so many turns of the largest size on."""
UNRECORDED_SHARE = 0.15
"""Share of a budget that a home may grant to a new program while the store is away."""
ASSUMED_SPENT_SHARE = 2 * UNRECORDED_SHARE
"""Share of a budget that counts as spent by a program without a row where homes may
have died with uncovered grants."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The turn may run; ``other_tokens`` is what the program's other turns hold."""

    other_tokens: int


@dataclass(frozen=True, slots=True)
class Spent:
    """The budget does not hold the turn."""

    other_tokens: int


@dataclass(frozen=True, slots=True)
class NeedsAllowance:
    """The store must first cover so many tokens."""

    tokens: int


Grant: TypeAlias = Granted | Spent | NeedsAllowance


@dataclass(slots=True)
class Account:
    """The account of one program at its home.

    Attributes:
        budget: Tokens that all turns may generate.
        spent_before: Tokens that count as spent before this home.
        settled: Tokens that ended turns generated.
        open: Most tokens of each turn under way.
        allowance: Tokens that the store's row counts as spent.
        version: Version of that row; 0 while no row speaks for this account.
        inherited_unrecorded: Tokens that a former home granted and no row counts.
        used_at: Loop time of the last use.
        retention_s: How long after its last turn the program may return.
        opened_serial: The home's last write before it opened the account.
        is_row_uncertain: Whether the row may cover more than this account, because the
            answer to a write is missing.
        turn_tokens: Most tokens of the newest turn.
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
        """Tokens spent or set aside."""
        return (
            self.spent_before
            + self.inherited_unrecorded
            + self.settled
            + sum(self.open.values())
        )

    @property
    def is_long(self) -> bool:
        """Whether the budget holds many turns like the newest."""
        return self.budget >= LONG_TURNS * self.turn_tokens

    @property
    def ahead(self) -> int:
        """Tokens that a row should count beyond those that are spent."""
        return int(
            self.budget * (LONG_HEADROOM_SHARE if self.is_long else HEADROOM_SHARE)
        )

    @property
    def idle_allowance(self) -> int:
        """Tokens that the row should cover while the program pauses.

        One turn more than is spent, so that the next needs no store call; but only
        where that leaves place for a turn if this home dies.
        """
        ahead = self.spent + self.turn_tokens
        return ahead if ahead + self.turn_tokens <= self.budget else self.spent

    @property
    def is_row_too_high(self) -> bool:
        """Whether the row may cover more than it should while the program pauses."""
        is_higher = bool(self.version) and self.allowance > self.idle_allowance
        return is_higher or self.is_row_uncertain

    @property
    def row_refuses_next_turn(self) -> bool:
        """Whether a turn like the newest fits, but not beside all that the row counts.

        After the death of this home the program would be refused for nothing.
        """
        fits = self.spent + self.turn_tokens <= self.budget
        return fits and self.allowance + self.turn_tokens > self.budget

    @property
    def is_new(self) -> bool:
        """Whether nothing was granted here, and no row speaks for it."""
        return not self.version and not self.unrecorded

    @property
    def unrecorded(self) -> int:
        """Tokens that were granted and that no row counts."""
        if self.version:
            return 0
        return self.inherited_unrecorded + self.settled + sum(self.open.values())

    @property
    def unrecorded_turns(self) -> dict[str, int]:
        """Turns under way that no row counts, with the most tokens of each."""
        return {} if self.version else dict(self.open)

    def grant(self, turn: str, tokens: int) -> Grant:
        """Decide on a turn, and set its tokens aside where they are granted."""
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
        """Return how far beyond the tokens needed a row should go.

        Only so far that one more turn fits beside it after the death of this home.
        """
        room = self.budget - needed - self.turn_tokens
        return max(0, min(self.ahead, room))

    def settle(self, turn: str, tokens: int) -> bool:
        """End a turn; returns false for one that is not under way here."""
        if turn not in self.open:
            return False
        self.settled += min(tokens, self.open.pop(turn))
        return True

    def adopt(self, tokens: int, version: int, under_way: dict[str, int]) -> None:
        """Go on from a row: what it covers counts as spent.

        Args:
            tokens: Tokens spent or set aside.
            version: Version of the row.
            under_way: Turns among them that have not ended yet.
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
    """What a former home says of an account.

    Attributes:
        recorded: Tokens really spent of those that its row counts; ``None`` where
            it cannot tell, and all of them count.
        unrecorded: Tokens granted beside the row.
        row_version: Version of the row that ``recorded`` belongs to.
        spent: All tokens spent; what a row counts that this account itself wrote,
            where the answer to its write was lost.
        opened_serial: The home's last write before it opened the account.
        open: Most tokens of each turn under way, all of them counted above.
    """

    recorded: int | None
    unrecorded: int
    row_version: int = 0
    spent: int = 0
    opened_serial: int = 0
    open: dict[str, int] = field(default_factory=dict)

    def for_row(self, row_version: int, serial: int) -> ReleasedAccount:
        """Return what holds for the row that was found.

        Args:
            row_version: Its version.
            serial: The home's number of its write.
        """
        if row_version == self.row_version:
            return self
        if serial > self.opened_serial:
            return ReleasedAccount(self.spent, 0, open=self.open)
        # Turns that this row does not count can't be told apart in it.
        return ReleasedAccount(
            None, self.unrecorded, open=self.open if self.unrecorded else {}
        )

    def with_settled(self, turn: str, tokens: int) -> ReleasedAccount:
        """Return what holds once a turn that was under way has ended."""
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
        """Return what counts as spent where the row covers so many tokens."""
        recorded = row_tokens if self.recorded is None else self.recorded
        return recorded + self.unrecorded
