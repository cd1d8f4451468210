"""A replica writes an earlier refusal once more on a connection that is reused."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from carobspur_standins.platform_replica import ReplicaFault, ReplicaStandin

from .platform_world import ENGINES, TOOLS, CallerAnswer, World, world

PATHS = {TOOLS: "/pay/a", ENGINES: "/chat/a"}
REFUSALS = (ReplicaFault.FULL, ReplicaFault.FULL_UNNAMED)


def _replicas(deployment: World, service: str) -> list[ReplicaStandin]:
    return [r for r in deployment.replicas.values() if r.service == service]


class RepeatedRefusalTest(IsolatedAsyncioTestCase):
    async def test_repeated_refusal_is_no_answer_to_a_request_that_runs(self) -> None:
        """Guards against 'not run' for requests that a replica runs."""
        for service, path in PATHS.items():
            for refusal in REFUSALS:
                with self.subTest(service=service, refusal=refusal):
                    async with world() as deployment:
                        (replica,) = _replicas(deployment, service)
                        replica.faults.extend([refusal, ReplicaFault.REFUSED_AGAIN])
                        refused = await deployment.call(path, body=b"x")
                        answer = await deployment.call(path, body=b"x")
                    self.assertEqual(503, refused.status)
                    self.assertEqual((1, 1), (replica.connections, len(replica.ran)))
                    self._check_not_refused(answer, refusal)

    async def test_request_that_runs_is_not_sent_to_a_second_replica(self) -> None:
        """Guards against two runs of a request that may run once."""
        for service, path in PATHS.items():
            for refusal in REFUSALS:
                with self.subTest(service=service, refusal=refusal):
                    async with world(tools=2, engines=2) as deployment:
                        replicas = _replicas(deployment, service)
                        for replica in replicas:
                            replica.faults.append(refusal)
                        await deployment.call(path, body=b"x")
                        for replica in replicas:
                            replica.faults.append(ReplicaFault.REFUSED_AGAIN)
                        answer = await deployment.call(path, body=b"x")
                        runs = sum(len(replica.ran) for replica in replicas)
                    self.assertEqual(1, runs)
                    self._check_not_refused(answer, refusal)

    async def test_replica_stand_in_repeats_a_refusal_on_a_new_connection(self) -> None:
        """No id tells it from a refusal of that connection's only request.

        Guards against soaks that complain of two runs, as with the seeds 6045 and 6048.
        """
        for refusal in REFUSALS:
            with self.subTest(refusal=refusal):
                async with world(gateways=2, tools=1) as deployment:
                    (replica,) = _replicas(deployment, TOOLS)
                    replica.faults.extend([refusal, ReplicaFault.REFUSED_AGAIN])
                    refused = await deployment.call("/pay/a", body=b"x", via=0)
                    answer = await deployment.call("/pay/b", body=b"x", via=1)
                self.assertEqual([503, 200], [refused.status, answer.status])
                self.assertEqual((2, 1), (replica.connections, len(replica.ran)))

    def _check_not_refused(self, answer: CallerAnswer, refusal: ReplicaFault) -> None:
        """Check that a request that ran is answered, or that nothing is promised."""
        expected = 200 if refusal is ReplicaFault.FULL else 502
        self.assertEqual(expected, answer.status)
