"""Classifies answers by their route's objective, and computes burn rates from metrics.

Gateways count each answer in the metric ``OBJECTIVES_METRIC``; ``carobspur report
gateways`` computes the burn rates from the metrics pages of all gateways.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client.parser import text_string_to_metric_families

from ..errors import CarobspurError

OBJECTIVES_METRIC = "carobspur_objectives"
_TOTAL = OBJECTIVES_METRIC + "_total"
_RETRYABLE_STATUSES = (408, 421, 429)
"""Client errors that count as missed: the caller may send the same request again."""


class Objective(StrEnum):
    """Whether an answer met its route's objective."""

    MET = "met"
    LATE = "late"
    MISSED = "missed"
    """The answer was a refusal or a failure, or it was cut off."""


class MetricsPageError(CarobspurError):
    """A text is not a page of metrics in the Prometheus format."""

    cause = "metrics_page"


@dataclass(frozen=True, slots=True)
class Served:
    """Result of a call that was answered.

    Attributes:
        status: HTTP status of the answer.
        is_on_time: Whether it met the target latency of its route and, if it is a
            stream, had no gap longer than permitted.
    """

    status: int
    is_on_time: bool


@dataclass(frozen=True, slots=True)
class KindBurn:
    """Burn rate of one kind of route.

    Attributes:
        kind: Kind of route.
        answers: Answers that count towards the objective.
        late: Answers that were complete but late.
        missed: Answers that were refused, failed or incomplete.
        rate: Share of late and missed answers divided by the share that the objective
            allows; 1 uses up exactly the error budget.
    """

    kind: str
    answers: int
    late: int
    missed: int
    rate: float


def objective_of(status: int, *, is_on_time: bool) -> Objective | None:
    """Classify an answer; ``None`` if it does not count, as the caller caused it.

    Args:
        status: HTTP status of the answer; 0 if the caller disconnected before it.
        is_on_time: Whether it was complete and on time.
    """
    if not status or (400 <= status < 500 and status not in _RETRYABLE_STATUSES):
        return None
    if status >= 300:
        return Objective.MISSED
    return Objective.MET if is_on_time else Objective.LATE


def burn_rates(pages: Iterable[str], *, objective_share: float) -> list[KindBurn]:
    """Return the burn rate of each kind of route since the gateways started.

    Args:
        pages: Metrics pages of the gateways, one each.
        objective_share: Share of answers that must meet their objective; below 1.

    Raises:
        MetricsPageError: A page is not in the metrics format.
    """
    counts: Counter[tuple[str, str]] = Counter()
    for page in pages:
        counts.update(_counts(page))
    return [
        _kind_burn(kind, counts, allowed=1.0 - objective_share)
        for kind in sorted({kind for kind, _ in counts})
    ]


def _kind_burn(
    kind: str, counts: Counter[tuple[str, str]], *, allowed: float
) -> KindBurn:
    late, missed = (counts[kind, item] for item in (Objective.LATE, Objective.MISSED))
    answers = counts[kind, Objective.MET] + late + missed
    share = (late + missed) / answers if answers else 0.0
    return KindBurn(kind, answers, late, missed, share / allowed)


def _counts(page: str) -> Counter[tuple[str, str]]:
    """Return the number of answers on a page by kind of route and outcome."""
    counts: Counter[tuple[str, str]] = Counter()
    try:
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name == _TOTAL:
                    key = sample.labels["kind"], sample.labels["outcome"]
                    counts[key] += int(sample.value)
    except (ValueError, KeyError) as error:
        raise MetricsPageError(
            f"cannot read the text as Prometheus metrics: {error}"
        ) from error
    return counts
