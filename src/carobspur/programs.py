"""State of programs: the order of their calls, their answers and their history."""

from __future__ import annotations

import hashlib

import msgspec

from .journal import (
    CallIntended,
    CallOutcome,
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
        return self.last_spilled + len(self.calls) + 1

    @property
    def last_spilled(self) -> int:
        """Number of the last call that is in an object, or 0."""
        return self.segments[-1].last if self.segments else 0

    def stored(self, number: int) -> StoredCall:
        """Return a finished call that is not in an object."""
        return self.calls[number - self.last_spilled - 1]


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
