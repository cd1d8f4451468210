"""Endpoints that send bytes without end.

Their connections must be closed in time, within bounded memory, and without delaying
other requests.
"""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given
from hypothesis import strategies as st

from carobspur.gateway.answer_limits import AnswerLimits, BufferedAnswers
from carobspur.gateway.events import EventSplitter, EventTooLongError
from carobspur_standins.platform_replica import ReplicaStandin

from .floods import Flood, FloodingEndpoint, flooding_endpoint, measured_resources
from .platform_world import (
    ENGINES,
    TOOLS,
    World,
    call,
    configuration,
    request_headers,
    route,
    world,
)

MIB = 1024 * 1024
MAX_EXTRA_BYTES = 40 * MIB
"""A gateway has at least 205 MB of memory and needs 25 MB itself; several endpoints may
flood it at the same time."""
MAX_LOOP_PAUSE_S = 0.05
"""A twentieth of the time after which peers consider a silent gateway dead."""
DEADLINE_MS = 3000
MAX_ANSWER_S = 2.0
"""Well before the deadline: a size limit and not the deadline must end the request."""
PLAIN_FLOODS = [item for item in Flood if item not in (Flood.EVENT, Flood.EVENTS)]
STREAM_FLOODS = [item for item in Flood if item not in (Flood.LENGTH, Flood.CHUNKS)]


def register(
    deployment: World, endpoint: FloodingEndpoint, service: str
) -> ReplicaStandin:
    """Register a flooding endpoint as a replica of a service."""
    replica = ReplicaStandin(f"i-flood-{endpoint.port}", service)
    deployment.replica_ports[replica.id] = endpoint.port
    deployment.register(replica)
    return replica


async def use_only(deployment: World, endpoint: FloodingEndpoint, service: str) -> None:
    """Register a flooding endpoint and remove all others of its service."""
    for replica in deployment.replicas.values():
        if replica.service == service:
            deployment.unregister(replica)
    register(deployment, endpoint, service)
    await asyncio.sleep(0.1)


class FloodsTest(IsolatedAsyncioTestCase):
    async def test_run_once_call_fails_in_time(self) -> None:
        for flood in PLAIN_FLOODS:
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                await self._check_request_ends(endpoint, TOOLS, "/pay/a")

    async def test_stream_fails_in_time(self) -> None:
        for flood in STREAM_FLOODS:
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                await self._check_request_ends(endpoint, ENGINES, "/chat/a")

    async def _check_request_ends(
        self, endpoint: FloodingEndpoint, service: str, path: str
    ) -> None:
        loop = asyncio.get_running_loop()
        async with world() as deployment:
            await use_only(deployment, endpoint, service)
            async with measured_resources() as usage:
                started = loop.time()
                answer = await deployment.call(
                    path, body=b"x", program_id="p", deadline_ms=DEADLINE_MS
                )
                elapsed_s = loop.time() - started
            failed = deployment.gateways[0].events("failed")
            reasons = [line["reason"] for line in failed]
        # A stream that has begun is cut; it must not appear complete.
        self.assertTrue(answer.status == 502 or not answer.is_whole, answer.status)
        self.assertLess(elapsed_s, MAX_ANSWER_S)
        self.assertLess(usage.peak_bytes, MAX_EXTRA_BYTES)
        self.assertLess(usage.longest_pause_s, MAX_LOOP_PAUSE_S)
        self.assertEqual(1, len(reasons))

    async def test_idempotent_call_is_served_by_another_endpoint(self) -> None:
        for flood in PLAIN_FLOODS:
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                async with world() as deployment:
                    register(deployment, endpoint, TOOLS)
                    await asyncio.sleep(0.1)
                    answers = [
                        await deployment.call(
                            f"/read/{number}", deadline_ms=DEADLINE_MS
                        )
                        for number in range(12)
                    ]
                self.assertEqual([200] * 12, [item.status for item in answers])
                self.assertGreater(endpoint.requests, 0)

    async def test_other_requests_are_served_in_time_during_a_flood(self) -> None:
        loop = asyncio.get_running_loop()

        async def elapsed_s(deployment: World) -> float:
            started = loop.time()
            answer = await deployment.call(
                "/walk/a", body=b"x", deadline_ms=DEADLINE_MS
            )
            self.assertEqual((200, True), (answer.status, answer.is_whole))
            return loop.time() - started

        for flood in (Flood.VALUE, Flood.CHUNKS, Flood.STRAY):
            with self.subTest(flood), flooding_endpoint(flood) as endpoint:
                async with world() as deployment:
                    await use_only(deployment, endpoint, TOOLS)
                    floods = [
                        asyncio.ensure_future(deployment.call("/pay/a", body=b"x"))
                        for _ in range(3)
                    ]
                    times = await asyncio.gather(
                        *(elapsed_s(deployment) for _ in range(20))
                    )
                    await asyncio.gather(*floods)
                self.assertLess(max(times), MAX_ANSWER_S)

    async def test_slow_endless_answer_fails_by_the_deadline(self) -> None:
        with flooding_endpoint(Flood.VALUE, pause_s=0.3) as endpoint:
            async with world() as deployment:
                await use_only(deployment, endpoint, TOOLS)
                started = asyncio.get_running_loop().time()
                answer = await deployment.call("/pay/a", body=b"x", deadline_ms=500)
                elapsed_s = asyncio.get_running_loop().time() - started
        self.assertIn(answer.status, (502, 504))
        self.assertLess(elapsed_s, MAX_ANSWER_S)

    async def test_twenty_endless_bodies_at_once_stay_within_the_memory_limit(
        self,
    ) -> None:
        limits = AnswerLimits()
        with ExitStack() as stack:
            endpoint = stack.enter_context(flooding_endpoint(Flood.LENGTH))
            async with world() as deployment:
                # The memory limit must end the answers, not the deadline, even on a
                # busy machine.
                long_route = route("pay", "non_idempotent", TOOLS, timeoutMs=30_000)
                deployment.configure(configuration(2, routes=[long_route]))
                await use_only(deployment, endpoint, TOOLS)
                port = deployment.gateways[0].ports["callers"]
                async with measured_resources() as usage:
                    answers = await asyncio.gather(
                        *(
                            call(
                                port,
                                f"/pay/{number}",
                                body=b"x",
                                headers=request_headers(deadline_ms=30_000),
                            )
                            for number in range(20)
                        )
                    )
        self.assertEqual({502}, {answer.status for answer in answers})
        # Each connection also holds one unparsed piece, and buffers grow by copying.
        self.assertLess(usage.peak_bytes, 2 * limits.answers_bytes)


class BufferedAnswersTest(TestCase):
    def test_small_answers_may_continue_beside_endless_ones(self) -> None:
        buffered = BufferedAnswers(AnswerLimits(answer_bytes=60, answers_bytes=100))
        for answer in ("endless", "large", "small"):
            buffered.add(answer)
        self.assertEqual("", buffered.update("endless", 50))
        self.assertEqual("", buffered.update("large", 45))
        self.assertEqual("", buffered.update("small", 10))
        self.assertIn("all answers", buffered.update("large", 46))
        self.assertEqual("", buffered.update("small", 30))

    def test_single_answer_has_its_own_limit(self) -> None:
        buffered = BufferedAnswers(AnswerLimits(answer_bytes=60, answers_bytes=100))
        buffered.add("endless")
        self.assertEqual("", buffered.update("endless", 60))
        self.assertIn("over 60 bytes", buffered.update("endless", 61))
        buffered.remove("endless")
        self.assertEqual(0, buffered.total_bytes)


class SplitterTest(TestCase):
    @given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=8))
    def test_any_split_of_a_stream_gives_the_same_events(
        self, data: bytes, cuts: list[int]
    ) -> None:
        data = data.replace(b"\x00", b"\n\n")
        unsplit = EventSplitter()
        expected = list(unsplit.feed(data))
        splitter = EventSplitter()
        found = []
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for first, end in zip(edges, edges[1:], strict=False):
            found += splitter.feed(data[first:end])
        self.assertEqual(expected, found)
        self.assertEqual(unsplit.rest, splitter.rest)

    @given(st.lists(st.binary(min_size=1, max_size=40), max_size=30))
    def test_no_input_makes_the_buffer_exceed_its_limit(
        self, pieces: list[bytes]
    ) -> None:
        splitter = EventSplitter(max_bytes=64)
        for piece in pieces:
            try:
                list(splitter.feed(piece))
            except EventTooLongError:
                return
            self.assertLessEqual(len(splitter.rest), 64)
