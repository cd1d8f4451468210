"""Records that a scheduler commits: the only source of every program's state."""

from __future__ import annotations

from collections import deque
from typing import TypeAlias

import msgspec

JOURNAL_PREFIX = "journal/"
_SLOT_DIGITS = 6


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
        address: Address of the endpoint that ran it.
    """

    output: str = ""
    verdict: str = "ran"
    cause: str = ""
    message: str = ""
    cost_units: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    address: str = ""


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


class Chunk(msgspec.Struct, frozen=True):
    """Records of one commit."""

    commit: int
    records: list[Record]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Chunk)


def encode_chunk(chunk: Chunk) -> bytes:
    """Return a chunk as JSON."""
    return _encoder.encode(chunk)


def decode_chunk(content: bytes) -> Chunk:
    """Read what :func:`encode_chunk` returned."""
    return _decoder.decode(content)


def journal_prefix(session: str) -> str:
    """Return the prefix of all rows of a session's journal."""
    return f"{JOURNAL_PREFIX}{session}/"


def chunk_key(session: str, slot: int) -> str:
    """Return the key of the table row that holds one chunk."""
    return f"{journal_prefix(session)}{slot:0{_SLOT_DIGITS}d}"


class JournalSlots:
    """Rows of one session's journal, used again once nothing refers to their content.

    Writing over a row takes the place of deleting it, which would be a further write.
    """

    __slots__ = ("_first_needed", "_free", "_next", "_used")

    def __init__(self) -> None:
        self._next = 0
        self._first_needed = 0
        self._free: list[int] = []
        self._used: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return self._next

    def next_slot(self) -> int:
        """Return the slot that the next chunk should go to."""
        while self._used and self._used[0][0] < self._first_needed:
            self._free.append(self._used.popleft()[1])
        return self._free[-1] if self._free else self._next

    def mark_used(self, slot: int, commit: int) -> None:
        """Take note that a chunk was written."""
        if self._free and self._free[-1] == slot:
            self._free.pop()
        else:
            self._next = slot + 1
        self._used.append((commit, slot))

    def release_before(self, commit: int) -> None:
        """Let the slots of all chunks before a commit be used again."""
        self._first_needed = max(self._first_needed, commit)
