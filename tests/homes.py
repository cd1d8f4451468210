"""Builders of homes of token accounts on a row store in memory."""

from __future__ import annotations

import asyncio
import itertools
import logging

from carobspur.gateway.accounts import GivenUp
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.rows import (
    Row,
    RowConflictError,
    RowKey,
    RowStoreAwayError,
    RowWrite,
)
from carobspur.gateway.spending import SpendingHome
from carobspur.gateway.spending_records import (
    BudgetSpentError,
    MovedAccount,
    StoreDoubt,
)
from carobspur.verdict import NOT_RUN

BUDGET = 1000
TOKENS = 100


class RowStoreFake:
    """Rows in memory; may be away, lose the answers of writes, or have silent parts.

    Attributes:
        silent_parts: Parts that answer nothing.
        does_in_silence: Whether these do what they are asked all the same.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self.is_unreachable = False
        self.is_known_away_from = 0
        self.calls_in_vain = 0
        self.lose_answers = 0
        self.is_away_after_loss = False
        self.answer_s = 0.0
        self.silent_parts: set[str] = set()
        self.does_in_silence = False

    @property
    def is_known_away(self) -> bool:
        """Whether enough calls have failed for its outage to be known."""
        return self.is_unreachable and self.calls_in_vain >= self.is_known_away_from

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        await asyncio.sleep(self.answer_s)
        if self.is_unreachable:
            self.calls_in_vain += 1
            raise RowStoreAwayError("away", verdict=NOT_RUN)
        is_silent = any(write.key.part in self.silent_parts for write in writes)
        if is_silent and not self.does_in_silence:
            await self._stay_silent(timeout_s)
        for key, version in (expected or {}).items():
            value, found = self.rows.get(key, (None, 0))
            if found != version:
                raise RowConflictError("changed", rows=[Row(key, value, found)])
        self.version += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = (write.value, self.version)
        if is_silent:
            await self._stay_silent(timeout_s)
        if self.lose_answers:
            self.lose_answers -= 1
            self.is_unreachable = self.is_away_after_loss
            raise RowStoreAwayError("the answer was lost")
        return self.version

    async def _stay_silent(self, timeout_s: float) -> None:
        await asyncio.sleep(timeout_s)
        raise RowStoreAwayError("no answer")


class Homes:
    """Several homes on one store."""

    def __init__(self) -> None:
        self.store = RowStoreFake()
        self.homes: dict[str, SpendingHome] = {}
        self.handed = 0
        self.turns = itertools.count()
        self.may_be_lost = False
        self.may_grant_uncovered = True

    def start(self, name: str) -> SpendingHome:
        home = SpendingHome(
            name,
            self.store,
            hand_over=self._hand_over,
            pull=lambda program: self._pull(name, program),
            doubt=lambda: StoreDoubt(
                self.store.is_known_away,
                self.may_be_lost,
                self.may_grant_uncovered,
                is_wait_in_vain=self.store.is_known_away,
            ),
            log=DecisionLog(logging.getLogger("test")),
        )
        self.homes[name] = home
        return home

    def remove(self, home: SpendingHome) -> None:
        """Let nobody reach a home any more; it may go on by itself."""
        name = next(name for name, item in self.homes.items() if item is home)
        del self.homes[name]

    async def turn(self, home: SpendingHome, *, budget: int = BUDGET) -> bool:
        """Run one turn that generates all it may; return whether it was granted."""
        turn = f"t{next(self.turns)}"
        try:
            await home.reserve("p", turn, TOKENS, budget, kept_s=60)
        except (BudgetSpentError, RowStoreAwayError):
            return False
        self.handed += TOKENS
        home.settle("p", turn, TOKENS)
        return True

    async def open_turn(self, home: SpendingHome) -> str | None:
        """Begin a turn; return its id where it was granted."""
        turn = f"t{next(self.turns)}"
        try:
            await home.reserve("p", turn, TOKENS, BUDGET, kept_s=60)
        except (BudgetSpentError, RowStoreAwayError):
            return None
        return turn

    def end_turn(self, turn: str, tokens: int) -> None:
        """End a turn wherever its account is by now."""
        self.handed += tokens
        any(home.settle("p", turn, tokens) for home in self.homes.values())

    async def _pull(self, name: str, program: str) -> MovedAccount | None:
        for other, home in self.homes.items():
            if other != name and (moved := await home.give_away(program)) is not None:
                return moved
        return None

    async def _hand_over(
        self, holder: str, program: str, row_version: int, serial: int
    ) -> GivenUp | None:
        home = self.homes.get(holder)
        return await home.give_up(program, row_version, serial) if home else None
