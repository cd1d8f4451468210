"""Bodies of callers' requests and of the answers to them."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from .addresses import AddressAnswer

MAX_NAME_LENGTH = 100
MAX_DEADLINE_S = 30 * 86_400.0
_PROGRAM_ID = r"p[0-9a-f]{32}"
_program_id = re.compile(_PROGRAM_ID + r"\Z")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
ParentId = Annotated[str, msgspec.Meta(pattern=f"^({_PROGRAM_ID})?$")]
Deadline = Annotated[float, msgspec.Meta(ge=0, le=MAX_DEADLINE_S)]


def is_program_id(text: str) -> bool:
    """Return whether a text has the form of a program's id."""
    return _program_id.match(text) is not None


class AddressDocument(msgspec.Struct, frozen=True):
    """Answer to a request for addresses; ``keep_s`` is how long to keep it."""

    addresses: list[AddressAnswer]
    keep_s: int


class StartBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that starts a program."""

    agent: Name
    parent: ParentId = ""
    deadline_s: Deadline = 0.0


class StartDocument(msgspec.Struct, frozen=True):
    """Answer to a request that starts a program."""

    program: str


class CallBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call."""

    endpoint: Name
    input: msgspec.Raw
    stream: bool = False


class CallDocument(msgspec.Struct, frozen=True):
    """A call's answer.

    Attributes:
        program: Id of the program.
        number: Number of the call.
        call: Id of the call.
        digest: Digest of endpoint and input; lets a caller check that the answer
            is to its own request.
        output: The answer.
        durable: Whether the answer is committed.
        replayed: Whether the call had finished before.
        cost_units: What it cost.
    """

    program: str
    number: int
    call: str
    digest: str
    output: msgspec.Raw
    durable: bool
    replayed: bool
    cost_units: int
