"""An endpoint that stops in the middle of a head has given no answer."""

from __future__ import annotations

import unittest

from carobspur_standins.platform_replica import AnswerEnd, ScriptedAnswer

from .platform_world import ENGINES, TOOLS, world

FIELDS = b"Request-Id: {id}\r\nResponse-Signature: x\r\n"
PLAIN = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 12\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class CutHeadsTest(unittest.IsolatedAsyncioTestCase):
    async def _check(self, service: str, path: str, head: bytes) -> None:
        async with world() as made:
            (replica,) = [
                item for item in made.replicas.values() if item.service == service
            ]
            for end in (AnswerEnd.CLOSE, AnswerEnd.RESET):
                # Resets take longer, and each place is tried with a close.
                step = 1 if end is AnswerEnd.CLOSE else 9
                for length in range(0, len(head), step):
                    replica.scripts.append(ScriptedAnswer(head[:length], end))
                    answer = await made.call(path, body=b"x")
                    with self.subTest(end=end, head=head[:length]):
                        self.assertEqual(502, answer.status)
                        self.assertNotIn("response-signature", answer.headers)

    async def test_cut_head_of_a_plain_answer_looks_like_an_empty_answer(self) -> None:
        """Guards against MIXED: a 200 that is framed as whole."""
        await self._check(TOOLS, "/pay/x", PLAIN)

    async def test_cut_head_of_an_unframed_answer_looks_like_an_empty_answer(
        self,
    ) -> None:
        """Guards against a body that seems to end with its connection."""
        await self._check(TOOLS, "/pay/x", UNFRAMED)

    async def test_cut_head_of_a_stream_looks_like_its_end(self) -> None:
        """Guards against ORDER: a stream that ends as complete before its events."""
        await self._check(ENGINES, "/chat/x", STREAM)
