"""Guarantees that must hold under all faults.

They are checked on the answers that callers got and the requests that replicas
executed. A violated guarantee is a complaint.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.platform_world import TOKENS_PER_EVENT, CallerAnswer, World

NOT_RUN_STATUSES = (402, 408, 421, 429, 503)
"""Statuses by which a gateway guarantees that the request was not executed."""


@dataclass(slots=True)
class SentCall:
    """One request of a caller and its answer.

    Attributes:
        id: Request id.
        path: Path of the request.
        answer: The answer; status 0 where there was none.
        body: Body that a replica must receive: the stored history and the new input.
            Empty where it is not checked.
        program: Program of a turn; empty for tool calls.
        budget: Token budget of the program.
        previous: Id of the turn that it continues; empty for the first.
    """

    id: str
    path: str
    answer: CallerAnswer
    body: bytes = b""
    program: str = ""
    budget: int = 0
    previous: str = ""


@dataclass(slots=True)
class CallLog:
    """All calls of a run, and the complaints about them.

    Attributes:
        calls: Calls in the order of their answers.
        committed_turns: Ids of the turns whose answers were complete.
        complaints: Violated guarantees, one sentence each.
    """

    calls: list[SentCall] = field(default_factory=list)
    committed_turns: set[str] = field(default_factory=set)
    complaints: list[str] = field(default_factory=list)

    def record(self, call: SentCall) -> None:
        """Record a call and check what its answer shows by itself."""
        self.calls.append(call)
        answer = call.answer
        if answer.status == 200 and answer.is_whole:
            self._check_whole(call)
        if answer.status == 404:
            self._report_violation(call, "was denied although its route and turn exist")

    def check_whole_run(self, world: World) -> None:
        """Compare the calls with the replicas' requests, after the last call.

        Checks that nothing is executed unasked, refused calls are not executed, calls
        that may not be repeated are executed at most once, replicas receive the right
        body, and no program gets more tokens than its budget.
        """
        runs_by_id: dict[str, list] = {}
        for replica in world.replicas.values():
            for request in replica.ran:
                runs_by_id.setdefault(request.headers.get("request-id", ""), []).append(
                    request
                )
        known = {call.id for call in self.calls}
        for request_id in runs_by_id.keys() - known:
            self.complaints.append(f"{request_id} ran and no caller has sent it")
        for call in self.calls:
            self._check_runs(call, runs_by_id.get(call.id, []))
        self._check_budgets()

    def _check_whole(self, call: SentCall) -> None:
        body = call.answer.body
        if "response-signature" not in call.answer.headers:
            self._report_violation(call, "was answered without a signature")
        if call.path.startswith(("/read/", "/pay/")):
            if not body.endswith(call.path.encode()):
                self._report_violation(call, f"got another request's answer: {body!r}")
            return
        lines = body.split(b"\n\n")[:-1]
        numbers = [line.split(b"\n")[0] for line in lines]
        if numbers != [b"id: %d" % number for number in range(1, 5)]:
            self._report_violation(call, f"got a wrong stream: {numbers}")
        if call.path.startswith("/chat/"):
            self.committed_turns.add(call.id)

    def _check_runs(self, call: SentCall, runs: list) -> None:
        if runs and call.answer.status in NOT_RUN_STATUSES:
            self._report_violation(
                call, f"was refused with {call.answer.status} and has run"
            )
        if call.path.startswith(("/pay/", "/chat/")) and len(runs) > 1:
            self._report_violation(call, f"ran {len(runs)} times")
        for run in runs:
            if call.body and run.body != call.body:
                self._report_violation(call, "an engine was given another body")

    def _check_budgets(self) -> None:
        events_received: dict[str, int] = {}
        budgets = {}
        for call in self.calls:
            if call.program and call.budget:
                events = call.answer.body.count(b"\n\n")
                events_received[call.program] = (
                    events_received.get(call.program, 0) + events
                )
                budgets[call.program] = call.budget
        for program, events in events_received.items():
            if events * TOKENS_PER_EVENT > budgets[program]:
                self.complaints.append(
                    f"{program}: {events * TOKENS_PER_EVENT} tokens were handed out "
                    f"of {budgets[program]}"
                )

    def _report_violation(self, call: SentCall, text: str) -> None:
        self.complaints.append(f"{call.path} {call.id}: {text}")
