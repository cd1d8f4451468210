"""What a control process serves to the other processes of the system."""

from __future__ import annotations

from typing import Any

from .peer_server import PeerServer
from .peers import GET_VIEW, GOSSIP, RECONCILE, Emit
from .view import VIEW_PERIOD_S

NOT_ASKED_S = 1.0
STOP_LIMIT_S = 90.0


class ControlPeers:
    """Peer methods of a control process.

    Args:
        control: The control process's state, a :class:`.control_parts.Control`.
    """

    __slots__ = ("_asked_s", "_control")

    def __init__(self, control: Any) -> None:
        self._control = control
        self._asked_s = float("-inf")

    def register(self, server: PeerServer) -> None:
        """Serve the methods."""
        server.register(GET_VIEW, self._get_view)
        server.register(GOSSIP, self._gossip)
        server.register(RECONCILE, self._reconcile)

    async def until_not_asked(self) -> None:
        """Wait until the other processes of the instance have ended, up to a limit.

        They finish what is under way, and must learn of shards that move.
        """
        clock = self._control.clock
        started_s = clock.monotonic()
        while clock.monotonic() - started_s < STOP_LIMIT_S:
            if clock.monotonic() - self._asked_s > NOT_ASKED_S:
                return
            await clock.sleep(VIEW_PERIOD_S)

    async def _get_view(self, request: Any, emit: Emit) -> Any:
        self._asked_s = self._control.clock.monotonic()
        return self._control.view(request)

    async def _gossip(self, request: Any, emit: Emit) -> Any:
        return await self._control.rounds.answer(request)

    async def _reconcile(self, request: Any, emit: Emit) -> Any:
        return await self._control.rounds.answer_reconcile(request)
