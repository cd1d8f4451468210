"""Calls that are cancelled while their answer arrives end, and with them their jobs."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from unittest import IsolatedAsyncioTestCase

from carobspur.background import background
from carobspur.peer_client import PeerClient, peer_client
from carobspur.peers import START_PROGRAM, encode, messages, write_frame

HOST = "127.0.0.1"
STOP_S = 2.0
ITERATIONS = 12
"""Iterations of the event loop from the arrival of an answer to the call's return."""


class WrittenBytes(bytearray):
    """Stands in for a stream and collects what is written to it."""

    write = bytearray.extend


def answer(number: int) -> bytes:
    """Return the frame of the result of a connection's call."""
    result = messages.ProgramStarted(program="p", created=True)
    kind = messages.FrameKind.RESULT
    collector = WrittenBytes()
    write_frame(collector, messages.Frame(id=number, kind=kind, body=encode(result)))
    return bytes(collector)


class CancelledCallTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.calls = 0

    async def _call(self, client: PeerClient) -> Any:
        self.calls += 1
        caller = messages.Caller(organisation="o", user="u", revision=1)
        request = messages.StartProgram(caller=caller, program="p", agent="a")
        port = self.listener.getsockname()[1]
        return await client.call(HOST, port, START_PROGRAM, request, timeout_s=60)

    async def _accept(self) -> socket.socket:
        """Return the server's side of a connection whose first request was sent."""
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        server, _ = await loop.sock_accept(self.listener)
        server.setblocking(False)
        self.assertTrue(await loop.sock_recv(server, 1000))
        return server

    async def test_call_cancelled_while_its_answer_arrives_is_cancelled(self) -> None:
        for iterations in range(ITERATIONS):
            with self.subTest(iterations=iterations):
                async with peer_client() as client:
                    calling = asyncio.ensure_future(self._call(client))
                    with await self._accept() as server:
                        server.send(answer(1))
                        for _ in range(iterations):
                            await asyncio.sleep(0)
                        if calling.cancel():
                            await asyncio.wait([calling])
                            self.assertTrue(calling.cancelled())

    async def test_stop_while_an_answer_arrives_ends_a_job(self) -> None:
        for iterations in range(ITERATIONS):
            with self.subTest(iterations=iterations):
                async with peer_client() as client:

                    async def _job(client: PeerClient = client) -> None:
                        while True:
                            await self._call(client)

                    jobs = background(_job)
                    await jobs.__aenter__()
                    with await self._accept() as server:
                        server.send(answer(1))
                        for _ in range(iterations):
                            await asyncio.sleep(0)
                        async with asyncio.timeout(STOP_S):
                            await jobs.__aexit__(None, None, None)
