"""Results of load runs: latency percentiles, wasted cache, tables and a plot."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from statistics import mean

import msgspec
from hdrh.histogram import HdrHistogram

from .engine_messages import EngineAccount
from .load_driver import Outcome, Sample

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000


class Percentiles(msgspec.Struct, frozen=True):
    """Latency percentiles of completed programs, in seconds."""

    p50_s: float
    p95_s: float
    p99_s: float

    @classmethod
    def of(cls, seconds: Iterable[float]) -> Percentiles:
        """Return the percentiles of latencies in seconds; zeros if there are none."""
        histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        for value in seconds:
            histogram.record_value(max(LOWEST_MS, round(value * MS_PER_S)))
        values = [
            histogram.get_value_at_percentile(share) / MS_PER_S
            for share in (50, 95, 99)
        ]
        return cls(*values)


class Waste(msgspec.Struct, frozen=True):
    """Wasted cache as docs/MEASURES.md defines it.

    Attributes:
        held: Cache occupied by histories that were not used again, as a share of the
            cache's capacity over the time of the run.
        recomputed: Tokens prefilled again, as a share of the prefill capacity.
    """

    held: float
    recomputed: float

    @property
    def total(self) -> float:
        """Sum of both shares, the measure that runs are compared by."""
        return self.held + self.recomputed

    @classmethod
    def between(
        cls,
        before: Sequence[EngineAccount],
        after: Sequence[EngineAccount],
        seconds: float,
    ) -> Waste:
        """Return the waste between two readings of the engines' usage counters.

        Args:
            before: Counters at the start.
            after: Counters of the same engines at the end.
            seconds: Time between the two.
        """
        capacity = sum(item.kv_tokens for item in after) * seconds
        prefill = sum(item.prefill_tokens_per_s for item in after) * seconds
        idle = _growth(before, after, "idle_token_s")
        recomputed = _growth(before, after, "recomputed_tokens")
        return cls(idle / max(1.0, capacity), recomputed / max(1.0, prefill))


class RunResult(msgspec.Struct, frozen=True):
    """Result of one run of one policy at one load.

    Attributes:
        policy: Name of the target.
        load: Arrival rate as a share of the nominal rate.
        repeat: Index of the repetition; repetitions have different seeds.
        programs: Programs in the workload of the run.
        completed: Programs that completed.
        refused: Programs that were refused until their deadline.
        failed: Programs that failed.
        completed_per_s: Programs that completed while programs started, per second.
        refusals: Refused requests, including those whose retry succeeded.
        latency: Latency of all completed programs.
        by_agent: The same by agent.
        waste: Wasted cache.
    """

    policy: str
    load: float
    repeat: int
    programs: int
    completed: int
    refused: int
    failed: int
    completed_per_s: float
    refusals: int
    latency: Percentiles
    by_agent: dict[str, Percentiles]
    waste: Waste

    @classmethod
    def of(
        cls,
        *,
        policy: str,
        load: float,
        repeat: int,
        samples: Sequence[Sample],
        arrival_s: float,
        waste: Waste,
    ) -> RunResult:
        """Return the result of a run.

        Args:
            policy: Name of the target.
            load: Arrival rate as a share of the nominal rate.
            repeat: Index of the repetition.
            samples: Measurements of all programs.
            arrival_s: Seconds from the start of the run in which programs started.
            waste: Wasted cache.
        """
        completed_samples = [
            item for item in samples if item.outcome == Outcome.COMPLETED
        ]
        agents = sorted({item.agent for item in completed_samples})
        in_time = [
            item
            for item in completed_samples
            if item.intended_s + item.latency_s <= arrival_s
        ]
        return cls(
            policy=policy,
            load=load,
            repeat=repeat,
            programs=len(samples),
            completed=len(completed_samples),
            refused=sum(item.outcome == Outcome.REFUSED for item in samples),
            failed=sum(item.outcome == Outcome.FAILED for item in samples),
            completed_per_s=len(in_time) / arrival_s,
            refusals=sum(item.refusals for item in samples),
            latency=Percentiles.of(item.latency_s for item in completed_samples),
            by_agent={
                agent: Percentiles.of(
                    item.latency_s for item in completed_samples if item.agent == agent
                )
                for agent in agents
            },
            waste=waste,
        )


def table(results: Sequence[RunResult]) -> str:
    """Return a Markdown table of means over repetitions, by load and policy.

    The p95 latency and the wasted cache are shown with their range.
    """
    lines = [
        "| load | policy | p50 s | p95 s (spread) | p99 s | wasted cache (spread) "
        "| held | recomputed | completed | refused | failed | completed/s |",
        "| --- " * 12 + "|",
    ]
    for load, policy in _groups(results):
        runs = [item for item in results if (item.load, item.policy) == (load, policy)]
        wastes = [item.waste.total for item in runs]
        p95s = [item.latency.p95_s for item in runs]
        cells = [
            f"{load:.0%}",
            policy,
            f"{mean(item.latency.p50_s for item in runs):.2f}",
            f"{mean(p95s):.2f} ({min(p95s):.2f}-{max(p95s):.2f})",
            f"{mean(item.latency.p99_s for item in runs):.2f}",
            f"{mean(wastes):.3f} ({min(wastes):.3f}-{max(wastes):.3f})",
            f"{mean(item.waste.held for item in runs):.3f}",
            f"{mean(item.waste.recomputed for item in runs):.3f}",
            f"{sum(item.completed for item in runs)} of "
            f"{sum(item.programs for item in runs)}",
            str(sum(item.refused for item in runs)),
            str(sum(item.failed for item in runs)),
            f"{mean(item.completed_per_s for item in runs):.2f}",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def agent_table(results: Sequence[RunResult]) -> str:
    """Return a Markdown table of p50 and p95 by agent, means over repetitions."""
    lines = ["| load | policy | agent | p50 s | p95 s |", "| --- " * 5 + "|"]
    for load, policy in _groups(results):
        runs = [item for item in results if (item.load, item.policy) == (load, policy)]
        for agent in sorted({name for item in runs for name in item.by_agent}):
            found = [item.by_agent[agent] for item in runs if agent in item.by_agent]
            p50_s = mean(item.p50_s for item in found)
            p95_s = mean(item.p95_s for item in found)
            lines.append(
                f"| {load:.0%} | {policy} | {agent} | {p50_s:.2f} | {p95_s:.2f} |"
            )
    return "\n".join(lines)


def plot(results: Sequence[RunResult], path: str | Path, *, title: str) -> None:
    """Write a PNG of p95 program latency and wasted cache by load and policy."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for policy in sorted({item.policy for item in results}):
        loads = sorted({item.load for item in results if item.policy == policy})
        groups = [
            [item for item in results if (item.load, item.policy) == (load, policy)]
            for load in loads
        ]
        percents = [100 * load for load in loads]
        latencies = [mean(item.latency.p95_s for item in runs) for runs in groups]
        wastes = [mean(item.waste.total for item in runs) for runs in groups]
        left.plot(percents, latencies, marker="o", label=policy)
        right.plot(percents, wastes, marker="o", label=policy)
    left.set_ylabel("p95 program latency, s")
    right.set_ylabel("wasted cache, share of capacity")
    for axis in (left, right):
        axis.set_xlabel("load, % of nominal")
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
    left.legend()
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _groups(results: Sequence[RunResult]) -> list[tuple[float, str]]:
    return sorted({(item.load, item.policy) for item in results})


def _growth(
    before: Sequence[EngineAccount], after: Sequence[EngineAccount], name: str
) -> float:
    last = sum(getattr(item, name) for item in after)
    return last - sum(getattr(item, name) for item in before)
