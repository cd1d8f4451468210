"""Rows of the store that cover the accounts of programs."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Mapping

import msgspec

from .accounts import Account
from .decisions import DecisionLog
from .partition import part_of
from .rows import RowConflictError, RowKey, RowStore, RowStoreAwayError, RowWrite
from .spending_records import SpendingRow

TABLE = "spending"
COVER_TIMEOUT_S = 1.0
"""Longest wait for the store inside one reservation: a store slowed 91 times answers a
write within 0.9 s."""
FLUSH_TIMEOUT_S = 3.0
"""Longest wait for the store at a stop: less than a gateway's time to leave."""
MAX_ROWS_A_WRITE = 50
MAX_PARALLEL_WRITES = 10
"""Writes under way at once that no turn waits for: at 10 ms each the store's whole rate
is not used up by one gateway."""


class AccountRows:
    """Writes the rows of the accounts at one home.

    Args:
        home: Name of the home.
        store: The row store.
        log: Decision log.

    Attributes:
        serial: Number of the newest write; tells two writes of a home apart.
        places: Limits the writes that no turn waits for.
    """

    __slots__ = ("_home", "_log", "_store", "places", "serial")

    def __init__(self, home: str, store: RowStore, log: DecisionLog) -> None:
        self._home = home
        self._store = store
        self._log = log
        self.serial = 0
        self.places = asyncio.Semaphore(MAX_PARALLEL_WRITES)

    async def cover(self, program: str, account: Account, tokens: int) -> None:
        """Write that so many tokens count as spent.

        Raises:
            RowConflictError: The row is not the one that the account knows.
            RowStoreAwayError: No answer; the row may count them or not.
        """
        account.is_row_unsure = True
        write = self._write_of(program, account, tokens, self._home)
        version = await self._store.write(
            [write], expected={write.key: account.version}, timeout_s=COVER_TIMEOUT_S
        )
        account.covered, account.version = tokens, version
        account.is_row_unsure = False

    async def flush(self, accounts: Mapping[str, Account]) -> None:
        """Write what is really spent of accounts that end here, held by nobody."""
        parts: defaultdict[str, list[tuple[str, Account]]] = defaultdict(list)
        for program, account in accounts.items():
            if account.is_row_unsure or account.spent != account.covered:
                parts[part_of(program)].append((program, account))
        batches = [
            items[start : start + MAX_ROWS_A_WRITE]
            for items in parts.values()
            for start in range(0, len(items), MAX_ROWS_A_WRITE)
        ]
        await asyncio.gather(*(self._flush_batch(batch) for batch in batches))

    async def _flush_batch(self, batch: list[tuple[str, Account]]) -> None:
        writes, expected = [], {}
        for program, account in batch:
            write = self._write_of(program, account, account.spent, "")
            writes.append(write)
            expected[write.key] = account.version
        try:
            async with self.places:
                await self._store.write(
                    writes, expected=expected, timeout_s=FLUSH_TIMEOUT_S
                )
        except (RowConflictError, RowStoreAwayError) as error:
            # The rows then count all that was covered, which is safe.
            self._log.record(
                "accounts_not_flushed", accounts=len(batch), reason=error.message
            )

    async def drop(self, program: str, account: Account) -> None:
        """Remove the row of a program that is over."""
        if not account.version:
            return
        key = _key(program)
        try:
            await self._store.write(
                [RowWrite(key, None)],
                expected={key: account.version},
                timeout_s=COVER_TIMEOUT_S,
            )
        except (RowConflictError, RowStoreAwayError) as error:
            self._log.record("row_not_dropped", row=program, reason=error.message)

    def _write_of(
        self, program: str, account: Account, tokens: int, holder: str
    ) -> RowWrite:
        self.serial += 1
        kept_until = time.time() + account.kept_s
        row = SpendingRow(tokens, holder, self.serial, kept_until)
        return RowWrite(_key(program), msgspec.msgpack.encode(row))


def _key(program: str) -> RowKey:
    return RowKey(TABLE, part_of(program), program)
