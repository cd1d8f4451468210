"""A customer of the platform, with its API keys and its rate limit."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

DIGEST_BYTES = 16
"""Length of a key's digest; keys themselves are kept nowhere."""


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of the operator's configuration.

    Attributes:
        name: Name of the customer.
        key_digests: Digests of its API keys.
        priority: Priority of its requests, which replaces that of their routes; 0 is
            the highest, ``None`` leaves the routes' priorities.
        rate_per_s: Requests a second that all gateways together may pass on; 0 for no
            limit.
        burst: Requests that may be passed on beyond the rate after a calm period.
    """

    name: str
    key_digests: tuple[bytes, ...] = field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the number of the customer's requests is limited."""
        return self.rate_per_s > 0


def key_digest(key: str) -> bytes:
    """Return the digest by which an API key is looked up."""
    encoded = key.encode(errors="surrogatepass")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
