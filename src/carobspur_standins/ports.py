"""Claims on ports, so that programs that run at once listen on different ones."""

from __future__ import annotations

import fcntl
import tempfile
from pathlib import Path

# One byte for each port: the process that locks it owns the port until it ends.
_claim_file = (Path(tempfile.gettempdir()) / "carobspur-test-ports").open("ab")


def claim_port(port: int) -> bool:
    """Claim a port among all programs of this machine that claim theirs.

    A server takes a second to start and listen. Until then its port looks unused to
    others.

    Args:
        port: The port.

    Returns:
        Whether no other process has claimed it. The claim ends with this process.
    """
    try:
        fcntl.lockf(_claim_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True
