"""Index of the programs that one scheduler owns, built from committed records."""

from __future__ import annotations

from .errors import NotFoundError
from .journal import (
    CallAbandoned,
    CallFinished,
    CallIntended,
    ChildAdopted,
    ChildEnded,
    ProgramEnded,
    ProgramStarted,
    Record,
)
from .programs import NEVER_STARTED, Program, StoredCall


class ProgramIndex:
    """Programs of the shards that one scheduler owns, by id.

    Committed records are applied in order; recovery applies the same records and so
    rebuilds the same state.
    """

    __slots__ = ("_programs",)

    def __init__(self) -> None:
        self._programs: dict[str, Program] = {}

    def __len__(self) -> int:
        return len(self._programs)

    def __repr__(self) -> str:
        return f"ProgramIndex({len(self)} programs)"

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return list(self._programs.values())

    def find(self, program: str) -> Program | None:
        """Return a program, or ``None``."""
        return self._programs.get(program)

    def get(self, program: str, organisation: str, user: str | None) -> Program:
        """Return a program that belongs to an organisation and user.

        Args:
            program: Id of the program.
            organisation: Its organisation.
            user: Its user, or ``None`` for any user of the organisation.

        Raises:
            NotFoundError: There is no such program, or it belongs to others; the
                message does not tell which.
        """
        found = self._programs.get(program)
        if found is None or found.organisation != organisation:
            raise NotFoundError(f"no program {program!r}")
        if user is not None and found.user != user:
            raise NotFoundError(f"no program {program!r}")
        return found

    def add(self, program: Program) -> None:
        """Add a program that was recovered or read from a snapshot."""
        self._programs[program.id] = program

    def remove(self, program: str) -> None:
        """Remove a program, if it is there, for example when its shard moves."""
        self._programs.pop(program, None)

    def apply(self, record: Record) -> None:
        """Apply a committed record to the state.

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
