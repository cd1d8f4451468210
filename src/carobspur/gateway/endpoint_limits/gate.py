"""Applies the rate limits that endpoints name to the requests of this gateway."""

from __future__ import annotations

import math

from ..calls import AnswerHead
from ..decisions import DecisionLog
from ..endpoints import Endpoint
from ..load_sharing import name_hash
from ..telemetry import Telemetry
from .statements import LimitChange, LimitStatements, Statement


class EndpointLimitGate:
    """Reads the limits in endpoints' answers.

    Args:
        log: Decision log.
        telemetry: Metrics.
    """

    __slots__ = ("_log", "_statements", "_telemetry")

    def __init__(self, log: DecisionLog, telemetry: Telemetry) -> None:
        self._log = log
        self._telemetry = telemetry
        self._statements = LimitStatements()
        telemetry.endpoint_limits.set_function(lambda: len(self._statements))

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
        self._record(endpoint.key, endpoint.id, Statement(rate_per_s, now), now)

    def forget(self, key: str) -> None:
        """Delete what is known of an endpoint that was removed."""
        self._statements.forget(name_hash(key))

    def _record(
        self, key: str, endpoint_id: str, statement: Statement, now: float
    ) -> None:
        endpoint = name_hash(key)
        before = self._statements.rate_per_s(endpoint)
        change = self._statements.record(endpoint, statement)
        if change is None:
            return
        self._telemetry.endpoint_limit_changes.labels(change.value).inc()
        age_s = self._statements.age_s(endpoint, now)
        self._log.record(
            "endpoint_limit",
            endpoint=endpoint_id,
            state=change.value,
            rate_per_s=statement.rate_per_s,
            before_per_s=None if change is LimitChange.STARTED else before,
            is_own=statement.is_own,
            told_ms=round(1000 * (now - statement.stated_at)),
            age_s=round(age_s, 2),
        )
