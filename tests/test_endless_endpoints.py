"""Endpoints of the scheduler that send endless responses: bounded in size."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from unittest import IsolatedAsyncioTestCase

from carobspur.endpoints import Endpoints, GenerateRequest, ToolRequest
from carobspur.errors import EndpointTimeoutError
from carobspur.http import MAX_ANSWER_BYTES, CurlClient
from carobspur.verdict import MAY_HAVE_RUN

from .floods import Flood, FloodingEndpoint, flooding_endpoint, measured_resources

TIMEOUT_S = 4.0
MAX_CALL_S = 3.0
"""Below the time-out: the size limit must have ended the call before it."""
BODIES = (Flood.HEAD, Flood.VALUE, Flood.LENGTH, Flood.CHUNKS)
STREAMS = (Flood.HEAD, Flood.VALUE, Flood.EVENT, Flood.EVENTS)

Call = Callable[[Endpoints, str], Awaitable[object]]


class EndlessEndpointsTest(IsolatedAsyncioTestCase):
    async def test_tool_call_ends(self) -> None:
        tool_request = ToolRequest("p.1", 1, b"{}", TIMEOUT_S, send_once=True)
        for flood in BODIES:
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                await self._check_ends(
                    lambda endpoints, url: endpoints.run(url, tool_request), endpoint
                )

    async def test_model_call_ends(self) -> None:
        request = GenerateRequest("p.1", "p", "m", "", 0, "", "a", 8)
        for flood in STREAMS:
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                await self._check_ends(
                    lambda endpoints, url: endpoints.generate(
                        url, request, timeout_s=TIMEOUT_S, on_text=lambda text: None
                    ),
                    endpoint,
                )

    async def _check_ends(self, call: Call, endpoint: FloodingEndpoint) -> None:
        loop = asyncio.get_running_loop()
        client = CurlClient(max_clients=10)
        start_s = loop.time()
        async with measured_resources() as usage:
            with self.assertRaises(EndpointTimeoutError) as caught:
                await call(Endpoints(client), f"http://127.0.0.1:{endpoint.port}")
        elapsed_s = loop.time() - start_s
        client.close()
        self.assertEqual(MAY_HAVE_RUN, caught.exception.verdict)
        self.assertLess(elapsed_s, MAX_CALL_S)
        self.assertLess(usage.peak_bytes, 2 * MAX_ANSWER_BYTES)
