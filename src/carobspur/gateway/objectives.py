"""Which answers met their route's objective, and how fast that uses up the rest."""

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


class Objective(StrEnum):
    """How an answer stands to its route's objective."""

    MET = "met"
    LATE = "late"
    MISSED = "missed"
    """Refused, failed or cut."""


class MetricsPageError(CarobspurError):
    """A page of metrics cannot be read."""

    cause = "metrics_page"


@dataclass(frozen=True, slots=True)
class Served:
    """What became of a call that was answered.

    Attributes:
        status: Status of the answer.
        is_on_time: Whether it met the route's times.
    """

    status: int
    is_on_time: bool


@dataclass(frozen=True, slots=True)
class KindBurn:
    """Burn of the objective of one kind of route.

    Attributes:
        kind: The kind.
        answers: Answers that count.
        late: Those that came whole and late.
        missed: Those that did not come whole.
        rate: Share of late and missed answers over the share that may be; 1 uses up
            exactly what the objective allows.
    """

    kind: str
    answers: int
    late: int
    missed: int
    rate: float


def objective_of(status: int, *, is_on_time: bool) -> Objective | None:
    """Return how an answer counts, or ``None`` where the caller's request decided it.

    Args:
        status: Status of the answer; 0 where the caller left before it.
        is_on_time: Whether it came whole within its times.
    """
    if not status or (400 <= status < 500 and status not in _RETRYABLE_STATUSES):
        return None
    if status >= 300:
        return Objective.MISSED
    return Objective.MET if is_on_time else Objective.LATE


def burn_rates(pages: Iterable[str], *, objective_share: float) -> list[KindBurn]:
    """Return the burn over the lifetimes of gateways, by kind of route.

    Args:
        pages: Metrics of gateways, as their metrics address gives them.
        objective_share: Share of answers that must meet their objective; below 1.

    Raises:
        MetricsPageError: A page holds no metrics.
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
    counts: Counter[tuple[str, str]] = Counter()
    try:
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name == _TOTAL:
                    key = sample.labels["kind"], sample.labels["outcome"]
                    counts[key] += int(sample.value)
    except (ValueError, KeyError) as error:
        raise MetricsPageError(f"no page of metrics: {error}") from error
    return counts
