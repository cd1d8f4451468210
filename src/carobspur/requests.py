"""Who asks, and for what."""

from __future__ import annotations

from dataclasses import dataclass

from .inventory import Role
from .programs import call_digest


@dataclass(frozen=True, slots=True)
class Requester:
    """Who asks, as entry or control established it from a key."""

    organisation: str
    user: str
    role: Role = Role.CALLER


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as a caller asked for it; ``content`` is the input's JSON text."""

    requester: Requester
    program: str
    number: int
    endpoint: str
    content: bytes

    @property
    def digest(self) -> str:
        """Digest that tells whether two calls are the same one."""
        return call_digest(self.endpoint, self.content)
