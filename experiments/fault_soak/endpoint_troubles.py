"""Troubles of endpoints: rate limits, and requests under which they crash."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.platform_world import ENGINES, TOOLS, CallerAnswer, call, request_headers

from carobspur_standins.platform_replica import ReplicaStandin

from .deployment import SoakWorld
from .guarantees import CallLog, SentCall

LIMIT_RANGE_PER_S = (2.0, 12.0)
LIMIT_S = 7.5
"""How long a limit lasts."""
SETTLED_S = 3.0
"""Time after which a limit is binding."""
SPAN_S = 4.0
MAX_CRASHES = 6
"""Crashes under one request: three, and three retries."""
RESTART_RANGE_S = (0.5, 1.5)
DEADLY_PAUSE_RANGE_S = (0.1, 0.8)


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A limit that a replica named for some time.

    Attributes:
        replica: The replica.
        rate_per_s: Its limit.
        start: Loop time of the first request under the limit.
        end: Loop time at which the limit ended.
    """

    replica: ReplicaStandin
    rate_per_s: float
    start: float
    end: float

    def most_in_span(self) -> int:
        """Return the most requests in ``SPAN_S`` while the limit was binding."""
        times = [
            request.arrived_at
            for request in self.replica.seen
            if self.start + SETTLED_S <= request.arrived_at < self.end
        ]
        return max(
            (sum(start <= at < start + SPAN_S for at in times) for start in times),
            default=0,
        )


@dataclass(slots=True)
class EndpointTroubles:
    """Injects the troubles and checks what the gateways made of them.

    Attributes:
        world: The deployment.
        call_log: Records the answers to requests that crash replicas.
        rng: Source of all random choices.
        periods: Limits that were in force.
        crashes: Number of crashes by the content of the request.
    """

    world: SoakWorld
    call_log: CallLog
    rng: random.Random
    periods: list[LimitPeriod] = field(default_factory=list)
    crashes: Counter[bytes] = field(default_factory=Counter)

    async def run(self, stopped: asyncio.Event) -> None:
        """Inject troubles until ``stopped`` is set."""
        await asyncio.gather(self._limit(stopped), self._crash(stopped))

    async def _limit(self, stopped: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        while not stopped.is_set():
            replica = self.rng.choice(
                [item for item in self.world.replicas.values() if not item.has_crashed]
            )
            rate = round(self.rng.uniform(*LIMIT_RANGE_PER_S), 1)
            replica.rate_limit = rate
            start, end = loop.time(), loop.time() + LIMIT_S
            while not stopped.is_set() and loop.time() < end:
                await asyncio.sleep(0.1)
            replica.rate_limit = None
            self.periods.append(LimitPeriod(replica, rate, start, loop.time()))

    async def _crash(self, stopped: asyncio.Event) -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            path, service = self.rng.choice((("/walk/a", ENGINES), ("/pay/a", TOOLS)))
            content = b"deadly %d;" % number
            for replica in self.world.replicas.values():
                replica.crashes_on = content
            for _ in range(self.rng.randint(4, 12)):
                if stopped.is_set():
                    return
                await self._send_deadly(path, content)
                await self._restart(service, content)
                await asyncio.sleep(self.rng.uniform(*DEADLY_PAUSE_RANGE_S))

    async def _send_deadly(self, path: str, content: bytes) -> None:
        headers = request_headers(deadline_ms=3000)
        gateway = self.rng.choice(self.world.processes)
        try:
            async with asyncio.timeout(5.0):
                answer = await call(
                    gateway.ports["callers"], path, body=content, headers=headers
                )
        except (TimeoutError, ConnectionError):
            answer = CallerAnswer(0, {}, b"", False)
        self.call_log.record(
            SentCall(headers["Request-Id"], path, answer, body=content)
        )

    async def _restart(self, service: str, content: bytes) -> None:
        """Start a new replica in place of each that has crashed."""
        crashed = [item for item in self.world.replicas.values() if item.has_crashed]
        for replica in crashed:
            self.crashes[content] += 1
            await asyncio.sleep(self.rng.uniform(*RESTART_RANGE_S))
            fresh = await self.world.add_replica(service, events=replica.events)
            fresh.crashes_on = content
            self.world.unregister(replica)
            # What it ran still counts for the guarantees.
            replica.has_crashed = False

    def check(self) -> None:
        """Complain about exceeded limits and requests that crashed too many."""
        for period in self.periods:
            allowed = 1.5 * SPAN_S * period.rate_per_s + 5
            most = period.most_in_span()
            if most > allowed:
                self.call_log.complaints.append(
                    f"{period.replica.id} got {most} requests in {SPAN_S} s under a "
                    f"limit of {period.rate_per_s} a second"
                )
        for content, crashes in self.crashes.items():
            if crashes > MAX_CRASHES:
                self.call_log.complaints.append(
                    f"{content!r} crashed {crashes} replicas"
                )
