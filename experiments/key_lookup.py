"""Time to find the key of a secret: a scan of all organisations against the index.

Run: PYTHONPATH=src .venv/bin/python experiments/key_lookup.py
"""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable

from carobspur.inventory import Inventory, Key, Role
from carobspur.keys import KeyIndex, secret_digest

SIZES = (100, 1500, 15_000)
KEYS_PER_ORGANISATION = 3
ROUNDS = 5
CALLS = 20


def inventories(count: int) -> list[Inventory]:
    """Return inventories that have nothing but keys."""
    return [
        Inventory(
            f"org-{number}",
            keys=[
                Key(
                    f"key-{key_number}",
                    secret_digest(f"secret-{number}-{key_number}"),
                    Role.CALLER,
                )
                for key_number in range(KEYS_PER_ORGANISATION)
            ],
        )
        for number in range(count)
    ]


def scan(organisations: list[Inventory], secret: str) -> Key | None:
    """Find a key without an index, with one hash for each organisation."""
    for inventory in organisations:
        digest = hashlib.sha256(secret.encode()).hexdigest()
        for key in inventory.keys:
            if hmac.compare_digest(key.sha256, digest):
                return key
    return None


def best_us(find: Callable[[], object]) -> float:
    """Return the time of one call in microseconds: the best mean of several rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(CALLS):
            find()
        best = min(best, (time.perf_counter() - start_s) / CALLS)
    return best * 1e6


def main() -> None:
    """Print a line for each number of organisations."""
    print("organisations   scan us   index us   build ms   replace one us")
    for count in SIZES:
        found = inventories(count)
        start_s = time.perf_counter()
        index = KeyIndex.of(found)
        build_ms = (time.perf_counter() - start_s) * 1e3
        secret = f"secret-{count // 2}-1"
        scan_us = best_us(lambda found=found, secret=secret: scan(found, secret))
        index_us = best_us(lambda index=index, secret=secret: index.find(secret))
        replace_us = best_us(lambda index=index, found=found: index.replace(found[0]))
        print(
            f"{count:13}  {scan_us:8.1f}  {index_us:9.2f}  {build_ms:9.1f}"
            f"  {replace_us:15.2f}"
        )


if __name__ == "__main__":
    main()
