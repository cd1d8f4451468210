"""Writes the rows of token accounts to the row store."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Mapping

import msgspec

from ..verdict import NOT_RUN
from .accounts import Account
from .customers.ownership import unscoped_name
from .decisions import DecisionLog
from .partition import partition_of
from .row_sweep import row_lifetime_s
from .rows import RowConflictError, RowKey, RowStore, RowStoreAwayError, RowWrite
from .spending_records import SpendingRow

TABLE = "spending"
ROW_WRITE_TIMEOUT_S = 1.0
"""Longest wait for the store inside one reservation: a store that is 91 times slower
than usual answers a write within 0.9 s."""
FLUSH_TIMEOUT_S = 3.0
"""Longest wait for the store while the gateway stops: less than the time it has to
stop."""
MAX_ROWS_PER_WRITE = 50
MAX_PARALLEL_WRITES = 10
"""Concurrent writes that no turn waits for: at 10 ms a write, one gateway then does not
use up the store's whole rate."""


class AccountRows:
    """Writes the rows of the accounts of one owner.

    Args:
        owner: Name of the owner.
        store: The row store.
        log: Decision log.

    Attributes:
        serial: Number of the owner's newest row write. It is stored in the row, so that
            the owner recognises its own writes.
        write_slots: Limits the concurrent writes that no turn waits for.
    """

    __slots__ = ("_log", "_owner", "_store", "serial", "write_slots")

    def __init__(self, owner: str, store: RowStore, log: DecisionLog) -> None:
        self._owner = owner
        self._store = store
        self._log = log
        self.serial = 0
        self.write_slots = asyncio.Semaphore(MAX_PARALLEL_WRITES)

    async def write_allowance(
        self, program: str, account: Account, tokens: int
    ) -> None:
        """Write to the program's row how many tokens count as spent.

        Until the row exists, the write also fails if the program has a row from before
        the configuration had customers that the account does not count. Both rows are
        in one partition, so this takes no further call.

        Raises:
            RowConflictError: A row has another version than the account expects.
            RowStoreAwayError: The store did not answer; the row may have been written.
        """
        before = account.is_row_uncertain, account.uncertain_tokens
        account.uncertain_tokens = (
            min(tokens, account.uncertain_tokens)
            if account.is_row_uncertain
            else tokens
        )
        account.is_row_uncertain = True
        write = self._row_write(program, account, tokens, self._owner)
        expected = {write.key: account.version}
        unscoped = unscoped_name(program)
        if unscoped and not account.version:
            expected[row_key(unscoped)] = account.unscoped_version
        try:
            version = await self._store.write(
                [write], expected=expected, timeout_s=ROW_WRITE_TIMEOUT_S
            )
        except RowStoreAwayError as error:
            if error.verdict == NOT_RUN:
                account.is_row_uncertain, account.uncertain_tokens = before
            raise
        account.allowance, account.version = tokens, version
        account.is_row_uncertain = False

    async def flush(self, accounts: Mapping[str, Account]) -> None:
        """Write what is really spent, without an owner, to the rows of all accounts.

        Called when the gateway stops. Rows that already count exactly the tokens spent
        are not written.
        """
        partitions: defaultdict[str, list[tuple[str, Account]]] = defaultdict(list)
        for program, account in accounts.items():
            if account.is_row_uncertain or account.spent != account.allowance:
                partitions[row_key(program).partition].append((program, account))
        batches = [
            items[start : start + MAX_ROWS_PER_WRITE]
            for items in partitions.values()
            for start in range(0, len(items), MAX_ROWS_PER_WRITE)
        ]
        await asyncio.gather(*(self._flush_batch(batch) for batch in batches))

    async def _flush_batch(self, batch: list[tuple[str, Account]]) -> None:
        writes, expected = [], {}
        for program, account in batch:
            write = self._row_write(program, account, account.spent, "")
            writes.append(write)
            expected[write.key] = account.version
        try:
            async with self.write_slots:
                await self._store.write(
                    writes, expected=expected, timeout_s=FLUSH_TIMEOUT_S
                )
        except (RowConflictError, RowStoreAwayError) as error:
            # The rows still count the whole allowance as spent, which is safe.
            self._log.record(
                "accounts_not_flushed", accounts=len(batch), reason=error.message
            )

    async def drop(self, program: str, account: Account) -> None:
        """Remove the row of a program that can no longer return."""
        if not account.version:
            return
        key = row_key(program)
        try:
            await self._store.write(
                [RowWrite(key, None)],
                expected={key: account.version},
                timeout_s=ROW_WRITE_TIMEOUT_S,
            )
        except (RowConflictError, RowStoreAwayError) as error:
            self._log.record("row_not_dropped", row=program, reason=error.message)

    def _row_write(
        self, program: str, account: Account, tokens: int, holder: str
    ) -> RowWrite:
        self.serial += 1
        expires_at = time.time() + row_lifetime_s(account.retention_s)
        row = SpendingRow(tokens, holder, self.serial, expires_at)
        return RowWrite(row_key(program), msgspec.msgpack.encode(row))


def row_key(program: str) -> RowKey:
    """Return the key of a program's row.

    The row of a customer's program is in the same partition as the row that the program
    would have without customers.
    """
    return RowKey(TABLE, partition_of(unscoped_name(program) or program), program)
