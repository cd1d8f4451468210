"""State of programs: the order of their calls, their answers and their history."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from .errors import ConflictError, NotFoundError, ProgramEndedError
from .journal import (
    CallAbandoned,
    CallFinished,
    CallIntended,
    CallOutcome,
    ChildAdopted,
    ChildEnded,
    ProgramEnded,
    ProgramStarted,
    Record,
)

SINGLE_CALL_AGENT = "single-call"
NEVER_STARTED = "never-started"
_ID_HEX_DIGITS = 32


class StoredCall(msgspec.Struct, frozen=True):
    """A finished call of a program."""

    number: int
    endpoint: str
    digest: str
    input: str
    outcome: CallOutcome


class Segment(msgspec.Struct, frozen=True):
    """Calls of a program that moved to an object; numbers include both ends."""

    key: str
    first: int
    last: int


class Prefix(msgspec.Struct, frozen=True):
    """A program's conversation with one model, up to one of its calls.

    Attributes:
        key: Key by which engines know the whole text; empty for no turns.
        tokens: Length of the text.
        upto: Number of the last call that it takes into account.
        engine: Address of the engine that ran the last turn.
    """

    key: str = ""
    tokens: int = 0
    upto: int = 0
    engine: str = ""


class Program(msgspec.Struct):
    """A program as its records made it.

    Attributes:
        id: Its id; the shard that owns it follows from this.
        organisation: The organisation it belongs to.
        user: The user it runs for.
        agent: Name of its agent.
        started_s: Start, seconds since 1970.
        parent: Id of the program that started it, or empty.
        deadline_s: Seconds since 1970 by which it must end, or 0.
        segments: Where the oldest finished calls are, in order.
        calls: Finished calls after those, in order.
        prefixes: Conversations by model, so that they need not be read again.
        intent: A call that may not be repeated and has no outcome yet.
        ended: Whether it takes no more calls.
        end_reason: Why it ended.
        tokens_used: Model tokens over all calls.
        attained_units: Cost units over all calls.
        children: Ids of its sub-agents that are not known to have ended.
        fence: Highest fencing number known to have been used for its calls.
    """

    id: str
    organisation: str
    user: str
    agent: str
    started_s: float
    parent: str = ""
    deadline_s: float = 0.0
    segments: list[Segment] = []
    calls: list[StoredCall] = []
    prefixes: dict[str, Prefix] = {}
    intent: CallIntended | None = None
    ended: bool = False
    end_reason: str = ""
    tokens_used: int = 0
    attained_units: int = 0
    fence: int = 0
    children: list[str] = []

    @property
    def next_number(self) -> int:
        """The number that the next new call must carry."""
        return self.spilled + len(self.calls) + 1

    @property
    def spilled(self) -> int:
        """Number of the last call that is in an object, or 0."""
        return self.segments[-1].last if self.segments else 0

    def stored(self, number: int) -> StoredCall:
        """Return a finished call that is not in an object."""
        return self.calls[number - self.spilled - 1]


class ProgramReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller is told of a program."""

    program: str
    agent: str
    user: str
    next_number: int
    ended: bool
    end_reason: str = ""
    parent: str = ""
    tokens_used: int = 0
    cost_units: int = 0
    history: list[StoredCall] = []


@dataclass(frozen=True, slots=True)
class Replay:
    """The call finished before; its stored answer is given again."""

    call: StoredCall


@dataclass(frozen=True, slots=True)
class ReplaySpilled:
    """The call finished before; its stored answer must be read from an object."""


@dataclass(frozen=True, slots=True)
class RunNext:
    """The call is the program's next one."""


@dataclass(frozen=True, slots=True)
class SettleIntent:
    """The call was intended before and its outcome must be found out first."""

    intent: CallIntended


Admission: TypeAlias = Replay | ReplaySpilled | RunNext | SettleIntent


def program_id(organisation: str, user: str, key: str) -> str:
    """Return the id of the program that an idempotency key stands for.

    The same key always gives the same id, so a repeated start finds the program
    that the first one made. Ids of other organisations and users never collide.

    Args:
        organisation: The caller's organisation.
        user: The user the program runs for.
        key: The caller's idempotency key.
    """
    text = "\x00".join((organisation, user, key))
    return "p" + hashlib.sha256(text.encode()).hexdigest()[:_ID_HEX_DIGITS]


def call_id(program: str, number: int) -> str:
    """Return the id by which endpoints know a call."""
    return f"{program}.{number}"


def call_digest(endpoint: str, content: bytes) -> str:
    """Return the digest that tells whether two calls are the same one.

    Args:
        endpoint: Name of the endpoint.
        content: JSON text of the input.
    """
    canonical = msgspec.json.encode(msgspec.json.decode(content), order="sorted")
    return hashlib.sha256(endpoint.encode() + b"\x00" + canonical).hexdigest()


def admit_call(program: Program, number: int, digest: str) -> Admission:
    """Decide what to do with a call of a program.

    Args:
        program: The program's committed state.
        number: The call's number.
        digest: The call's digest.

    Returns:
        What to do.

    Raises:
        ConflictError: The number was used for another call, or leaves a gap.
        ProgramEndedError: The program takes no new calls.
    """
    if 1 <= number <= program.spilled:
        return ReplaySpilled()
    if 1 <= number < program.next_number:
        return replay(program, program.stored(number), digest)
    intent = program.intent
    if intent is not None and intent.number == number:
        if intent.digest != digest:
            raise _conflict(program, f"call {number} had other content")
        return SettleIntent(intent)
    if program.ended:
        raise ProgramEndedError(f"program {program.id} has ended: {program.end_reason}")
    if number != program.next_number:
        raise _conflict(program, f"call {number} is out of order")
    return RunNext()


def replay(program: Program, stored: StoredCall, digest: str) -> Replay:
    """Return the replay of a finished call.

    Raises:
        ConflictError: The call had other content.
    """
    if stored.digest != digest:
        raise _conflict(program, f"call {stored.number} had other content")
    return Replay(stored)


def _conflict(program: Program, reason: str) -> ConflictError:
    expected = program.next_number
    return ConflictError(
        f"{reason}; the next call's number is {expected}",
        detail=msgspec.json.encode({"expected": expected}).decode(),
    )


class ProgramBook:
    """Programs of the shards that one scheduler owns, by id."""

    __slots__ = ("_programs",)

    def __init__(self) -> None:
        self._programs: dict[str, Program] = {}

    def __len__(self) -> int:
        return len(self._programs)

    def __repr__(self) -> str:
        return f"ProgramBook({len(self)} programs)"

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return list(self._programs.values())

    def find(self, program: str) -> Program | None:
        """Return a program, or ``None``."""
        return self._programs.get(program)

    def get(self, program: str, organisation: str, user: str | None) -> Program:
        """Return a program if this user, or with ``None`` the organisation, may.

        Raises:
            NotFoundError: There is no such program for this user.
        """
        found = self._programs.get(program)
        if found is None or found.organisation != organisation:
            raise NotFoundError(f"no program {program!r}")
        if user is not None and found.user != user:
            raise NotFoundError(f"no program {program!r}")
        return found

    def add(self, program: Program) -> None:
        """Take a program from a snapshot."""
        self._programs[program.id] = program

    def remove(self, program: str) -> None:
        """Forget a program, for example when its shard moves."""
        self._programs.pop(program, None)

    def apply(self, record: Record) -> None:
        """Change state as a committed record says.

        Records are idempotent: one that was applied before changes nothing.
        """
        match record:
            case ProgramStarted():
                self._start(record)
            case CallIntended():
                self._intend(record)
            case CallFinished():
                self._finish(record)
            case CallAbandoned():
                self._abandon(record)
            case ProgramEnded():
                self._end(record)
            case ChildAdopted():
                self._adopt(record)
            case ChildEnded():
                self._forget_child(record)

    def _start(self, record: ProgramStarted) -> None:
        if record.program in self._programs:
            return
        self._programs[record.program] = Program(
            id=record.program,
            organisation=record.organisation,
            user=record.user,
            agent=record.agent,
            started_s=record.started_s,
            parent=record.parent,
            deadline_s=record.deadline_s,
            ended=record.agent == NEVER_STARTED,
        )

    def _intend(self, record: CallIntended) -> None:
        program = self._programs[record.program]
        if record.number == program.next_number:
            program.intent = record
            program.fence = max(program.fence, record.fence)

    def _finish(self, record: CallFinished) -> None:
        program = self._programs[record.program]
        if record.number != program.next_number:
            return
        program.intent = None
        program.calls.append(
            StoredCall(
                number=record.number,
                endpoint=record.endpoint,
                digest=record.digest,
                input=record.input,
                outcome=record.outcome,
            )
        )
        outcome = record.outcome
        program.tokens_used += outcome.input_tokens + outcome.output_tokens
        program.attained_units += outcome.cost_units

    def _abandon(self, record: CallAbandoned) -> None:
        program = self._programs[record.program]
        if program.intent is not None and program.intent.number == record.number:
            program.intent = None
        program.fence = max(program.fence, record.fence)

    def _end(self, record: ProgramEnded) -> None:
        program = self._programs[record.program]
        if not program.ended:
            program.ended = True
            program.end_reason = record.reason

    def _adopt(self, record: ChildAdopted) -> None:
        children = self._programs[record.program].children
        if record.child not in children:
            children.append(record.child)

    def _forget_child(self, record: ChildEnded) -> None:
        children = self._programs[record.program].children
        if record.child in children:
            children.remove(record.child)


def report(program: Program, *, history: list[StoredCall]) -> ProgramReport:
    """Return what a caller is told of a program, with the calls given."""
    return ProgramReport(
        program=program.id,
        agent=program.agent,
        user=program.user,
        next_number=program.next_number,
        ended=program.ended,
        end_reason=program.end_reason,
        parent=program.parent,
        tokens_used=program.tokens_used,
        cost_units=program.attained_units,
        history=history,
    )
