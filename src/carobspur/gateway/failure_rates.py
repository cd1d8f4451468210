"""Estimates how often an endpoint fails, from the answers of many gateways; pure.

An endpoint may reset every request at once while its health check passes. Its load is
then low, so each gateway would prefer it until it has seen failures of its own; with
many gateways that costs hundreds of calls that may not be repeated. Gateways therefore
report failures to each other, and a few failures are enough for all of them.
"""

from __future__ import annotations

from dataclasses import dataclass

HALF_LIFE_S = 1.0
"""Time after which the weight of an outcome has halved: a failure counts for about 5 s,
the time in which a crashed endpoint restarts."""
PRIOR_FAILURES = 0.02
PRIOR_ANSWERS = 0.98
"""Prior of the estimate, added to the counted outcomes: one request that failed with a
probability of 2 %."""
NEGLIGIBLE_FAILURES = 0.05
"""Counts below this are treated as no failures: a single failure after a little more
than four half-lives."""


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of one gateway's requests to one endpoint, with exponential decay.

    Attributes:
        answered: Decayed number of good answers.
        failed: Decayed number of requests without a valid answer.
        counted_at: Loop time up to which both are decayed.
    """

    answered: float = 0.0
    failed: float = 0.0
    counted_at: float = 0.0

    def record(self, now: float, *, is_failure: bool) -> None:
        """Count the outcome of a request.

        Args:
            now: Loop time.
            is_failure: Whether the endpoint failed, rather than gave a good answer.
        """
        self._decay(now)
        if is_failure:
            self.failed += 1
        else:
            self.answered += 1

    def at(self, now: float) -> tuple[float, float]:
        """Return the decayed answers and failures; both 0 without recent failures.

        Args:
            now: Loop time.
        """
        self._decay(now)
        return (
            (self.answered, self.failed)
            if self.failed > NEGLIGIBLE_FAILURES
            else (0.0, 0.0)
        )

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.counted_at) / HALF_LIFE_S)
        self.answered *= factor
        self.failed *= factor
        self.counted_at = now


def failure_share(answered: float, failed: float) -> float:
    """Return the expected share of failing requests above that of the prior.

    Args:
        answered: Decayed number of good answers.
        failed: Decayed number of failures.
    """
    total = answered + failed + PRIOR_ANSWERS + PRIOR_FAILURES
    return max(0.0, (failed + PRIOR_FAILURES) / total - PRIOR_FAILURES)
