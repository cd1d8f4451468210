"""Stores the turns of agent programs together with their history.

The row of a turn is written once and never changed. It holds the input and output of
the turn and of all turns before it, so that the next turn needs a single read. A
history that is too long for one row is split: the row then refers to the row of an
earlier turn.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from ..errors import NotFoundError
from .rows import RowKey
from .turn_rows import TurnRows

MAX_CACHED_BYTES = 16 * 1024 * 1024
"""Largest size of the cache of histories: a tenth of the smallest instance's memory."""
MAX_TEXT_SHARE = 0.7
"""Share of a row's largest size that its text may fill: base64 makes the text a third
longer."""


class NoSuchTurnError(NotFoundError):
    """The store, read after the request arrived, has no such turn."""

    cause = "no_such_turn"


class _TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """Content of a turn's row.

    Attributes:
        previous_turn: Request id of the turn whose history precedes ``text``; empty if
            ``text`` is the whole history.
        text: Inputs and outputs, oldest first, the turn's own at the end.
        expires_at: Unix time in seconds after which the row may be removed.
    """

    previous_turn: str
    text: bytes
    expires_at: float


@dataclass(frozen=True, slots=True)
class History:
    """Inputs and outputs of earlier turns, which precede a turn's input in the prompt.

    Attributes:
        turn: Request id of the last turn in it; empty if there is none.
        text: Inputs and outputs of all its turns, oldest first.
    """

    turn: str = ""
    text: bytes = b""


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
    """

    __slots__ = ("_cache", "_cached_bytes", "_max_text_bytes", "_rows")

    def __init__(self, rows: TurnRows, *, row_bytes: int) -> None:
        self._rows = rows
        self._max_text_bytes = int(row_bytes * MAX_TEXT_SHARE)
        self._cache: OrderedDict[str, History] = OrderedDict()
        self._cached_bytes = 0

    @property
    def max_turn_bytes(self) -> int:
        """Largest size in bytes of a turn's input and output that fit into its row."""
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
        cached = self._cache.get(turn)
        if cached is not None:
            self._cache.move_to_end(turn)
            return cached
        row = await self._find(turn, timeout_s)
        text = row.text
        if row.previous_turn:
            earlier = await self.history(row.previous_turn, timeout_s=timeout_s)
            text = earlier.text + text
        history = History(turn, text)
        self._add_to_cache(history)
        return history

    async def commit(
        self,
        history: History,
        turn: str,
        new_text: bytes,
        *,
        retention_s: float,
        timeout_s: float,
    ) -> list[RowKey]:
        """Write a turn's row and wait until the store confirms it.

        Args:
            history: History before the turn.
            turn: Request id of the turn.
            new_text: The turn's input and output.
            retention_s: How long the row must be kept.
            timeout_s: Longest time to wait for the confirmation.

        Returns:
            Keys of all rows that may have been written.

        Raises:
            RowStoreError: The store did not confirm the write.
        """
        text = history.text + new_text
        previous_turn, stored = "", text
        if len(text) > self._max_text_bytes:
            previous_turn, stored = history.turn, new_text
        row = _TurnRow(previous_turn, stored, time.time() + retention_s)
        value = msgspec.msgpack.encode(row)
        keys = await self._rows.write(turn, value, timeout_s=timeout_s)
        self._add_to_cache(History(turn, text))
        return keys

    async def _find(self, turn: str, timeout_s: float) -> _TurnRow:
        value = await self._rows.find(turn, timeout_s=timeout_s)
        if value is None:
            raise NoSuchTurnError(f"the store has no turn {turn}")
        return msgspec.msgpack.decode(value, type=_TurnRow)

    def _add_to_cache(self, history: History) -> None:
        if history.turn in self._cache:
            return
        self._cache[history.turn] = history
        self._cached_bytes += len(history.text)
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.text)
