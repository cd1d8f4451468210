"""Stores the turns of agent programs together with their history.

The row of a turn is written once and never changed. It holds the input and output of
the turn and of all turns before it, so that the next turn needs a single read. A
history that is too long for one row is stored in a chain of rows, each of which refers
to the row before it. The chain continues the rows of an earlier turn if these remain
for as long as the new turn must be kept; otherwise the whole history is written again.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from ..errors import NotFoundError
from ._futures import cancelled_at_exit
from .memory.settings import MAX_HISTORY_BYTES
from .row_sweep import CLOCK_MARGIN_S, row_lifetime_s
from .rows import RowKey
from .turn_rows import TurnRows

MAX_TEXT_SHARE = 0.7
"""Share of a row's largest size that its text may fill: base64 makes the text a third
longer."""


class NoSuchTurnError(NotFoundError):
    """The store, read after the request arrived, has no such turn."""

    cause = "no_such_turn"


class _TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """Content of a turn's row.

    Attributes:
        previous: Name of the row whose history precedes ``text``; empty if ``text``
            begins the history. Usually the request id of an earlier turn.
        text: Inputs and outputs, oldest first.
        expires_at: Unix time in seconds after which the row may be removed.
    """

    previous: str
    text: bytes
    expires_at: float


@dataclass(frozen=True, slots=True)
class History:
    """Inputs and outputs of earlier turns, which precede a turn's input in the prompt.

    Attributes:
        turn: Request id of the last turn in it; empty if there is none.
        text: Inputs and outputs of all its turns, oldest first.
        expires_at: Unix time in seconds after which one of its rows may be removed.
    """

    turn: str = ""
    text: bytes = b""
    expires_at: float = float("inf")


EMPTY_HISTORY = History()


def turn_expiry(value: bytes) -> float:
    """Return the Unix time in seconds after which a turn's row may be removed.

    Args:
        value: Content of the row.
    """
    return msgspec.msgpack.decode(value, type=_TurnRow).expires_at


class TurnStore:
    """Reads and writes turns, with a cache of their histories in memory.

    Args:
        rows: Rows of turns in the row store.
        row_bytes: Largest size of a row's value.
        cache_bytes: Largest size of the cache of histories.
    """

    __slots__ = (
        "_cache",
        "_cache_bytes",
        "_cached_bytes",
        "_max_text_bytes",
        "_rows",
    )

    def __init__(
        self,
        rows: TurnRows,
        *,
        row_bytes: int,
        cache_bytes: int = MAX_HISTORY_BYTES,
    ) -> None:
        self._rows = rows
        self._cache_bytes = cache_bytes
        self._max_text_bytes = int(row_bytes * MAX_TEXT_SHARE)
        self._cache: OrderedDict[str, History] = OrderedDict()
        self._cached_bytes = 0

    @property
    def max_turn_bytes(self) -> int:
        """Largest size in bytes of a turn's output."""
        return self._max_text_bytes

    async def history(self, turn: str, *, timeout_s: float) -> History:
        """Return the history up to a turn, that turn included.

        Args:
            turn: Request id of the turn.
            timeout_s: Longest time to wait for each read of the store.

        Raises:
            NoSuchTurnError: The store has no such turn.
            RowStoreAwayError: The store could not be read.
        """
        texts: list[bytes] = []
        expires_at = float("inf")
        name = turn
        while name:
            cached = self._cached(name)
            if cached is not None:
                texts.append(cached.text)
                expires_at = min(expires_at, cached.expires_at)
                break
            row = await self._find(name, timeout_s)
            texts.append(row.text)
            expires_at = min(expires_at, row.expires_at)
            name = row.previous
        history = History(turn, b"".join(reversed(texts)), expires_at)
        self._add_to_cache(history)
        return history

    def _cached(self, turn: str) -> History | None:
        cached = self._cache.get(turn)
        if cached is not None:
            self._cache.move_to_end(turn)
        return cached

    async def commit(
        self,
        history: History,
        turn: str,
        new_text: bytes,
        *,
        retention_s: float,
        timeout_s: float,
    ) -> list[RowKey]:
        """Write a turn's rows and wait until the store confirms all of them.

        Args:
            history: History before the turn.
            turn: Request id of the turn.
            new_text: The turn's input and output.
            retention_s: How long the turn and its history must be kept.
            timeout_s: Longest time to wait for the confirmation.

        Returns:
            Keys of all rows that may have been written. They must remain for
            ``row_lifetime_s(retention_s)``.

        Raises:
            RowStoreError: The store did not confirm a write.
        """
        text = history.text + new_text
        now = time.time()
        expires_at = now + row_lifetime_s(retention_s)
        previous, stored = "", text
        may_refer = history.expires_at >= now + retention_s + CLOCK_MARGIN_S
        if len(text) > self._max_text_bytes and history.turn and may_refer:
            previous, stored = history.turn, new_text
            rows_expire_at = min(expires_at, history.expires_at)
        else:
            rows_expire_at = expires_at
        rows = self._chain(turn, previous, stored, expires_at)
        keys = await self._write_all(rows, timeout_s=timeout_s)
        self._add_to_cache(History(turn, text, rows_expire_at))
        return keys

    def _chain(
        self, turn: str, previous: str, text: bytes, expires_at: float
    ) -> dict[str, _TurnRow]:
        """Return rows, by name, that together hold a text and refer each to the last.

        The last row has the name of the turn, the others ``TURN/rows/NUMBER``.
        """
        size = self._max_text_bytes
        parts = [text[start : start + size] for start in range(0, len(text), size)]
        rows: dict[str, _TurnRow] = {}
        for number, part in enumerate(parts or [b""], start=1):
            name = turn if number >= len(parts) else f"{turn}/rows/{number}"
            rows[name] = _TurnRow(previous, part, expires_at)
            previous = name
        return rows

    async def _write_all(
        self, rows: dict[str, _TurnRow], *, timeout_s: float
    ) -> list[RowKey]:
        """Write rows at the same time; return all keys that may have been written.

        Raises:
            RowStoreError: The store did not confirm one of them.
        """
        with cancelled_at_exit() as writing:
            for name, row in rows.items():
                value = msgspec.msgpack.encode(row)
                write = self._rows.write(name, value, timeout_s=timeout_s)
                writing.add(asyncio.ensure_future(write))
            written = await asyncio.gather(*writing)
        return [key for keys in written for key in keys]

    async def _find(self, name: str, timeout_s: float) -> _TurnRow:
        value = await self._rows.find(name, timeout_s=timeout_s)
        if value is None:
            raise NoSuchTurnError(f"the store has no turn {name}")
        return msgspec.msgpack.decode(value, type=_TurnRow)

    def _add_to_cache(self, history: History) -> None:
        if history.turn in self._cache:
            return
        self._cache[history.turn] = history
        self._cached_bytes += len(history.text)
        while self._cached_bytes > self._cache_bytes:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.text)
