"""Gateways' rows in the row store, through which they discover each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from .decisions import DecisionLog
from .members import REMOVE_AFTER_S, Member, Membership
from .rows import Row, RowKey, RowStore, RowStoreAwayError, RowWrite

TABLE = "gateways"
WRITE_TIMEOUT_S = 60.0
DEAD_POLL_S = 5.0
"""Time between two checks for rows that are due for removal."""


class MemberRows:
    """Writes this gateway's row, applies others', removes those of dead gateways.

    Args:
        membership: Updated from the rows.
        store: The row store.
        log: Decision log.
        loss_window_s: Returns for how many seconds after a crash grants of tokens may
            be lost. The row of a former start of this gateway stays readable that long;
            from it other gateways learn that its earlier process has crashed.
    """

    __slots__ = (
        "_is_leaving",
        "_is_listed",
        "_log",
        "_loss_window_s",
        "_membership",
        "_rejoining",
        "_removals",
        "_store",
    )

    def __init__(
        self,
        membership: Membership,
        store: RowStore,
        log: DecisionLog,
        *,
        loss_window_s: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._log = log
        self._loss_window_s = loss_window_s
        self._removals: dict[str, asyncio.Task] = {}
        self._is_leaving = False
        self._is_listed = False
        self._rejoining: asyncio.Task | None = None

    @property
    def is_listed(self) -> bool:
        """Whether this gateway's row is known to be in the store."""
        return self._is_listed and not self._is_leaving

    async def join(self) -> None:
        """Write this gateway's row, retrying until the store accepts it."""
        own = self._membership.own
        while not await self._write(own.name, msgspec.json.encode(own)):
            continue
        self._is_listed = True

    async def leave(self) -> None:
        """Remove this gateway's row.

        Called once no grants of tokens are left that only this gateway knows of: a
        row that outlives its process tells others that such grants may be lost.
        """
        self._is_leaving = True
        await self._write(self._membership.own.name, None)

    async def remove_dead_forever(self) -> None:
        """Remove members without a heartbeat for long, and their rows.

        A row stays for ``REMOVE_AFTER_S``, and as long as grants of its gateway may be
        lost: gateways that start in this time have to know. Runs until cancelled.
        """
        while True:
            await asyncio.sleep(DEAD_POLL_S)
            now = asyncio.get_running_loop().time()
            after_s = max(REMOVE_AFTER_S, self._loss_window_s())
            for name in self._membership.dead_to_remove(now, after_s=after_s):
                self._membership.remove(name)
                self._log.record("member_removed", peer=name)
                await self._write(name, None)
            for name in self._membership.left_to_remove(now):
                self._log.record("left_row_removed", row=name)
                await self._write(name, None)

    def apply(self, rows: list[Row], is_full_table: bool) -> None:
        """Apply rows of the table.

        Args:
            rows: Changed rows, or all rows; one without a value was removed.
            is_full_table: Whether these are all rows of the table.
        """
        now = asyncio.get_running_loop().time()
        if is_full_table:
            self._membership.keep_only({row.key.key for row in rows}, now)
        for row in rows:
            if row.value is None:
                self._row_removed(row.key.key)
                continue
            try:
                member = msgspec.json.decode(row.value, type=Member)
            except (msgspec.MsgspecError, RecursionError) as error:
                self._log.record("member_damaged", row=row.key.key, reason=str(error))
                continue
            if member.name == self._membership.own.name:
                continue
            self._membership.put(member, now)
            if (
                self._membership.is_own_former_start(member)
                and member.name not in self._removals
            ):
                self._removals[member.name] = asyncio.get_running_loop().create_task(
                    self._remove_former_row(member.name)
                )

    async def _remove_former_row(self, name: str) -> None:
        """Remove the row of a former start of this gateway after the loss window."""
        clock = asyncio.get_running_loop().time
        seen_at = clock()
        # The loss window grows once the configuration is known.
        while (remaining_s := seen_at + self._loss_window_s() - clock()) > 0:
            await asyncio.sleep(min(remaining_s, DEAD_POLL_S))
        while not await self._write(name, None):
            continue
        self._log.record("former_row_removed", row=name)

    def _row_removed(self, name: str) -> None:
        if name == self._membership.own.name and not self._is_leaving:
            # Other gateways took a long network partition for a crash of this one.
            self._is_listed = False
            self._rejoining = asyncio.get_running_loop().create_task(self.join())
        now = asyncio.get_running_loop().time()
        self._membership.record_row_removed(name, now)
        self._membership.remove(name)

    async def _write(self, name: str, value: bytes | None) -> bool:
        write = RowWrite(RowKey(TABLE, "", name), value)
        try:
            await self._store.write([write], timeout_s=WRITE_TIMEOUT_S)
        except RowStoreAwayError as error:
            self._log.record("not_written", row=name, reason=error.message)
            return False
        return True
