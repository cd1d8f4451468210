"""Recognizes a request that a caller sends again under another id; pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from ..calls import Call

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Digests by which further attempts of a request are recognized.

    They do not depend on ids, programs, previous turns and deadlines. Requests of
    different customers never share one, so that no customer can have the requests of
    another refused.

    Attributes:
        request: Digest of what is asked for, of whom, and of the body.
        target: The same without the body, which some callers change a little with each
            attempt.
    """

    request: int
    target: int

    @classmethod
    def of(cls, call: Call) -> RequestIdentity:
        """Return the identity of a request."""
        caller = call.key_digest if call.customer is None else call.customer.encode()
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (call.method, call.host, call.target):
            digest.update(f"{len(part)}:{part}".encode("utf-8", "surrogateescape"))
        digest.update(f"{len(caller)}:".encode())
        digest.update(caller)
        target = int.from_bytes(digest.digest())
        digest.update(b"body:")
        digest.update(call.body)
        return cls(int.from_bytes(digest.digest()), target)
