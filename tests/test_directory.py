"""Answers of the directory state for how long callers may cache them."""

from __future__ import annotations

import asyncio
import json
import unittest

import tornado.httpserver

from carobspur.gateway.members import Member, Membership
from carobspur.platform.directory import directory_application

from .platform_world import call
from .ports import HOST, free_port


class AddressTtlTest(unittest.TestCase):
    def ttl_s(self, limit_s: float) -> float:
        """Return the ``ttlS`` of an answer under the platform's limit in seconds."""

        async def fetch_ttl_s() -> float:
            own = Member("g1/s", "east", f"{HOST}:1", f"{HOST}:2", f"{HOST}:3")
            application = directory_application(
                Membership(own), lambda: True, max_ttl_s=limit_s
            )
            server = tornado.httpserver.HTTPServer(application)
            port = free_port()
            server.listen(port, HOST)
            answer = await call(port, "/carobspur/resolve?zone=east")
            server.stop()
            return json.loads(answer.body)["ttlS"]

        return asyncio.run(fetch_ttl_s())

    def test_ttl_is_the_platform_limit_if_that_is_below_a_second(self) -> None:
        self.assertEqual(0.5, self.ttl_s(0.5))

    def test_ttl_is_one_second_if_the_platform_limit_is_longer(self) -> None:
        self.assertEqual(1, self.ttl_s(5.0))
