"""Spreads rows over the parts of the row store.

The store does the transactions of one part one after another. The load answered: a
store whose answers take 50 times as long still takes four a second at each part.
"""

from __future__ import annotations

import zlib

PARTITIONS = 512
"""Parts of each table: at four transactions a second each they take three times the
store's whole rate of 600, so that few wait behind others."""
MIN_PARTITION_TIMEOUT_S = 0.35
PARTITION_TIMEOUT_FACTOR = 8.0
"""A part is passed over once it was silent for this long, or for so many times the
store's usual answer: a store that is slow as a whole gets no more calls than others."""


def partition_of(key: str) -> str:
    """Return the part that holds the rows of a program or of a turn."""
    return f"p{zlib.crc32(key.encode()) % PARTITIONS}"


def partition_timeout_s(usual_s: float) -> float:
    """Return how long a call waits for a part before it goes to another.

    Args:
        usual_s: How long the store usually takes to answer.
    """
    return max(MIN_PARTITION_TIMEOUT_S, PARTITION_TIMEOUT_FACTOR * usual_s)


def all_partitions() -> list[str]:
    """Return the names of all parts."""
    return [f"p{number}" for number in range(PARTITIONS)]
