"""Entry point of the gateway's process: reads settings, handles signals, runs it."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import os
import signal
import sys

from ..errors import SettingsError
from ..gateway.decisions import DecisionLog
from ..gateway.settings import GatewaySettings
from ..gateway.telemetry import Telemetry
from .gateway import Gateway

SETTINGS_VARIABLE = "CAROBSPUR_BOOT"
"""Environment variable with the path of the settings file; the platform sets it."""
EXIT_SETTINGS = 2
"""Exit code of a process whose settings are missing or invalid."""


MMAP_THRESHOLD_BYTES = 128 * 1024
"""Size from which the allocator returns freed blocks to the system at once.

By default glibc raises it up to 32 MB when such blocks are freed, and bodies of
requests then leave holes in the heap.
"""
_M_MMAP_THRESHOLD = -3
"""Number of the option in the C library's ``malloc.h``."""


def _fix_mmap_threshold() -> None:
    # Other C libraries than glibc have no such option and need none.
    if mallopt := getattr(ctypes.CDLL(None), "mallopt", None):
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


async def _serve(
    settings: GatewaySettings, path: str, log: DecisionLog, telemetry: Telemetry
) -> None:
    stopping, reloading = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    loop.set_exception_handler(log.record_unhandled_error)
    gateway = Gateway(settings, path, log, telemetry)
    # Objects from start-up live as long as the process; later collections need only
    # scan those of requests.
    gc.collect()
    gc.freeze()
    await gateway.run(stopping, reloading)


def main() -> None:
    """Run a gateway until SIGTERM or SIGINT; SIGHUP reloads its settings."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = GatewaySettings.read(path)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    _fix_mmap_threshold()
    telemetry = Telemetry()
    log = DecisionLog.to_stdout(
        instance=settings.instance.name, on_drop=telemetry.log_lines_dropped.inc
    )
    asyncio.run(_serve(settings, path, log, telemetry))
