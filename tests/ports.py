"""Ports for the servers of tests, never the same for two test runs on one machine."""

from __future__ import annotations

import itertools
import os
import socket

from carobspur_standins.ports import claim_port

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 32_000
"""Below the ports that the kernel gives to outgoing connections: otherwise one of them
could take a port before its server listens."""

_ports = itertools.cycle(range(FIRST_PORT + os.getpid() % 100 * 100, LAST_PORT))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return an unused port that no other call returns, in this or another process.

    The port is claimed until this process ends.

    Args:
        kind: Type of the socket, ``SOCK_STREAM`` or ``SOCK_DGRAM``.
    """
    while True:
        port = next(_ports)
        if claim_port(port) and _is_unused(port, kind):
            return port


def _is_unused(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True
