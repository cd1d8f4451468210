"""Requests at the moment at which a stopping gateway takes no more."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from tornado.httputil import HTTPHeaders, RequestStartLine

from carobspur.gateway.routes import CallerLimits
from carobspur.platform.ingress import Ingress


class _Connection:
    stream = None

    def close(self) -> None:
        """End it; what was read before is still handed on."""

    def set_close_callback(self, callback) -> None:
        """Take no note of it."""


class _FakeCallDispatcher:
    def __init__(self) -> None:
        self.handled = 0

    async def handle(self, call, responder) -> None:
        self.handled += 1


class RefusalTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.call_dispatcher = _FakeCallDispatcher()
        self.ingress = Ingress(self.call_dispatcher, CallerLimits)
        self.reader = self.ingress.start_request(None, _Connection())

    async def _request(self) -> None:
        line = RequestStartLine("GET", "/read/a", "HTTP/1.1")
        self.reader.headers_received(line, HTTPHeaders({"Request-Id": "r"}))
        self.reader.finish()
        await asyncio.sleep(0)

    async def test_request_read_as_its_connection_ends_does_not_run(self) -> None:
        self.ingress.stop_accepting()
        await self._request()
        self.assertEqual(0, self.call_dispatcher.handled)
        self.assertFalse(self.ingress.is_busy)

    async def test_request_read_before_runs(self) -> None:
        await self._request()
        self.ingress.stop_accepting()
        self.assertEqual(1, self.call_dispatcher.handled)
