"""Rows by which gateways know each other."""

from __future__ import annotations

import asyncio

import msgspec

from .decisions import DecisionLog
from .members import Member, Membership
from .rows import Row, RowKey, RowStore, RowStoreAwayError, RowWrite

TABLE = "gateways"
WRITE_TIMEOUT_S = 60.0
DEAD_POLL_S = 5.0


class MemberRows:
    """Writes this gateway's row, follows the others', removes those of the dead.

    Args:
        membership: Who is known.
        store: The row store.
        log: Decision log.
    """

    __slots__ = ("_is_leaving", "_log", "_membership", "_rejoining", "_store")

    def __init__(
        self, membership: Membership, store: RowStore, log: DecisionLog
    ) -> None:
        self._membership = membership
        self._store = store
        self._log = log
        self._is_leaving = False
        self._rejoining: asyncio.Task | None = None

    async def join(self) -> None:
        """Write this gateway's row, for as long as it takes."""
        own = self._membership.own
        while not await self._write(own.name, msgspec.json.encode(own)):
            continue

    async def leave(self) -> None:
        """Remove this gateway's row."""
        self._is_leaving = True
        await self._write(self._membership.own.name, None)

    async def remove_dead_forever(self) -> None:
        """Remove members that have been silent for long."""
        while True:
            await asyncio.sleep(DEAD_POLL_S)
            now = asyncio.get_running_loop().time()
            for name in self._membership.dead(now):
                self._membership.remove(name)
                self._log.note("member_removed", peer=name)
                await self._write(name, None)

    def changed(self, rows: list[Row], is_whole: bool) -> None:
        """Take note of changed rows, or of the whole table."""
        now = asyncio.get_running_loop().time()
        if is_whole:
            present = {row.key.key for row in rows}
            for member in list(self._membership.others()):
                if member.name not in present:
                    self._membership.remove(member.name)
        for row in rows:
            if row.value is None:
                self._gone(row.key.key)
                continue
            try:
                member = msgspec.json.decode(row.value, type=Member)
            except msgspec.MsgspecError as error:
                self._log.note("member_damaged", row=row.key.key, reason=str(error))
                continue
            if member.name != self._membership.own.name:
                self._membership.put(member, now)

    def _gone(self, name: str) -> None:
        if name == self._membership.own.name and not self._is_leaving:
            # Others took a long cut for our death.
            self._rejoining = asyncio.get_running_loop().create_task(self.join())
        self._membership.remove(name)

    async def _write(self, name: str, value: bytes | None) -> bool:
        write = RowWrite(RowKey(TABLE, "", name), value)
        try:
            await self._store.write([write], timeout_s=WRITE_TIMEOUT_S)
        except RowStoreAwayError as error:
            self._log.note("not_written", row=name, reason=error.message)
            return False
        return True
