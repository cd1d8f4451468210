"""What routing policies see and return; the policies are plug-ins."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .pool import EndpointState


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
    """

    program: str
    model: str
    prefix_key: str = ""
    prefix_tokens: int = 0
    new_tokens: int = 0
    output_tokens: int = 0
    data_centre: str = ""


class RoutingPolicy(Protocol):
    """Chooses an endpoint for a call."""

    def choose(
        self, request: RouteRequest, endpoints: Sequence[EndpointState], now_s: float
    ) -> EndpointState | None:
        """Return the endpoint to send a call to now.

        Args:
            request: The call.
            endpoints: Endpoints that serve it; not all of them may take a call.
            now_s: Monotonic time.

        Returns:
            One of ``endpoints`` that may take a call, or ``None`` to wait.
        """


def has_prefix(endpoint: EndpointState, request: RouteRequest) -> bool:
    """Return whether an engine should have a call's history in its cache."""
    cached = endpoint.prefixes.get((request.program, request.model))
    return cached is not None and cached.key == request.prefix_key


def run_seconds(endpoint: EndpointState, request: RouteRequest) -> float:
    """Return the predicted time of a call on an engine, once it runs."""
    missing = 0 if has_prefix(endpoint, request) else request.prefix_tokens
    prefill_s = (missing + request.new_tokens) / endpoint.prefill_tokens_per_s
    return prefill_s + request.output_tokens / endpoint.decode_tokens_per_s
