"""The interface of hold policies, which are plug-ins.

A hold policy decides what happens to a program's history in an engine's prefix cache
while the program pauses between two model calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from .inventory import Weights
from .pool import EndpointState


@dataclass(frozen=True, slots=True)
class Keep:
    """The engine keeps the history in its cache for ``ttl_s`` seconds."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class Export:
    """The scheduler exports the history, and imports it into the next call's engine."""


@dataclass(frozen=True, slots=True)
class Release:
    """The engines are ordered to release the program's histories."""


@dataclass(frozen=True, slots=True)
class EngineDefault:
    """The engine gets no order and evicts by its own rules."""


HoldDecision: TypeAlias = Keep | Export | Release | EngineDefault


@dataclass(frozen=True, slots=True)
class Pause:
    """A program's pause after a model call.

    Attributes:
        program: Id of the program.
        agent: Name of its agent.
        tokens: Length of the history in tokens.
        expected_s: Expected time until the program's next model call.
        weights: How the organisation weighs latency against wasted engine cache.
    """

    program: str
    agent: str
    tokens: int
    expected_s: float
    weights: Weights = Weights()


class HoldPolicy(Protocol):
    """Decides what happens to a history during a pause.

    Attributes:
        gives_orders: Whether engines get orders to hold, export, import and release
            histories; ``False`` for baselines without such orders.
    """

    gives_orders: bool

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return what happens to the history, before the call that precedes the pause.

        Args:
            pause: The pause that will follow the call.
            engine: The engine that is about to run the call.
        """
