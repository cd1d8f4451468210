"""Stand-in for tool services and for plain services."""

from __future__ import annotations

import asyncio

import msgspec

from carobspur.endpoints import CALL_ID_HEADER, FENCE_HEADER, HTTP_FENCED
from carobspur.http import HttpResponse

from .app import Emit, Request, json_response

RUN_PATH = "/v1/run"


class ToolRun(msgspec.Struct, frozen=True):
    """One execution of a call, as ``GET /v1/runs`` reports it."""

    call_id: str
    fence: int
    input: msgspec.Raw


class ToolAnswer(msgspec.Struct, frozen=True):
    """Answer of the tool.

    Attributes:
        receipt: Number of the execution; a repeated one gets another number.
        input: The input, unchanged.
    """

    receipt: int
    input: msgspec.Raw


class ToolService:
    """Executes calls, and answers look-ups of whether a call was executed.

    It does not remove duplicates itself, so tests can count executions.

    Args:
        checks_fencing: Whether a call with an old fencing number is refused (412). The
            number is compared at the moment when the call takes effect, after the
            delay.
        delay_s: Duration of an execution in seconds.

    Attributes:
        runs: All executions in order; a call that is executed twice appears twice.
    """

    def __init__(self, *, checks_fencing: bool = False, delay_s: float = 0.0) -> None:
        self._checks_fencing = checks_fencing
        self._delay_s = delay_s
        self._fences: dict[str, int] = {}
        self._answers: dict[str, bytes] = {}
        self._running: set[asyncio.Task[HttpResponse]] = set()
        self.runs: list[ToolRun] = []

    async def handle(self, request: Request, emit: Emit) -> HttpResponse:
        """Answer a call, a look-up by call id, or a request for all executions."""
        if request.path == "/v1/runs":
            return json_response(self.runs)
        if request.path.startswith(RUN_PATH + "/"):
            return self._look_up(request)
        if request.path == RUN_PATH:
            return await self._run(request)
        return HttpResponse(404, b"")

    def _look_up(self, request: Request) -> HttpResponse:
        call_id = request.path.removeprefix(RUN_PATH + "/")
        fence = int(request.headers.get(FENCE_HEADER, "0"))
        self._fences[call_id] = max(fence, self._fences.get(call_id, 0))
        if call_id not in self._answers:
            return HttpResponse(404, b"")
        return self._answer(call_id)

    async def _run(self, request: Request) -> HttpResponse:
        """Execute a call to its end, even if its sender stops waiting."""
        running = asyncio.ensure_future(self._execute(request))
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return await asyncio.shield(running)

    async def _execute(self, request: Request) -> HttpResponse:
        call_id = request.headers.get(CALL_ID_HEADER, "")
        fence = int(request.headers.get(FENCE_HEADER, "0"))
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        if self._checks_fencing and fence < self._fences.get(call_id, 0):
            return HttpResponse(HTTP_FENCED, b"")
        self._fences[call_id] = max(fence, self._fences.get(call_id, 0))
        self.runs.append(ToolRun(call_id, fence, msgspec.Raw(request.body)))
        content = ToolAnswer(len(self.runs), msgspec.Raw(request.body))
        self._answers[call_id] = msgspec.json.encode(content)
        return self._answer(call_id)

    def _answer(self, call_id: str) -> HttpResponse:
        return HttpResponse(200, self._answers[call_id], {CALL_ID_HEADER: call_id})
