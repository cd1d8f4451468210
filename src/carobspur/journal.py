"""Journal records of a scheduler: the only source of the state of programs."""

from __future__ import annotations

from collections import deque
from typing import TypeAlias

import msgspec

JOURNAL_PREFIX = "journal/"
_SLOT_DIGITS = 6


class CallOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """Outcome of a call.

    Attributes:
        output: JSON text of the answer; empty if the call failed.
        verdict: ``ran`` for an answer; otherwise the verdict of the failure.
        cause: Cause code of the failure; empty for an answer.
        message: Error message of the failure.
        cost_units: Cost of the call, in cost units.
        input_tokens: New input tokens that the model processed.
        output_tokens: Tokens that the model generated.
        address: Address of the endpoint that ran the call.
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
    """A program started.

    Attributes:
        program: Id of the program.
        organisation: Organisation of the caller that started it.
        user: User for whom it runs.
        agent: Name of the agent that it runs.
        started_s: Unix time of the start, in seconds.
        parent: Id of the program that started it as a sub-agent; empty without one.
        deadline_s: Unix time of its deadline, in seconds; 0 if it has none.
    """

    program: str
    organisation: str
    user: str
    agent: str
    started_s: float
    parent: str = ""
    deadline_s: float = 0.0


class CallIntended(msgspec.Struct, frozen=True, tag="intended", omit_defaults=True):
    """A call that must not be repeated is about to be sent.

    Attributes:
        program: Id of the program.
        number: Number of the call within the program.
        endpoint: Name of the endpoint.
        digest: Digest of the call's content.
        input: Input of the call, as JSON text.
        call_id: Id under which the endpoint knows the call.
        address: Address to which the call is sent.
        fence: Fencing number of the request.
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
    """A call ended; its outcome is the final answer to the call's number."""

    program: str
    number: int
    endpoint: str
    digest: str
    input: str
    outcome: CallOutcome


class CallAbandoned(msgspec.Struct, frozen=True, tag="abandoned", omit_defaults=True):
    """An intended call did not run and never will; its number is free again.

    Attributes:
        program: Id of the program.
        number: Number of the call within the program.
        fence: Highest fencing number used to find out that the call did not run.
    """

    program: str
    number: int
    fence: int = 0


class ProgramEnded(msgspec.Struct, frozen=True, tag="ended", omit_defaults=True):
    """A program ended and accepts no more calls."""

    program: str
    reason: str = ""


class ChildAdopted(msgspec.Struct, frozen=True, tag="adopted"):
    """A program is about to start a sub-agent."""

    program: str
    child: str


class ChildEnded(msgspec.Struct, frozen=True, tag="child_ended"):
    """A sub-agent of an ended program has ended, on this or another scheduler."""

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
    """Records of one commit, stored in one row of a session's journal."""

    commit: int
    records: list[Record]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Chunk)


def encode_chunk(chunk: Chunk) -> bytes:
    """Encode a chunk as JSON."""
    return _encoder.encode(chunk)


def decode_chunk(content: bytes) -> Chunk:
    """Decode a chunk that :func:`encode_chunk` encoded.

    Raises:
        msgspec.MsgspecError: The content is not a chunk.
    """
    return _decoder.decode(content)


def journal_prefix(session: str) -> str:
    """Return the prefix of all rows of a session's journal."""
    return f"{JOURNAL_PREFIX}{session}/"


def chunk_key(session: str, slot: int) -> str:
    """Return the key of the journal row in a slot, which holds one chunk."""
    return f"{journal_prefix(session)}{slot:0{_SLOT_DIGITS}d}"


class JournalSlots:
    """Allocates the rows of one session's journal, and reuses those no longer needed.

    Overwriting a row saves the write that would delete it.
    """

    __slots__ = ("_first_needed_commit", "_free", "_next", "_used")

    def __init__(self) -> None:
        self._next = 0
        self._first_needed_commit = 0
        self._free: list[int] = []
        self._used: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return self._next

    def next_slot(self) -> int:
        """Return the slot for the next chunk, without allocating it."""
        while self._used and self._used[0][0] < self._first_needed_commit:
            self._free.append(self._used.popleft()[1])
        return self._free[-1] if self._free else self._next

    def mark_used(self, slot: int, commit: int) -> None:
        """Record that the chunk of a commit was written to a slot."""
        if self._free and self._free[-1] == slot:
            self._free.pop()
        else:
            self._next = slot + 1
        self._used.append((commit, slot))

    def release_before(self, commit: int) -> None:
        """Allow the slots of all chunks of commits before this one to be reused."""
        self._first_needed_commit = max(self._first_needed_commit, commit)
