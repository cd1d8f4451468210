"""Random sessions under random faults, checked against the system's invariants.

A non-repeatable call runs at most once and never after "not run"; the history has every
call once, with the answer that the caller got.
"""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from carobspur_standins.app import FaultKind, FaultOrder

from . import builders
from .virtual import run_virtual
from .world import World

EXAMPLES = 25
INSTANCES = 3
MAX_ATTEMPTS = 60
RETRY_S = 0.5
ALLOWANCE_UNITS = 2_000
TOOL_DELAY_S = 0.4


class Trouble(StrEnum):
    """A disturbance of the deployment."""

    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    JOIN = "join"
    TABLE_DOWN = "table_down"
    TABLE_LOSES_ANSWERS = "table_loses_answers"
    TABLE_BACK = "table_back"
    TOOL_LOSES_ANSWERS = "tool_loses_answers"
    TOOL_HANGS = "tool_hangs"
    TOOL_BACK = "tool_back"


@dataclass
class Step:
    """A disturbance, and the time since the one before."""

    after_s: float
    trouble: Trouble


@dataclass
class Caller:
    """One program and the answers that its caller got.

    Attributes:
        program: Id of the program.
        kinds: Endpoints of its calls, in order.
        answers: Answers by call number; ``None`` for "may have run".
        not_run: Numbers of calls whose last answer was "not run".
    """

    program: str
    kinds: list[str]
    answers: dict[int, Any] = field(default_factory=dict)
    not_run: set[int] = field(default_factory=set)


class Run:
    """One random session: a deployment with the callers of several programs."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.next_node = INSTANCES + 1
        self.callers: list[Caller] = []

    async def trouble(self, steps: list[Step]) -> None:
        for step in steps:
            await asyncio.sleep(step.after_s)
            await self._apply(step.trouble)
        for node in self.world.nodes.values():
            node.gate.thaw()
        self._fault(builders.TABLE_URL, FaultKind.NONE)
        self._fault(builders.TOOL_URL, FaultKind.NONE)

    async def supervise(self) -> None:
        """Replace instances whose scheduler's session was taken over."""
        while True:
            await asyncio.sleep(RETRY_S)
            for number, node in list(self.world.nodes.items()):
                if node.scheduler.session.is_lost and not node.gate.is_frozen:
                    self.world.kill(number)
                    await self._join()

    async def history(self, program: str) -> list[Any]:
        """Return a program's history once it has an owner again."""
        for _ in range(MAX_ATTEMPTS):
            reply = await self.world.ask("GET", f"/v1/programs/{program}/history")
            if reply.status == 200:
                return reply.json["history"]
            await asyncio.sleep(RETRY_S)
        raise AssertionError(f"history of {program} was not served: {reply.body!r}")

    async def run_program(self, caller: Caller) -> None:
        for number, kind in enumerate(caller.kinds, start=1):
            await self._run_call(caller, number, kind)

    async def _run_call(self, caller: Caller, number: int, kind: str) -> None:
        content = {"pesos": number} if kind != "model" else _prompt(number)
        for _ in range(MAX_ATTEMPTS):
            caller.not_run.discard(number)
            node = random.choice(sorted(self.world.nodes))
            asking = self.world.call(caller.program, number, kind, content, node=node)
            try:
                reply = await asyncio.wait_for(asking, 60)
            except (TimeoutError, KeyError):
                # The instance hangs or was killed: the caller uses another one.
                continue
            if reply.status == 200:
                caller.answers[number] = reply.json
                return
            if reply.json["verdict"] == "not_run":
                caller.not_run.add(number)
            if reply.status == 504 and reply.json["verdict"] == "may_have_run":
                caller.answers[number] = None
            await asyncio.sleep(RETRY_S)
        if number not in caller.answers:
            raise AssertionError(f"call {number} got no final answer")

    async def _apply(self, trouble: Trouble) -> None:
        nodes = self.world.nodes
        match trouble:
            case Trouble.KILL if len(nodes) > 1:
                self.world.kill(random.choice(sorted(nodes)))
            case Trouble.FREEZE:
                nodes[random.choice(sorted(nodes))].gate.freeze()
            case Trouble.THAW:
                for node in nodes.values():
                    node.gate.thaw()
            case Trouble.JOIN:
                await self._join()
            case Trouble.TABLE_DOWN:
                self._fault(builders.TABLE_URL, FaultKind.DROP)
            case Trouble.TABLE_LOSES_ANSWERS:
                self._fault(builders.TABLE_URL, FaultKind.LOSE_ANSWER, count=5)
            case Trouble.TABLE_BACK:
                self._fault(builders.TABLE_URL, FaultKind.NONE)
            case Trouble.TOOL_LOSES_ANSWERS:
                self._fault(builders.TOOL_URL, FaultKind.LOSE_ANSWER, count=2)
            case Trouble.TOOL_HANGS:
                self._fault(builders.TOOL_URL, FaultKind.HANG, count=2)
            case Trouble.TOOL_BACK:
                self._fault(builders.TOOL_URL, FaultKind.NONE)

    async def _join(self) -> None:
        number, self.next_node = self.next_node, self.next_node + 1
        try:
            await asyncio.wait_for(self.world.add_node(number), 1)
        except Exception:
            self.world.nodes.pop(number, None)

    def _fault(self, url: str, kind: FaultKind, *, count: int = 0) -> None:
        self.world.client.faults(url).set(FaultOrder(kind, count=count))


def _prompt(number: int) -> dict[str, Any]:
    return {"prompt": f"question {number}", "max_tokens": 3}


STEPS = st.builds(
    Step,
    after_s=st.sampled_from([0.0, 0.05, 0.3, 2.0, 6.0]),
    trouble=st.sampled_from(list(Trouble)),
)
KINDS = st.lists(st.sampled_from(["payout", "model", "vault"]), min_size=1, max_size=5)


class RandomSessionTest(unittest.TestCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        programs=st.lists(KINDS, min_size=2, max_size=4),
        steps=st.lists(STEPS, max_size=8),
        checks_fencing=st.booleans(),
        has_lookup=st.booleans(),
        seed=st.integers(0, 1000),
    )
    def test_what_must_always_hold(
        self,
        programs: list[list[str]],
        steps: list[Step],
        checks_fencing: bool,
        has_lookup: bool,
        seed: int,
    ) -> None:
        async def scenario() -> None:
            inventory = builders.an_inventory(
                units=ALLOWANCE_UNITS,
                checks_fencing=checks_fencing,
                has_lookup=has_lookup,
            )
            world = World(inventory, tool_delay_s=TOOL_DELAY_S)
            await world.start(INSTANCES)
            run = Run(world)
            for index, kinds in enumerate(programs):
                program = await world.start_program(f"k{index}")
                run.callers.append(Caller(program, kinds))
            supervising = asyncio.ensure_future(run.supervise())
            await asyncio.gather(
                run.trouble(steps), *(run.run_program(c) for c in run.callers)
            )
            await self.check(run)
            supervising.cancel()

        run_virtual(scenario, seed=seed)

    async def check(self, run: Run) -> None:
        runs = [item.call_id for item in run.world.tool.runs]
        self.assertEqual(len(runs), len(set(runs)), "a payout ran twice")
        for caller in run.callers:
            for number in caller.not_run - caller.answers.keys():
                self.assertNotIn(f"{caller.program}.{number}", runs)
            history = await run.history(caller.program)
            self.assertEqual(
                [call["number"] for call in history],
                list(range(1, len(caller.kinds) + 1)),
            )
            for call, kind in zip(history, caller.kinds, strict=True):
                self.assertEqual(call["endpoint"], kind)
                answer = caller.answers[call["number"]]
                if answer is not None:
                    self.assertEqual(call["digest"], answer["digest"])
                    stored = call["outcome"]["output"]
                    self.assertEqual(_normal(stored), _normal(answer["output"]))
                if kind == "payout" and answer is not None:
                    self.assertIn(f"{caller.program}.{call['number']}", runs)


def _normal(output: Any) -> Any:
    return json.loads(output) if isinstance(output, str) else output
