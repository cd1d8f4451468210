"""Limits on callers: what is refused, and that refused requests have not run."""

from __future__ import annotations

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase

from carobspur_standins.platform_replica import ScriptedAnswer

from .platform_world import (
    ENGINES,
    TOOLS,
    CallerAnswer,
    World,
    configuration,
    read_answer,
    request_headers,
    world,
)
from .ports import HOST

MIB = 1024 * 1024
SMALLEST = "[memory]\nmachine_mb = 136\nmax_fds = 1638\n"
"""The smallest machine."""
EVENT = b"id: %d\ndata: " + b"x" * 60_000 + b"\n\n"


async def _configure_limits(deployment: World, **limits: object) -> None:
    content = configuration(2)
    deployment.configure(content | {"limits": content["limits"] | limits})
    gateway = deployment.gateways[0]
    while len(gateway.events("configuration")) < 2:
        await asyncio.sleep(0.01)


async def _send(port: int, fields: str, *parts: bytes) -> CallerAnswer:
    """Send a head and parts of a body, and read the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    head = "".join(f"{name}: {value}\r\n" for name, value in request_headers().items())
    writer.write(f"POST /pay/a HTTP/1.1\r\n{head}{fields}\r\n\r\n".encode())
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


def _tool(deployment: World):
    return next(r for r in deployment.replicas.values() if r.service == TOOLS)


def _engine(deployment: World):
    return next(r for r in deployment.replicas.values() if r.service == ENGINES)


def _bounds(deployment: World) -> list[str]:
    lines = deployment.gateways[0].events("limit_reached")
    return [line["bound"] for line in lines]


def _stream(count: int) -> ScriptedAnswer:
    """Return a stream of events of 60 kB."""
    events = [EVENT % number for number in range(1, count + 1)]
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.1\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunks = [b"%x\r\n%s\r\n" % (len(event), event) for event in events]
    return ScriptedAnswer(head + b"".join(chunks) + b"0\r\n\r\n")


class BodiesTest(IsolatedAsyncioTestCase):
    async def test_body_at_the_limit_is_served_on_the_smallest_machine(self) -> None:
        async with world(sections=SMALLEST) as deployment:
            await _configure_limits(deployment, maxBodyBytes=4 * MIB)
            body = bytes(range(256)) * (4 * MIB // 256)
            announced = await deployment.call("/pay/a", body=body)
            chunks = b"".join(
                b"%x\r\n%s\r\n" % (4096, body[at : at + 4096])
                for at in range(0, len(body), 4096)
            )
            port = deployment.gateways[0].ports["callers"]
            chunked = await _send(
                port, "Transfer-Encoding: chunked", chunks + b"0\r\n\r\n"
            )
            received = [request.body == body for request in _tool(deployment).ran]
        self.assertEqual([200, 200], [announced.status, chunked.status])
        self.assertEqual([True, True], received)

    async def test_announced_body_over_the_limit_is_refused_before_it_is_sent(
        self,
    ) -> None:
        async with world() as deployment:
            port = deployment.gateways[0].ports["callers"]
            for length in ("65537", str(1 << 40), "9" * 5000):
                answer = await _send(port, f"Content-Length: {length}")
                with self.subTest(length[:20]):
                    self.assertEqual(413, answer.status)
            expecting = await _send(
                port, "Content-Length: 65537\r\nExpect: 100-continue"
            )
            bounds = _bounds(deployment)
        self.assertEqual(413, expecting.status)
        self.assertEqual(["max_body_bytes"] * 4, bounds)

    async def test_unannounced_body_over_the_limit_is_refused_while_it_is_sent(
        self,
    ) -> None:
        async with world() as deployment:
            port = deployment.gateways[0].ports["callers"]
            chunk = b"%x\r\n%s\r\n" % (4096, b"x" * 4096)
            answer = await _send(port, "Transfer-Encoding: chunked", chunk * 17)
            ran = len(_tool(deployment).ran)
        self.assertEqual((413, 0), (answer.status, ran))

    async def test_complete_request_without_room_gets_503_and_has_not_run(
        self,
    ) -> None:
        # Twice 4 MiB exceed the bound of this machine, 8.4 MB, less the share of small
        # requests.
        async with world(sections="[memory]\nmachine_mb = 64\n") as deployment:
            await _configure_limits(deployment, maxBodyBytes=4 * MIB)
            refused = await deployment.call("/pay/a", body=b"x" * 4 * MIB)
            ran = len(_tool(deployment).ran)
            small = await deployment.call("/pay/a", body=b"x")
            bounds = _bounds(deployment)
        self.assertEqual((503, 0), (refused.status, ran))
        self.assertGreater(float(refused.headers["retry-after"]), 0)
        self.assertEqual(200, small.status)
        self.assertEqual(["buffer_bytes"], bounds)

    async def test_history_without_room_gets_503_and_spends_no_budget(self) -> None:
        # Twice the history exceeds the bound of 8.4 MB less the share of small ones.
        async with world(sections="[memory]\nmachine_mb = 64\n") as deployment:
            await _configure_limits(deployment, maxBodyBytes=4 * MIB)
            terms = {"program_id": "p", "token_budget": 120, "token_usage": "10,40"}
            answers, previous = [], {}
            for number in range(3):
                answers.append(
                    await deployment.call(
                        "/chat/a",
                        body=b"x" * 3 * MIB,
                        request_id=f"t{number}",
                        **terms,
                        **previous,
                    )
                )
                if answers[-1].status == 200:
                    previous = {"previous_turn": f"t{number}"}
            ran = [r.has_run for r in _engine(deployment).seen]
            # Each turn generates 40 tokens; only one turn has run.
            more = await deployment.call("/chat/a", body=b"x", **terms)
            last = await deployment.call("/chat/a", body=b"x", **terms)
        self.assertEqual([200, 503, 503], [item.status for item in answers])
        self.assertIn("retry-after", answers[1].headers)
        self.assertEqual([True], ran)
        self.assertEqual([200, 200], [more.status, last.status])

    async def test_body_without_progress_is_refused(self) -> None:
        sections = "[memory]\nbody_idle_s = 0.3\n"
        async with world(sections=sections) as deployment:
            port = deployment.gateways[0].ports["callers"]
            async with asyncio.timeout(20):
                answer = await _send(port, "Content-Length: 100", b"x" * 99)
            bounds = _bounds(deployment)
        self.assertEqual(503, answer.status)
        self.assertEqual(["body_idle_s"], bounds)


class ConnectionsTest(IsolatedAsyncioTestCase):
    async def test_idle_connections_at_the_bound_do_not_stop_acceptance(self) -> None:
        async with world(sections="[memory]\nmax_fds = 320\n") as deployment:
            port = deployment.gateways[0].ports["callers"]
            idle = [await asyncio.open_connection(HOST, port) for _ in range(80)]
            answer = await deployment.call("/read/a")
            for _, writer in idle:
                writer.close()
            bounds = _bounds(deployment)
        self.assertEqual(200, answer.status)
        self.assertEqual({"connections"}, set(bounds))

    async def test_time_for_a_head_is_bounded(self) -> None:
        async with world() as deployment:
            await _configure_limits(deployment, headerTimeoutMs=300)
            port = deployment.gateways[0].ports["callers"]
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /read/a HTTP/1.1\r\nHost: host.example\r\n")
            async with asyncio.timeout(20):
                self.assertEqual(b"", await reader.read())
            writer.close()
            bounds = _bounds(deployment)
        self.assertEqual(["head_time"], bounds)


class SmallServersTest(IsolatedAsyncioTestCase):
    async def test_bodies_to_the_other_servers_are_not_read(self) -> None:
        async with world() as deployment:
            ports = deployment.gateways[0].ports
            for name in ("ready", "directory", "metrics"):
                answer = await _send(ports[name], "Content-Length: 100000000")
                with self.subTest(name):
                    self.assertEqual(400, answer.status)


class SlowCallersTest(IsolatedAsyncioTestCase):
    async def _begin(self, deployment: World, events: int) -> socket.socket:
        """Request a stream of events of 60 kB without reading it."""
        engine = _engine(deployment)
        engine.scripts.append(_stream(events))
        client = socket.socket()
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        port = deployment.gateways[0].ports["callers"]
        await loop.sock_connect(client, (HOST, port))
        fields = request_headers(
            program_id="p", token_budget=1000, token_usage="10,980", deadline_ms=3000
        )
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = f"POST /walk/a HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode()
        await loop.sock_sendall(client, data)
        return client

    async def _ended(self, deployment: World, event: str) -> dict:
        gateway = deployment.gateways[0]
        async with asyncio.timeout(20):
            while not gateway.events(event):
                await asyncio.sleep(0.01)
        return gateway.events(event)[0]

    async def test_answer_of_the_engine_is_read_before_the_caller_reads(self) -> None:
        async with world() as deployment:
            client = await self._begin(deployment, 15)
            line = await self._ended(deployment, "answered")
            received = b""
            loop = asyncio.get_running_loop()
            while not received.endswith(b"\r\n0\r\n\r\n"):
                received += await loop.sock_recv(client, 65536)
            client.close()
        self.assertEqual(200, line["status"])
        self.assertEqual(15, received.count(b"data: "))

    async def test_caller_that_reads_nothing_is_given_up_and_its_tokens_count(
        self,
    ) -> None:
        async with world(sections="[memory]\nunread_bytes = 100000\n") as deployment:
            client = await self._begin(deployment, 100)
            line = await self._ended(deployment, "failed")
            engine = _engine(deployment)
            async with asyncio.timeout(20):
                while engine.running:
                    await asyncio.sleep(0.01)
            # Two events of 10 tokens exceed the bound, so over 20 are spent and fewer
            # than 980 of 1,000 are left.
            following = await deployment.call(
                "/walk/a",
                body=b"in",
                program_id="p",
                token_budget=1000,
                token_usage="10,980",
            )
            client.close()
            bounds = _bounds(deployment)
        self.assertEqual("caller_slow", line["cause"])
        self.assertEqual(["unread_bytes"], bounds)
        self.assertEqual(402, following.status)
        self.assertEqual(1, len(engine.ran))
