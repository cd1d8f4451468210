"""Ports for servers of tests, each given out once on the whole machine."""

from __future__ import annotations

import fcntl
import itertools
import os
import socket
import tempfile
from pathlib import Path

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 32_000
"""They lie below the ports that the kernel gives to connections, which could
otherwise take one before its server listens."""

_ports = itertools.cycle(range(FIRST_PORT + os.getpid() % 100 * 100, LAST_PORT))
# One byte a port: the process that locks it owns the port until it ends.
_claim_file = (Path(tempfile.gettempdir()) / "carobspur-test-ports").open("ab")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody uses and that no other call returns.

    A server takes a second to start and listen. Until then a port looks free to
    other test runs, so it is claimed for the life of this process.
    """
    while True:
        port = next(_ports)
        if _claim(port) and _is_unused(port, kind):
            return port


def _claim(port: int) -> bool:
    """Claim a port among all test runs of this machine."""
    try:
        fcntl.lockf(_claim_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_unused(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True
