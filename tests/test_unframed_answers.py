"""Answers with neither length nor chunks, which end with their connection."""

from __future__ import annotations

import itertools
from unittest import IsolatedAsyncioTestCase

from carobspur_standins.platform_replica import (
    AnswerEnd,
    ReplicaStandin,
    ScriptedAnswer,
)

from .platform_world import ENGINES, TOOLS, CallerAnswer, World, world

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 5)]
STREAM = b"".join(EVENTS)
UNRESUMABLE, RESUMABLE = "/chat/a", "/walk/a"


def _replica(deployment: World, service: str) -> ReplicaStandin:
    return next(r for r in deployment.replicas.values() if r.service == service)


def _framed(text: bytes, *, is_chunked: bool) -> bytes:
    """Return the head and body of a stream, in one chunk or without any framing."""
    if not is_chunked:
        return STREAM_HEAD + b"\r\n" + text
    head = STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + (b"%x\r\n%s\r\n" % (len(text), text) if text else b"")


class PlainAnswerTest(IsolatedAsyncioTestCase):
    async def _call(self, path: str, body: bytes, end: AnswerEnd) -> CallerAnswer:
        async with world() as deployment:
            tool = _replica(deployment, TOOLS)
            tool.scripts.append(ScriptedAnswer(HEAD + b"\r\n" + body, end))
            answer = await deployment.call(path, body=b"x")
            self.runs = len(tool.ran)
        return answer

    async def test_answer_that_ends_with_its_connection_is_whole(self) -> None:
        for body in (b"done", b""):
            with self.subTest(body):
                answer = await self._call("/pay/a", body, AnswerEnd.CLOSE)
                self.assertEqual((200, True), (answer.status, answer.is_whole))
                self.assertEqual((body, "s"), (answer.body, _signature(answer)))

    async def test_answer_whose_connection_is_reset_is_not_whole(self) -> None:
        for body in (b"done", b""):
            with self.subTest(body):
                answer = await self._call("/pay/a", body, AnswerEnd.RESET)
                self.assertEqual((502, ""), (answer.status, _signature(answer)))
                self.assertEqual(1, self.runs)

    async def test_idempotent_call_is_repeated_after_a_reset(self) -> None:
        async with world(tools=2) as deployment:
            tools = [r for r in deployment.replicas.values() if r.service == TOOLS]
            for tool in tools:
                script = ScriptedAnswer(HEAD + b"\r\ndo", AnswerEnd.RESET)
                tool.scripts.extend([script] if tool is tools[0] else [])
            answers = [await deployment.call("/read/a") for _ in range(4)]
        self.assertEqual([200] * 4, [answer.status for answer in answers])
        self.assertTrue(all(b"ran /read/a" in answer.body for answer in answers))


class StreamTest(IsolatedAsyncioTestCase):
    async def _call(
        self, path: str, text: bytes, end: AnswerEnd, *, is_chunked: bool = False
    ) -> CallerAnswer:
        async with world() as deployment:
            engine = _replica(deployment, ENGINES)
            engine.scripts.append(
                ScriptedAnswer(_framed(text, is_chunked=is_chunked), end)
            )
            answer = await deployment.call(path, body=b"prompt", program_id="p")
            self.runs = len(engine.ran)
        return answer

    async def test_unframed_stream_that_ends_with_its_connection_is_whole(self) -> None:
        for path in (UNRESUMABLE, RESUMABLE):
            with self.subTest(path):
                answer = await self._call(path, STREAM, AnswerEnd.CLOSE)
                self.assertEqual((200, True), (answer.status, answer.is_whole))
                self.assertEqual((STREAM, 1), (answer.body, self.runs))

    async def test_broken_stream_does_not_look_complete(self) -> None:
        """Guards against a stream without its last events that ends as complete."""
        for text, end, is_chunked in self._broken():
            with self.subTest(text=text, end=end, is_chunked=is_chunked):
                answer = await self._call(UNRESUMABLE, text, end, is_chunked=is_chunked)
                events = text[: text.rfind(b"\n\n") + 2] if b"\n\n" in text else b""
                self.assertEqual(1, self.runs)
                if events:
                    self.assertFalse(answer.is_whole)
                    self.assertEqual((200, events), (answer.status, answer.body))
                else:
                    self.assertEqual(502, answer.status)

    async def test_broken_stream_is_resumed_where_it_may_be(self) -> None:
        for text, end, is_chunked in self._broken():
            with self.subTest(text=text, end=end, is_chunked=is_chunked):
                answer = await self._call(RESUMABLE, text, end, is_chunked=is_chunked)
                self.assertEqual((200, True), (answer.status, answer.is_whole))
                self.assertEqual((STREAM, 2), (answer.body, self.runs))

    def _broken(self) -> list[tuple[bytes, AnswerEnd, bool]]:
        """Return bodies of streams, how they end, and whether they are chunked.

        All have broken off: by a reset, inside an event, or before the first one.
        """
        texts = {
            "none": b"",
            "inside the first event": EVENTS[0][:9],
            "behind the first event": EVENTS[0],
            "inside the second event": EVENTS[0] + EVENTS[1][:-1],
        }
        ends = (AnswerEnd.CLOSE, AnswerEnd.RESET)
        return [
            (text, end, is_chunked)
            for text, end, is_chunked in itertools.product(
                texts.values(), ends, (False, True)
            )
            # Nothing shows that this one has broken off.
            if (text, end, is_chunked) != (EVENTS[0], AnswerEnd.CLOSE, False)
        ]


def _signature(answer: CallerAnswer) -> str:
    return answer.headers.get("response-signature", "")
