"""An account owner dies in an outage of the store: are its grants remembered?"""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from review.common import (
    ENGINES,
    STRIDE,
    Answer,
    Deployment,
    Gateway,
    Record,
    deployment,
    route,
    run,
    with_trouble,
)

EVENTS = 17
TURN_TOKENS = EVENTS * STRIDE
"""Most tokens of one turn (289), and what each turn here generates."""
BUDGET = 22 * TURN_TOKENS
PROGRAMS = 40
OUTAGE_S = 4.5
"""Longest outage of the store in the site's list of disruptions."""
FIRST_PROGRAM_AT_S = 0.6
PROGRAM_SPREAD_S = 0.6
KILL_AT_S = 1.4
DOWN_S = 3.5
LIMIT_S = 110.0


class Program:
    """A program that runs one turn after the other until its budget is spent.

    Args:
        world: The deployment.
        number: Its number.
        rng: Chooses the gateway of each attempt.
    """

    def __init__(self, world: Deployment, number: int, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.name = f"p{number:04d}"
        self.dead: set[str] = set()
        self.tokens = 0

    async def run(self) -> None:
        """Run turns until the program is told that its budget is spent."""
        for number in range(2 * BUDGET // TURN_TOKENS):
            text = f"{self.name} prompt {number};".encode()
            for _ in range(12):
                answer = await self._turn(text)
                if answer.is_success or answer.status == 402:
                    break
                await asyncio.sleep(self._rng.uniform(0.1, 0.4))
            if answer.status == 402:
                return
            await asyncio.sleep(self._rng.uniform(0.02, 0.1))

    async def _turn(self, text: bytes) -> Answer:
        """Send a turn; a client that was refused comes back once."""
        answer = await self._attempt(text, 3000)
        if answer.status in (429, 503):
            wait_s = min(float(answer.headers.get("retry-after", 0)), 1.0)
            await asyncio.sleep(wait_s)
            answer = await self._attempt(text, max(500, 2900 - int(1000 * wait_s)))
        return answer

    async def _attempt(self, text: bytes, deadline_ms: int) -> Answer:
        gateway = self._choose()
        headers = {
            "Program-Id": self.name,
            "Session-Id": self.name,
            "Program-Deadline-Ms": "60000",
            "Token-Budget": str(BUDGET),
            "Token-Usage": f"839,{TURN_TOKENS}",
            "Model": "m",
        }
        answer = await self._world.send(
            gateway, "/lot-assay/a", text, deadline_ms=deadline_ms, headers=headers
        )
        if not answer.status:
            # Clients leave out addresses that have failed them.
            self.dead.add(gateway.name)
        self.tokens += answer.events * STRIDE
        return answer

    def _choose(self) -> Gateway:
        gateways = self._world.gateways
        return self._rng.choice(
            [item for item in gateways if item.name not in self.dead] or gateways
        )


async def prepare(world: Deployment) -> None:
    """Write the configuration and start the engines."""
    world.configure(
        route(
            "lot-assay",
            "streaming",
            ENGINES,
            resumable=True,
            retentionS=60,
            targetGapMs=150,
            priority=0,
        )
    )
    for _ in range(5):
        await world.add_replica(ENGINES, events=EVENTS, event_s=0.004, work_s=0.02)


async def case(record: Record) -> str:
    """Kill one gateway while the store refuses all calls."""
    rng = random.Random()
    async with deployment(record, gateways=5, prepare=prepare) as world:
        loop = asyncio.get_running_loop()
        start = loop.time()
        programs = [Program(world, number, rng) for number in range(PROGRAMS)]
        if with_trouble():
            world.store.faults.status = 503
            record.line("the store is down")

            def kill() -> None:
                world.gateways[0].signal(signal.SIGKILL)
                record.line(f"killed {world.gateways[0].name}")

            def heal() -> None:
                world.store.faults.status = 0
                record.line("the store is back")

            def restart() -> None:
                world.gateways[0].process.wait()
                world.gateways[0].start()
                record.line(f"started {world.gateways[0].name} again")

            loop.call_at(start + KILL_AT_S, kill)
            loop.call_at(start + OUTAGE_S, heal)
            loop.call_at(start + KILL_AT_S + DOWN_S, restart)

        async def run_later(program: Program) -> None:
            await asyncio.sleep(FIRST_PROGRAM_AT_S + rng.uniform(0, PROGRAM_SPREAD_S))
            await program.run()

        await asyncio.gather(*map(run_later, programs))
        over = []
        for program in programs:
            record.line(f"{program.name}: {program.tokens} tokens of {BUDGET}")
            if program.tokens > BUDGET + TURN_TOKENS:
                over.append(f"{program.name} {program.tokens}")
        if over:
            return (
                f"BUDGET: {', '.join(over)} tokens were handed out, allowed are "
                f"{BUDGET} + {TURN_TOKENS}"
            )
    return ""


if __name__ == "__main__":
    run(case, Path(__file__).parent, limit_s=LIMIT_S)
