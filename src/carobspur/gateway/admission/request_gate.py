"""Interface of the decisions that every request passes before it is served."""

from __future__ import annotations

from typing import Protocol

from ..calls import Call
from ..customers.customer import Customer
from ..objectives import Served
from ..routes import Route


class RequestGate(Protocol):
    """Lets a request pass or refuses it, and is told how each that passed has ended."""

    async def admit(self, call: Call, route: Route, customer: Customer | None) -> None:
        """Return once the request may be served; it may wait, but never without end.

        Args:
            call: The request.
            route: Its route.
            customer: Its customer, ``None`` for an anonymous request.

        Raises:
            CarobspurError: The request is refused; nothing has been sent.
        """

    def finished(self, call: Call, route: Route, served: Served | None) -> None:
        """Record that a request that was admitted has ended.

        Args:
            call: The request.
            route: Its route.
            served: How it was served; ``None`` if it was refused later, failed or its
                caller left.
        """
