"""What routing policies see and return; the policies are plug-ins."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from .inventory import Weights
from .pool import EndpointState

TRANSFER_TOKENS_PER_S = 25_000.0
TRANSFER_OVERHEAD_S = 0.01


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A call that looks for an endpoint.

    Attributes:
        program: Id of the program.
        model: Name of the model or service.
        prefix_key: Key of the program's history; empty for none.
        prefix_tokens: Length of the history.
        new_tokens: Length of the new part.
        output_tokens: Expected length of the answer.
        data_centre: Where the scheduler stands.
        can_move: Whether some engine can export the history to another one.
        weights: What the organisation cares for more.
    """

    program: str
    model: str
    prefix_key: str = ""
    prefix_tokens: int = 0
    new_tokens: int = 0
    output_tokens: int = 0
    data_centre: str = ""
    can_move: bool = False
    weights: Weights = Weights()


class QueueOrder(Enum):
    """How waiting calls are ordered.

    ``ARRIVAL`` is first come, first served. ``PROGRAM`` goes by class and by what
    the call's program has behind it.
    """

    ARRIVAL = "arrival"
    PROGRAM = "program"


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to this endpoint now."""

    endpoint: EndpointState


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Let the call wait, for a certain endpoint where one is named."""

    endpoint: EndpointState | None = None


RouteChoice: TypeAlias = Send | WaitFor


class RoutingPolicy(Protocol):
    """Chooses an endpoint for a call.

    Attributes:
        order: How calls are ordered that wait under this policy.
    """

    order: QueueOrder

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return where to send a call now, or what it waits for.

        Args:
            request: The call.
            endpoints: Endpoints that serve it; not all of them may take a call.
            now_s: Monotonic time.
        """


def has_prefix(endpoint: EndpointState, request: RouteRequest) -> bool:
    """Return whether an engine should have a call's history in its cache."""
    cached = endpoint.prefixes.get((request.program, request.model))
    return cached is not None and cached.key == request.prefix_key


def fetch_seconds(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return the predicted time until an engine has a call's history."""
    if not request.prefix_tokens or has_prefix(endpoint, request):
        return 0.0
    prefill_s = request.prefix_tokens / endpoint.prefill_tokens_per_s
    if not request.can_move:
        return prefill_s
    return min(
        prefill_s, TRANSFER_OVERHEAD_S + request.prefix_tokens / TRANSFER_TOKENS_PER_S
    )


def run_seconds(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return the predicted time of a call on an engine, once it runs."""
    prefill_s = request.new_tokens / endpoint.prefill_tokens_per_s
    decode_s = request.output_tokens / endpoint.decode_tokens_per_s
    return fetch_seconds(endpoint, request) + prefill_s + decode_s
