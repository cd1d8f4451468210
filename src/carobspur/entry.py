"""The entry daemon: accepts callers' requests and forwards them to schedulers."""

from __future__ import annotations

import asyncio

import tornado.web

from .background import background
from .callers import caller_routes
from .clock import LoopClock
from .daemon import daemon_main, http_server
from .entry_parts import Entry
from .forward import Forwarder, takeover_limit_s
from .health import health_routes
from .peer_client import peer_client
from .problem import NoSuchPathHandler
from .settings import Settings
from .tls import peer_client_context, public_server_context
from .view import ViewClient

# Bodies over the size limit are still read up to this multiple of it, so that the
# sender gets a problem document; beyond that tornado closes the connection.
BODY_READ_FACTOR = 2


async def serve(settings: Settings, stopping: asyncio.Event) -> None:
    """Run the entry process until ``stopping`` is set, then finish open requests."""
    clock = LoopClock()
    tls = settings.tls
    async with peer_client(ssl_options=peer_client_context(tls)) as peers:
        view = ViewClient(
            peers,
            clock=clock,
            host=settings.instance.host,
            port=settings.control.peer_port,
            with_loads=False,
        )
        limit_s = takeover_limit_s(settings.scheduler.lease_s)
        forwarder = Forwarder(peers, view, clock, limit_s=limit_s)
        entry = Entry(settings, view, forwarder)
        app = tornado.web.Application(
            [*health_routes(lambda: entry.is_ready), *caller_routes(entry)],
            default_handler_class=NoSuchPathHandler,
        )
        async with (
            background(view.run),
            http_server(
                app,
                settings.instance.host,
                settings.entry.port,
                max_body_size=BODY_READ_FACTOR * settings.entry.max_body_bytes,
                ssl_options=public_server_context(tls),
            ),
        ):
            await stopping.wait()
            entry.is_stopping = True
            await entry.finish_requests()


def main() -> None:
    """Entry point of ``carobspur-entry``."""
    daemon_main("entry", serve)
