"""Requests and work that an endpoint still has to do; pure.

It handles load that this gateway sees only in part: of 37 gateways in four data
centres it hears nine, and an endpoint's own report is often seconds old. It also
handles reports of a load that is not there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

HIDDEN_WEIGHT = 0.5
HIDDEN_HALF_LIFE_S = 2.0
"""Time after which half of the requests found in a report count: that of some turns."""
CREDIBILITY_WEIGHT = 0.3
CREDIBILITY_HALF_LIFE_S = 30.0
"""Time after which half of the lost credibility has returned. Reports that no longer
count are not measured, so that credibility would never return otherwise."""
OVERDUE_FACTOR = 2.0
OVERDUE_SHARE = 0.7
"""A request under way for more than this factor times its expected time shows that the
endpoint is slow; the share discounts the random variation of a single request."""


@dataclass(slots=True, eq=False)
class SentRequest:
    """One request of this gateway at an endpoint.

    Attributes:
        sent_at: Loop time at which it was sent.
        expected_ms: Expected time until it is complete.
        work_ms: Part of that which is its own work at the usual speed.
        speed: Expected speed factor of the endpoint when it was sent.
        footprint: Tokens of engine memory that it needs.
        uncached_tokens: Expected prompt tokens that the engine has to prefill.
        is_generating: Whether its first event has arrived.
        progress: Share of its work that is done, from its events.
    """

    sent_at: float
    expected_ms: float
    work_ms: float
    speed: float = 1.0
    footprint: int = 0
    uncached_tokens: float = 0.0
    is_generating: bool = False
    progress: float = 0.0

    def remaining_ms(self, now: float) -> float:
        """Return the work that is left, at the usual speed of its service."""
        # Comparisons instead of ``max``: this runs for each open request per decision.
        work_ms = self.work_ms
        if self.is_generating:
            left = 1 - self.progress
            return work_ms * (left if left > 0.05 else 0.05)
        waited_ms = self.expected_ms - work_ms * self.speed
        done_ms = (1000 * (now - self.sent_at) - waited_ms) / self.speed
        if done_ms <= 0:
            return work_ms
        # A request that is overdue is taken to need a fifth of its work still.
        left_ms = work_ms - done_ms
        return left_ms if left_ms > 0.2 * work_ms else 0.2 * work_ms


@dataclass(slots=True, eq=False)
class EndpointBacklog:
    """Own requests at an endpoint, and what its reports say about other gateways'.

    Attributes:
        sent: This gateway's requests under way, counted from the decision on.
        reported_at: Loop time of the newest load report.
    """

    sent: list[SentRequest] = field(default_factory=list)
    reported_at: float = -1.0
    _hidden: float = 0.0
    _hidden_at: float = 0.0
    _credibility: float = 1.0
    _credibility_at: float = 0.0

    def record_report(
        self, reported: float, counted: int, *, reported_at: float, now: float
    ) -> float | None:
        """Record a load report and return the requests in it that were not counted.

        Returns ``None`` for a report that is already known.

        Args:
            reported: Requests that the endpoint reported, queued ones included.
            counted: Requests that this gateway and its peers counted there.
            reported_at: Loop time of the report.
            now: Loop time.
        """
        if reported_at <= self.reported_at:
            return None
        self.reported_at = reported_at
        known = self.hidden(now)
        excess = max(0.0, reported - counted)
        self._hidden = known + HIDDEN_WEIGHT * (excess - known)
        self._hidden_at = now
        return excess

    def hidden(self, now: float) -> float:
        """Return the expected requests that neither this gateway nor a peer counts."""
        if not self._hidden:
            return 0.0
        passed_s = max(0.0, now - self._hidden_at)
        return self._hidden * 0.5 ** (passed_s / HIDDEN_HALF_LIFE_S)

    def credibility(self, now: float) -> float:
        """Return the share of the additionally reported requests that counts."""
        if self._credibility == 1.0:
            return 1.0
        passed_s = max(0.0, now - self._credibility_at)
        lost = (1 - self._credibility) * 0.5 ** (passed_s / CREDIBILITY_HALF_LIFE_S)
        return 1 - lost

    def record_wait(self, predicted_ms: float, actual_ms: float, now: float) -> None:
        """Record how long a request waited for which a queue was predicted.

        Args:
            predicted_ms: Predicted time in the reported queue; positive.
            actual_ms: Measured time.
            now: Loop time.
        """
        known = self.credibility(now)
        share = min(max(actual_ms / predicted_ms, 0.0), 1.0)
        self._credibility = known + CREDIBILITY_WEIGHT * (share - known)
        self._credibility_at = now

    def overdue_factor(self, now: float) -> float:
        """Return the speed factor that overdue requests show; 0 if none is overdue.

        Turns whose events arrive are left out: the pace of the events shows a slow
        engine, while a long answer or a caller that reads slowly does not.
        """
        worst = 0.0
        for item in self.sent:
            if item.is_generating:
                continue
            elapsed_ms = 1000 * (now - item.sent_at)
            if elapsed_ms > OVERDUE_FACTOR * item.expected_ms:
                ratio = elapsed_ms / max(item.expected_ms, 1.0)
                worst = max(worst, OVERDUE_SHARE * ratio * item.speed)
        return worst
