"""State that an entry process shares between the requests of its callers."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any

from .addresses import Rotation
from .forward import Forwarder
from .settings import Settings
from .view import ViewClient

MAX_STOP_WAIT_S = 60.0
"""Longest wait for open requests at a stop; those that remain are cut."""
IDLE_AFTER_S = 2.0
"""Time without a new request after which callers count as moved to other instances."""

_logger = logging.getLogger(__name__)


class Entry:
    """State that the caller-facing HTTP handlers share, and the graceful stop.

    Args:
        settings: The instance's settings.
        view: Local copy of the control process's view of the system.
        forwarder: Sends requests to the schedulers that own programs.

    Attributes:
        is_stopping: Whether the process is stopping. Set once; callers then get the
            addresses of other instances, and requests that still arrive are served.
        rotation: Gives each instance the first place in address answers equally often.
    """

    def __init__(
        self, settings: Settings, view: ViewClient, forwarder: Forwarder
    ) -> None:
        self._settings = settings
        self._view = view
        self._forwarder = forwarder
        self._open_requests = 0
        self._no_open_requests = asyncio.Event()
        self._no_open_requests.set()
        self.is_stopping = False
        self.rotation = Rotation(random.Random(settings.instance.id))
        self._last_request_s = float("-inf")

    @property
    def usable_instances(self) -> list[Any]:
        """Instances to name to callers; without this one once it is stopping."""
        own = self._settings.instance.id if self.is_stopping else ""
        return [item for item in self._view.instances if item.id != own]

    @property
    def view(self) -> ViewClient:
        """Local copy of the control process's view of the system."""
        return self._view

    @property
    def forwarder(self) -> Forwarder:
        """Sends requests to the schedulers that own programs."""
        return self._forwarder

    @property
    def keep_addresses_s(self) -> int:
        """Seconds for which callers may cache an answer about addresses."""
        return self._settings.entry.keep_addresses_s

    @property
    def max_body_bytes(self) -> int:
        """Largest accepted request body, in bytes."""
        return self._settings.entry.max_body_bytes

    @property
    def call_timeout_s(self) -> float:
        """Seconds after which a forwarded call times out."""
        return self._settings.entry.call_timeout_s

    @property
    def is_ready(self) -> bool:
        """Whether health checks should send callers to this instance."""
        return self._view.is_ready and not self.is_stopping

    def request_began(self) -> None:
        """Count a request that started; every handler calls this first."""
        self._open_requests += 1
        self._last_request_s = time.monotonic()
        self._no_open_requests.clear()

    def request_ended(self) -> None:
        """Count a request whose response is finished."""
        self._open_requests -= 1
        if not self._open_requests:
            self._no_open_requests.set()

    async def finish_requests(self) -> None:
        """Serve until callers use other instances, then wait for open requests.

        Callers cache addresses. New requests are therefore served until none has
        arrived for ``IDLE_AFTER_S``, or until every cached address has expired.
        Open requests then get ``MAX_STOP_WAIT_S`` to finish.
        """
        started_s = time.monotonic()
        max_serve_s = self.keep_addresses_s + IDLE_AFTER_S
        while time.monotonic() - started_s < max_serve_s:
            if time.monotonic() - max(self._last_request_s, started_s) > IDLE_AFTER_S:
                break
            await asyncio.sleep(IDLE_AFTER_S / 10)
        try:
            async with asyncio.timeout(MAX_STOP_WAIT_S):
                await self._no_open_requests.wait()
        except TimeoutError:
            _logger.warning("stopping with %d requests unfinished", self._open_requests)
