"""Recognizes a request that a caller sends again under another id; pure."""

from __future__ import annotations

import hashlib

from ..calls import Call

DIGEST_BYTES = 8


def request_digest(call: Call) -> int:
    """Return a digest of what a request asks for and who asks.

    Two attempts have the same digest whatever their ids, programs, previous turns and
    deadlines are. Requests of different customers never share one, so that no customer
    can have the requests of another refused.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    caller = call.key_digest if call.customer is None else call.customer.encode()
    for part in (call.method, call.host, call.target):
        digest.update(f"{len(part)}:{part}".encode("utf-8", "surrogateescape"))
    digest.update(f"{len(caller)}:".encode())
    digest.update(caller)
    digest.update(call.body)
    return int.from_bytes(digest.digest())
