"""A gateway that stops as planned answers every request that it has taken."""

from __future__ import annotations

import asyncio
import unittest

from carobspur.platform.gateway import LEAVE_NOTICE_S, STOP_MARGIN_S

from .platform_world import (
    HOST,
    TOOLS,
    configuration,
    read_answer,
    request_headers,
    route,
    world,
)

STOP_S = 8.0
"""Time from the request to stop until the platform kills the process."""
LONG_MS = 30_000


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_taken_late_in_a_planned_stop_are_cut_without_an_answer(
        self,
    ) -> None:
        """Guards against LOST at the end of the grace period."""
        async with world() as made:
            routes = [route("pay", "non_idempotent", TOOLS, timeoutMs=LONG_MS)]
            made.configure(configuration(2, routes=routes))
            await asyncio.sleep(0.2)
            for replica in made.replicas.values():
                replica.work_s = 60.0
            gateway = made.gateways[0]
            loop = asyncio.get_running_loop()
            before = asyncio.ensure_future(
                made.call("/pay/before", body=b"x", deadline_ms=LONG_MS)
            )
            await asyncio.sleep(0.1)
            gateway.stopping.set()
            stopped_at = loop.time()
            # The head arrives while the gateway still takes requests, the rest later.
            slow_reader, slow_writer = await asyncio.open_connection(
                HOST, gateway.ports["callers"]
            )
            await asyncio.sleep(LEAVE_NOTICE_S - 0.2)
            late = asyncio.ensure_future(
                made.call("/pay/late", body=b"x", deadline_ms=LONG_MS)
            )
            fields = {**request_headers(), "Content-Length": "2"}
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            slow_writer.write(f"POST /pay/slow HTTP/1.1\r\n{lines}\r\nx".encode())
            await asyncio.sleep(0.8)
            slow_writer.write(b"x")
            slow = await asyncio.wait_for(read_answer(slow_reader), STOP_S)
            slow_at = loop.time() - stopped_at
            slow_writer.close()
            answers = await asyncio.gather(before, late)
            elapsed_s = loop.time() - stopped_at
            ran = [
                request.target
                for replica in made.replicas.values()
                for request in replica.ran
            ]
        self.assertEqual([504, 504], [answer.status for answer in answers])
        self.assertTrue(all(answer.is_whole for answer in answers))
        self.assertLess(elapsed_s, STOP_S - STOP_MARGIN_S + 0.1)
        self.assertEqual(503, slow.status)
        self.assertIn("retry-after", slow.headers)
        self.assertLess(slow_at, LEAVE_NOTICE_S + 1.0)
        self.assertEqual({"/pay/before", "/pay/late"}, set(ran))
