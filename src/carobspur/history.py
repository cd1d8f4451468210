"""Histories of programs: conversations with models, and old calls in objects.

Old calls of a program are moved ("spilled") to the object store; the program's state
keeps only the objects' keys and the newest calls. A finished call never changes, and an
object's key names the program and the numbers of the calls, so an object has the same
content whichever scheduler writes it.
"""

from __future__ import annotations

import msgspec

from .endpoints import GenerateResult, ModelInput, extend_prefix_key
from .errors import StoreError
from .objects import Objects
from .programs import Prefix, Program, Segment, StoredCall

HISTORY_KEY_PREFIX = "history/"
MIN_SPILL_BYTES = 32 << 10
UNSPILLED_CALLS = 4


def model_prefix(program: Program, model: str) -> Prefix:
    """Return the conversation of a program with one model.

    The result is cached in the program, so each call is examined once per model.
    """
    prefix = program.prefixes.get(model, Prefix())
    newest = program.next_number - 1
    if prefix.upto == newest:
        return prefix
    key, tokens, engine = prefix.key, prefix.tokens, prefix.engine
    for call in program.calls[max(0, prefix.upto - program.last_spilled) :]:
        if not _is_turn(call, model):
            continue
        key = extend_prefix_key(key, _prompt(call), _answer(call))
        tokens += call.outcome.input_tokens + call.outcome.output_tokens
        engine = call.outcome.address
    program.prefixes[model] = Prefix(key, tokens, newest, engine)
    return program.prefixes[model]


def should_spill(program: Program) -> bool:
    """Return whether calls of a program should be moved to an object.

    That is so if the calls before the newest ``UNSPILLED_CALLS`` have at least
    ``MIN_SPILL_BYTES`` characters of input and output.
    """
    calls = program.calls[:-UNSPILLED_CALLS]
    return sum(_size(call) for call in calls) >= MIN_SPILL_BYTES


class Histories:
    """Reads histories, and moves old calls to the object store.

    Args:
        objects: The object store.
    """

    __slots__ = ("_objects",)

    def __init__(self, objects: Objects) -> None:
        self._objects = objects

    def __repr__(self) -> str:
        return "Histories()"

    async def calls(self, program: Program) -> list[StoredCall]:
        """Return all finished calls of a program, in order.

        Raises:
            StoreError: An object can't be read, is missing or is incomplete.
        """
        segments, newest = list(program.segments), list(program.calls)
        found: list[StoredCall] = []
        for segment in segments:
            found.extend(await self._read(segment))
        return found + newest

    async def call(self, program: Program, number: int) -> StoredCall:
        """Return one finished call, from its object if it was moved there.

        Raises:
            StoreError: The object can't be read, is missing or is incomplete.
        """
        for segment in program.segments:
            if segment.first <= number <= segment.last:
                return (await self._read(segment))[number - segment.first]
        return program.stored(number)

    async def text(self, program: Program, model: str) -> str:
        """Return the whole text of a program's conversation with a model.

        Raises:
            StoreError: An object can't be read, is missing or is incomplete.
        """
        parts = []
        for call in await self.calls(program):
            if _is_turn(call, model):
                parts.append(_prompt(call))
                parts.append(_answer(call))
        return " ".join(parts)

    async def spill(self, program: Program) -> None:
        """Move all calls but the newest ``UNSPILLED_CALLS`` to an object.

        The program's state changes only after the store has confirmed the object.

        Raises:
            StoreError: The object may not be stored; the program is unchanged.
        """
        calls = program.calls[:-UNSPILLED_CALLS]
        if not calls:
            return
        for model in {call.endpoint for call in calls if _is_model_call(call)}:
            model_prefix(program, model)
        first, last = calls[0].number, calls[-1].number
        key = f"{HISTORY_KEY_PREFIX}{program.id}/{first:06d}-{last:06d}"
        await self._objects.put(key, msgspec.json.encode(calls))
        program.segments.append(Segment(key, first, last))
        del program.calls[: len(calls)]

    async def _read(self, segment: Segment) -> list[StoredCall]:
        content = await self._objects.get(segment.key)
        if content is None:
            raise StoreError(f"history object {segment.key} is missing")
        calls = msgspec.json.decode(content, type=list[StoredCall])
        if [call.number for call in calls] != list(
            range(segment.first, segment.last + 1)
        ):
            raise StoreError(
                f"history object {segment.key} does not hold exactly the calls"
                f" {segment.first} to {segment.last}"
            )
        return calls


def _size(call: StoredCall) -> int:
    return len(call.input) + len(call.outcome.output)


def _is_model_call(call: StoredCall) -> bool:
    outcome = call.outcome
    return not outcome.cause and bool(outcome.input_tokens or outcome.output_tokens)


def _is_turn(call: StoredCall, model: str) -> bool:
    return call.endpoint == model and not call.outcome.cause


def _prompt(turn: StoredCall) -> str:
    return msgspec.json.decode(turn.input, type=ModelInput).prompt


def _answer(turn: StoredCall) -> str:
    return msgspec.json.decode(turn.outcome.output, type=GenerateResult).text
