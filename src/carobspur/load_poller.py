"""Polls endpoints for their load."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

import msgspec

from .clock import Clock
from .endpoint_loads import EngineLoad, LoadReports, LoadSample
from .errors import CarobspurError
from .http import HttpClient, HttpRequest

LOAD_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


class LoadPoller:
    """Polls the endpoints that are assigned to this instance.

    Args:
        instance: Id of this instance.
        client: HTTP client for endpoints.
        clock: Source of time.
        reports: Stores the answers and assigns endpoints to instances.
        on_loads: Called with the addresses of endpoints that have new reports.
    """

    __slots__ = ("_client", "_clock", "_instance", "_on_loads", "_reports")

    def __init__(
        self,
        instance: str,
        *,
        client: HttpClient,
        clock: Clock,
        reports: LoadReports,
        on_loads: Callable[[list[str]], None],
    ) -> None:
        self._instance = instance
        self._client = client
        self._clock = clock
        self._reports = reports
        self._on_loads = on_loads

    async def poll(self, instances: Mapping[str, str], *, period_s: float) -> None:
        """Poll the endpoints that are due, all at the same time.

        Args:
            instances: Data centre by id of each instance that polls endpoints.
            period_s: Time between two reports of one endpoint.
        """
        now_s = self._clock.monotonic()
        addresses = self._reports.endpoints_to_poll(
            self._instance, instances, period_s=period_s, now_s=now_s
        )
        await asyncio.gather(*(self._poll_endpoint(address) for address in addresses))

    async def _poll_endpoint(self, address: str) -> None:
        request = HttpRequest("GET", f"{address}/v1/load", timeout_s=LOAD_TIMEOUT_S)
        load = None
        try:
            response = await self._client.fetch(request)
            if response.status == 200:
                load = msgspec.json.decode(response.body, type=EngineLoad)
        except (CarobspurError, msgspec.MsgspecError) as error:
            _logger.info("load of %s unknown: %s", address, error)
        if self._reports.add(address, LoadSample(self._clock.monotonic(), load)):
            self._on_loads([address])
