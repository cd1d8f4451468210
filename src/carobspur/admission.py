"""What to do with a call: the order and identity of a program's calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from .errors import ConflictError, ProgramEndedError
from .journal import CallIntended
from .programs import Program, StoredCall


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
    if 1 <= number <= program.last_spilled:
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
