"""Parsing of addresses of the form ``HOST:PORT``."""

from __future__ import annotations

from .decimals import parse_decimal

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a ``HOST:PORT`` address.

    Raises:
        ValueError: The text has no host or no port from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    number = parse_decimal(port)
    if not host or number is None or number > MAX_PORT:
        raise ValueError(address)
    return host, number
