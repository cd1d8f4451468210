"""Streams that break off and are resumed: callers receive one run of an engine."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from carobspur_standins.platform_replica import (
    AnswerEnd,
    ReplicaFault,
    ReplicaStandin,
    ScriptedAnswer,
)

from .platform_world import ENGINES, CallerAnswer, World, configuration, route, world

SIGNED = b"Request-Id: {id}\r\nResponse-Signature: s\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
FAILURES = {
    "error": b"HTTP/1.1 500 Error\r\n" + SIGNED + b"Content-Length: 6\r\n\r\noops\n\n",
    "error that looks like events": b"HTTP/1.1 500 Error\r\n"
    + SIGNED
    + STREAM
    + b"Content-Length: 22\r\n\r\nid: 4\ndata: token 4\n\n",
    "not found": b"HTTP/1.1 404 Not Found\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n",
    "redirection": b"HTTP/1.1 302 Found\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n",
    "error text with a good status": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Type: text/plain\r\nContent-Length: 12\r\n\r\nout of mem\n\n",
    "empty text with a good status": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Length: 0\r\n\r\n",
    "error text in a stream": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + STREAM
    + b"Content-Length: 19\r\n\r\nerror: no memory.\n\n",
    "head in a stream": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + STREAM
    + b"Content-Length: 30\r\n\r\nHTTP/1.1 500 Error\nX: y\n\noops\n",
    "unsigned stream": b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
    + STREAM
    + b"Content-Length: 22\r\n\r\nid: 4\ndata: token 4\n\n",
    "refusal": b"HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
    b"Content-Length: 5\r\n\r\nfull\n",
    "no answer in the protocol": b"oops\r\n\r\n",
}
"""Answers of a replica that fails to resume a stream, by what they are."""


async def _add_route_with_history(deployment: World) -> None:
    """Configure ``/both/``, which keeps history and may be resumed."""
    both = route(
        "both",
        "streaming",
        ENGINES,
        keepsHistory=True,
        resumable=True,
        retentionS=60,
    )
    routes = [*configuration()["routes"], both]
    deployment.configure(configuration(2, routes=routes))
    await asyncio.sleep(0.1)


def _engine(deployment: World) -> ReplicaStandin:
    return next(r for r in deployment.replicas.values() if r.service == ENGINES)


def _output(answer: CallerAnswer) -> list[bytes]:
    """Return the data of each event of a stream."""
    lines = answer.body.split(b"\n")
    return [line.removeprefix(b"data: ") for line in lines if line.startswith(b"data")]


class HistoryTest(IsolatedAsyncioTestCase):
    async def test_resumed_turn_is_one_run_and_stored_as_the_caller_received_it(
        self,
    ) -> None:
        """Guards against events of two runs in one stream."""
        async with world() as deployment:
            await _add_route_with_history(deployment)
            engine = _engine(deployment)
            engine.samples = True
            engine.faults.append(ReplicaFault.CUT)
            answer = await deployment.call(
                "/both/a", body=b"first;", program_id="p", request_id="t1"
            )
            await deployment.call(
                "/both/a", body=b"second;", program_id="p", previous_turn="t1"
            )
            bodies = [request.body for request in engine.ran]
            resumed_after = engine.ran[1].headers.get("last-event-id")
        output = _output(answer)
        self.assertTrue(answer.is_whole)
        self.assertEqual([b"1", b"2", b"3", b"4"], [item.split()[1] for item in output])
        self.assertEqual(1, len({item.split()[0] for item in output}), output)
        self.assertEqual("3", resumed_after)
        stored = b"first;" + b"".join(item + b"\n" for item in output)
        self.assertEqual([b"first;", b"first;", stored + b"second;"], bodies)

    async def test_caller_that_resumes_a_stored_turn_is_refused_and_served_anew(
        self,
    ) -> None:
        """Guards against a turn whose events belong to two requests."""
        async with world() as deployment:
            await _add_route_with_history(deployment)
            engine = _engine(deployment)
            refused = await deployment.call(
                "/both/a", body=b"first;", program_id="p", last_event_id=2
            )
            sent = len(engine.seen)
            served = await deployment.call("/both/a", body=b"first;", program_id="p")
        self.assertEqual((503, 0), (refused.status, sent))
        self.assertEqual((200, True), (served.status, served.is_whole))


class WithoutHistoryTest(IsolatedAsyncioTestCase):
    async def test_engine_that_starts_again_is_not_forwarded(self) -> None:
        """Guards against events that come twice, from two runs."""
        async with world() as deployment:
            engine = _engine(deployment)
            engine.restarts = True
            engine.faults.append(ReplicaFault.CUT)
            answer = await deployment.call("/walk/a", body=b"prompt")
            log = deployment.gateways[0].events("sent")
        self.assertFalse(answer.is_whole)
        self.assertEqual([b"token 1", b"token 2", b"token 3"], _output(answer))
        self.assertIn("the engine did not resume the stream", log[-1]["reason"])

    async def test_stream_without_event_ids_is_not_resumed(self) -> None:
        """Guards against a second run from the start behind events of the first."""
        async with world() as deployment:
            engine = _engine(deployment)
            engine.numbers_events = False
            engine.faults.append(ReplicaFault.CUT)
            answer = await deployment.call("/walk/a", body=b"prompt")
            runs = len(engine.ran)
        self.assertFalse(answer.is_whole)
        self.assertEqual([b"token 1", b"token 2", b"token 3"], _output(answer))
        self.assertEqual(1, runs)

    async def test_failure_to_resume_is_not_forwarded_into_the_stream(self) -> None:
        """Guards against error texts in a stream, or a stream that looks complete."""
        for name, failure in FAILURES.items():
            with self.subTest(name):
                async with world() as deployment:
                    engine = _engine(deployment)
                    engine.faults.append(ReplicaFault.CUT)
                    engine.scripts.extend([None, *[ScriptedAnswer(failure)] * 3])
                    answer = await deployment.call("/walk/a", body=b"prompt")
                self.assertFalse(answer.is_whole)
                self.assertEqual(
                    b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3)),
                    answer.body,
                )

    async def test_stream_that_breaks_off_behind_a_comment_is_resumed(self) -> None:
        async with world() as deployment:
            engine = _engine(deployment)
            begun = b"id: 1\ndata: token 1\n\n: wait\n\n"
            head = b"HTTP/1.1 200 OK\r\n" + SIGNED + STREAM + b"\r\n"
            engine.scripts.append(ScriptedAnswer(head + begun, AnswerEnd.RESET))
            answer = await deployment.call("/walk/a", body=b"prompt")
        self.assertTrue(answer.is_whole)
        self.assertEqual([b"token %d" % n for n in range(1, 5)], _output(answer))

    async def test_comment_in_a_resumed_stream_is_forwarded(self) -> None:
        async with world() as deployment:
            engine = _engine(deployment)
            engine.faults.append(ReplicaFault.CUT)
            rest = b": wait\n\nid: 4\ndata: token 4\n\n"
            head = b"HTTP/1.1 200 OK\r\n" + SIGNED + STREAM
            length = b"Content-Length: %d\r\n\r\n" % len(rest)
            engine.scripts.extend([None, ScriptedAnswer(head + length + rest)])
            answer = await deployment.call("/walk/a", body=b"prompt")
        self.assertTrue(answer.is_whole)
        self.assertTrue(answer.body.endswith(rest))
