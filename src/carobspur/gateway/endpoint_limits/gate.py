"""Applies the rate limits that endpoints name to the requests of this gateway."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from ..admission.programs import ProgramTracker, Stage
from ..calls import AnswerHead, Call
from ..decisions import DecisionLog
from ..endpoints import Endpoint, EndpointIndex
from ..health import HealthTracker
from ..load_sharing import LoadReport, name_hash
from ..refusals import EndpointLimitedError
from ..routes import Route, RouteKind
from ..telemetry import Telemetry
from .decayed_count import WINDOW_S, DecayedCount
from .policy import EndpointLimits, LimitReport
from .statements import LimitChange, Statement

PARTS = {
    Stage.IN_PROGRESS: 1.0,
    Stage.LATE: 1.0,
    Stage.NEW: 0.8,
    Stage.EXPIRED: 0.5,
    Stage.LOOPING: 0.5,
    Stage.LOST: 0.5,
}
"""Part of a limit that requests may use by the stage of their program: programs in
progress go first, as the work that they have had done is lost otherwise."""
HEDGE_PART = 0.5
"""The same for a second copy of a request that is under way."""
MAX_WAIT_SHARE = 0.5
"""Share of its route's target latency for which a request waits for a limit: it can
still be answered on time then."""
WAKE_SPREAD_S = (0.01, 0.05)
"""Bounds of a random time that is added to each wait, so that requests that wait for
the same moment continue one after the other."""
MIN_SPREAD_S = 0.1
MAX_SPREAD_S = 3.0
"""Callers that are refused at the same moment are asked to come back spread over the
time in which the limit admits all of them, within these bounds."""


class EndpointLimitGate:
    """Selects endpoints whose limits admit a request, and refuses it if none does.

    Args:
        endpoints: Registered endpoints.
        health: Requests under way at endpoints.
        log: Decision log.
        telemetry: Metrics.
        group_share: Returns the share of all gateways that exchange load reports with
            this one at a loop time.

    Attributes:
        on_change: Called when an answer has started, changed or ended a limit, so that
            the peers are told at once.
        on_demand: Called for each attempt to choose among limited endpoints, so that
            the peers are told soon.
    """

    __slots__ = (
        "_endpoints",
        "_group_share",
        "_health",
        "_limits",
        "_log",
        "_programs",
        "_refused",
        "_telemetry",
        "on_change",
        "on_demand",
    )

    def __init__(
        self,
        endpoints: EndpointIndex,
        health: HealthTracker,
        log: DecisionLog,
        telemetry: Telemetry,
        *,
        group_share: Callable[[float], float] = lambda now: 1.0,
    ) -> None:
        self._endpoints = endpoints
        self._health = health
        self._log = log
        self._telemetry = telemetry
        self._group_share = group_share
        self._limits = EndpointLimits()
        self._programs = ProgramTracker()
        self._refused = DecayedCount()
        self.on_change: Callable[[], None] = lambda: None
        self.on_demand: Callable[[], None] = lambda: None
        telemetry.endpoint_limits.set_function(lambda: len(self._limits.statements))

    def record_answer(self, endpoint: Endpoint, head: AnswerHead, now: float) -> None:
        """Record what an answer says about its endpoint's limit.

        Only an answer that is certainly the endpoint's own ends a limit: bytes from
        elsewhere name none either.
        """
        rate_per_s = head.rate_limit
        if rate_per_s is None and not (head.is_genuine or head.has_not_run):
            return
        if rate_per_s is not None and math.isnan(rate_per_s):
            self._log.record("endpoint_limit_unreadable", endpoint=endpoint.id)
            return
        statement = Statement(rate_per_s, now)
        key = name_hash(endpoint.key)
        before = self._limits.statements.rate_per_s(key)
        change = self._limits.statements.record(key, statement)
        if change is not None:
            self._report(endpoint.id, key, statement, change, now, before=before)
            self.on_change()

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record what a peer has read and sent."""
        received = LimitReport(report.sender, report.limit_uses, report.limit_demands)
        for key, statement, change in self._limits.record_report(received, now):
            self._report(self._id_of(key), key, statement, change, now)

    def create_report(self, sender: int, now: float) -> LimitReport:
        """Return what to tell the peers; see :meth:`EndpointLimits.report`."""
        return self._limits.report(sender, now)

    def record_send(
        self, endpoint: Endpoint, call: Call, route: Route, now: float
    ) -> None:
        """Count a request that is now sent to an endpoint."""
        self._limits.record_send(name_hash(endpoint.key), now)
        if call.program is not None and not call.was_sent:
            is_turn = route.kind is RouteKind.STREAM
            self._programs.record_admitted(call, route.name, is_turn=is_turn, now=now)

    def forget(self, key: str) -> None:
        """Delete what is known of an endpoint that was removed."""
        self._limits.forget(name_hash(key))

    def allowed(
        self,
        endpoints: Sequence[Endpoint],
        call: Call,
        route: Route,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> Sequence[Endpoint]:
        """Return the endpoints whose limits admit a request now.

        Endpoints without a limit are open to programs in progress, and to others while
        they have a free slot: the requests that limits keep out elsewhere would
        otherwise fill their queues.

        Args:
            endpoints: Candidates of one service.
            call: The request.
            route: Its route.
            now: Loop time.
            is_hedge: Whether it is a second copy of a request under way.
        """
        if not self._limits.are_in_force or not endpoints:
            return endpoints
        if call.limit_part is None:
            call.limit_part = self._part(call, route, now)
        self._limits.record_demand(name_hash(endpoints[0].service), now)
        self.on_demand()
        part = call.limit_part * (HEDGE_PART if is_hedge else 1.0)
        share = self._group_share(now)
        return [
            item
            for item in endpoints
            if (part >= 1 or self._is_limited(item) or self._has_free_slot(item, now))
            and self._limits.admits(
                name_hash(item.key),
                name_hash(item.service),
                now,
                draw=random.random(),
                group_share=share,
                part=part,
            )
        ]

    async def wait(
        self, endpoints: Sequence[Endpoint], call: Call, route: Route, deadline: float
    ) -> bool:
        """Wait until a limit admits a request that no endpoint was allowed for.

        Args:
            endpoints: Candidates of one service.
            call: The request.
            route: Its route.
            deadline: Loop time after which an answer is of no use.

        Returns:
            Whether to choose again; otherwise the request is to be refused, with
            :meth:`refusal` if ``call.limited_for_s`` is set.
        """
        if not endpoints:
            return False
        now = asyncio.get_running_loop().time()
        share = self._group_share(now)
        wait_s = min(
            self._limits.wait_s(
                name_hash(item.key),
                name_hash(item.service),
                now,
                group_share=share,
                part=call.limit_part or 1.0,
            )
            for item in endpoints
        )
        wait_s += random.uniform(*WAKE_SPREAD_S)
        longest_s = MAX_WAIT_SHARE * route.target_latency_s - call.limit_waited_s
        if wait_s > longest_s or now + wait_s >= deadline:
            call.limited_for_s = wait_s
            return False
        self._telemetry.limited_requests.labels("waited").inc()
        call.limit_waited_s += wait_s
        await asyncio.sleep(wait_s)
        return True

    def refusal(self, call: Call, service: str) -> EndpointLimitedError:
        """Return the error for a request that every endpoint's limit keeps out.

        Args:
            call: The request, whose ``limited_for_s`` is set.
            service: Its service.
        """
        now = asyncio.get_running_loop().time()
        self._refused.add(now)
        rate_per_s = self._rate_per_s(service) * self._group_share(now)
        spread_s = WINDOW_S * self._refused.at(now) / max(rate_per_s, 1.0)
        spread_s = min(max(MIN_SPREAD_S, spread_s), MAX_SPREAD_S)
        retry_after_s = call.limited_for_s + random.uniform(0, spread_s)
        self._telemetry.limited_requests.labels("refused").inc()
        self._log.record(
            "endpoints_limited",
            request=call.id,
            program=call.program.id if call.program else "",
            service=service,
            part=call.limit_part,
            rate_per_s=round(rate_per_s, 2),
            waited_ms=round(1000 * call.limit_waited_s),
            wait_ms=round(1000 * call.limited_for_s),
            retry_after_s=round(retry_after_s, 3),
        )
        return EndpointLimitedError(
            f"the endpoints of service {service} take no more requests at present",
            retry_after_s=retry_after_s,
        )

    def _is_limited(self, endpoint: Endpoint) -> bool:
        rate_per_s = self._limits.statements.rate_per_s(name_hash(endpoint.key))
        return rate_per_s is not None

    def _has_free_slot(self, endpoint: Endpoint, now: float) -> bool:
        return self._health.running(endpoint.key, now) < endpoint.slots

    def _part(self, call: Call, route: Route, now: float) -> float:
        if call.program is None:
            return 1.0
        is_turn = route.kind is RouteKind.STREAM
        stage = self._programs.stage(
            call, route.name, is_turn=is_turn, least_s=0.0, now=now
        )
        return PARTS[stage]

    def _rate_per_s(self, service: str) -> float:
        """Return the sum of the limits of a service's endpoints."""
        rates = (
            self._limits.statements.rate_per_s(name_hash(item.key))
            for item in self._endpoints.usable(service)
        )
        return sum(rate for rate in rates if rate is not None)

    def _id_of(self, key: int) -> str:
        """Return the id of an endpoint by its hash, empty for an unknown one."""
        for endpoint_id in self._endpoints.ids():
            endpoint = self._endpoints.get(endpoint_id)
            if endpoint is not None and name_hash(endpoint.key) == key:
                return endpoint_id
        return ""

    def _report(
        self,
        endpoint_id: str,
        key: int,
        statement: Statement,
        change: LimitChange,
        now: float,
        *,
        before: float | None = None,
    ) -> None:
        self._telemetry.endpoint_limit_changes.labels(change.value).inc()
        self._log.record(
            "endpoint_limit",
            endpoint=endpoint_id,
            state=change.value,
            rate_per_s=statement.rate_per_s,
            before_per_s=None if change is LimitChange.STARTED else before,
            is_own=statement.is_own,
            told_ms=round(1000 * (now - statement.stated_at)),
            age_s=round(self._limits.statements.age_s(key, now), 2),
            group_share=round(self._group_share(now), 3),
        )
