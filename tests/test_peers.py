"""Invalid messages on the protocol between processes of the system."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from carobspur.errors import RequestError
from carobspur.peer_client import peer_client
from carobspur.peer_server import PeerServer
from carobspur.peers import (
    START_PROGRAM,
    Method,
    encode,
    messages,
    write_frame,
)

HOST = "127.0.0.1"
WRONG_FRAMES = 200
UNKNOWN = Method("no_such_method", messages.Empty, messages.Empty)


async def echo(request: Any, emit: Any) -> Any:
    return messages.ProgramStarted(program=request.program, created=True)


async def serving() -> tuple[PeerServer, int]:
    """Return a server that is listening, and its port."""
    server = PeerServer()
    server.register(START_PROGRAM, echo)
    listener = socket.create_server((HOST, 0))
    listener.setblocking(False)
    server.add_sockets([listener])
    return server, listener.getsockname()[1]


def good_request(program: str) -> Any:
    caller = messages.Caller(organisation="o", user="u", revision=1)
    return messages.StartProgram(caller=caller, program=program, agent="a")


class WrittenBytes:
    """Stands in for a stream and collects what is written to it."""

    def __init__(self) -> None:
        self.content = b""

    def write(self, data: bytes) -> None:
        self.content += data


def frame_bytes(request: Any) -> bytes:
    """Return a request's frame in its wire format."""
    collector = WrittenBytes()
    kind = messages.FrameKind.REQUEST
    body = encode(request)
    frame = messages.Frame(id=1, kind=kind, method=START_PROGRAM.name, body=body)
    write_frame(collector, frame)
    return collector.content


class WrongMessagesTest(unittest.TestCase):
    def test_wrong_frames_end_only_their_connection(self) -> None:
        rng = random.Random(1)
        frames = [
            b"\xff" * 8,
            b"\x00" * 8,
            b"\x00\x00\x00\x05\x0b",
            b"GET / HTTP/1.1\r\n",
        ]
        while len(frames) < WRONG_FRAMES:
            content = rng.randbytes(rng.randint(1, 60))
            frames.append(len(content).to_bytes(4, "big") + content)
        self.assert_only_connections_end(frames)

    def test_damaged_frames_end_only_their_connection(self) -> None:
        rng = random.Random(2)
        frames = []
        for _ in range(WRONG_FRAMES):
            damaged = bytearray(frame_bytes(good_request("p1")))
            damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
            frames.append(bytes(damaged))
        self.assert_only_connections_end(frames)

    def assert_only_connections_end(self, frames: list[bytes]) -> None:
        async def scenario() -> None:
            server, port = await serving()
            async with peer_client() as client:
                for number, frame in enumerate(frames):
                    await self.send(port, frame)
                    answer = await client.call(
                        HOST, port, START_PROGRAM, good_request(f"p{number}")
                    )
                    self.assertEqual(answer.program, f"p{number}")
            server.stop()
            server.close_connections()

        asyncio.run(scenario())

    async def send(self, port: int, frame: bytes) -> None:
        stream = IOStream(socket.create_connection((HOST, port)))
        try:
            await stream.write(frame)
        except StreamClosedError:
            pass
        finally:
            stream.close()

    def test_unknown_method_and_missing_fields_are_refused(self) -> None:
        async def scenario() -> None:
            server, port = await serving()
            async with peer_client() as client:
                with self.assertRaises(RequestError):
                    await client.call(HOST, port, UNKNOWN, messages.Empty())
                with self.assertRaises(RequestError):
                    await client.call(
                        HOST, port, START_PROGRAM, messages.StartProgram(program="p")
                    )
            server.stop()
            server.close_connections()

        asyncio.run(scenario())
