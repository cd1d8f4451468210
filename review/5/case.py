"""A stream breaks off on a resumable route with history: are runs joined?"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from review.common import (
    ENGINES,
    Answer,
    Deployment,
    Record,
    deployment,
    route,
    run,
    with_trouble,
)

from carobspur_standins.platform_replica import (
    ReplicaFault,
    ReplicaStandin,
    SeenRequest,
)

EVENTS = 4
BREAK_SHARE = 0.03
"""Largest share of answers that break off in the site's list of disruptions."""
BREAK_S = 5.0
"""Longest time of this disruption there."""
BREAKING_ENGINES = 3
"""Of five: the largest share of replicas there is 0.6."""
PROGRAMS = 12
TURNS = 60
LIMIT_S = 110.0


class SamplingEngine(ReplicaStandin):
    """An engine that samples: each run from the start gives other words.

    A run that goes on after ``Last-Event-Id`` continues the words that were sent
    before, which the sender of the request knows to be those of the same request.
    """

    rng = random.Random()
    breaks = False
    words: dict[str, str] = {}

    async def _stream(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        fault: ReplicaFault | None,
    ) -> None:
        request_id = request.headers["request-id"]
        last = int(request.headers.get("last-event-id") or 0)
        if not last or request_id not in self.words:
            self.words[request_id] = f"{self.rng.randrange(16**6):06x}"
        word = self.words[request_id]
        is_broken = self.breaks and self.rng.random() < BREAK_SHARE
        writer.write(self._head(request_id, None))
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(self.event_s)
            if is_broken and number == EVENTS - 1:
                writer.transport.abort()
                return
            event = b"id: %d\ndata: %s %d\n\n" % (number, word.encode(), number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def prepare(world: Deployment) -> None:
    """Write the configuration and start the engines."""
    world.configure(
        route(
            "counter-quote",
            "streaming",
            ENGINES,
            keepsHistory=True,
            resumable=True,
            retentionS=60,
            targetGapMs=150,
        )
    )
    for number in range(5):
        engine = await world.add_replica(
            ENGINES, kind=SamplingEngine, events=EVENTS, event_s=0.01, work_s=0.02
        )
        engine.breaks = with_trouble() and number < BREAKING_ENGINES


async def run_program(world: Deployment, name: str, joined: list[str]) -> None:
    """Run turns, each after the one before, and check where their events come from."""
    previous = ""
    for number in range(TURNS):
        headers = {
            "Program-Id": name,
            "Session-Id": name,
            "Program-Deadline-Ms": "60000",
            "Token-Budget": "100000",
            "Token-Usage": "1166,289",
            "Model": "m",
        }
        if previous:
            headers["Previous-Turn"] = previous
        answer = Answer("")
        for _ in range(3):
            answer = await world.send(
                random.choice(world.gateways),
                "/counter-quote/a",
                f"{name} turn {number};".encode(),
                headers=headers,
            )
            if answer.is_success:
                break
            await asyncio.sleep(0.2)
        words = {line.split()[0] for line in answer.output.splitlines()}
        if len(words) > 1:
            joined.append(answer.id)
            world.record.line(f"ORDER: {answer.id} joins two runs: {answer.output!r}")
        previous = answer.id if answer.is_success else ""


async def case(record: Record) -> str:
    """Let some engines break off some of their streams."""
    async with deployment(record, gateways=3, prepare=prepare) as world:
        joined: list[str] = []

        def stop_breaking() -> None:
            for engine in world.replicas.values():
                engine.breaks = False
            record.line("engines break off no more streams")

        asyncio.get_running_loop().call_later(BREAK_S, stop_breaking)
        await asyncio.gather(
            *(run_program(world, f"p{item:04d}", joined) for item in range(PROGRAMS))
        )
        if joined:
            return f"ORDER: {len(joined)} streams join the pieces of two runs"
    return ""


if __name__ == "__main__":
    run(case, Path(__file__).parent, limit_s=LIMIT_S)
