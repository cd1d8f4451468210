"""Requests for calls, and the authenticated requester."""

from __future__ import annotations

from dataclasses import dataclass

from .inventory import Role
from .programs import call_digest


@dataclass(frozen=True, slots=True)
class Requester:
    """Identity and role of an authenticated requester.

    Attributes:
        organisation: The organisation that the request's key belongs to.
        user: The user for whom the request is made.
        role: What the requester may do.
    """

    organisation: str
    user: str
    role: Role = Role.CALLER


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as its caller requested it.

    Attributes:
        requester: The authenticated requester.
        program: Id of the program.
        number: Position of the call in the program, from 1.
        endpoint: Name of the model or service.
        content: JSON text of the input.
    """

    requester: Requester
    program: str
    number: int
    endpoint: str
    content: bytes

    @property
    def digest(self) -> str:
        """Digest that is equal for equal calls.

        Raises:
            msgspec.DecodeError: The content is not JSON.
        """
        return call_digest(self.endpoint, self.content)
