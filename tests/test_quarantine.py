"""A request that crashes endpoints is recognized and kept away from the others."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from carobspur.gateway.calls import Call
from carobspur.gateway.quarantine.crash_history import (
    ANSWERED_TTL_S,
    CRASH_TTL_S,
    MAX_CRASHES,
    MAX_SUSPECTS,
    RECOVERY_S,
    CrashHistory,
    Progress,
)
from carobspur.gateway.quarantine.request_identity import RequestIdentity
from carobspur_standins.platform_replica import ReplicaFault

from .platform_world import ENGINES, TOOLS, CallerAnswer, World, world

GUILTY = 1
SERVICE = 9
DEADLY = b"deadly"


def identity(number: int, target: int = 0) -> RequestIdentity:
    """Return the identity of a request, by default with a target of its own."""
    return RequestIdentity(number, target or 10**6 + number)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = CrashHistory()
        self.endpoints = 0

    def crash(self, at: float, requests: dict[int, Progress]) -> None:
        self.endpoints += 1
        identities = {
            identity(number): progress for number, progress in requests.items()
        }
        self.history.record(
            self.endpoints, SERVICE, at, requests=identities, reporter="a"
        )

    def is_quarantined(self, number: int, now: float) -> bool:
        verdict = self.history.verdict(identity(number), now)
        return verdict.quarantined_until is not None

    def test_two_crashes_as_the_only_request_without_output_convict(self) -> None:
        self.crash(0.0, {GUILTY: Progress.BEGUN, 5: Progress.PRODUCING})
        self.assertFalse(self.is_quarantined(GUILTY, 0.1))
        self.assertTrue(self.history.verdict(identity(GUILTY), 0.1).is_suspected)
        self.crash(1.0, {GUILTY: Progress.BEGUN, 6: Progress.SENT})
        self.assertTrue(self.is_quarantined(GUILTY, 1.1))

    def test_requests_that_were_merely_there_are_not_convicted(self) -> None:
        """Guards against refusing the callers whom the crashes hit as well."""
        rng = random.Random(48)
        for number in range(12):
            # The callers of lost requests send them again, to the next endpoint.
            innocent = {
                request: rng.choice((Progress.SENT, Progress.PRODUCING))
                for request in rng.sample(range(10, 40), 8)
            }
            self.crash(0.5 * number, innocent | {GUILTY: Progress.BEGUN})
            if self.is_quarantined(GUILTY, 0.5 * number):
                break
        self.assertLessEqual(number, 2)
        convicted = [item for item in range(10, 40) if self.is_quarantined(item, 6.0)]
        self.assertEqual([], convicted)

    def test_a_request_that_gives_output_first_is_convicted_if_it_was_alone(
        self,
    ) -> None:
        for number in range(2):
            self.crash(number, {GUILTY: Progress.PRODUCING})
        self.assertTrue(self.is_quarantined(GUILTY, 2.0))

    def test_crashes_for_other_reasons_convict_nobody_who_is_answered(self) -> None:
        self.crash(0.0, {GUILTY: Progress.BEGUN})
        self.assertTrue(self.history.acquit(identity(GUILTY), 0.5))
        self.crash(1.0, {GUILTY: Progress.BEGUN})
        self.assertFalse(self.is_quarantined(GUILTY, 1.1))
        self.assertFalse(self.history.acquit(identity(77), 1.1))

    def test_a_target_of_acquitted_requests_cuts_the_next_caller(self) -> None:
        """Guards against a division by zero long after a crash, as LOST."""
        self.crash(0.0, {GUILTY: Progress.BEGUN})
        self.history.acquit(identity(GUILTY), 1.0)
        verdict = self.history.verdict(identity(GUILTY), 2.0 + ANSWERED_TTL_S)
        self.assertFalse(verdict.is_suspected)

    def test_a_report_that_comes_late_divides_the_blame(self) -> None:
        for endpoint in (1, 2):
            for request in (GUILTY, 20 + endpoint, 30 + endpoint):
                self.history.record(
                    endpoint,
                    SERVICE,
                    0.0,
                    requests={identity(request): Progress.BEGUN},
                    reporter=f"gateway-{request}",
                )
        verdict = self.history.verdict(identity(GUILTY), 0.1)
        self.assertEqual(2, verdict.crashes)
        self.assertAlmostEqual(2 / 3, verdict.blame)
        self.assertIsNone(verdict.quarantined_until)
        self.assertEqual(5, len(verdict.reporters))

    def test_quarantine_ends_and_is_doubled_by_the_next_crash(self) -> None:
        for _ in range(2):
            self.crash(0.0, {GUILTY: Progress.BEGUN})
        self.assertTrue(self.is_quarantined(GUILTY, 0.9 * CRASH_TTL_S))
        self.assertFalse(self.is_quarantined(GUILTY, 1.1 * CRASH_TTL_S))
        self.crash(1.2 * CRASH_TTL_S, {GUILTY: Progress.BEGUN})
        self.assertTrue(self.is_quarantined(GUILTY, 3.0 * CRASH_TTL_S))
        self.assertFalse(self.is_quarantined(GUILTY, 3.3 * CRASH_TTL_S))

    def test_a_request_whose_body_changes_a_little_is_convicted_by_its_target(
        self,
    ) -> None:
        """Guards against BUDGET: crashes under bodies of different lengths."""
        for number in range(3):
            self.history.record(
                number,
                SERVICE,
                float(number),
                requests={identity(50 + number, target=7): Progress.BEGUN},
                reporter="a",
            )
        verdict = self.history.verdict(identity(60, target=7), 3.0)
        self.assertIsNotNone(verdict.quarantined_until)
        self.assertTrue(verdict.is_target)
        self.assertFalse(self.is_quarantined(60, 3.0))

    def test_a_target_whose_requests_are_answered_is_never_convicted(self) -> None:
        """Guards against refusing all callers of a path for one of its requests."""
        for number in range(8):
            now = float(number)
            self.history.acquit(identity(100 + number, target=7), now)
            self.history.record(
                number,
                SERVICE,
                now,
                requests={identity(GUILTY, target=7): Progress.BEGUN},
                reporter="a",
            )
            other = self.history.verdict(identity(200, target=7), now + 0.1)
            self.assertFalse(other.is_suspected)
        guilty = self.history.verdict(identity(GUILTY, target=7), 8.0)
        self.assertIsNotNone(guilty.quarantined_until)
        self.assertFalse(guilty.is_target)

    def test_memory_is_bounded(self) -> None:
        for number in range(3 * MAX_CRASHES):
            requests = range(number * 200, number * 200 + 2 * MAX_SUSPECTS)
            self.crash(0.0, dict.fromkeys(requests, Progress.SENT))
        self.assertEqual(MAX_CRASHES, len(self.history.crashes(0.0)))
        digests = len(self.history._at_crashes)
        self.assertLessEqual(digests, 2 * MAX_CRASHES * MAX_SUSPECTS)
        crowd = dict.fromkeys(range(1000, 1100), Progress.SENT)
        self.crash(0.0, crowd | {GUILTY: Progress.BEGUN})
        self.assertTrue(self.history.is_remembered(identity(GUILTY)))
        self.assertEqual([], self.history.crashes(CRASH_TTL_S))
        self.assertTrue(self.history.is_empty)

    def test_endpoints_count_as_missing_while_they_restart(self) -> None:
        self.crash(0.0, {GUILTY: Progress.BEGUN})
        self.crash(2.0, {GUILTY: Progress.BEGUN})
        recoveries = self.history.recoveries(SERVICE, 3.0)
        self.assertEqual([RECOVERY_S - 3.0, RECOVERY_S - 1.0], recoveries)
        self.assertEqual([], self.history.recoveries(SERVICE + 1, 3.0))
        self.assertEqual([2.0], self.history.recoveries(SERVICE, RECOVERY_S))


class RequestIdentityTest(unittest.TestCase):
    CALL = Call("r1", "POST", "/pay/1?x=1", "host", [("A", "1")], b"body", 0.0)

    def test_another_attempt_has_the_same_digest(self) -> None:
        again = replace(self.CALL, id="r2", headers=[("A", "2")], arrived_at=9.0)
        self.assertEqual(RequestIdentity.of(self.CALL), RequestIdentity.of(again))

    def test_other_content_or_another_caller_has_another_digest(self) -> None:
        others = [
            replace(self.CALL, method="PUT"),
            replace(self.CALL, host="other"),
            replace(self.CALL, target="/pay/1?x=2"),
            replace(self.CALL, body=b"bodY"),
            replace(self.CALL, customer="a"),
            replace(self.CALL, customer="b"),
            replace(self.CALL, key_digest=b"k"),
            replace(self.CALL, target="/pay/1?x=1\x004:", body=b""),
        ]
        digests = {RequestIdentity.of(call).request for call in [self.CALL, *others]}
        self.assertEqual(1 + len(others), len(digests))

    def test_only_the_body_does_not_count_for_the_target(self) -> None:
        target = RequestIdentity.of(self.CALL).target
        again = replace(self.CALL, id="r2", body=b"another")
        self.assertEqual(target, RequestIdentity.of(again).target)
        for other in (
            replace(self.CALL, target="/pay/2"),
            replace(self.CALL, customer="a"),
        ):
            self.assertNotEqual(target, RequestIdentity.of(other).target)


@asynccontextmanager
async def _restarting(made: World, service: str) -> AsyncIterator[list[str]]:
    """Start a new replica for each that has crashed; yields the ids of these."""
    crashed: list[str] = []

    async def restart_forever() -> None:
        while True:
            for replica in list(made.replicas.values()):
                if replica.has_crashed and replica.id not in crashed:
                    crashed.append(replica.id)
                    loop = asyncio.get_running_loop()
                    loop.call_later(0.5, made.unregister, replica)
                    fresh = await made.add_replica(service, events=replica.events)
                    fresh.crashes_on = replica.crashes_on
            await asyncio.sleep(0.01)

    task = asyncio.ensure_future(restart_forever())
    try:
        yield crashed
    finally:
        task.cancel()


class QuarantinePathTest(unittest.IsolatedAsyncioTestCase):
    """Real gateways: what a request that crashes endpoints does to all of them."""

    async def _send_again(
        self, made: World, path: str, times: int
    ) -> list[CallerAnswer]:
        answers = []
        for number in range(times):
            answers.append(
                await made.call(
                    path,
                    via=number % len(made.gateways),
                    body=DEADLY,
                    program_id=f"p{number}",
                    session_id=f"p{number}",
                )
            )
            await asyncio.sleep(0.1)
        return answers

    async def test_one_request_crashes_endpoint_after_endpoint(self) -> None:
        """Guards against BUDGET: a request that every gateway takes for a new one."""
        for path, service in (("/walk/x", ENGINES), ("/read/x", TOOLS)):
            with self.subTest(path):
                async with (
                    world(gateways=3, engines=5, tools=5) as made,
                    _restarting(made, service) as crashed,
                ):
                    for replica in made.replicas.values():
                        replica.crashes_on = DEADLY
                    answers = await self._send_again(made, path, 15)
                    self.assertLessEqual(len(crashed), 3)
                    late = answers[6:]
                    self.assertEqual({503}, {item.status for item in late})
                    for answer in late:
                        self.assertGreater(float(answer.headers["retry-after"]), 0)
                    others = [
                        await made.call(path, via=number % 3, body=b"other")
                        for number in range(9)
                    ]
                    self.assertEqual({200}, {item.status for item in others})

    async def test_a_gateway_that_starts_later_sends_the_request_again(self) -> None:
        """Guards against a quarantine that only the gateways of the time know."""
        async with (
            world(gateways=2, engines=5) as made,
            _restarting(made, ENGINES) as crashed,
        ):
            for replica in made.replicas.values():
                replica.crashes_on = DEADLY
            await self._send_again(made, "/walk/x", 8)
            before = len(crashed)
            made.start_gateway()
            await made.until_ready()
            await asyncio.sleep(1.0)
            answer = await made.call("/walk/x", via=2, body=DEADLY)
            self.assertEqual(503, answer.status)
            self.assertEqual(before, len(crashed))

    async def test_a_gateway_that_starts_later_refuses_all_requests_of_a_path(
        self,
    ) -> None:
        """Guards against a quarantine of everybody at gateways without traffic before.

        Found by the soak with seed 4956.
        """
        async with (
            world(gateways=2, engines=5) as made,
            _restarting(made, ENGINES) as crashed,
        ):
            made.start_gateway()
            await made.until_ready()
            for number in range(4):
                content = DEADLY + str(number).encode()
                for replica in made.replicas.values():
                    replica.crashes_on = content
                await made.call("/walk/x", via=number % 2, body=b"sound")
                await made.call("/walk/x", via=number % 2, body=content)
                await asyncio.sleep(0.3)
            self.assertGreaterEqual(len(crashed), 3)
            for replica in made.replicas.values():
                replica.crashes_on = b""
            made.start_gateway()
            await made.until_ready()
            await asyncio.sleep(1.0)
            for via in range(4):
                for _ in range(3):
                    answer = await made.call("/walk/x", via=via, body=b"sound")
                    self.assertEqual(200, answer.status, via)

    async def test_a_lost_request_counts_as_refused_although_its_caller_gets_502(
        self,
    ) -> None:
        async with world(gateways=1, tools=2) as made:
            for replica in made.replicas.values():
                replica.crashes_on = DEADLY
            (gateway,) = made.gateways
            lost = await made.call("/read/x", body=DEADLY)
            self.assertEqual(502, lost.status)
            self.assertEqual([], gateway.events("request_quarantined"))
            refused = await made.call("/read/x", body=DEADLY)
            self.assertEqual(503, refused.status)
            self.assertEqual(1, len(gateway.events("request_quarantined")))
            crashed = [item.has_crashed for item in made.replicas.values()]
            self.assertEqual(1, sum(crashed))

    async def test_a_suspected_request_is_told_to_wait_for_endpoints_that_are_back(
        self,
    ) -> None:
        async with world(gateways=1, tools=2) as made:
            for replica in made.replicas.values():
                replica.crashes_on = DEADLY
            await made.call("/read/x", body=DEADLY)
            early = await made.call("/read/x", body=DEADLY)
            await asyncio.sleep(1.5)
            late = await made.call("/read/x", body=DEADLY)
            self.assertEqual([503, 503], [early.status, late.status])
            waits = [float(item.headers["retry-after"]) for item in (early, late)]
            self.assertLessEqual(waits[0], RECOVERY_S)
            self.assertLessEqual(waits[1], RECOVERY_S - 1)

    async def test_lost_answers_of_running_endpoints_make_nobody_suspect(self) -> None:
        async with world(gateways=2, engines=2) as made:
            for replica in made.replicas.values():
                replica.faults.extend([ReplicaFault.LOST] * 4)
            answers = [
                await made.call("/walk/x", via=number % 2, body=b"same")
                for number in range(12)
            ]
            self.assertEqual(200, answers[-1].status)
            for gateway in made.gateways:
                self.assertEqual([], gateway.events("endpoint_crashed"))
                self.assertEqual([], gateway.events("request_quarantined"))
