"""Clients that exceed the limits must not exhaust a gateway's memory or descriptors.

Each test starts a gateway process of its own with the settings of a small machine. It
checks that the process lives, that its resources stay within those of the machine, and
that an ordinary request is answered while the hostile clients stay connected.
"""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from .hostile_clients import (
    MACHINE_MB,
    MAX_FDS,
    RESERVED_FDS,
    Hostile,
    hostile_clients,
    small_deployment,
)
from .platform_world import CallerAnswer, call, request_headers

ATTEMPTS = 10
"""Attempts of the ordinary request: a refusal for lack of memory may be repeated."""
ATTEMPT_S = 6.0
PAUSE_S = 1.0


class HostileClientsTest(IsolatedAsyncioTestCase):
    async def test_large_chunks_that_stop_short(self) -> None:
        await self._check(Hostile.LARGE_CHUNKS)

    async def test_small_chunks_that_stop_short(self) -> None:
        await self._check(Hostile.SMALL_CHUNKS)

    async def test_bodies_with_a_length_that_stop_short(self) -> None:
        await self._check(Hostile.LENGTH)

    async def test_announced_bodies_far_over_the_limit(self) -> None:
        await self._check(Hostile.ANNOUNCED)

    async def test_unannounced_bodies_far_over_the_limit(self) -> None:
        await self._check(Hostile.UNANNOUNCED)

    async def test_connections_with_half_a_head(self) -> None:
        await self._check(Hostile.HALF_HEAD)

    async def test_pipelined_requests_without_reading(self) -> None:
        await self._check(Hostile.PIPELINED)

    async def test_long_answers_that_are_not_read(self) -> None:
        await self._check(Hostile.UNREAD)

    async def test_long_answers_one_after_another_that_are_not_read(self) -> None:
        await self._check(Hostile.UNREAD_IN_TURN)

    async def _check(self, kind: Hostile) -> None:
        asyncio.get_running_loop().set_debug(False)
        async with small_deployment() as world:
            (gateway,) = world.processes
            pid = gateway.process.pid
            async with hostile_clients(kind, world, gateway) as peak:
                answer = await self._ordinary_request(gateway.ports["callers"])
                is_alive = gateway.is_alive and gateway.process.pid == pid
                if is_alive:
                    peak.sample(pid)
            faults = [
                line
                for line in gateway.lines.splitlines()
                if "unseen_error" in line or "Traceback" in line
            ]
        failures = []
        if not is_alive:
            failures.append("the process ended")
        if peak.memory_mb >= MACHINE_MB:
            failures.append(f"memory {peak.memory_mb:.0f} MB of {MACHINE_MB}")
        if peak.descriptors > MAX_FDS - RESERVED_FDS:
            failures.append(
                f"{peak.descriptors} descriptors of {MAX_FDS - RESERVED_FDS}"
            )
        if answer.status != 200:
            failures.append(f"an ordinary request got {answer.status}")
        failures += faults[:3]
        self.assertEqual([], failures, f"{kind}; {peak}")

    async def _ordinary_request(self, port: int) -> CallerAnswer:
        answer = CallerAnswer(0, {}, b"", False)
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(ATTEMPT_S):
                    answer = await call(
                        port, "/read/a", headers=request_headers(deadline_ms=5000)
                    )
            except (TimeoutError, ConnectionError):
                answer = CallerAnswer(0, {}, b"", False)
            if answer.status == 200:
                break
            await asyncio.sleep(PAUSE_S)
        return answer
