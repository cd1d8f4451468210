"""Turns of agent programs, kept with everything that came before them.

A turn's row is written once and never changed. It holds the turn's prompt input and
output after those of its chain, so that the next turn needs one read. A chain that
outgrows a row goes on in the row of an earlier turn.
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
"""Most bytes of chains in memory; a tenth of the smallest instance's memory."""
MAX_TEXT_SHARE = 0.7
"""Share of a row's largest size that a chain may fill: base64 takes a third more."""


class NoSuchTurnError(NotFoundError):
    """No such turn is kept; the store was asked after the question came."""

    cause = "no_such_turn"


class _TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """Content of a row.

    Attributes:
        previous_turn: Turn whose history comes before ``text``; empty where it begins
            here.
        text: Inputs and outputs, oldest first.
        expires_at: Unix time in seconds after which the row may go.
    """

    previous_turn: str
    text: bytes
    expires_at: float


@dataclass(frozen=True, slots=True)
class History:
    """What an engine reads before a turn's new input.

    Attributes:
        turn: The last turn of the chain; empty for a chain without turns.
        text: All inputs and outputs, oldest first.
    """

    turn: str = ""
    text: bytes = b""


EMPTY_HISTORY = History()


def turn_expiry(value: bytes) -> float:
    """Return the Unix time in seconds after which a turn's row may go."""
    return msgspec.msgpack.decode(value, type=_TurnRow).expires_at


class TurnStore:
    """Reads and writes turns.

    Args:
        rows: Where they are kept.
        row_bytes: Largest value of a row.
    """

    __slots__ = ("_cache", "_cached_bytes", "_max_text_bytes", "_rows")

    def __init__(self, rows: TurnRows, *, row_bytes: int) -> None:
        self._rows = rows
        self._max_text_bytes = int(row_bytes * MAX_TEXT_SHARE)
        self._cache: OrderedDict[str, History] = OrderedDict()
        self._cached_bytes = 0

    @property
    def max_turn_bytes(self) -> int:
        """Most bytes of a turn: its row holds no more."""
        return self._max_text_bytes

    async def history(self, turn: str, *, timeout_s: float) -> History:
        """Return the chain that ends with a turn.

        Args:
            turn: Request id of the turn.
            timeout_s: Longest time to wait for the store.

        Raises:
            NoSuchTurnError: The store has no such turn.
            RowStoreAwayError: The store could not be asked.
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
        """Write a turn.

        Args:
            history: The chain before the turn.
            turn: Request id of the turn.
            new_text: The turn's input and output.
            retention_s: How long it must be kept.
            timeout_s: How long to try.

        Returns:
            Every row that may have been written.

        Raises:
            RowStoreError: The write was not confirmed.
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
            raise NoSuchTurnError(f"no turn {turn} is kept")
        return msgspec.msgpack.decode(value, type=_TurnRow)

    def _add_to_cache(self, history: History) -> None:
        if history.turn in self._cache:
            return
        self._cache[history.turn] = history
        self._cached_bytes += len(history.text)
        while self._cached_bytes > MAX_CACHED_BYTES:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.text)
