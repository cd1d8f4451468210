"""The interface of routing policies, which are plug-ins, and their time estimates."""

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
    """A call for which a routing policy chooses an endpoint.

    Attributes:
        program: Id of the program.
        model: Name of the model or service.
        prefix_key: Key of the program's history; empty for none.
        prefix_tokens: Tokens of the history, which an engine may have in its cache.
        new_tokens: Tokens of the input that follow the history.
        output_tokens: Expected tokens of the answer.
        data_centre: Data centre of the scheduler.
        can_move: Whether the history can be moved to another engine instead of being
            computed again there.
        weights: How the organisation weighs latency against wasted engine cache.
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
    """How queued calls are ordered.

    ``ARRIVAL`` is first come, first served. ``PROGRAM`` also counts the rank of the
    call's priority class and the age of its program: older programs go first.
    """

    ARRIVAL = "arrival"
    PROGRAM = "program"


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to this endpoint now."""

    endpoint: EndpointState


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Leave the call in the queue, to wait for this endpoint or, if ``None``, any."""

    endpoint: EndpointState | None = None


RouteChoice: TypeAlias = Send | WaitFor


class RoutingPolicy(Protocol):
    """Chooses an endpoint for a call.

    Attributes:
        order: The order in which queued calls are offered to this policy.
    """

    order: QueueOrder

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> RouteChoice:
        """Return where to send a call now, or which endpoint it should wait for.

        Args:
            request: The call.
            endpoints: Endpoints that serve it, including those that can't accept a
                call now.
            now_s: Monotonic time.
        """


def has_prefix(endpoint: EndpointState, request: RouteRequest) -> bool:
    """Return whether an engine should have a call's history in its cache.

    This is what the scheduler last recorded; the engine may have evicted it.
    """
    cached = endpoint.prefixes.get((request.program, request.model))
    return cached is not None and cached.key == request.prefix_key


def fetch_seconds(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return the predicted time until an engine has a call's history, in seconds.

    0 if it should be cached there. Otherwise the time to compute it again or, where
    possible and shorter, to move it from another engine. A move takes
    ``TRANSFER_OVERHEAD_S`` plus the transfer at ``TRANSFER_TOKENS_PER_S``.
    """
    if not request.prefix_tokens or has_prefix(endpoint, request):
        return 0.0
    prefill_s = request.prefix_tokens / endpoint.prefill_tokens_per_s
    if not request.can_move:
        return prefill_s
    return min(
        prefill_s, TRANSFER_OVERHEAD_S + request.prefix_tokens / TRANSFER_TOKENS_PER_S
    )


def run_seconds(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return the predicted duration in seconds of a call that an engine starts now."""
    prefill_s = request.new_tokens / endpoint.prefill_tokens_per_s
    decode_s = request.output_tokens / endpoint.decode_tokens_per_s
    return fetch_seconds(endpoint, request) + prefill_s + decode_s
