"""Command line of the stand-ins."""

from __future__ import annotations

import asyncio
import signal

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

    def engine(
        self,
        port: int,
        host: str = "127.0.0.1",
        kv_tokens: int = 100_000,
        batch: int = 8,
        prefill_tokens_per_s: float = 5000.0,
        decode_tokens_per_s: float = 50.0,
        checks_fencing: bool = False,
    ) -> None:
        """Run a model engine."""
        _run(
            lambda: ModelEngine(
                kv_tokens=kv_tokens,
                batch=batch,
                prefill_tokens_per_s=prefill_tokens_per_s,
                decode_tokens_per_s=decode_tokens_per_s,
                checks_fencing=checks_fencing,
            ),
            host,
            port,
        )


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
    """Entry point of ``carobspur-standin``."""
    fire.Fire(StandinCommands)
