"""Callers of the soak: programs of turns and tool calls, through random gateways."""

from __future__ import annotations

import asyncio
import itertools
import random

from tests.platform_world import CallerAnswer, call, request_headers

from .deployment import SoakWorld
from .guarantees import CallLog, SentCall

BUDGET = 400
MAX_TOKENS = 50
MAX_ATTEMPTS = 6
RETRY_S = 0.3
CALL_TIMEOUT_S = 5.0
MAX_THINK_S = 0.1
"""Longest pause between a turn and its tool calls."""
OUTPUT = b"".join(b"token %d\n" % number for number in range(1, 5))


class Caller:
    """Runs one program after the other.

    Args:
        world: The deployment.
        call_log: Records every answer.
        rng: Source of all random choices.
        number: Number of this caller; part of its programs' names.
    """

    def __init__(
        self, world: SoakWorld, call_log: CallLog, rng: random.Random, number: int
    ) -> None:
        self._world = world
        self._call_log = call_log
        self._rng = rng
        self._names = (f"c{number}-{item}" for item in itertools.count())

    async def run(self, stopped: asyncio.Event) -> None:
        """Run programs until ``stopped`` is set; the last program is completed."""
        while not stopped.is_set():
            program = next(self._names)
            if self._rng.random() < 0.5:
                await self._run_stored_turns(program)
            else:
                await self._run_full_prompts(program)

    async def _run_stored_turns(self, program: str) -> None:
        """Run turns whose history the system stores; each sends only its new input.

        Ends early when a turn fails in all its attempts.
        """
        history, previous = b"", ""
        for number in range(self._rng.randint(1, 5)):
            text = f"{program} input {number};".encode()
            for _ in range(MAX_ATTEMPTS):
                sent = await self._send(
                    "/chat/a", text, program=program, previous=previous, history=history
                )
                if sent.answer.status == 200 and sent.answer.is_whole:
                    break
                await asyncio.sleep(RETRY_S)
            else:
                return
            history, previous = history + text + OUTPUT, sent.id
            await self._run_tool_calls()

    async def _run_full_prompts(self, program: str) -> None:
        """Run turns that each send the whole prompt; some programs exceed their budget.

        Ends early when the budget is spent (402).
        """
        for number in range(self._rng.randint(3, 14)):
            text = f"{program} prompt {number};".encode()
            sent = await self._send("/walk/a", text, program=program)
            if sent.answer.status == 402:
                return
            await self._run_tool_calls()

    async def _run_tool_calls(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, MAX_THINK_S))
        for kind in ("read", "pay"):
            if self._rng.random() < 0.6:
                await self._send(f"/{kind}/{self._rng.randrange(10**6)}", b"")

    async def _send(
        self,
        path: str,
        body: bytes,
        *,
        program: str = "",
        previous: str = "",
        history: bytes = b"",
    ) -> SentCall:
        headers = request_headers(deadline_ms=3000)
        if program:
            headers |= {
                "Program-Id": program,
                "Token-Budget": str(BUDGET),
                "Token-Usage": f"10,{MAX_TOKENS}",
            }
        if previous:
            headers["Previous-Turn"] = previous
        gateway = self._rng.choice(self._world.processes)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await call(
                    gateway.ports["callers"], path, body=body, headers=headers
                )
        except (TimeoutError, ConnectionError):
            answer = CallerAnswer(0, {}, b"", False)
        sent = SentCall(
            headers["Request-Id"],
            path,
            answer,
            body=history + body,
            program=program,
            budget=BUDGET if program else 0,
            previous=previous,
        )
        self._call_log.record(sent)
        return sent
