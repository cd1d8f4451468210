"""What hold policies see and return; the policies are plug-ins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from .inventory import Weights
from .pool import EndpointState


@dataclass(frozen=True, slots=True)
class Keep:
    """Ask the engine to keep a history in its cache for some time."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class Export:
    """Take a history out of the engine and bring it back for the next call."""


@dataclass(frozen=True, slots=True)
class Release:
    """Tell the engine that a history is not needed any more."""


@dataclass(frozen=True, slots=True)
class EngineDefault:
    """Leave it to the engine what it keeps."""


HoldDecision: TypeAlias = Keep | Export | Release | EngineDefault


@dataclass(frozen=True, slots=True)
class Pause:
    """A program's pause after a model call.

    Attributes:
        program: Id of the program.
        agent: Name of its agent.
        tokens: Length of the history.
        expected_s: Expected time until the next model call.
        weights: What the organisation cares for more.
    """

    program: str
    agent: str
    tokens: int
    expected_s: float
    weights: Weights = Weights()


class HoldPolicy(Protocol):
    """Decides what an engine keeps during a pause.

    Attributes:
        gives_orders: Whether engines are told to hold, move and release at all.
    """

    gives_orders: bool

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return what to ask of the engine that runs the call before the pause."""
