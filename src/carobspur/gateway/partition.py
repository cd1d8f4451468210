"""Spreads rows over the partitions of the row store.

The store executes the transactions of one partition one after another. A store that
answers 50 times slower than usual still executes four a second in each partition.
"""

from __future__ import annotations

import zlib

PARTITIONS = 512
"""Partitions of each table: at four transactions a second each they take three times
the store's whole rate of 600, so that few transactions queue."""
MIN_PARTITION_TIMEOUT_S = 0.35
"""Shortest time-out of a partition."""
PARTITION_TIMEOUT_FACTOR = 8.0
"""Time-out in multiples of the store's usual answer time. A store that is slow as a
whole thus gets no additional calls."""


def partition_of(key: str) -> str:
    """Return the partition for the rows of a program or a turn.

    Args:
        key: Id of the program or turn.
    """
    return f"p{zlib.crc32(key.encode()) % PARTITIONS}"


def partition_timeout_s(usual_s: float) -> float:
    """Return how long to wait for a partition before an alternative is tried.

    Args:
        usual_s: How long the store usually takes to answer.
    """
    return max(MIN_PARTITION_TIMEOUT_S, PARTITION_TIMEOUT_FACTOR * usual_s)


def all_partitions() -> list[str]:
    """Return the names of all partitions of a table."""
    return [f"p{number}" for number in range(PARTITIONS)]
