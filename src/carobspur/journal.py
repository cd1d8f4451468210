"""Records that a scheduler commits: the only source of every program's state."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

JOURNAL_PREFIX = "journal/"
_CHUNK_DIGITS = 12


class CallOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a call ended.

    Attributes:
        output: JSON text of the answer; empty where the call failed.
        verdict: ``ran`` for an answer; else what the failure's verdict says.
        cause: Cause code of the failure; empty for an answer.
        message: Text of the failure.
        cost_units: What the call cost.
        input_tokens: New tokens the model read.
        output_tokens: Tokens the model generated.
        engine: Address of the endpoint that ran it.
    """

    output: str = ""
    verdict: str = "ran"
    cause: str = ""
    message: str = ""
    cost_units: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    engine: str = ""


class ProgramStarted(msgspec.Struct, frozen=True, tag="started", omit_defaults=True):
    """A program began; ``started_s`` and ``deadline_s`` are seconds since 1970."""

    program: str
    organisation: str
    user: str
    agent: str
    started_s: float
    parent: str = ""
    deadline_s: float = 0.0


class CallIntended(msgspec.Struct, frozen=True, tag="intended", omit_defaults=True):
    """A call that may not be repeated is about to be sent, to ``address``.

    ``fence`` is the fencing number it is sent with.
    """

    program: str
    number: int
    endpoint: str
    digest: str
    input: str
    call_id: str
    address: str = ""
    fence: int = 0


class CallFinished(msgspec.Struct, frozen=True, tag="finished", omit_defaults=True):
    """A call ended, and its outcome is the answer to this number for good."""

    program: str
    number: int
    endpoint: str
    digest: str
    input: str
    outcome: CallOutcome


class CallAbandoned(msgspec.Struct, frozen=True, tag="abandoned", omit_defaults=True):
    """An intended call did not run and never will; its number is free.

    ``fence`` is the highest fencing number that was used to find out.
    """

    program: str
    number: int
    fence: int = 0


class ProgramEnded(msgspec.Struct, frozen=True, tag="ended", omit_defaults=True):
    """A program takes no more calls."""

    program: str
    reason: str = ""


class ChildAdopted(msgspec.Struct, frozen=True, tag="adopted"):
    """A program is about to start a sub-agent."""

    program: str
    child: str


class ChildEnded(msgspec.Struct, frozen=True, tag="child_ended"):
    """A sub-agent of an ended program has ended, wherever it is."""

    program: str
    child: str


Record: TypeAlias = (
    ProgramStarted
    | CallIntended
    | CallFinished
    | CallAbandoned
    | ProgramEnded
    | ChildAdopted
    | ChildEnded
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(list[Record])


def encode_records(records: list[Record]) -> bytes:
    """Return a chunk of records as JSON."""
    return _encoder.encode(records)


def decode_records(content: bytes) -> list[Record]:
    """Read what :func:`encode_records` returned."""
    return _decoder.decode(content)


def chunk_key(session: str, commit: int) -> str:
    """Return the key of the table row that holds the records of one commit."""
    return f"{JOURNAL_PREFIX}{session}/{commit:0{_CHUNK_DIGITS}d}"


def chunk_commit(key: str) -> int:
    """Return the commit number of a chunk from its key."""
    return int(key.rpartition("/")[2])
