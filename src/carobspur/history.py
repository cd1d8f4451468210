"""The conversation of a program with one model, and the key engines know it by."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .endpoints import GenerateResult, ModelInput, extend_prefix_key
from .programs import Program, StoredCall


@dataclass(frozen=True, slots=True)
class ModelHistory:
    """The answered turns of a program with one model.

    Attributes:
        key: Key by which engines know the whole text; empty for no turns.
        tokens: Length of the text.
        turns: The turns in order.
    """

    key: str
    tokens: int
    turns: list[StoredCall]

    def text(self) -> str:
        """Return the whole text."""
        parts = []
        for turn in self.turns:
            parts.append(_prompt(turn))
            parts.append(_answer(turn))
        return " ".join(parts)


def model_history(program: Program, model: str) -> ModelHistory:
    """Return the answered turns of a program with one model."""
    key, tokens, turns = "", 0, []
    for call in program.calls:
        if call.endpoint != model or call.outcome.cause:
            continue
        key = extend_prefix_key(key, _prompt(call), _answer(call))
        tokens += call.outcome.input_tokens + call.outcome.output_tokens
        turns.append(call)
    return ModelHistory(key, tokens, turns)


def _prompt(turn: StoredCall) -> str:
    return msgspec.json.decode(turn.input, type=ModelInput).prompt


def _answer(turn: StoredCall) -> str:
    return msgspec.json.decode(turn.outcome.output, type=GenerateResult).text
