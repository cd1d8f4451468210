"""Parsing of numbers that other systems write as decimal digits."""

from __future__ import annotations

MAX_DIGITS = 18
"""Most digits of a number; it then fits into 64 bits."""


def parse_decimal(text: str) -> int | None:
    """Return a number of ASCII digits, or ``None`` if the text is not one.

    ``str.isdigit`` also accepts digits that ``int`` refuses, such as superscripts.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
