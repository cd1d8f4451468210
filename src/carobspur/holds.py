"""What hold policies see and return; the policies are plug-ins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from .pool import EndpointState


@dataclass(frozen=True, slots=True)
class Keep:
    """Ask the engine to keep a history in its cache for some time."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class Release:
    """Tell the engine that a history is not needed any more."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Leave it to the engine what it keeps."""


HoldDecision: TypeAlias = Keep | Release | Leave


@dataclass(frozen=True, slots=True)
class Pause:
    """A program's pause after a model call.

    Attributes:
        program: Id of the program.
        agent: Name of its agent.
        tokens: Length of the history.
        expected_s: Expected time until the next model call.
    """

    program: str
    agent: str
    tokens: int
    expected_s: float


class HoldPolicy(Protocol):
    """Decides what an engine keeps during a pause.

    Attributes:
        releases: Whether engines are told which histories no call will use again.
    """

    releases: bool

    def decide(self, pause: Pause, engine: EndpointState) -> HoldDecision:
        """Return what to ask of the engine that ran the last call."""
