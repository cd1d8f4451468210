"""Control daemon: configuration, membership, endpoint load, operators' HTTP."""

from __future__ import annotations

import asyncio
import logging

import tornado.web

from .background import background
from .burn_recorder import BurnRecorder
from .clock import LoopClock
from .control_parts import Control
from .control_peers import ControlPeers
from .daemon import daemon_main, http_server
from .errors import StoreError
from .health import health_routes
from .http import CurlClient
from .membership import HttpLiveList
from .operator_actions import operator_routes
from .peer_client import peer_client
from .peer_server import PeerServer
from .problem import NoSuchPathHandler
from .settings import Settings
from .table import HttpTable
from .tls import peer_client_context, peer_server_context, public_server_context

_logger = logging.getLogger(__name__)


async def serve(settings: Settings, stopping: asyncio.Event) -> None:
    """Run a control process until ``stopping`` is set.

    Before it ends, it announces that its instance is leaving, and it serves the other
    processes of the instance until they have ended.

    Args:
        settings: The instance's settings.
        stopping: Set to stop the process.
    """
    clock = LoopClock()
    client = CurlClient()
    platform = settings.platform
    host = settings.instance.host
    tls = settings.tls
    async with peer_client(ssl_options=peer_client_context(tls)) as peers:
        control = Control(
            settings=settings,
            clock=clock,
            table=HttpTable(
                client, platform.table_url, timeout_s=platform.table_timeout_s
            ),
            live_list=HttpLiveList(client, platform.live_list_url),
            client=client,
            peers=peers,
        )
        recorder = BurnRecorder(
            table=control.table,
            client=client,
            clock=clock,
            instance=settings.instance.id,
            metrics_url=f"http://{host}:{settings.scheduler.metrics_port}",
        )
        server = PeerServer(ssl_options=peer_server_context(tls))
        control_peers = ControlPeers(control)
        control_peers.register(server)
        server.listen(settings.control.peer_port, host)
        routes = operator_routes(
            control, peers, platform_key_sha256=settings.control.platform_key_sha256
        )
        app = tornado.web.Application(
            [*health_routes(lambda: control.is_current), *routes],
            default_handler_class=NoSuchPathHandler,
        )
        async with (
            background(*control.loops(), recorder.run),
            http_server(
                app,
                host,
                settings.control.port,
                ssl_options=public_server_context(tls),
            ),
        ):
            await stopping.wait()
            await _announce_shutdown(control)
            await control_peers.wait_until_idle()
        server.stop()
        server.close_connections()
    client.close()


async def _announce_shutdown(control: Control) -> None:
    try:
        await control.announce(leaving=True)
    except StoreError as error:
        _logger.warning(
            "could not write that this instance is leaving to the table: %s",
            error.message,
        )


def main() -> None:
    """Entry point of ``carobspur-control``."""
    daemon_main("control", serve)
