"""Long histories after a kill: is a turn found that was answered 55 s ago?"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

from review.common import (
    ENGINES,
    Answer,
    Deployment,
    Gateway,
    Record,
    deployment,
    route,
    run,
    with_trouble,
)

RETENTION_S = 60
INPUT_BYTES = 26_000
"""Largest body of a turn in the small deployment."""
PROGRAMS = 45
SECOND_TURN_AT_S = 48.0
KILL_AT_S = 100.0
THIRD_TURN_AT_S = 102.0
LIMIT_S = 118.0


class Program:
    """A program of three turns, on connections to one gateway while that runs.

    Args:
        world: The deployment.
        number: Its number.
        gateway: The gateway that it uses.
    """

    def __init__(self, world: Deployment, number: int, gateway: Gateway) -> None:
        self._world = world
        self._name = f"p{number:04d}"
        self.gateway = gateway
        self.last = Answer("")
        self.answered_at = 0.0
        self.chain = b""

    async def turn(self, number: int) -> Answer:
        """Run the next turn, repeated twice if it fails."""
        head = f"{self._name} turn {number};".encode()
        text = head + b"x" * (INPUT_BYTES - len(head))
        headers = {
            "Program-Id": self._name,
            "Session-Id": self._name,
            "Program-Deadline-Ms": "120000",
            "Token-Budget": "2312",
            "Token-Usage": "1166,289",
            "Model": "m",
        }
        if self.last.id:
            headers["Previous-Turn"] = self.last.id
        answer = Answer("")
        for _ in range(3):
            answer = await self._world.send(
                self.gateway,
                "/counter-quote/a",
                text,
                headers=headers,
                note=f"of {self._name}",
            )
            if answer.is_success or answer.status in (402, 404):
                break
            await asyncio.sleep(0.3)
        if answer.is_success:
            self.last = answer
            self.answered_at = time.monotonic()
            self.chain += text + answer.output
        return answer


async def prepare(world: Deployment) -> None:
    """Write the configuration and start the engines."""
    world.configure(
        route(
            "counter-quote",
            "streaming",
            ENGINES,
            keepsHistory=True,
            retentionS=RETENTION_S,
            targetGapMs=150,
        )
    )
    for _ in range(5):
        await world.add_replica(ENGINES, events=4, event_s=0.01, work_s=0.02)


async def run_turns(programs: list[Program], number: int) -> list[Answer]:
    """Run the same turn of all programs, a few at a time."""
    answers = []
    for start in range(0, len(programs), 9):
        batch = programs[start : start + 9]
        answers += await asyncio.gather(*(item.turn(number) for item in batch))
    return answers


async def case(record: Record) -> str:
    """Kill one gateway between the second and the third turns."""
    async with deployment(record, gateways=3, prepare=prepare) as world:
        start = time.monotonic()

        async def until(moment_s: float) -> None:
            await asyncio.sleep(start + moment_s - time.monotonic())

        programs = [
            Program(world, number, world.gateways[number % 3])
            for number in range(PROGRAMS)
        ]
        first = await run_turns(programs, 1)
        await until(SECOND_TURN_AT_S)
        second = await run_turns(programs, 2)
        if not all(item.is_success for item in first + second):
            raise RuntimeError("a first or second turn failed")
        await until(KILL_AT_S)
        if with_trouble():
            victim = world.gateways[0]
            victim.signal(signal.SIGKILL)
            record.line(f"killed {victim.name}")
            others = world.gateways[1:]
            for program in programs:
                if program.gateway is victim:
                    program.gateway = random.choice(others)
        await until(THIRD_TURN_AT_S)
        lost = []
        for program in programs:
            age_s = time.monotonic() - program.answered_at
            answer = await program.turn(3)
            if answer.status in (404, 410) and age_s < RETENTION_S - 1:
                lost.append(answer.id)
                record.line(
                    f"LOST: {answer.id} was answered {answer.status}; its previous "
                    f"turn was answered whole {age_s:.1f} s before"
                )
        if lost:
            return (
                f"LOST: {len(lost)} of {PROGRAMS} third turns were answered 404, "
                f"though their previous turns were answered less than {RETENTION_S} s "
                "before"
            )
    return ""


if __name__ == "__main__":
    run(case, Path(__file__).parent, limit_s=LIMIT_S)
