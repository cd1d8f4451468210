"""What an entry process shares between the requests of its callers."""

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
IDLE_AFTER_S = 2.0

_logger = logging.getLogger(__name__)


class Entry:
    """What the caller-facing handlers share.

    Args:
        settings: The instance's settings.
        view: Copy of control's view.
        forwarder: Sends requests to the schedulers that own programs.
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
        """Instances to answer with; not this one once it is leaving."""
        own = self._settings.instance.id if self.is_stopping else ""
        return [item for item in self._view.instances if item.id != own]

    @property
    def view(self) -> ViewClient:
        """Copy of control's view."""
        return self._view

    @property
    def forwarder(self) -> Forwarder:
        """Sends requests to schedulers."""
        return self._forwarder

    @property
    def keep_addresses_s(self) -> int:
        """Seconds for which callers may keep an answer about addresses."""
        return self._settings.entry.keep_addresses_s

    @property
    def max_body_bytes(self) -> int:
        """Most bytes that a request's body may have."""
        return self._settings.entry.max_body_bytes

    @property
    def call_timeout_s(self) -> float:
        """Seconds a call may take."""
        return self._settings.entry.call_timeout_s

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        return self._view.is_ready and not self.is_stopping

    def request_began(self) -> None:
        """Count a request that is under way."""
        self._open_requests += 1
        self._last_request_s = time.monotonic()
        self._no_open_requests.clear()

    def request_ended(self) -> None:
        """Count a request that ended."""
        self._open_requests -= 1
        if not self._open_requests:
            self._no_open_requests.set()

    async def finish_requests(self) -> None:
        """Serve on until callers have gone elsewhere, up to a limit.

        Callers keep addresses for a while, so new requests are served until none has
        come for a short time or until no caller can have a kept address any more.
        """
        started_s = time.monotonic()
        max_serve_s = self.keep_addresses_s + IDLE_AFTER_S
        while time.monotonic() - started_s < max_serve_s:
            if time.monotonic() - max(self._last_request_s, started_s) > IDLE_AFTER_S:
                break
            await asyncio.sleep(IDLE_AFTER_S / 10)
        try:
            await asyncio.wait_for(self._no_open_requests.wait(), MAX_STOP_WAIT_S)
        except TimeoutError:
            _logger.warning("%d requests were cut", self._open_requests)
