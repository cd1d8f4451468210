"""Owners of token accounts on a row store in memory, for tests."""

from __future__ import annotations

import asyncio
import itertools
import logging

from carobspur.gateway.accounts import ReleasedAccount
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.rows import (
    Row,
    RowConflictError,
    RowKey,
    RowStoreAwayError,
    RowWrite,
)
from carobspur.gateway.spending import AccountOwner
from carobspur.gateway.spending_records import (
    BudgetSpentError,
    MovedAccount,
    StoreState,
)
from carobspur.verdict import NOT_RUN

BUDGET = 1000
TOKENS = 100


class RowStoreFake:
    """Row store in memory, which can be made to fail in several ways.

    Attributes:
        rows: Value and version of each row.
        version: Version of the last write.
        is_unreachable: Whether every call fails without having been executed.
        failures_until_known: Failed calls after which owners know of the outage.
        failed_calls: Calls that failed because the store was unreachable.
        lose_answers: Number of next writes that are executed but not answered.
        is_unreachable_after_loss: Whether the store is unreachable after a lost answer.
        answer_s: Time that each call takes.
        silent_partitions: Partitions that do not answer.
        executes_while_silent: Whether these execute writes all the same.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self.is_unreachable = False
        self.failures_until_known = 0
        self.failed_calls = 0
        self.lose_answers = 0
        self.is_unreachable_after_loss = False
        self.answer_s = 0.0
        self.silent_partitions: set[str] = set()
        self.executes_while_silent = False

    @property
    def is_known_unreachable(self) -> bool:
        """Whether owners know of the outage."""
        return self.is_unreachable and self.failed_calls >= self.failures_until_known

    async def write(
        self,
        writes: list[RowWrite],
        *,
        expected: dict[RowKey, int] | None = None,
        timeout_s: float,
    ) -> int:
        await asyncio.sleep(self.answer_s)
        if self.is_unreachable:
            self.failed_calls += 1
            raise RowStoreAwayError("away", verdict=NOT_RUN)
        is_silent = any(
            write.key.partition in self.silent_partitions for write in writes
        )
        if is_silent and not self.executes_while_silent:
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
            self.is_unreachable = self.is_unreachable_after_loss
            raise RowStoreAwayError("the answer was lost")
        return self.version

    async def _stay_silent(self, timeout_s: float) -> None:
        await asyncio.sleep(timeout_s)
        raise RowStoreAwayError("no answer")


class AccountOwners:
    """Several owners on one store, and the turns of a program ``p``.

    Attributes:
        store: The row store.
        by_name: Owners that the others can reach.
        granted_tokens: Tokens that all turns have generated.
        turns: Numbers of the turns.
        may_have_lost_grants: As in the store state that every owner sees.
        may_grant_unrecorded: The same.
    """

    def __init__(self) -> None:
        self.store = RowStoreFake()
        self.by_name: dict[str, AccountOwner] = {}
        self.granted_tokens = 0
        self.turns = itertools.count()
        self.may_have_lost_grants = False
        self.may_grant_unrecorded = True

    def start(self, name: str) -> AccountOwner:
        owner = AccountOwner(
            name,
            self.store,
            request_release=self._request_release,
            pull=lambda program: self._pull(name, program),
            store_state=lambda: StoreState(
                self.store.is_known_unreachable,
                self.may_have_lost_grants,
                self.may_grant_unrecorded,
                should_fail_fast=self.store.is_known_unreachable,
            ),
            log=DecisionLog(logging.getLogger("test")),
        )
        self.by_name[name] = owner
        return owner

    def remove(self, owner: AccountOwner) -> None:
        """Make an owner unreachable for the others; it can still be used."""
        name = next(name for name, item in self.by_name.items() if item is owner)
        del self.by_name[name]

    async def turn(self, owner: AccountOwner, *, budget: int = BUDGET) -> bool:
        """Run a turn that generates all its tokens; return whether it was granted."""
        turn = f"t{next(self.turns)}"
        try:
            await owner.reserve("p", turn, TOKENS, budget, retention_s=60)
        except (BudgetSpentError, RowStoreAwayError):
            return False
        self.granted_tokens += TOKENS
        owner.settle("p", turn, TOKENS)
        return True

    async def open_turn(self, owner: AccountOwner) -> str | None:
        """Begin a turn; return its name, or ``None`` if it was not granted."""
        turn = f"t{next(self.turns)}"
        try:
            await owner.reserve("p", turn, TOKENS, BUDGET, retention_s=60)
        except (BudgetSpentError, RowStoreAwayError):
            return None
        return turn

    def end_turn(self, turn: str, tokens: int) -> None:
        """Settle a turn at whichever owner has its account now."""
        self.granted_tokens += tokens
        any(owner.settle("p", turn, tokens) for owner in self.by_name.values())

    async def _pull(self, name: str, program: str) -> MovedAccount | None:
        for other, owner in self.by_name.items():
            if other != name and (moved := await owner.move_out(program)) is not None:
                return moved
        return None

    async def _request_release(
        self, holder: str, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        owner = self.by_name.get(holder)
        return await owner.release(program, row_version, serial) if owner else None
