"""Methods that a control process serves to the other processes of the system."""

from __future__ import annotations

from typing import Any

from .peer_server import PeerServer
from .peers import GET_VIEW, GOSSIP, RECONCILE, Emit
from .view import VIEW_PERIOD_S

IDLE_AFTER_S = 1.0
MAX_STOP_WAIT_S = 90.0


class ControlPeers:
    """Peer methods of a control process.

    Args:
        control: State of the control process, a :class:`.control_parts.Control`.
    """

    __slots__ = ("_last_request_s", "_control")

    def __init__(self, control: Any) -> None:
        self._control = control
        self._last_request_s = float("-inf")

    def register(self, server: PeerServer) -> None:
        """Register the methods at the server for peers."""
        server.register(GET_VIEW, self._get_view)
        server.register(GOSSIP, self._gossip)
        server.register(RECONCILE, self._reconcile)

    async def wait_until_idle(self) -> None:
        """Wait until the other processes of the instance have ended.

        They fetch the view several times a second, so ``IDLE_AFTER_S`` without a
        request means that they have ended. Until then they finish requests in
        progress and need the view to learn of shards that move. The wait ends after
        ``MAX_STOP_WAIT_S`` in any case.
        """
        clock = self._control.clock
        started_s = clock.monotonic()
        while clock.monotonic() - started_s < MAX_STOP_WAIT_S:
            if clock.monotonic() - self._last_request_s > IDLE_AFTER_S:
                return
            await clock.sleep(VIEW_PERIOD_S)

    async def _get_view(self, request: Any, emit: Emit) -> Any:
        self._last_request_s = self._control.clock.monotonic()
        return self._control.view(request)

    async def _gossip(self, request: Any, emit: Emit) -> Any:
        return await self._control.rounds.handle_gossip(request)

    async def _reconcile(self, request: Any, emit: Emit) -> Any:
        return await self._control.rounds.handle_reconcile(request)
