"""The server for callers without a gateway behind it.

When a gateway stops, a head may be read just before its idle connection is closed. Such
a request must not run, as its answer can't be sent.
"""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from tornado.httputil import HTTPHeaders, RequestStartLine

from carobspur.gateway.routes import CallerLimits
from carobspur.platform.ingress import Ingress

from .ports import HOST, free_port


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


class _AnsweringCallDispatcher:
    async def handle(self, call, responder) -> None:
        responder.reply(200, [], b"answer")


class ClosedConnectionsTest(IsolatedAsyncioTestCase):
    async def test_nothing_is_kept_of_closed_connections(self) -> None:
        # Each closed connection left an idle reader with its stream in memory.
        ingress = Ingress(_AnsweringCallDispatcher(), CallerLimits)
        port = free_port()
        heads = (
            b"",
            b"GET /a HTTP/1.1\r\nRequest-Id: r\r\n",
            b"GET /a HTTP/1.1\r\nRequest-Id: r\r\nHost: h\r\n\r\n",
            b"GET /a HTTP/1.0\r\nRequest-Id: r\r\n\r\n",
        )
        async with ingress.listening(HOST, port, backlog=8), asyncio.timeout(20):
            for head in heads:
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(head)
                if head.endswith(b"\r\n\r\n"):
                    await reader.readuntil(b"answer")
                else:
                    while not ingress.connections:
                        await asyncio.sleep(0.01)
                writer.close()
                while ingress.connections:
                    await asyncio.sleep(0.01)
            # Tornado starts a last reader after the answer of a closed connection.
            await asyncio.sleep(0.1)
            self.assertEqual(0, ingress.idle_count)


class HeadTest(IsolatedAsyncioTestCase):
    async def test_head_is_answered_without_a_body(self) -> None:
        # The connection was closed without an answer, also to a refusal with a text.
        ingress = Ingress(_AnsweringCallDispatcher(), CallerLimits)
        port = free_port()
        head = b"HEAD /a HTTP/1.1\r\nRequest-Id: r\r\nHost: h\r\n\r\n"
        async with ingress.listening(HOST, port, backlog=8), asyncio.timeout(20):
            reader, writer = await asyncio.open_connection(HOST, port)
            for _ in range(2):
                writer.write(head)
                answer = await reader.readuntil(b"\r\n\r\n")
                self.assertEqual(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n", answer
                )
            writer.close()
