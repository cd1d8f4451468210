"""JSON bodies of callers' HTTP requests and of the answers to them."""

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
    """Return whether a text has the syntax of a program id."""
    return _program_id.match(text) is not None


class AddressDocument(msgspec.Struct, frozen=True):
    """Answer to a request for the addresses of instances.

    Attributes:
        addresses: The addresses.
        keep_s: Seconds for which the caller may cache the answer.
    """

    addresses: list[AddressAnswer]
    keep_s: int


class StartBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that starts a program.

    Attributes:
        agent: Name of the agent.
        parent: Id of the parent program; empty for none.
        deadline_s: Seconds within which the program has to end; 0 for none given.
    """

    agent: Name
    parent: ParentId = ""
    deadline_s: Deadline = 0.0


class StartDocument(msgspec.Struct, frozen=True):
    """Answer to a request that starts a program.

    Attributes:
        program: Id of the program.
    """

    program: str


class CallBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that makes a call.

    Attributes:
        endpoint: Name of the model or service.
        input: Input of the call, any JSON value; passed on as it is.
        stream: Whether the answer is wanted as a stream of events.
    """

    endpoint: Name
    input: msgspec.Raw
    stream: bool = False


class CallDocument(msgspec.Struct, frozen=True):
    """Answer to a call.

    Attributes:
        program: Id of the program.
        number: Number of the call.
        call: Id of the call.
        digest: Digest of endpoint and input, by which a caller can check that the
            answer belongs to its own request.
        output: Output of the call.
        durable: Whether the outcome is committed to the table service.
        replayed: Whether the call had finished before and did not run again.
        cost_units: Cost units that it used.
    """

    program: str
    number: int
    call: str
    digest: str
    output: msgspec.Raw
    durable: bool
    replayed: bool
    cost_units: int
