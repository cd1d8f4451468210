"""Addresses as ``HOST:PORT``."""

from __future__ import annotations

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``.

    Raises:
        ValueError: The text is no address.
    """
    host, _, port = address.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= MAX_PORT:
        raise ValueError(address)
    return host, number
