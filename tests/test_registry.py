"""How long endpoints stay in use whose registry entries have disappeared."""

from __future__ import annotations

import asyncio
import json
import logging
import unittest
from base64 import b64encode
from unittest import IsolatedAsyncioTestCase

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.endpoints import EndpointIndex
from carobspur.gateway.rows import Row, RowKey
from carobspur.platform.registry import TABLE, Registry

from .odd_entries import odd_entries
from .platform_world import TOOLS, world
from .virtual import run_virtual

DRAIN_S = 2.0
"""Time for which a replica serves after its entry was removed (``drainMs``)."""
BACK_S = 2.0
"""Time after the store's return by which live replicas have written their entries."""


class _Deployment:
    """A registry whose store is unreachable when the test says so."""

    def __init__(self) -> None:
        self.endpoints = EndpointIndex()
        self.is_unreachable = False
        self._unreachable_until = float("-inf")
        self.registry = Registry(
            self.endpoints,
            DecisionLog(logging.getLogger("test")),
            on_removed=lambda key: None,
            unreachable_until=self._until,
        )

    def _until(self) -> float:
        if self.is_unreachable:
            self._unreachable_until = asyncio.get_running_loop().time()
        return self._unreachable_until

    async def outage(self, length_s: float) -> None:
        """Make the store unreachable for a while."""
        self.is_unreachable = True
        await asyncio.sleep(length_s)
        self._until()
        self.is_unreachable = False

    def add(self, name: str, *, state: str = "ready") -> None:
        """Write a replica's entry."""
        content = {
            "service": "tools",
            "address": "10.0.0.1:80",
            "zone": "z",
            "slots": 4,
            "state": state,
        }
        self._apply(name, json.dumps(content).encode())

    def remove(self, name: str) -> None:
        """Remove a replica's entry."""
        self._apply(name, None)

    def _apply(self, name: str, value: bytes | None) -> None:
        self.registry.apply([Row(RowKey(TABLE, "", name), value, 1)], False)

    @property
    def usable(self) -> set[str]:
        """Ids of the endpoints in use."""
        return {item.id for item in self.endpoints.usable("tools")}


class RegistryTest(unittest.TestCase):
    def test_removed_endpoint_is_out_of_use_before_its_replica_ends(self) -> None:
        """Guards against requests to replicas that left after an outage or a freeze."""

        async def scenario() -> None:
            for after_s in (0.0, 0.1, 0.5, 1.3, 2.1, 3.0):
                deployment = _Deployment()
                deployment.add("i")
                await deployment.outage(1.0)
                await asyncio.sleep(after_s)
                deployment.remove("i")
                await asyncio.sleep(DRAIN_S)
                with self.subTest(after_s):
                    self.assertEqual(set(), deployment.usable)

        run_virtual(scenario)

    def test_lapsed_endpoint_stays_until_its_replica_has_had_time(self) -> None:
        async def scenario() -> None:
            deployment = _Deployment()
            deployment.add("i")
            deployment.add("j")
            await deployment.outage(4.0)
            await asyncio.sleep(0.3)
            deployment.remove("i")
            await asyncio.sleep(0.3)
            # Each endpoint has its own deadline.
            deployment.remove("j")
            await asyncio.sleep(BACK_S - 0.6)
            self.assertEqual({"i", "j"}, deployment.usable)
            deployment.add("i")
            await asyncio.sleep(1.0)
            self.assertEqual({"i"}, deployment.usable)

        run_virtual(scenario)

    def test_lapsed_endpoint_stays_while_the_store_is_away_again(self) -> None:
        async def scenario() -> None:
            deployment = _Deployment()
            deployment.add("i")
            await deployment.outage(1.0)
            deployment.remove("i")
            await asyncio.sleep(0.5)
            await deployment.outage(5.0)
            self.assertEqual({"i"}, deployment.usable)
            await asyncio.sleep(0.3)
            self.assertEqual(set(), deployment.usable)

        run_virtual(scenario)

    def test_missing_entry_that_is_found_missing_again_is_given_no_more_time(
        self,
    ) -> None:
        """Guards against a longer use after each read of the whole registry."""

        async def scenario() -> None:
            deployment = _Deployment()
            deployment.add("i")
            await deployment.outage(1.0)
            deployment.registry.apply([], True)
            await asyncio.sleep(1.0)
            deployment.registry.apply([], True)
            await asyncio.sleep(DRAIN_S - 1.0)
            self.assertEqual(set(), deployment.usable)

        run_virtual(scenario)

    def test_draining_endpoint_is_removed_at_once_after_an_outage(self) -> None:
        async def scenario() -> None:
            deployment = _Deployment()
            deployment.add("i")
            await deployment.outage(1.0)
            deployment.add("i", state="draining")
            deployment.remove("i")
            self.assertEqual(set(), deployment.usable)
            self.assertIsNone(deployment.endpoints.get("i"))

        run_virtual(scenario)


class OddEntriesTest(IsolatedAsyncioTestCase):
    async def test_odd_entries_neither_stop_the_feed_nor_get_requests(self) -> None:
        """Guards against gateways that stop following the registry or end."""
        async with world() as deployment:
            known = next(r for r in deployment.replicas.values() if r.service == TOOLS)
            for number, value in enumerate(odd_entries(deployment.entry(known))):
                name = f"odd-{number}"
                deployment.store.put("servers", name, b64encode(value).decode())
            await asyncio.sleep(0.2)
            added = await deployment.add_replica(TOOLS)
            await asyncio.sleep(0.2)
            # Also where the whole table is read at the start.
            deployment.start_gateway()
            await deployment.until_ready()
            deployment.unregister(known)
            await asyncio.sleep(0.2)
            answers = [
                await deployment.call("/pay/a", via=via, body=b"x")
                for via in (0, 0, 0, 1, 1, 1)
            ]
            lines = [line for item in deployment.gateways for line in item.lines]
        self.assertEqual([200] * 6, [answer.status for answer in answers])
        self.assertEqual(6, len(added.ran))
        self.assertEqual([], [x for x in lines if x["event"] == "background_failed"])


class RemovalTest(IsolatedAsyncioTestCase):
    async def test_replica_that_leaves_after_an_outage_gets_no_late_request(
        self,
    ) -> None:
        """Guards against requests later than ``drainMs`` after a removal."""
        async with world(tools=2) as deployment:
            tools = [r for r in deployment.replicas.values() if r.service == TOOLS]
            gateway = deployment.gateways[0]
            deployment.store.faults.status = 503
            while not gateway.events("store_lost"):
                await asyncio.sleep(0.05)
            deployment.store.faults.status = 0
            while not gateway.events("store_regained"):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.8)
            deployment.unregister(tools[0])
            await asyncio.sleep(DRAIN_S)
            for _ in range(8):
                await deployment.call("/read/a")
        self.assertEqual([0, 8], [len(tool.seen) for tool in tools])
