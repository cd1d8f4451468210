"""Bad input from callers and operators is refused clearly and breaks nothing."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from collections.abc import Iterator
from contextlib import AsyncExitStack
from typing import Any

import msgspec
import tornado.web

from carobspur.callers import caller_routes
from carobspur.daemon import http_server
from carobspur.health import health_routes
from carobspur.inventory import encode_inventory
from carobspur.operator_actions import operator_routes
from carobspur.problem import NoSuchPathHandler

from . import builders
from .virtual import run_virtual
from .world import Reply, World

SEED = 7
MUTATIONS = 300
ORGANISATION_PATH = f"/v1/organisations/{builders.ORGANISATION}"
OTHER_SECRET_PREFIX = "x-"
FORGED_PROGRAM = "p" + "0" * 32

BAD_JSON = [
    b"",
    b"null",
    b"[]",
    b"7",
    b'"text"',
    b"{",
    b'{"agent"',
    b"\xff\xfe\x00",
    b'{"agent": "\xc3\x28"}',
    b'{"agent": "quote", "deadline_s": NaN}',
    b"[" * 100_000,
    b'{"a":' * 50_000,
]
BAD_STARTS: list[dict[str, Any]] = [
    {},
    {"agent": 1},
    {"agent": None},
    {"agent": ""},
    {"agent": "x" * 1000},
    {"agent": "no-such-agent"},
    {"agent": "quote", "surprise": 1},
    {"agent": "quote", "parent": 1},
    {"agent": "quote", "parent": "p1"},
    {"agent": "quote", "parent": "../p"},
    {"agent": "quote", "parent": FORGED_PROGRAM},
    {"agent": "quote", "deadline_s": -1},
    {"agent": "quote", "deadline_s": 1e300},
    {"agent": "quote", "deadline_s": "soon"},
    {"agent": "quote", "deadline_s": True},
]
BAD_CALLS: list[Any] = [
    {},
    {"endpoint": "model"},
    {"endpoint": 1, "input": {}},
    {"endpoint": "", "input": {}},
    {"endpoint": "x" * 1000, "input": {}},
    {"endpoint": "no-such", "input": {}},
    {"endpoint": "model", "input": {}},
    {"endpoint": "model", "input": []},
    {"endpoint": "model", "input": None},
    {"endpoint": "model", "input": {"prompt": 1, "max_tokens": 1}},
    {"endpoint": "model", "input": {"prompt": "a", "max_tokens": -1}},
    {"endpoint": "model", "input": {"prompt": "a", "max_tokens": 0}},
    {"endpoint": "model", "input": {"prompt": "a", "max_tokens": 1.5}},
    {"endpoint": "model", "input": {"prompt": "a", "max_tokens": 1 << 70}},
    {"endpoint": "model", "input": {"prompt": "a", "max_tokens": 1 << 40}},
    {"endpoint": "model", "input": {"prompt": "a"}, "stream": "yes"},
    {"endpoint": "vault", "input": {}, "repeatable": True},
    msgspec.Raw(b'{"endpoint": "payout", "input": {"pesos": 1e999}}'),
    msgspec.Raw(b'{"endpoint": "payout", "input": {"pesos": NaN}}'),
    msgspec.Raw(b'{"endpoint": "payout", "input": ' + b"[" * 5000 + b"]" * 5000 + b"}"),
    msgspec.Raw(b'{"endpoint": "payout", "input": "\xff"}'),
]
BAD_HEADERS: list[dict[str, str]] = [
    {"Carobspur-User": ""},
    {"Carobspur-User": "x" * 5000},
    {"Carobspur-User": "a/b"},
    {"Carobspur-User": "*"},
    {"Carobspur-User": "a\x00b"},
    {"Carobspur-User": "a\u202eb"},
    {"Idempotency-Key": ""},
    {"Idempotency-Key": "k" * 5000},
    {"Idempotency-Key": "a\x00b"},
    {"Authorization": ""},
    {"Authorization": "Bearer"},
    {"Authorization": "Bearer " + "x" * 60_000},
    {"Authorization": "Basic " + builders.CALLER_SECRET},
    {"Authorization": "Bearer \xff\xfe"},
    {"Authorization": f"Bearer {builders.OPERATOR_SECRET}"},
    {"Authorization": f"Bearer {builders.PLATFORM_SECRET}"},
]
BAD_PROGRAMS = [
    "p1",
    FORGED_PROGRAM,
    "%2e%2e",
    "p%00",
    "%ff%fe",
    "p" * 5000,
    "P" + "0" * 32,
]
BAD_PATHS = ["/", "/v1", "/v2/programs", "/v1/programs/", "/v1/calls/1", "/%ff"]
BAD_NUMBERS = ["0", "2", "1000001", "999999999", "1e3", "-1", "\u0663", "99999999999"]
BAD_IMPORTS = [
    {"If-Match": ""},
    {"If-Match": "one"},
    {"If-Match": "-1"},
    {"If-Match": "\u0661"},
    {"If-Match": "9" * 5000},
    {"If-Match": '"99"'},
    {"Carobspur-Change": ""},
    {"Carobspur-Change": "a/b"},
    {"Carobspur-Change": "c" * 5000},
    {"Carobspur-Change": "a\x00"},
]
RAW_REQUESTS = [
    b"",
    b"\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"\xff" * 1000,
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"GET /v1/addresses HTTP/1.1\r\n\r\n",
    b"GET /v1/addresses HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 200_000 + b"\r\n\r\n",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n{",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\n{}",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"zz\r\n",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
    b"POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Encoding: gzip\r\n"
    b"Content-Length: 4\r\n\r\nzzzz",
    b"GET /v1/\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /v1/addresses?program=%ff HTTP/1.1\r\nHost: a\r\nAuthorization: \xff\r\n\r\n",
    b"BREW /v1/programs HTTP/1.1\r\nHost: a\r\n\r\n",
]


class BadInputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.refusal_count = 0

    def assert_refused(self, reply: Reply, tried: Any) -> None:
        """Assert that a reply is a problem document with a 4xx status and "not run"."""
        self.refusal_count += 1
        self.assertTrue(400 <= reply.status < 500, (tried, reply.status, reply.body))
        problem = reply.json
        self.assertEqual(problem["verdict"], "not_run", (tried, problem))
        self.assertEqual(problem["status"], reply.status, tried)
        self.assertTrue(problem["cause"] and problem["title"], tried)
        self.assertLess(len(problem["title"]), 20_000, tried)

    def test_bad_caller_requests_are_refused(self) -> None:
        async def scenario() -> None:
            world = await World().start(2)
            program = await world.start_program("k")
            calls = f"/v1/programs/{program}/calls/"
            key = {"Idempotency-Key": "k2"}
            for bad in BAD_JSON:
                body = msgspec.Raw(bad or b" ")
                for path in ("/v1/programs", calls + "1", "/v1/calls"):
                    reply = await world.ask("POST", path, body, headers=key)
                    self.assert_refused(reply, (path, bad[:50]))
            for start in BAD_STARTS:
                reply = await world.ask("POST", "/v1/programs", start, headers=key)
                self.assert_refused(reply, start)
            for call in BAD_CALLS:
                reply = await world.ask("POST", calls + "1", call)
                self.assert_refused(reply, call)
                single = {"Idempotency-Key": f"single-{self.refusal_count}"}
                reply = await world.ask("POST", "/v1/calls", call, headers=single)
                self.assert_refused(reply, call)
            good = {"endpoint": "payout", "input": {}}
            for headers in BAD_HEADERS:
                sent = {**key, **headers}
                reply = await world.ask("POST", "/v1/calls", good, headers=sent)
                self.assert_refused(reply, headers)
            for number in BAD_NUMBERS:
                reply = await world.ask("POST", calls + number, good)
                self.assert_refused(reply, number)
            for forged in BAD_PROGRAMS:
                for method in ("GET", "DELETE"):
                    reply = await world.ask(method, f"/v1/programs/{forged}")
                    self.assert_refused(reply, (method, forged))
                reply = await world.ask("POST", f"/v1/programs/{forged}/calls/1", good)
                self.assert_refused(reply, forged)
            for path in BAD_PATHS:
                self.assert_refused(await world.ask("GET", path), path)
            self.assert_refused(await world.ask("PUT", "/v1/programs", {}), "PUT")
            large = msgspec.Raw(b'"' + b"x" * max_body_bytes_of(world) + b'"')
            reply = await world.ask("POST", calls + "1", large)
            self.assert_refused(reply, "large")
            self.assertEqual(reply.status, 413)
            self.assertEqual(world.tool.runs, [])
            reply = await world.call(program, 1, "payout", {"pesos": 1})
            self.assertEqual(reply.status, 200, reply.body)

        run_virtual(scenario)
        self.assertEqual(self.refusal_count, 146)

    def test_another_organisations_key_sees_nothing(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            other = builders.an_inventory("jalbandi", secret_prefix=OTHER_SECRET_PREFIX)
            await world.import_inventory(other, revision=0, change="x")
            await world.clock.sleep(1.0)
            program = await world.start_program("k")
            secret = OTHER_SECRET_PREFIX + builders.CALLER_SECRET
            for user, key in (("clerk-1", secret), ("clerk-2", builders.CALLER_SECRET)):
                path = f"/v1/programs/{program}"
                good = {"endpoint": "payout", "input": {}}
                for method, tail, body in (
                    ("GET", "", None),
                    ("GET", "/history", None),
                    ("DELETE", "", None),
                    ("POST", "/calls/1", good),
                ):
                    reply = await world.ask(
                        method, path + tail, body, secret=key, user=user
                    )
                    self.assert_refused(reply, (user, method, tail))
                    self.assertEqual(reply.status, 404)
            start = {"agent": "quote", "parent": program}
            key = {"Idempotency-Key": "k9"}
            reply = await world.ask(
                "POST", "/v1/programs", start, headers=key, secret=secret
            )
            self.assert_refused(reply, "another organisation's parent")

        run_virtual(scenario)

    def test_bad_operator_requests_are_refused(self) -> None:
        async def scenario() -> None:
            world = await World().start(1)
            inventory = msgspec.to_builtins(world.inventory)
            path = ORGANISATION_PATH + "/inventory"
            good = {"If-Match": '"1"', "Carobspur-Change": "c2"}
            for bad in (*BAD_JSON, *_mutations(encode_inventory(world.inventory))):
                body = msgspec.Raw(bad or b" ")
                reply = await world.operate("POST", path + "/difference", body)
                if reply.status == 200:
                    continue
                self.assert_refused(reply, bad[:80])
            for headers in BAD_IMPORTS:
                reply = await world.operate(
                    "PUT", path, inventory, headers={**good, **headers}
                )
                self.assert_refused(reply, headers)
            for tail in (
                "/inventory/history?limit=-1",
                "/inventory/history?limit=%ff",
                "/inventory/history?limit=" + "9" * 5000,
                "/programs/p1",
                f"/programs/{FORGED_PROGRAM}",
                "/programs/%ff",
                "/reports/none",
                "/nothing",
            ):
                self.assert_refused(
                    await world.operate("GET", ORGANISATION_PATH + tail), tail
                )
            for instance in ("none", "%ff", "a" * 5000):
                reply = await world.operate(
                    "POST",
                    f"/v1/instances/{instance}/drain",
                    {},
                    secret=builders.PLATFORM_SECRET,
                )
                self.assert_refused(reply, instance)
            self.assertEqual(world.nodes[1].control.revision, 1)
            reply = await world.operate("GET", path)
            self.assertEqual(reply.json["inventory"], inventory)

        run_virtual(scenario)
        self.assertEqual(self.refusal_count, 332)

    def test_broken_requests_on_sockets(self) -> None:
        asyncio.run(asyncio.wait_for(self._broken_requests(), 30))

    async def _broken_requests(self) -> None:
        async with AsyncExitStack() as stack:
            world = await World().start(1)
            node = world.nodes[1]
            interfaces = (
                caller_routes(node.entry),
                operator_routes(node.control, None),
            )
            for routes in interfaces:
                app = tornado.web.Application(
                    [*health_routes(lambda: True), *routes],
                    default_handler_class=NoSuchPathHandler,
                )
                port = await stack.enter_async_context(
                    http_server(app, "127.0.0.1", 0, max_body_size=1 << 20)
                )
                for raw in RAW_REQUESTS:
                    status = await _send(port, raw)
                    self.assertIn(status, (0, 400, 401, 404, 405, 413, 431), raw[:80])
                    alive = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
                    self.assertEqual(await _send(port, alive, is_whole=True), 200)


def max_body_bytes_of(world: World) -> int:
    """Return the largest accepted body of callers, in bytes."""
    return world.nodes[1].entry.max_body_bytes


def _mutations(document: bytes) -> Iterator[bytes]:
    """Yield copies with random bytes replaced, deleted or repeated, by a fixed seed."""
    rng = random.Random(SEED)
    for _ in range(MUTATIONS):
        changed = bytearray(document)
        for _ in range(rng.randint(1, 4)):
            place = rng.randrange(len(changed))
            match rng.randrange(3):
                case 0:
                    changed[place] = rng.randrange(256)
                case 1:
                    del changed[place : place + rng.randint(1, 40)]
                case _:
                    piece = changed[place : place + rng.randint(1, 40)]
                    changed[place:place] = piece
        yield bytes(changed)


async def _send(port: int, raw: bytes, *, is_whole: bool = False) -> int:
    """Send bytes and return the response's status, or 0 without a response.

    Unless ``is_whole``, the sending side is closed after the bytes.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(raw)
        if not is_whole:
            writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        line = await reader.readline()
    except OSError:
        return 0
    finally:
        writer.close()
    words = line.split()
    return int(words[1]) if len(words) > 1 else 0
