"""State of programs: their calls in order, with answers, and derived totals."""

from __future__ import annotations

import hashlib

import msgspec

from .journal import (
    CallIntended,
    CallOutcome,
)

# Agent of the programs that run single calls; no inventory lists it.
SINGLE_CALL_AGENT = "single-call"
# Agent of the records that keep a sub-agent from starting after its parent's end.
NEVER_STARTED = "never-started"
_ID_HEX_DIGITS = 32


class StoredCall(msgspec.Struct, frozen=True):
    """A finished call of a program.

    Attributes:
        number: Position among the program's calls, from 1.
        endpoint: Name of the model or service.
        digest: Digest of endpoint and input; identifies a repeated request.
        input: JSON text of the input.
        outcome: The committed outcome.
    """

    number: int
    endpoint: str
    digest: str
    input: str
    outcome: CallOutcome


class Segment(msgspec.Struct, frozen=True):
    """A range of a program's calls that were moved to an object.

    Attributes:
        key: Key of the object.
        first: Number of the first call.
        last: Number of the last call, inclusive.
    """

    key: str
    first: int
    last: int


class Prefix(msgspec.Struct, frozen=True):
    """A program's conversation with one model, up to one of the program's calls.

    Attributes:
        key: Key by which engines identify the whole text; empty if there are no turns.
        tokens: Length of the text in tokens.
        upto: Number of the last call that was examined, of any endpoint.
        engine: Address of the engine that ran the last turn.
    """

    key: str = ""
    tokens: int = 0
    upto: int = 0
    engine: str = ""


class Program(msgspec.Struct):
    """State of a program, as built from its committed records.

    Attributes:
        id: Its id, which determines its shard.
        organisation: The organisation it belongs to.
        user: The user it runs for.
        agent: Name of its agent.
        started_s: Unix time of the start, in seconds.
        parent: Id of the program that started it, or empty.
        deadline_s: Unix time by which it must end, in seconds; 0 for none.
        segments: Objects that hold the oldest finished calls, in order.
        calls: Finished calls after those, in order.
        prefixes: Conversations by model, cached so that they need not be computed
            from the first call again.
        intent: A non-repeatable call that was about to be sent and has no outcome yet.
        ended: Whether it accepts no more calls.
        end_reason: Why it ended.
        tokens_used: Model tokens over all calls, input and output.
        attained_units: Cost units over all calls.
        fence: Highest fencing number committed for its calls.
        children: Ids of its sub-agents whose ends are not confirmed.
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
        """The number that the next new call must have."""
        return self.last_spilled + len(self.calls) + 1

    @property
    def last_spilled(self) -> int:
        """Number of the last call that was moved to an object, or 0."""
        return self.segments[-1].last if self.segments else 0

    def stored(self, number: int) -> StoredCall:
        """Return a finished call whose number is above ``last_spilled``."""
        return self.calls[number - self.last_spilled - 1]


class ProgramReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report of a program for callers, sent as a JSON document."""

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
    """Return the id of the program that an idempotency key identifies.

    The same key always gives the same id, so a repeated start finds the program that
    the first one created. Organisation and user are part of the hashed text, so equal
    keys of different users don't collide.

    Args:
        organisation: The caller's organisation.
        user: The user that the program runs for.
        key: The caller's idempotency key.
    """
    text = "\x00".join((organisation, user, key))
    return "p" + hashlib.sha256(text.encode()).hexdigest()[:_ID_HEX_DIGITS]


def call_id(program: str, number: int) -> str:
    """Return the id by which endpoints identify a call."""
    return f"{program}.{number}"


def call_digest(endpoint: str, content: bytes) -> str:
    """Return a digest that is equal for equal calls.

    Order of keys and white space of the JSON text make no difference.

    Args:
        endpoint: Name of the endpoint.
        content: JSON text of the input.

    Raises:
        msgspec.DecodeError: The content is not JSON.
    """
    canonical = msgspec.json.encode(msgspec.json.decode(content), order="sorted")
    return hashlib.sha256(endpoint.encode() + b"\x00" + canonical).hexdigest()


def report(program: Program, *, history: list[StoredCall]) -> ProgramReport:
    """Return the report of a program, with the given calls as its history."""
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
