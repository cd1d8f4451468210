"""Admission control end to end: settings, gateway, engine and the caller's answer."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from carobspur.gateway.admission.controller import STEP_S

from .platform_world import ENGINES, CallerAnswer, GatewayHandle, world

ENABLED = "[admission]\npolicy = programs\n"


class AdmissionPathTest(IsolatedAsyncioTestCase):
    async def _send_turns(
        self, sections: str
    ) -> tuple[list[CallerAnswer], list[str | None], GatewayHandle]:
        """Send a turn of a new program and one of a program that ended long ago.

        Returns:
            Both answers, the priorities that the engine received, and the gateway.
        """
        async with world(engines=0, sections=sections) as deployment:
            # One slot, so that each answer reports an engine that is full.
            engine = await deployment.add_replica(ENGINES, events=4, slots=1)
            answers = []
            for program, left_ms in (("p", 2000), ("q", -9000)):
                answer = await deployment.call(
                    "/chat/a",
                    body=b"a",
                    program_id=program,
                    program_deadline_ms=left_ms,
                    deadline_ms=2000,
                )
                answers.append(answer)
                await asyncio.sleep(2 * STEP_S)  # the next step takes the report in
            priorities = [seen.headers.get("request-priority") for seen in engine.seen]
            return answers, priorities, deployment.gateways[0]

    async def test_setting_enables_refusals_and_priorities_at_engines(self) -> None:
        """Guards against a policy that is named in the settings and does nothing."""
        answers, priorities, gateway = await self._send_turns(ENABLED)
        self.assertEqual([200, 503], [answer.status for answer in answers])
        self.assertGreater(float(answers[1].headers["retry-after"]), 0)
        self.assertEqual(["3"], priorities)
        (line,) = gateway.events("not_admitted")
        self.assertEqual("lost", line["reason"])

    async def test_nothing_is_refused_and_no_priority_sent_without_it(self) -> None:
        """Guards against a change for deployments that do not enable it."""
        answers, priorities, gateway = await self._send_turns("")
        self.assertEqual([200, 200], [answer.status for answer in answers])
        self.assertEqual([None, None], priorities)
        self.assertEqual([], gateway.events("not_admitted"))
