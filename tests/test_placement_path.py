"""The plug-in ``expected_cost`` in a gateway process, with engines and tools."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from carobspur.gateway.placement import Need
from carobspur.plugins.placement_expected_cost import ExpectedCostPlacement

from .platform_world import world


class PlacementPathTest(IsolatedAsyncioTestCase):
    async def test_requests_are_observed_from_the_choice_to_the_end(self) -> None:
        """An observation that stays open would make its endpoint look full for ever."""
        seen = []
        real = ExpectedCostPlacement.observe

        def _observe(policy, endpoint, need, health, now):
            seen.append((policy, endpoint, health, need))
            return real(policy, endpoint, need, health, now)

        with mock.patch.object(ExpectedCostPlacement, "observe", _observe):
            async with world(tools=2) as deployment:
                deployment.start_gateway(policy="expected_cost")
                await deployment.until_ready()
                answers = await asyncio.gather(
                    *(
                        deployment.call(
                            path,
                            via=1,
                            body=b"x",
                            program_id=f"p{number}",
                            token_usage="600,16",
                            prompt_prefix="s:500,t:100",
                        )
                        for number in range(6)
                        for path in ("/walk/x", "/read/x")
                    )
                )
                lines = deployment.gateways[1].lines
        self.assertEqual({200}, {item.status for item in answers})
        sent = [item for item in lines if item["event"] == "sent"]
        self.assertTrue(all(item["expected_ms"] > 0 for item in sent))
        turns = [need for *_, need in seen if need.is_turn]
        self.assertEqual(6, len(turns))
        self.assertEqual({("s", "t")}, {_ids(need) for need in turns})
        for policy, endpoint, health, need in seen:
            view = policy.explain([endpoint], need, health, 1e9).chosen.view
            self.assertEqual((0, 0.0), (view.own_requests, view.own_work_ms))


def _ids(need: Need) -> tuple[str, ...]:
    return tuple(part.id for part in need.prompt_parts)
