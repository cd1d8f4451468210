"""How often an endpoint fails, from the answers of many gateways; pure.

The load it answers: an endpoint that resets every request at once while its health
check is good. It looks idle, so every gateway would go on to send work there until it
has found out for itself; with many gateways that costs hundreds of calls that may not
be repeated. Gateways tell each other what failed, so that a few failures suffice.
"""

from __future__ import annotations

from dataclasses import dataclass

HALF_LIFE_S = 1.0
"""Time after which an outcome counts half: a failure is forgotten after some 5 s, in
which an endpoint that crashed has restarted."""
PRIOR_FAILURES = 0.02
PRIOR_ANSWERS = 0.98
"""What counts for an endpoint that nothing is known of: one request, nearly good."""
NEGLIGIBLE_FAILURES = 0.05
"""Failures below this count as none: four half-lives of one."""


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of one endpoint at one gateway; older ones count less.

    Attributes:
        answered: Good answers.
        failed: Requests without an answer that counts.
        counted_at: Loop time at which both were counted.
    """

    answered: float = 0.0
    failed: float = 0.0
    counted_at: float = 0.0

    def record(self, now: float, *, is_failure: bool) -> None:
        """Count one more outcome."""
        self._decay(now)
        if is_failure:
            self.failed += 1
        else:
            self.answered += 1

    def at(self, now: float) -> tuple[float, float]:
        """Return answers and failures as they count now; none without a failure."""
        self._decay(now)
        return (
            (self.answered, self.failed)
            if self.failed > NEGLIGIBLE_FAILURES
            else (0.0, 0.0)
        )

    def _decay(self, now: float) -> None:
        left = 0.5 ** (max(0.0, now - self.counted_at) / HALF_LIFE_S)
        self.answered *= left
        self.failed *= left
        self.counted_at = now


def failure_share(answered: float, failed: float) -> float:
    """Return the share of requests that are likely to fail beyond the usual.

    Args:
        answered: Good answers, as they count now.
        failed: Failures, as they count now.
    """
    total = answered + failed + PRIOR_ANSWERS + PRIOR_FAILURES
    return max(0.0, (failed + PRIOR_FAILURES) / total - PRIOR_FAILURES)
