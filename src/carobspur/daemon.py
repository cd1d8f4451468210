"""Start-up of the daemons: settings, logs, signals, graceful stop, HTTP server."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import fire
import tornado.httpserver
import tornado.web
from tornado.netutil import bind_sockets

from .errors import CarobspurError
from .logs import configure_logs
from .plugin_registry import load_plugins
from .settings import Settings

EXIT_SETTINGS = 2
EXIT_FAILED = 1
BACKLOG_CONNECTIONS = 1024

_logger = logging.getLogger(__name__)

Serve = Callable[[Settings, asyncio.Event], Awaitable[None]]


# fire would offer a public field as a further command. It prints this docstring where
# ``--help`` follows the settings.
@dataclass(frozen=True, slots=True)
class _Arguments:
    """Command line of a daemon; fire offers nothing private to its user."""

    _settings: str


def daemon_main(role: str, serve: Serve) -> None:
    """Read a daemon's command line and run it; see :func:`run_daemon`."""

    def _parse(settings: str) -> _Arguments:
        """Run the daemon until SIGTERM or SIGINT.

        Args:
            settings: The INI file of this instance.
        """
        return _Arguments(str(settings))

    # Start only after fire has parsed the whole command line: it rejects unknown
    # options after the call.
    parsed = fire.Fire(_parse, name=f"carobspur-{role}", serialize=lambda _: None)
    run_daemon(role, parsed._settings, serve)


def run_daemon(role: str, settings_path: str, serve: Serve) -> None:
    """Run one daemon until SIGTERM or SIGINT, then stop gracefully.

    Args:
        role: Role of the process, for logs.
        settings_path: Path of the INI file.
        serve: Coroutine function that takes the settings and an event, which is set
            when the daemon should stop.
    """
    try:
        settings = Settings.read(settings_path)
    except CarobspurError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logs(role=role, instance=settings.instance.id, level=settings.logs.level)
    load_plugins()
    try:
        asyncio.run(_serve(settings, serve))
    except CarobspurError as error:
        _logger.error("stopped: %s", error.message)
        sys.exit(EXIT_FAILED)


async def _serve(settings: Settings, serve: Serve) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await serve(settings, stopping)


@asynccontextmanager
async def http_server(
    app: tornado.web.Application, host: str, port: int, **options: object
) -> AsyncIterator[int]:
    """Serve an application; yield its port and close all connections at the end.

    Args:
        app: The application.
        host: IP address to bind.
        port: Port to bind; 0 chooses a free one.
        options: Further arguments of tornado's ``HTTPServer``.
    """
    server = tornado.httpserver.HTTPServer(app, **options)
    sockets = bind_sockets(port, host, backlog=BACKLOG_CONNECTIONS)
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
