"""The tokens of a program must keep to its budget while gateways are stopped in turn.

Two gateways, two engines. The store falls silent for 7 s. Meanwhile both gateways are
stopped as planned, one 2 s after the other, and started again once they have ended.
Programs run a few turns in the outage, before the stops, and go on when all is well,
until they are told that their budget is spent.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
from dataclasses import dataclass, field
from pathlib import Path

from review.harness_2 import (
    BROKEN,
    ENGINES,
    HELD,
    HOST,
    NOT_RUN,
    GatewayProcess,
    Record,
    deployment,
    patient_call,
    run_case,
    with_trouble,
)
from tests.platform_world import TOKENS_PER_EVENT

from carobspur_standins.platform_replica import (
    ReplicaFault,
    ReplicaStandin,
    SeenRequest,
)

GATEWAYS = ENGINES_COUNT = 2
PROGRAMS = 40
BUDGET = 2000
TURN = 100
"""Most tokens of a turn."""
FIRST_TURNS = 3
PAUSE_S = 0.1
"""Pause of a program between two turns."""
OUTAGE_S = 7.0
FIRST_TURNS_S = 0.9
STOP_S, GAP_S = 1.7, 2.0
"""When the first gateway is stopped, and how much later the second one is."""
DOWN_S = 0.5
"""Time after the end of a process until it is started again."""
LAST_TURNS_S = 3.0
"""Time from the last start until the programs go on."""
MAX_RETRIES = 3
RETRY_S = 0.3
ANSWER_S = 4.0

_ids = itertools.count(1)


class Engine(ReplicaStandin):
    """An engine that generates as many tokens as a turn may have."""

    async def _stream(
        self, request: SeenRequest, writer: asyncio.StreamWriter, fault: ReplicaFault
    ) -> None:
        tokens = int(request.headers["token-usage"].split(",")[1])
        writer.write(self._head(request.headers["request-id"], None))
        for number in range(1, tokens // TOKENS_PER_EVENT + 1):
            await asyncio.sleep(0.0005)
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


@dataclass(slots=True, eq=False)
class Program:
    """A program as its client sees it.

    Attributes:
        id: Its id.
        tokens: Tokens that its client was handed.
        turns: Status and tokens of each attempt.
    """

    id: str
    tokens: int = 0
    turns: list[tuple[int, int]] = field(default_factory=list)

    async def run_turn(self, gateway: GatewayProcess) -> int:
        """Send one turn; return the status of its answer."""
        headers = {
            "Host": "host.example",
            "Request-Id": f"t{next(_ids)}",
            "Program-Id": self.id,
            "Session-Id": f"s-{self.id}",
            "Token-Budget": str(BUDGET),
            "Token-Usage": f"100,{TURN}",
            "Deadline-Ms": "3000",
            "Model": "m",
        }
        answer = await patient_call(
            gateway.ports["callers"],
            "/walk/turn",
            wait_s=ANSWER_S,
            body=b"input",
            headers=headers,
        )
        tokens = answer.body.count(b"data: token\n\n") * TOKENS_PER_EVENT
        self.tokens += tokens
        self.turns.append((answer.status, tokens))
        return answer.status

    async def run_first(self, gateways: list[GatewayProcess]) -> None:
        """Run a few turns; the program pauses early if one is refused."""
        for _ in range(FIRST_TURNS):
            await asyncio.sleep(random.uniform(0.0, PAUSE_S))
            if await self.run_turn(random.choice(gateways)) != 200:
                return

    async def run_rest(self, gateways: list[GatewayProcess]) -> None:
        """Run turns until the budget is spent."""
        failed = 0
        while failed < MAX_RETRIES:
            status = await self.run_turn(random.choice(gateways))
            if status == 402:
                return
            if status != 200:
                failed += 1
                await asyncio.sleep(RETRY_S)


async def _stop_and_start(
    gateway: GatewayProcess, record: Record, since: float
) -> None:
    loop = asyncio.get_running_loop()
    record.add(f"{loop.time() - since:.1f} s: {gateway.name} gets SIGTERM")
    gateway.send_signal(signal.SIGTERM)
    has_ended = await gateway.ended()
    record.add(
        f"{loop.time() - since:.1f} s: {gateway.name} "
        f"{'has ended' if has_ended else 'was killed'}"
    )
    await asyncio.sleep(DOWN_S)
    gateway.start()


async def _keep_asking(gateway: GatewayProcess) -> None:
    """Run turns of further programs, as other callers do."""
    while True:
        await Program(f"other-{next(_ids)}").run_turn(gateway)


async def _check() -> int:
    record = Record(Path(__file__).parent)
    async with deployment(gateways=GATEWAYS, engines=0) as world:
        for number in range(ENGINES_COUNT):
            engine = Engine(f"i-engine-{number}", ENGINES, events=1)
            world.replica_ports[engine.id] = await engine.listen(HOST)
            world.replicas[engine.id] = engine
            world.register(engine)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        begin = loop.time()

        async def until(moment_s: float) -> None:
            await asyncio.sleep(max(0.0, begin + moment_s - loop.time()))

        async def end_outage() -> None:
            await until(OUTAGE_S)
            world.store.faults.is_silent = False
            record.add(f"{loop.time() - begin:.1f} s: the store answers")

        programs = [Program(f"program-{number}") for number in range(PROGRAMS)]
        asking = [asyncio.ensure_future(_keep_asking(it)) for it in world.gateways]
        world.store.faults.is_silent = with_trouble()
        ending = asyncio.ensure_future(end_outage())
        await until(FIRST_TURNS_S)
        await asyncio.gather(*(item.run_first(world.gateways) for item in programs))
        for task in asking:
            task.cancel()
        before = sum(item.tokens for item in programs)
        record.add(f"{loop.time() - begin:.1f} s: {before} tokens were handed out")
        stopping = []
        if with_trouble():
            for number, gateway in enumerate(world.gateways):
                await until(STOP_S + number * GAP_S)
                stopping.append(
                    asyncio.ensure_future(_stop_and_start(gateway, record, begin))
                )
        await asyncio.gather(ending, *stopping)
        await asyncio.sleep(LAST_TURNS_S)
        await asyncio.gather(*(item.run_rest(world.gateways) for item in programs))
    limit = BUDGET + TURN
    over = [item for item in programs if item.tokens > limit]
    for item in over[:3]:
        record.add(f"{item.id}: {item.tokens} tokens, turns {item.turns}")
    served = sum(1 for item in programs if item.tokens)
    record.add(
        f"{len(over)} of {len(programs)} programs were handed more than {limit} tokens "
        f"({BUDGET} and one turn of {TURN}), the most "
        f"{max(item.tokens for item in programs)}; {served} got any"
    )
    if over:
        return BROKEN
    return HELD if served else NOT_RUN


if __name__ == "__main__":
    run_case(asyncio.wait_for(_check(), 100))
