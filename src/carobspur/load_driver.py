"""Runs programs against a deployment over HTTP, with open-loop arrivals."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from .clock import Clock
from .endpoints import ModelInput
from .engine_messages import EngineAccount
from .errors import CarobspurError
from .http import HttpClient, HttpRequest, HttpResponse
from .workload import (
    Arrival,
    ModelTurn,
    PauseTurn,
    ProgramPlan,
    SubAgentTurn,
    ToolTurn,
    Turn,
)

CALL_TIMEOUT_S = 60.0
MAX_CONNECTION_ATTEMPTS = 20
RECONNECT_DELAY_S = 0.2
DEFAULT_RETRY_AFTER_S = 1.0
HTTP_REFUSAL_STATUSES = frozenset({429, 503})


class Outcome(StrEnum):
    """How a program ended for its caller."""

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one program at its caller.

    Attributes:
        agent: Name of the program's agent.
        intended_s: Intended start, in seconds after the start of the run.
        latency_s: Seconds from the intended start to the last answer.
        outcome: How the program ended.
        refusals: Refused requests, including those whose retry succeeded.
        reason: Why the program failed or was refused; empty if it completed.
    """

    agent: str
    intended_s: float
    latency_s: float
    outcome: Outcome
    refusals: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Target:
    """A deployment to run programs against.

    Attributes:
        name: Name in the report, usually that of its policy.
        entries: Base URLs of entry processes that return the instances' addresses.
        engines: Base URLs of the engines, whose usage counters are read.
        key: Secret caller key of the organisation.
    """

    name: str
    entries: Sequence[str]
    engines: Sequence[str]
    key: str


class _ProgramAbortedError(Exception):
    """A program ended before its last answer; carries the outcome to report."""

    def __init__(self, outcome: Outcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class AddressCache:
    """Client-side cache of the instances' addresses.

    Args:
        client: The HTTP client.
        clock: Source of time.
        target: The deployment.
        rng: Source of randomness for the choice among the addresses.
    """

    __slots__ = ("_client", "_clock", "_base_urls", "_rng", "_target", "_expires_s")

    def __init__(
        self, client: HttpClient, clock: Clock, target: Target, rng: random.Random
    ) -> None:
        self._client = client
        self._clock = clock
        self._target = target
        self._rng = rng
        self._base_urls: list[str] = list(target.entries)
        self._expires_s = float("-inf")

    def expire(self) -> None:
        """Make the next :meth:`choose` refresh the addresses."""
        self._expires_s = float("-inf")

    async def choose(self) -> str:
        """Return the base URL of a random instance, after a refresh if one is due.

        While a refresh is under way, other requests use the old addresses.
        """
        now_s = self._clock.monotonic()
        if now_s >= self._expires_s:
            self._expires_s = now_s + DEFAULT_RETRY_AFTER_S
            await self._refresh()
        return self._rng.choice(self._base_urls)

    async def _refresh(self) -> None:
        entries = [*self._target.entries]
        self._rng.shuffle(entries)
        headers = {"Authorization": f"Bearer {self._target.key}"}
        for entry in entries:
            message = HttpRequest("GET", f"{entry}/v1/addresses", headers=headers)
            try:
                response = await self._client.fetch(message)
            except CarobspurError:
                continue
            if response.status == 200:
                answer = msgspec.json.decode(response.body)
                found = answer["addresses"]
                self._base_urls = [
                    f"http://{item['host']}:{item['port']}" for item in found
                ]
                self._expires_s = self._clock.monotonic() + answer["keep_s"]
                return


@dataclass(slots=True, eq=False)
class _RunningProgram:
    """State of a program that is running.

    Attributes:
        plan: What the program does.
        name: Unique name; its idempotency key, and part of its prompts.
        deadline_s: Clock time after which refused requests are not retried.
        id: Id that the deployment gave it.
        calls: Number of its calls so far.
        refusals: Refused requests so far.
        has_begun: Whether a call of the program or of its parent has completed.
    """

    plan: ProgramPlan
    name: str
    deadline_s: float
    id: str = ""
    calls: int = 0
    refusals: int = 0
    has_begun: bool = False


@dataclass(slots=True)
class LoadDriver:
    """Starts programs at their intended times and measures each of them.

    Attributes:
        client: The HTTP client.
        clock: Source of time.
        target: The deployment.
        patience_s: Seconds after a program's intended start until which its caller
            retries refused requests.
        seed: Seed of the driver's own random choices; part of the idempotency keys.
    """

    client: HttpClient
    clock: Clock
    target: Target
    patience_s: float
    seed: int = 0
    _addresses: AddressCache = field(init=False)
    _end_requests: list[asyncio.Future[Any]] = field(init=False, default_factory=list)

    def __post_init__(self) -> None:
        """Create the cache of addresses."""
        rng = random.Random(self.seed)
        self._addresses = AddressCache(self.client, self.clock, self.target, rng)

    async def run(self, arrivals: Sequence[Arrival]) -> list[Sample]:
        """Run all programs until they end; starts never wait for earlier programs."""
        start_s = self.clock.monotonic()
        tasks = []
        for number, arrival in enumerate(arrivals):
            wait_s = start_s + arrival.at_s - self.clock.monotonic()
            if wait_s > 0:
                await self.clock.sleep(wait_s)
            running = self._measure_program(f"{self.seed}-{number}", arrival, start_s)
            tasks.append(asyncio.ensure_future(running))
        samples = await asyncio.gather(*tasks)
        await asyncio.gather(*self._end_requests, return_exceptions=True)
        return list(samples)

    async def accounts(self) -> list[EngineAccount]:
        """Return the usage counters of all engines that answer."""
        found = []
        for engine in self.target.engines:
            try:
                response = await self.client.fetch(
                    HttpRequest("GET", f"{engine}/v1/account")
                )
            except CarobspurError:
                continue
            found.append(msgspec.json.decode(response.body, type=EngineAccount))
        return found

    async def _measure_program(
        self, name: str, arrival: Arrival, start_s: float
    ) -> Sample:
        intended_s = start_s + arrival.at_s
        program = _RunningProgram(arrival.plan, name, intended_s + self.patience_s)
        outcome, reason = Outcome.COMPLETED, ""
        try:
            await self._run_program(program, parent="")
        except _ProgramAbortedError as error:
            outcome, reason = error.outcome, error.reason
        latency_s = self.clock.monotonic() - intended_s
        plan = arrival.plan
        return Sample(
            plan.agent, arrival.at_s, latency_s, outcome, program.refusals, reason
        )

    async def _run_program(self, program: _RunningProgram, *, parent: str) -> None:
        body = {"agent": program.plan.agent, "parent": parent}
        answer = await self._request(
            program, "POST", "/v1/programs", body, key=program.name
        )
        program.id = answer["program"]
        try:
            for number, turn in enumerate(program.plan.turns):
                await self._run_turn(program, number, turn)
        finally:
            end_request = self._request(program, "DELETE", f"/v1/programs/{program.id}")
            self._end_requests.append(asyncio.ensure_future(end_request))

    async def _run_turn(
        self, program: _RunningProgram, number: int, turn: Turn
    ) -> None:
        match turn:
            case ModelTurn(prompt_tokens, output_tokens):
                prompt = f"{program.name}.{number} " + "word " * (prompt_tokens - 1)
                content = ModelInput(prompt, output_tokens)
                await self._run_call(program, program.plan.model, content)
            case ToolTurn(endpoint):
                await self._run_call(
                    program, endpoint, {"program": program.name, "turn": number}
                )
            case PauseTurn(seconds):
                await self.clock.sleep(seconds)
            case SubAgentTurn(plan):
                child = _RunningProgram(
                    plan, f"{program.name}.{number}", program.deadline_s
                )
                child.has_begun = program.has_begun
                await self._run_program(child, parent=program.id)
                program.refusals += child.refusals

    async def _run_call(
        self, program: _RunningProgram, endpoint: str, content: Any
    ) -> None:
        program.calls += 1
        path = f"/v1/programs/{program.id}/calls/{program.calls}"
        await self._request(
            program, "POST", path, {"endpoint": endpoint, "input": content}
        )
        program.has_begun = True

    async def _request(
        self,
        program: _RunningProgram,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str = "",
    ) -> Any:
        """Send a request until it is answered; all requests are idempotent.

        Raises:
            _ProgramAbortedError: Connections keep failing, the response is an error,
                or the program's deadline would pass before the next retry.
        """
        headers = {
            "Authorization": f"Bearer {self.target.key}",
            "Carobspur-User": program.plan.user,
            "Idempotency-Key": key,
        }
        content = None if body is None else msgspec.json.encode(body)
        attempts = 0
        while True:
            url = await self._addresses.choose()
            message = HttpRequest(method, url + path, content, headers, CALL_TIMEOUT_S)
            try:
                response = await self.client.fetch(message)
            except CarobspurError as error:
                attempts += 1
                self._addresses.expire()
                if attempts == MAX_CONNECTION_ATTEMPTS:
                    raise _ProgramAbortedError(Outcome.FAILED, error.message) from error
                await self.clock.sleep(RECONNECT_DELAY_S)
                continue
            if response.status in HTTP_REFUSAL_STATUSES:
                await self._wait_for_retry(program, response)
                continue
            if response.status >= 400:
                raise _ProgramAbortedError(Outcome.FAILED, response.body.decode())
            return msgspec.json.decode(response.body) if response.body else None

    async def _wait_for_retry(
        self, program: _RunningProgram, response: HttpResponse
    ) -> None:
        """Wait as long as a refusal says, or abort the program at its deadline."""
        program.refusals += 1
        retry_s = float(response.headers.get("Retry-After", DEFAULT_RETRY_AFTER_S))
        if self.clock.monotonic() + retry_s > program.deadline_s:
            outcome = Outcome.FAILED if program.has_begun else Outcome.REFUSED
            raise _ProgramAbortedError(outcome, response.body.decode())
        await self.clock.sleep(retry_s)
