"""Load and experiment tool."""

from __future__ import annotations


def main() -> None:
    """Entry point of ``carobspur-load``."""
    raise SystemExit("carobspur-load is not built yet")
