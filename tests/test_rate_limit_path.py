"""Rate limits of customers at real gateways that exchange datagrams."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from .platform_world import CallerAnswer, World, configuration, world
from .ports import HOST

RATE_PER_S = 5.0
BURST = 10.0
KEY = "limited-key"
FREE_KEY = "free-key"
GATEWAYS = 3
SETTLE_S = 2.0
"""Time until shares are delegated; the owner of a limit then accrues tokens."""


def tenants() -> list[dict]:
    """Return a customer with a limit and one without."""
    return [
        {"name": "limited", "apiKeys": [KEY], "ratePerS": RATE_PER_S, "burst": BURST},
        {"name": "free", "apiKeys": [FREE_KEY]},
    ]


async def send_evenly(deployment: World, count: int, key: str) -> list[CallerAnswer]:
    """Send requests at once, in turn to all gateways."""
    calls = [
        deployment.call(
            f"/read/{number}", via=number % GATEWAYS, authorization=f"Bearer {key}"
        )
        for number in range(count)
    ]
    return await asyncio.gather(*calls)


class RateLimitPathTest(IsolatedAsyncioTestCase):
    async def test_all_gateways_together_admit_the_limit(self) -> None:
        # Guards against a limit that each gateway applies for itself: 482 requests of a
        # customer were passed on in 5 s where 416 were allowed.
        async with world(gateways=GATEWAYS) as deployment:
            deployment.configure(configuration(2, tenants=tenants()))
            await asyncio.sleep(SETTLE_S)
            began = asyncio.get_running_loop().time()
            answers = await send_evenly(deployment, 90, KEY)
            elapsed_s = asyncio.get_running_loop().time() - began
            lines = [
                line
                for item in deployment.gateways
                for line in item.events("over_limit")
            ]
            owners = {f"{HOST}:{item.ports['callers']}" for item in deployment.gateways}
            seen = sum(len(item.seen) for item in deployment.replicas.values())
        statuses = [item.status for item in answers]
        self.assertEqual({200, 429}, set(statuses))
        self.assertLessEqual(seen, (RATE_PER_S * elapsed_s + BURST) * 1.1 + 20)
        self.assertGreaterEqual(statuses.count(200), 3)
        refused = [item for item in answers if item.status == 429]
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        # The log of a refusal leads to what decided it.
        self.assertEqual(len(refused), len(lines))
        self.assertEqual({"limited"}, {line["customer"] for line in lines})
        self.assertLessEqual({line["owner"] for line in lines}, owners)

    async def test_customer_without_a_limit_is_not_refused(self) -> None:
        async with world(gateways=GATEWAYS) as deployment:
            deployment.configure(configuration(2, tenants=tenants()))
            await asyncio.sleep(SETTLE_S)
            answers = await send_evenly(deployment, 60, FREE_KEY)
        self.assertEqual({200}, {item.status for item in answers})

    async def test_customer_below_its_limit_is_served_by_every_gateway(self) -> None:
        # Guards against shares of the limit that are too small for the requests that
        # happen to arrive at one gateway.
        async with world(gateways=GATEWAYS) as deployment:
            deployment.configure(configuration(2, tenants=tenants()))
            await asyncio.sleep(SETTLE_S)
            statuses = []
            for number in range(9):
                answer = await deployment.call(
                    "/read/a", via=number % GATEWAYS, authorization=f"Bearer {KEY}"
                )
                statuses.append(answer.status)
                await asyncio.sleep(1 / RATE_PER_S)
        self.assertEqual([200] * 9, statuses)

    async def test_lowered_limit_is_applied(self) -> None:
        async with world(gateways=GATEWAYS) as deployment:
            deployment.configure(configuration(2, tenants=tenants()))
            await asyncio.sleep(SETTLE_S)
            lowered = [{**tenants()[0], "ratePerS": 0.1, "burst": 1}]
            deployment.configure(configuration(3, tenants=lowered))
            await asyncio.sleep(0.3)
            await send_evenly(deployment, 30, KEY)
            answers = await send_evenly(deployment, 30, KEY)
        self.assertEqual({429}, {item.status for item in answers})
