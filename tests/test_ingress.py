"""Requests that arrive just as a stopping gateway stops accepting them.

A head may be read just before its idle connection is closed. Such a request must not
run, as its answer can't be sent.
"""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from tornado.httputil import HTTPHeaders, RequestStartLine

from carobspur.gateway.routes import CallerLimits
from carobspur.platform.ingress import Ingress


class _Connection:
    stream = None

    def close(self) -> None:
        """Close it; tornado still delivers what was read before."""

    def set_close_callback(self, callback) -> None:
        """Ignore the callback; the caller never closes the connection."""


class _FakeCallDispatcher:
    def __init__(self) -> None:
        self.handled = 0

    async def handle(self, call, responder) -> None:
        self.handled += 1


class StopAcceptingTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.call_dispatcher = _FakeCallDispatcher()
        self.ingress = Ingress(self.call_dispatcher, CallerLimits)
        self.reader = self.ingress.start_request(None, _Connection())

    async def _request(self) -> None:
        line = RequestStartLine("GET", "/read/a", "HTTP/1.1")
        self.reader.headers_received(line, HTTPHeaders({"Request-Id": "r"}))
        self.reader.finish()
        await asyncio.sleep(0)

    async def test_request_on_a_closed_idle_connection_does_not_run(self) -> None:
        self.ingress.stop_accepting()
        await self._request()
        self.assertEqual(0, self.call_dispatcher.handled)
        self.assertFalse(self.ingress.is_busy)

    async def test_request_read_before_the_stop_runs(self) -> None:
        await self._request()
        self.ingress.stop_accepting()
        self.assertEqual(1, self.call_dispatcher.handled)
