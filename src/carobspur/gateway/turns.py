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

CACHED_BYTES = 16 * 1024 * 1024
"""Most bytes of chains in memory; a tenth of the smallest instance's memory."""
FULL_ROW_SHARE = 0.7
"""Share of a row's largest size that a chain may fill: base64 takes a third more."""


class NoSuchTurnError(NotFoundError):
    """No such turn is kept; the store was asked after the question came."""

    cause = "no_such_turn"


class _TurnRow(msgspec.Struct, frozen=True, array_like=True):
    """Content of a row.

    Attributes:
        before: Turn whose chain comes before ``text``; empty where it begins here.
        text: Inputs and outputs, oldest first.
        expires_at: Unix time in seconds after which the row may go.
    """

    before: str
    text: bytes
    expires_at: float


@dataclass(frozen=True, slots=True)
class Chain:
    """What an engine reads before a turn's new input.

    Attributes:
        turn: The last turn of the chain; empty for a chain without turns.
        text: All inputs and outputs, oldest first.
    """

    turn: str = ""
    text: bytes = b""


EMPTY_CHAIN = Chain()


def turn_expiry(value: bytes) -> float:
    """Return the Unix time in seconds after which a turn's row may go."""
    return msgspec.msgpack.decode(value, type=_TurnRow).expires_at


class TurnKeeper:
    """Reads and writes turns.

    Args:
        rows: Where they are kept.
        row_bytes: Largest value of a row.
    """

    __slots__ = ("_cache", "_cached_bytes", "_max_text", "_rows")

    def __init__(self, rows: TurnRows, *, row_bytes: int) -> None:
        self._rows = rows
        self._max_text = int(row_bytes * FULL_ROW_SHARE)
        self._cache: OrderedDict[str, Chain] = OrderedDict()
        self._cached_bytes = 0

    @property
    def most_bytes(self) -> int:
        """Most bytes of a turn: its row holds no more."""
        return self._max_text

    async def chain(self, turn: str, *, timeout_s: float) -> Chain:
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
        if row.before:
            earlier = await self.chain(row.before, timeout_s=timeout_s)
            text = earlier.text + text
        chain = Chain(turn, text)
        self._remember(chain)
        return chain

    async def keep(
        self,
        chain: Chain,
        turn: str,
        added: bytes,
        *,
        retention_s: float,
        timeout_s: float,
    ) -> list[RowKey]:
        """Write a turn.

        Args:
            chain: The chain before the turn.
            turn: Request id of the turn.
            added: The turn's input and output.
            retention_s: How long it must be kept.
            timeout_s: How long to try.

        Returns:
            Every row that may have been written.

        Raises:
            RowStoreError: The write was not confirmed.
        """
        text = chain.text + added
        before, stored = "", text
        if len(text) > self._max_text:
            before, stored = chain.turn, added
        row = _TurnRow(before, stored, time.time() + retention_s)
        value = msgspec.msgpack.encode(row)
        keys = await self._rows.write(turn, value, timeout_s=timeout_s)
        self._remember(Chain(turn, text))
        return keys

    async def _find(self, turn: str, timeout_s: float) -> _TurnRow:
        value = await self._rows.find(turn, timeout_s=timeout_s)
        if value is None:
            raise NoSuchTurnError(f"no turn {turn} is kept")
        return msgspec.msgpack.decode(value, type=_TurnRow)

    def _remember(self, chain: Chain) -> None:
        if chain.turn in self._cache:
            return
        self._cache[chain.turn] = chain
        self._cached_bytes += len(chain.text)
        while self._cached_bytes > CACHED_BYTES:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.text)
