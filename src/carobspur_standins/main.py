"""Command line ``carobspur-standin``: runs one stand-in as a process."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import fire

from carobspur.daemon import http_server

from .app import Standin, application
from .engine import ModelEngine
from .live_list import MemoryLiveList
from .objects import MemoryObjects
from .table import MemoryTable
from .tool import ToolService


class StandinCommands:
    """Runs one stand-in until SIGTERM."""

    def table(self, port: int, host: str = "127.0.0.1") -> None:
        """Run the table service."""
        _run(MemoryTable, host, port)

    def objects(self, port: int, host: str = "127.0.0.1") -> None:
        """Run the object store."""
        _run(MemoryObjects, host, port)

    def live_list(self, port: int, host: str = "127.0.0.1") -> None:
        """Run the list of instances."""
        _run(MemoryLiveList, host, port)

    def tool(
        self,
        port: int,
        host: str = "127.0.0.1",
        checks_fencing: bool = False,
        delay_s: float = 0.0,
    ) -> None:
        """Run a tool service or plain service."""
        _run(
            lambda: ToolService(checks_fencing=checks_fencing, delay_s=delay_s),
            host,
            port,
        )

    def engine(self, port: int, host: str = "127.0.0.1", **options: Any) -> None:
        """Run a model engine; options as :class:`.engine.ModelEngine` takes them."""
        _run(lambda: ModelEngine(**options), host, port)


def _run(build: type[Standin], host: str, port: int) -> None:
    asyncio.run(_serve(build, host, port))


async def _serve(build: type[Standin], host: str, port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with http_server(application(build()), host, port):
        await stopping.wait()


def main() -> None:
    """Entry point of ``carobspur-standin``; the stand-in's kind is the command."""
    fire.Fire(StandinCommands)
