"""Keeps requests that crash endpoints away from the endpoints that are left."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ..admission.request_gate import RequestGate
from ..calls import Call
from ..customers.customer import Customer
from ..customers.ownership import program_name
from ..decisions import DecisionLog
from ..endpoints import Endpoint, EndpointIndex
from ..health import HealthTracker
from ..load_sharing import name_hash
from ..objectives import Served
from ..refusals import QuarantinedError
from ..routes import Route, RouteKind
from ..telemetry import Telemetry
from .crash_history import MAX_SUSPECTS, CrashHistory, Verdict
from .messages import Acquittal, AnsweredTargets, CrashMessage, CrashReport
from .request_identity import RequestIdentity

REPEATS_S = (0.3, 1.5)
"""Delays after which a report is sent again, as datagrams may be lost."""
TOLD_TTL_S = 10.0
"""Time for which the peers need not be told again that a target is answered."""
MAX_TOLD_TARGETS = 4096
"""Most targets of which it is remembered that the peers were told."""
MAX_TELL_DELAY_S = 0.05
MAX_TOLD_CRASHES = 64
"""Most crashes that a peer that has just become alive is told."""


@dataclass(frozen=True, slots=True)
class _Block:
    """Why a request may not be sent to an endpoint now."""

    identity: RequestIdentity
    verdict: Verdict
    state: str
    retry_after_s: float


class QuarantineGate(RequestGate):
    """Refuses requests in quarantine, and suspected ones while endpoints are missing.

    Args:
        history: Crashes with their suspects.
        endpoints: Registered endpoints.
        health: Requests under way at endpoints.
        name: Name of this gateway's process.
        broadcast: Sends a message to all other gateways.
        log: Decision log.
        telemetry: Metrics.
    """

    __slots__ = (
        "_broadcast",
        "_endpoints",
        "_health",
        "_history",
        "_log",
        "_name",
        "_telemetry",
        "_told_at",
    )

    def __init__(
        self,
        history: CrashHistory,
        endpoints: EndpointIndex,
        health: HealthTracker,
        *,
        name: str,
        broadcast: Callable[[CrashMessage], None],
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self._history = history
        self._endpoints = endpoints
        self._health = health
        self._name = name
        self._broadcast = broadcast
        self._log = log
        self._telemetry = telemetry
        # Loop time at which the peers were told that a target is answered.
        self._told_at: dict[int, float] = {}
        telemetry.quarantined_requests.set_function(lambda: history.convicted)

    async def admit(self, call: Call, route: Route, customer: Customer | None) -> None:
        """Let a request pass or refuse it; see :class:`RequestGate`."""
        self.check(call, route)

    def finished(self, call: Call, route: Route, served: Served | None) -> None:
        """Acquit a request that was answered completely."""
        if served is None:
            return
        now = asyncio.get_running_loop().time()
        identity = RequestIdentity.of(call)
        if self._history.acquit(identity, now):
            self._log.record(
                "request_acquitted",
                request=call.id,
                digest=f"{identity.request:016x}",
                target=f"{identity.target:016x}",
            )
            self._broadcast(Acquittal(self._name, identity.request, identity.target))

    def check(self, call: Call, route: Route) -> None:
        """Raise the refusal of a request that may not be sent to an endpoint now.

        Raises:
            QuarantinedError: It has crashed endpoints, or may have crashed one while
                too few are left.
        """
        block = self._block(call, route)
        if block is not None:
            self._refuse(call, block)

    def blocks(self, call: Call, route: Route) -> bool:
        """Return whether a request that was lost may not be sent once more."""
        return self._block(call, route) is not None

    def isolate(
        self, endpoints: Sequence[Endpoint], call: Call, now: float
    ) -> Sequence[Endpoint]:
        """Return the endpoints that a request may be sent to.

        For a suspected request this is the one with the fewest requests: all that it
        has are lost if it crashes.
        """
        if self._history.is_empty or not endpoints:
            return endpoints
        if not self._history.verdict(RequestIdentity.of(call), now).is_suspected:
            return endpoints
        alive = [
            item
            for item in endpoints
            if not self._history.has_crashed(name_hash(item.key))
        ]
        return [
            min(
                alive or endpoints,
                key=lambda item: self._health.running(item.key, now) / item.slots,
            )
        ]

    def receive(self, message: CrashMessage) -> None:
        """Record a message of a peer."""
        now = asyncio.get_running_loop().time()
        match message:
            case CrashReport():
                is_new = self._history.record(
                    message.endpoint,
                    message.service,
                    now - message.age_ms / 1000,
                    requests=message.progress,
                    reporter=message.reporter,
                )
                if is_new:
                    self._log.record(
                        "peer_reported_crash",
                        peer=message.reporter,
                        age_ms=message.age_ms,
                        requests=[f"{item.request:016x}" for item in message.requests],
                    )
                self._answer_for(item.target for item in message.requests)
            case AnsweredTargets():
                for target in message.targets:
                    self._history.record_answered(target, now)
                    self._record_told(target, now)
            case Acquittal():
                self._history.acquit(message.identity, now)
                self._record_told(message.target, now)

    def _record_told(self, target: int, now: float) -> None:
        self._told_at.pop(target, None)
        if len(self._told_at) >= MAX_TOLD_TARGETS:
            del self._told_at[next(iter(self._told_at))]
        self._told_at[target] = now

    def _answer_for(self, targets: Iterable[int]) -> None:
        """Tell the peers soon which of these targets are answered here.

        Gateways wait for different times, so that one of them is enough.
        """
        now = asyncio.get_running_loop().time()
        answered = [item for item in targets if self._history.is_answered(item, now)]
        if answered:
            delay_s = random.uniform(0, MAX_TELL_DELAY_S)
            asyncio.get_running_loop().call_later(
                delay_s, self._tell_answered, answered
            )

    def _tell_answered(self, targets: Iterable[int]) -> None:
        now = asyncio.get_running_loop().time()
        for target, told_at in list(self._told_at.items()):
            if now - told_at >= TOLD_TTL_S:
                del self._told_at[target]
        news = [item for item in dict.fromkeys(targets) if item not in self._told_at]
        if news:
            for target in news:
                self._record_told(target, now)
            self._broadcast(AnsweredTargets(self._name, news[:MAX_SUSPECTS]))

    def report_crash(self, report: CrashReport) -> None:
        """Tell the peers about a crash, several times as datagrams may be lost."""
        loop = asyncio.get_running_loop()
        self._broadcast(report)
        self._answer_for(item.target for item in report.requests)
        for delay_s in REPEATS_S:
            loop.call_later(delay_s, self._repeat, report, round(1000 * delay_s))

    def _repeat(self, report: CrashReport, age_ms: int) -> None:
        remaining = {
            request: progress
            for request, progress in report.progress.items()
            if self._history.is_remembered(request)
        }
        if remaining:
            self._broadcast(
                CrashReport.create(
                    self._name,
                    report.endpoint,
                    report.service,
                    remaining,
                    age_ms=age_ms,
                )
            )

    def reports(self) -> list[CrashMessage]:
        """Return what a gateway that has just started is told."""
        now = asyncio.get_running_loop().time()
        answered = self._history.answered_targets(now)
        # Before the crashes, so that no target is convicted in between.
        messages: list[CrashMessage] = [
            AnsweredTargets(self._name, answered[start : start + MAX_SUSPECTS])
            for start in range(0, len(answered), MAX_SUSPECTS)
        ]
        return messages + [
            CrashReport.create(
                self._name,
                endpoint,
                crash.service,
                crash.requests,
                age_ms=round(1000 * max(0.0, now - crash.at)),
            )
            for endpoint, crash in self._history.crashes(now)[-MAX_TOLD_CRASHES:]
        ]

    def _block(self, call: Call, route: Route) -> _Block | None:
        """Return why a request may not be sent to an endpoint now."""
        if self._history.is_empty:
            return None
        now = asyncio.get_running_loop().time()
        identity = RequestIdentity.of(call)
        verdict = self._history.verdict(identity, now)
        if verdict.quarantined_until is not None:
            left_s = verdict.quarantined_until - now
            return _Block(identity, verdict, "quarantined", left_s)
        if verdict.is_suspected:
            depleted_s = self._depleted_s(call, route, now)
            if depleted_s > 0:
                return _Block(identity, verdict, "suspected", depleted_s)
        return None

    def _depleted_s(self, call: Call, route: Route, now: float) -> float:
        """Return for how long as many endpoints are missing as are left, or more.

        It is 0 if fewer are missing.
        """
        is_turn = route.kind is RouteKind.STREAM
        service = route.service_for((is_turn and program_name(call)) or call.id)
        recoveries = self._history.recoveries(name_hash(service), now)
        if not recoveries:
            return 0.0
        left = sum(
            not self._history.has_crashed(name_hash(item.key))
            for item in self._endpoints.usable(service)
        )
        surplus = len(recoveries) - left
        if surplus < 0:
            return 0.0
        return recoveries[min(surplus, len(recoveries) - 1)]

    def _refuse(self, call: Call, block: _Block) -> None:
        identity, verdict = block.identity, block.verdict
        self._telemetry.quarantine_refusals.labels(block.state).inc()
        self._log.record(
            "request_quarantined",
            request=call.id,
            program=call.program.id if call.program else "",
            digest=f"{identity.request:016x}",
            target=f"{identity.target:016x}",
            is_target=verdict.is_target,
            state=block.state,
            crashes=verdict.crashes,
            blame=round(verdict.blame, 2),
            reporters=verdict.reporters,
            retry_after_s=round(block.retry_after_s, 1),
        )
        raise QuarantinedError(
            f"requests with this content were running when {verdict.crashes} endpoints "
            f"crashed ({block.state})",
            retry_after_s=block.retry_after_s,
        )
