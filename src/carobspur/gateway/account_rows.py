"""Rows of the store that cover the accounts of programs."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Mapping

import msgspec

from .accounts import Account
from .decisions import DecisionLog
from .partition import partition_of
from .rows import RowConflictError, RowKey, RowStore, RowStoreAwayError, RowWrite
from .spending_records import SpendingRow

TABLE = "spending"
ROW_WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store inside one reservation: a store slowed 91 times answers a
write within 0.9 s."""
FLUSH_TIMEOUT_S = 3.0
"""Longest wait for the store at a stop: less than a gateway's time to leave."""
MAX_ROWS_PER_WRITE = 50
MAX_PARALLEL_WRITES = 10
"""Writes under way at once that no turn waits for: at 10 ms each the store's whole rate
is not used up by one gateway."""


class AccountRows:
    """Writes the rows of the accounts at one home.

    Args:
        owner: Name of the home.
        store: The row store.
        log: Decision log.

    Attributes:
        serial: Number of the newest write; tells two writes of a home apart.
        write_slots: Limits the writes that no turn waits for.
    """

    __slots__ = ("_owner", "_log", "_store", "write_slots", "serial")

    def __init__(self, owner: str, store: RowStore, log: DecisionLog) -> None:
        self._owner = owner
        self._store = store
        self._log = log
        self.serial = 0
        self.write_slots = asyncio.Semaphore(MAX_PARALLEL_WRITES)

    async def write_allowance(
        self, program: str, account: Account, tokens: int
    ) -> None:
        """Write that so many tokens count as spent.

        Raises:
            RowConflictError: The row is not the one that the account knows.
            RowStoreAwayError: No answer; the row may count them or not.
        """
        account.is_row_uncertain = True
        write = self._write_of(program, account, tokens, self._owner)
        version = await self._store.write(
            [write],
            expected={write.key: account.version},
            timeout_s=ROW_WRITE_TIMEOUT_S,
        )
        account.allowance, account.version = tokens, version
        account.is_row_uncertain = False

    async def flush(self, accounts: Mapping[str, Account]) -> None:
        """Write what is really spent of accounts that end here, held by nobody."""
        partitions: defaultdict[str, list[tuple[str, Account]]] = defaultdict(list)
        for program, account in accounts.items():
            if account.is_row_uncertain or account.spent != account.allowance:
                partitions[partition_of(program)].append((program, account))
        batches = [
            items[start : start + MAX_ROWS_PER_WRITE]
            for items in partitions.values()
            for start in range(0, len(items), MAX_ROWS_PER_WRITE)
        ]
        await asyncio.gather(*(self._flush_batch(batch) for batch in batches))

    async def _flush_batch(self, batch: list[tuple[str, Account]]) -> None:
        writes, expected = [], {}
        for program, account in batch:
            write = self._write_of(program, account, account.spent, "")
            writes.append(write)
            expected[write.key] = account.version
        try:
            async with self.write_slots:
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
                timeout_s=ROW_WRITE_TIMEOUT_S,
            )
        except (RowConflictError, RowStoreAwayError) as error:
            self._log.record("row_not_dropped", row=program, reason=error.message)

    def _write_of(
        self, program: str, account: Account, tokens: int, holder: str
    ) -> RowWrite:
        self.serial += 1
        expires_at = time.time() + account.retention_s
        row = SpendingRow(tokens, holder, self.serial, expires_at)
        return RowWrite(_key(program), msgspec.msgpack.encode(row))


def _key(program: str) -> RowKey:
    return RowKey(TABLE, partition_of(program), program)
