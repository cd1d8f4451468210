"""Token accounts of programs: pure rules of what may be granted.

A program's account is held by one gateway at a time, its home. The home's row in the
store covers more tokens than are spent, so that most turns need no store call, and
turns go on while the store is away. Whoever takes an account over counts everything
that was covered as spent. So a former home that does not know of the change can
still grant what its cover holds, and the budget is never exceeded.

The row stands in one part of the store, which may be silent while others answer. So it
never covers the whole budget: a share, the reserve, is for whoever first writes a
second row in another part. Both together hold the budget and no more.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TypeAlias

AHEAD_SHARE = 0.12
"""Share of a budget that is covered beyond what is spent; lost where a home dies."""
LONG_AHEAD_SHARE = 0.25
"""The same for a long program, so that it goes on through most of an outage. Programs
seen on the users' benches use 0.6 of a budget at most, so one death leaves enough."""
LONG_TURNS = 10
"""A program is long from so many turns of the largest size on."""
RESERVE_SHARE = 1 / 3
"""Share of a budget that is its reserve: a turn of a program of three. The rest is more
than the 0.6 that programs were seen to use."""
UNCOVERED_SHARE = 0.15
"""Share of a budget that a home may grant to a new program while the store is away."""
DOUBT_SHARE = 2 * UNCOVERED_SHARE
"""Share of a budget that counts as spent by a program without a row where homes may
have died with uncovered grants."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The turn may run; ``others`` is what the program's other turns hold."""

    others: int


@dataclass(frozen=True, slots=True)
class Spent:
    """The budget does not hold the turn."""

    others: int


@dataclass(frozen=True, slots=True)
class NeedsCover:
    """The store must first cover so many tokens."""

    tokens: int


@dataclass(frozen=True, slots=True)
class NeedsReserve:
    """The store must first give the program's reserve to this account."""


Grant: TypeAlias = Granted | Spent | NeedsCover | NeedsReserve


class Reserve(Enum):
    """Whose the reserve of a budget is, as far as an account knows."""

    FREE = "free"
    OURS = "ours"
    GONE = "gone"


@dataclass(slots=True)
class Account:
    """The account of one program at its home.

    What is spent counts without the reserve, as the row counts it: an account that
    takes the reserve has so many tokens less to count.

    Attributes:
        budget: Tokens that all turns may generate.
        reserve: Those of them that the row never covers.
        reserve_is: Whose they are.
        reserve_version: Version of the row that gives them; 0 while unknown.
        base: Tokens that count as spent before this home; below zero where the
            reserve holds more.
        settled: Tokens that ended turns generated.
        open: Most tokens of each turn under way.
        covered: Tokens that the store's row counts as spent.
        version: Version of that row; 0 while no row speaks for this account.
        carried: Tokens that a former home granted and no row counts.
        used_at: Loop time of the last use.
        kept_s: How long after its last turn the program may return.
        opened_serial: The home's last write before it opened the account.
        is_row_unsure: Whether the row may cover more than this account, because the
            answer to a write is missing.
        turn_tokens: Most tokens of the newest turn.
    """

    budget: int
    reserve: int = 0
    reserve_is: Reserve = Reserve.FREE
    reserve_version: int = 0
    base: int = 0
    settled: int = 0
    open: dict[str, int] = field(default_factory=dict)
    covered: int = 0
    version: int = 0
    carried: int = 0
    used_at: float = 0.0
    kept_s: float = 0.0
    opened_serial: int = 0
    is_row_unsure: bool = False
    turn_tokens: int = 0

    @property
    def balance(self) -> int:
        """Tokens spent or set aside that the row counts.

        Below zero while the reserve is not used up.
        """
        return self.base + self.carried + self.settled + sum(self.open.values())

    @property
    def spent(self) -> int:
        """Tokens spent or set aside that the row must cover."""
        return max(0, self.balance)

    @property
    def used(self) -> int:
        """Tokens of the whole budget that are spent, set aside or in other hands."""
        taken = 0 if self.reserve_is is Reserve.FREE else self.reserve
        return self.balance + taken

    @property
    def most_covered(self) -> int:
        """Tokens that the row may cover at most."""
        return self.budget - self.reserve

    @property
    def limit(self) -> int:
        """Tokens that may be spent without or beside the reserve, as the row counts."""
        return self.budget if self.reserve_is is Reserve.FREE else self.most_covered

    @property
    def is_long(self) -> bool:
        """Whether the budget holds many turns like the newest."""
        return self.budget >= LONG_TURNS * self.turn_tokens

    @property
    def ahead(self) -> int:
        """Tokens that a row should count beyond those that are spent."""
        return int(self.budget * (LONG_AHEAD_SHARE if self.is_long else AHEAD_SHARE))

    @property
    def resting_cover(self) -> int:
        """Tokens that the row should cover while the program pauses.

        One turn more than is spent, so that the next needs no store call; but only
        where that leaves place for a turn if this home dies.
        """
        spent = self.used if self.may_return_reserve else self.spent
        ahead = spent + self.turn_tokens
        leaves_a_turn = ahead + self.turn_tokens <= self.limit
        return ahead if leaves_a_turn and ahead <= self.most_covered else spent

    @property
    def may_return_reserve(self) -> bool:
        """Whether the row alone could cover what is spent, so that others may take it.

        Else a program whose home dies could use two thirds of its budget only.
        """
        return self.reserve_is is Reserve.OURS and self.used <= self.most_covered

    @property
    def is_row_higher(self) -> bool:
        """Whether rows may count more than they should while the program pauses."""
        is_higher = bool(self.version) and self.covered > self.resting_cover
        return is_higher or self.is_row_unsure or self.may_return_reserve

    @property
    def row_refuses_next_turn(self) -> bool:
        """Whether a turn like the newest fits, but not beside all that the row counts.

        After the death of this home the program would be refused for nothing.
        """
        fits = self.spent + self.turn_tokens <= self.limit
        return fits and self.covered + self.turn_tokens > self.limit

    @property
    def is_new(self) -> bool:
        """Whether nothing was granted here, and no row or reserve speaks for it."""
        is_free = self.reserve_is is Reserve.FREE
        return is_free and not self.version and not self.unrecorded

    @property
    def unrecorded(self) -> int:
        """Tokens that were granted and that no row counts."""
        if self.version:
            return 0
        granted = self.carried + self.settled + sum(self.open.values())
        return max(0, granted + min(0, self.base))

    @property
    def unrecorded_turns(self) -> dict[str, int]:
        """Turns under way that no row counts, with the most tokens of each."""
        return {} if self.version else dict(self.open)

    def grant(self, turn: str, tokens: int) -> Grant:
        """Decide on a turn, and set its tokens aside where they are granted."""
        if turn in self.open:
            return Granted(self.used - self.open[turn])
        self.turn_tokens = tokens
        others = self.used
        needed = self.balance + tokens
        if needed > self.limit:
            return Spent(others)
        if needed > self.covered:
            if needed > self.most_covered:
                return NeedsReserve()
            return NeedsCover(needed + self._ahead_of(needed))
        self.open[turn] = tokens
        return Granted(others)

    def reserve_holds(self, tokens: int) -> bool:
        """Return whether the reserve would let a turn run without a higher cover."""
        is_free = self.reserve_is is Reserve.FREE
        return is_free and self.balance + tokens <= self.covered + self.reserve

    def take_reserve(self, version: int) -> None:
        """Take note that the reserve is this account's.

        Args:
            version: Version of its row.
        """
        self.reserve_is = Reserve.OURS
        self.reserve_version = version
        self.base -= self.reserve

    def return_reserve(self) -> None:
        """Count what is spent without the reserve, which this account has no more."""
        self.base += self.reserve
        self.reserve_is = Reserve.GONE

    def free_reserve(self) -> None:
        """Take note that the reserve is nobody's."""
        self.reserve_is = Reserve.FREE
        self.reserve_version = 0

    def lose_reserve(self, version: int) -> None:
        """Take note that the reserve is another account's.

        Args:
            version: Version of its row.
        """
        self.reserve_is = Reserve.GONE
        self.reserve_version = version

    def _ahead_of(self, needed: int) -> int:
        """Return how far beyond the tokens needed a row should go.

        Only so far that one more turn fits beside it after the death of this home.
        """
        room = self.limit - needed - self.turn_tokens
        return max(0, min(self.ahead, room, self.most_covered - needed))

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
        self.base = tokens - sum(under_way.values())
        self.settled = 0
        self.carried = 0
        self.open = under_way
        self.covered = tokens
        self.version = version
        self.is_row_unsure = False


@dataclass(frozen=True, slots=True)
class GivenUp:
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

    def about(self, row_version: int, serial: int) -> GivenUp:
        """Return what holds for the row that was found.

        Args:
            row_version: Its version.
            serial: The home's number of its write.
        """
        if row_version == self.row_version:
            return self
        if serial > self.opened_serial:
            return GivenUp(self.spent, 0, open=self.open)
        # Turns that this row does not count can't be told apart in it.
        return GivenUp(None, self.unrecorded, open=self.open if self.unrecorded else {})

    def settled(self, turn: str, tokens: int) -> GivenUp:
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

    def counted(self, covered: int) -> int:
        """Return what counts as spent where the row covers so many tokens."""
        recorded = covered if self.recorded is None else self.recorded
        return recorded + self.unrecorded
