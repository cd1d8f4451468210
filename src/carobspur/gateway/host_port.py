"""Parsing of addresses of the form ``HOST:PORT``."""

from __future__ import annotations

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a ``HOST:PORT`` address.

    Raises:
        ValueError: The text has no host or no port from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(address)
    number = int(port)
    if number > MAX_PORT:
        raise ValueError(address)
    return host, number
