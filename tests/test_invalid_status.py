"""An answer whose status is none is not passed on, and not waited for."""

from __future__ import annotations

import time
import unittest

from carobspur_standins.platform_replica import AnswerEnd, ScriptedAnswer

from .platform_world import ENGINES, TOOLS, CallerAnswer, World, world

LIMIT_S = 1.0
"""Far below the deadline of three seconds."""


def answer(status: str, fields: str = "") -> bytes:
    """Return a signed answer with a status line and a short body."""
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nResponse-Signature: x\r\n{fields}"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()


INVALID = ("000 None", "0 None", "00 None", "099 Low", "600 High", "999 High")


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    async def _call(
        self, made: World, service: str, path: str, text: bytes, end: AnswerEnd
    ) -> tuple[CallerAnswer, float]:
        replica = next(
            item for item in made.replicas.values() if item.service == service
        )
        replica.scripts.append(ScriptedAnswer(text, end))
        started = time.monotonic()
        found = await made.call(path, deadline_ms=3000)
        return found, time.monotonic() - started

    async def test_status_000_reaches_the_caller_as_an_answer(self) -> None:
        """Guards against MIXED, and against callers held until their deadline."""
        for service, path in ((TOOLS, "/pay/x"), (ENGINES, "/walk/x")):
            for end in (AnswerEnd.KEEP, AnswerEnd.CLOSE):
                for status in INVALID:
                    with self.subTest(path=path, end=end, status=status):
                        async with world() as made:
                            found, taken_s = await self._call(
                                made, service, path, answer(status), end
                            )
                        if service == TOOLS:
                            self.assertEqual(502, found.status)
                        else:
                            self.assertIn(found.status, (200, 502))
                            self.assertNotIn(b"hi", found.body)
                        if found.status == 502:
                            self.assertNotIn("response-signature", found.headers)
                        self.assertLess(taken_s, LIMIT_S)

    async def test_a_repeatable_call_is_sent_to_another_endpoint(self) -> None:
        async with world(tools=2) as made:
            for replica in made.replicas.values():
                if replica.service == TOOLS:
                    replica.scripts.append(ScriptedAnswer(answer("000 None")))
                    break
            statuses = [(await made.call("/read/x")).status for _ in range(4)]
        self.assertEqual([200] * 4, statuses)
