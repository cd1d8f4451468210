"""The scheduler daemon: owns programs and sends their calls to endpoints."""

from __future__ import annotations

import asyncio
import logging
from functools import partial

import tornado.web

from .background import background
from .clock import Clock, LoopClock
from .daemon import daemon_main, http_server
from .errors import SessionLostError
from .health import health_routes
from .http import CurlClient
from .objects import HttpObjects
from .peer_client import peer_client
from .peer_server import PeerServer
from .scheduler_parts import Scheduler
from .scheduler_peers import SchedulerPeerMethods
from .settings import Settings
from .table import HttpTable
from .tls import peer_client_context, peer_server_context
from .view import ViewClient

OPEN_RETRY_S = 0.5
STOP_POLL_S = 0.1

_logger = logging.getLogger(__name__)


async def serve(settings: Settings, stopping: asyncio.Event) -> None:
    """Run the scheduler until ``stopping`` is set.

    Raises:
        SessionLostError: Another process took the session over.
    """
    clock = LoopClock()
    client = CurlClient()
    platform = settings.platform
    table = HttpTable(client, platform.table_url, timeout_s=platform.table_timeout_s)
    objects = HttpObjects(client, platform.objects_url)
    host = settings.instance.host
    tls = settings.tls
    async with peer_client(ssl_options=peer_client_context(tls)) as peers:
        view = ViewClient(
            peers, clock=clock, host=host, port=settings.control.peer_port
        )
        scheduler = Scheduler(
            settings=settings,
            clock=clock,
            table=table,
            objects=objects,
            client=client,
            view=view,
            peers=peers,
        )
        server = PeerServer(ssl_options=peer_server_context(tls))
        SchedulerPeerMethods(scheduler).register(server)
        server.listen(settings.scheduler.port, host)
        await _open_with_retries(scheduler, settings.scheduler.port, clock, stopping)
        if stopping.is_set():
            return
        follow_view = partial(_follow_view, view, scheduler)
        app = tornado.web.Application(
            health_routes(lambda: bool(scheduler.shard_manager.owned))
        )
        async with (
            background(follow_view, scheduler.shard_manager.run, scheduler.run),
            http_server(app, host, settings.scheduler.metrics_port),
        ):
            await _wait_until_stop(scheduler, stopping)
            if not scheduler.session.is_lost:
                await scheduler.shut_down()
        server.stop()
        server.close_connections()
    client.close()


async def _open_with_retries(
    scheduler: Scheduler, port: int, clock: Clock, stopping: asyncio.Event
) -> None:
    while not stopping.is_set():
        try:
            await scheduler.open(port)
            return
        except Exception as error:
            _logger.warning("can't open the session, will retry: %r", error)
            await clock.sleep(OPEN_RETRY_S)


async def _follow_view(view: ViewClient, scheduler: Scheduler) -> None:
    view.on_change = scheduler.apply_view
    await view.run()


async def _wait_until_stop(scheduler: Scheduler, stopping: asyncio.Event) -> None:
    """Wait until ``stopping`` is set.

    Raises:
        SessionLostError: The session was taken over.
    """
    while not stopping.is_set() and not scheduler.session.is_lost:
        try:
            async with asyncio.timeout(STOP_POLL_S):
                await stopping.wait()
        except TimeoutError:
            continue
    if scheduler.session.is_lost:
        raise SessionLostError("the session was taken over; restart the process")


def main() -> None:
    """Entry point of ``carobspur-scheduler``."""
    daemon_main("scheduler", serve)
