"""Requests to endpoints: resends, crossed answers and fencing refusals."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

import msgspec

from carobspur.endpoints import (
    CALL_ID_HEADER,
    Endpoints,
    GenerateRequest,
    GenerateResult,
    ToolRequest,
)
from carobspur.errors import EndpointRejectedError, EndpointTimeoutError
from carobspur.http import CurlClient, HttpError, HttpRequest, HttpResponse
from carobspur.sse import Event, encode_event
from carobspur.verdict import MAY_HAVE_RUN, NOT_RUN, RAN


class _SingleAnswerServer:
    """Answers the first request of a connection and closes it at the second one."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for is_answered in (True, False):
            try:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
            except asyncio.IncompleteReadError:
                break
            self.requests += 1
            if is_answered:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()


async def _send_twice(*, send_once: bool) -> int:
    server = _SingleAnswerServer()
    listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    client = CurlClient()
    request = HttpRequest(
        "POST", f"http://127.0.0.1:{port}/", body=b"{}", send_once=send_once
    )
    try:
        await client.fetch(HttpRequest("POST", request.url, body=b"{}"))
        await client.fetch(request)
    except HttpError:
        pass
    finally:
        client.close()
        listening.close()
    return server.requests


class _FixedResponseClient:
    """HTTP client that answers every request with the given function."""

    def __init__(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        self._respond = respond

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        return self._respond(request)


class SendOnceTest(unittest.TestCase):
    def test_curl_resends_when_a_reused_connection_closes(self) -> None:
        self.assertEqual(asyncio.run(_send_twice(send_once=False)), 3)

    def test_call_that_may_not_be_repeated_is_sent_once(self) -> None:
        self.assertEqual(asyncio.run(_send_twice(send_once=True)), 2)


class CrossedAnswerTest(unittest.TestCase):
    def test_tool_answer_for_another_call_is_refused(self) -> None:
        endpoints = Endpoints(
            _FixedResponseClient(
                lambda _: HttpResponse(200, b"{}", {CALL_ID_HEADER: "p2.1"})
            )
        )
        with self.assertRaises(EndpointTimeoutError) as caught:
            asyncio.run(endpoints.run("http://x", ToolRequest("p1.1", 1, b"{}", 1.0)))
        self.assertEqual(caught.exception.verdict, MAY_HAVE_RUN)

    def test_engine_answer_for_another_call_is_refused(self) -> None:
        result = GenerateResult("w0", 1, 1, 0, call_id="p2.1")

        def _respond(request: HttpRequest) -> HttpResponse:
            data = msgspec.json.encode(result)
            request.on_data(encode_event(Event("done", data)))
            return HttpResponse(200, b"")

        request = GenerateRequest("p1.1", "p1", "model", "", 0, "", "hello", 1)
        with self.assertRaises(EndpointTimeoutError):
            asyncio.run(
                Endpoints(_FixedResponseClient(_respond)).generate(
                    "http://x", request, timeout_s=1.0, on_text=lambda text: None
                )
            )

    def test_answer_that_is_not_json_reaches_the_caller_whole(self) -> None:
        endpoints = Endpoints(
            _FixedResponseClient(lambda _: HttpResponse(200, b"paid: 5"))
        )
        tool_request = ToolRequest("p1.1", 1, b"{}", 1.0)
        answer = asyncio.run(endpoints.run("http://x", tool_request))
        self.assertEqual(msgspec.json.decode(answer), "paid: 5")


class FencedTest(unittest.TestCase):
    def verdict(self, *, is_fenced: bool) -> object:
        endpoints = Endpoints(_FixedResponseClient(lambda _: HttpResponse(412, b"")))
        tool_request = ToolRequest("p1.1", 1, b"{}", 1.0, is_fenced=is_fenced)
        with self.assertRaises(EndpointRejectedError) as caught:
            asyncio.run(endpoints.run("http://x", tool_request))
        return caught.exception.verdict

    def test_fencing_refusal_proves_not_run_only_if_the_tool_checks_fencing(
        self,
    ) -> None:
        self.assertEqual(self.verdict(is_fenced=True), NOT_RUN)
        self.assertEqual(self.verdict(is_fenced=False), RAN)
