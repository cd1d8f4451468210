"""A frozen account owner: how many tokens does a program get beyond its budget?"""

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
BUDGET = 2312
WIDTH = 5
FREEZE_S = 4.0
LIMIT_S = 100.0


class Program:
    """A program that loops: after its first turn it starts sub-agents until stopped.

    Args:
        world: The deployment.
        rng: Chooses the gateway of each attempt.
    """

    def __init__(self, world: Deployment, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.frozen: Gateway | None = None
        self.tokens = 0
        self.is_stopped = False

    async def turn(self, previous: str, text: bytes) -> Answer:
        """Run a turn, with the repeats that clients make."""
        answer = Answer("")
        for _ in range(3):
            deadline_ms = 3000
            for _ in range(2):
                answer = await self._attempt(previous, text, deadline_ms)
                if answer.is_success or answer.status == 402:
                    break
                if answer.status not in (429, 503):
                    break
                wait_s = min(float(answer.headers.get("retry-after", 0)), 1.0)
                await asyncio.sleep(wait_s)
                deadline_ms = max(500, deadline_ms - int(1000 * wait_s) - 100)
            if answer.is_success or answer.status == 402:
                break
            await asyncio.sleep(self._rng.uniform(0.1, 0.4))
        if answer.status == 402:
            self.is_stopped = True
        return answer

    async def _attempt(self, previous: str, text: bytes, deadline_ms: int) -> Answer:
        world = self._world
        gateway = self._rng.choice(
            [item for item in world.gateways if item is not self.frozen]
        )
        headers = {
            "Program-Id": "3fa81c",
            "Session-Id": "77d20b",
            "Program-Deadline-Ms": "60000",
            "Token-Budget": str(BUDGET),
            "Token-Usage": f"1166,{TURN_TOKENS}",
            "Model": "m",
        }
        if previous:
            headers["Previous-Turn"] = previous
        answer = await world.send(
            gateway,
            "/counter-quote/a",
            text,
            deadline_ms=deadline_ms,
            headers=headers,
        )
        self.tokens += answer.events * STRIDE
        return answer


async def prepare(world: Deployment) -> None:
    """Write the configuration and start the engines."""
    world.configure(
        route(
            "counter-quote",
            "streaming",
            ENGINES,
            keepsHistory=True,
            retentionS=60,
            targetGapMs=150,
        )
    )
    for _ in range(5):
        await world.add_replica(ENGINES, events=EVENTS, event_s=0.07, work_s=0.02)


async def case(record: Record) -> str:
    """Freeze the owner of the program's account after its first turn."""
    rng = random.Random()
    async with deployment(record, gateways=5, prepare=prepare) as world:
        program = Program(world, rng)
        first = await program.turn("", b"first input;")
        if not first.is_success:
            raise RuntimeError("the first turn failed")
        await asyncio.sleep(0.15)
        if with_trouble():
            program.frozen = world.writer()
            program.frozen.signal(signal.SIGSTOP)
            record.line(f"froze {program.frozen.name}")
            asyncio.get_running_loop().call_later(
                FREEZE_S, program.frozen.signal, signal.SIGCONT
            )
        for number in range(8):
            if program.is_stopped:
                break
            answers = await asyncio.gather(
                *(
                    program.turn(first.id, b"input %d of %d;" % (number, item))
                    for item in range(WIDTH)
                )
            )
            record.line(
                f"round {number}: statuses {[item.status for item in answers]}, "
                f"{program.tokens} tokens so far"
            )
            await asyncio.sleep(0.15)
        record.line(f"{program.tokens} tokens of {BUDGET} + {TURN_TOKENS}")
        if program.tokens > BUDGET + TURN_TOKENS:
            return (
                f"BUDGET: {program.tokens} tokens were handed out, allowed are "
                f"{BUDGET} + {TURN_TOKENS}"
            )
    return ""


if __name__ == "__main__":
    run(case, Path(__file__).parent, limit_s=LIMIT_S)
