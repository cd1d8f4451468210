"""Spreads programs over the parts of the row store."""

from __future__ import annotations

import zlib

PARTS = 16
"""Parts of each table: the store's total write rate, 600 to 1,200 a second, is reached
before any of 16 parts that take 200 a second each is full."""


def part_of(program: str) -> str:
    """Return the part that holds the rows of a program."""
    return f"p{zlib.crc32(program.encode()) % PARTS}"


def all_parts() -> list[str]:
    """Return the names of all parts."""
    return [f"p{number}" for number in range(PARTS)]
