"""Admission of calls by their number and digest: run, replay, resolve or reject.

The calls of a program are numbered from 1 without gaps. A call that arrives again under
its number must have the same content, which is compared by digest.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from .errors import ConflictError, ProgramEndedError
from .journal import CallIntended
from .programs import Program, StoredCall


@dataclass(frozen=True, slots=True)
class Replay:
    """The call has finished; its stored answer is returned again."""

    call: StoredCall


@dataclass(frozen=True, slots=True)
class ReplaySpilled:
    """The call has finished; its stored answer was moved to the object store."""


@dataclass(frozen=True, slots=True)
class RunNext:
    """The call is the program's next one."""


@dataclass(frozen=True, slots=True)
class SettleIntent:
    """The intent to run the call is committed; its outcome must be determined."""

    intent: CallIntended


Admission: TypeAlias = Replay | ReplaySpilled | RunNext | SettleIntent


def admit_call(program: Program, number: int, digest: str) -> Admission:
    """Decide what to do with a call of a program.

    Args:
        program: The program's committed state.
        number: The call's number in the program.
        digest: Digest of the call's content.

    Raises:
        ConflictError: The number was used for a call with other content, or is not
            the next one.
        ProgramEndedError: The program accepts no new calls.
    """
    if 1 <= number <= program.last_spilled:
        return ReplaySpilled()
    if 1 <= number < program.next_number:
        return replay(program, program.stored(number), digest)
    intent = program.intent
    if intent is not None and intent.number == number:
        if intent.digest != digest:
            raise _conflict_error(program, f"call {number} had other content")
        return SettleIntent(intent)
    if program.ended:
        raise ProgramEndedError(f"program {program.id} has ended: {program.end_reason}")
    if number != program.next_number:
        raise _conflict_error(program, f"call {number} is out of order")
    return RunNext()


def replay(program: Program, stored: StoredCall, digest: str) -> Replay:
    """Return the replay of a finished call.

    Raises:
        ConflictError: The digest is of other content than the finished call had.
    """
    if stored.digest != digest:
        raise _conflict_error(program, f"call {stored.number} had other content")
    return Replay(stored)


def _conflict_error(program: Program, reason: str) -> ConflictError:
    expected = program.next_number
    return ConflictError(
        f"{reason}; the next call's number is {expected}",
        detail=msgspec.json.encode({"expected": expected}).decode(),
    )
