"""Error budgets and burn rates of agents' service-level objectives.

An agent's objective says which share of its programs must end within a given time.
The rest is the error budget of a window. The burn rate is the speed at which the error
budget is used; at 1 it lasts exactly for the window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from .inventory import Agent, Inventory

BUCKET_S = 300
SHORT_WINDOW_S = 3600
LONG_WINDOW_S = 6 * 3600
WINDOW_S = 7 * 86_400
POINT_INTERVAL_S = 3600


class BurnSample(msgspec.Struct, frozen=True, array_like=True):
    """Programs that ended within one bucket of ``BUCKET_S`` seconds.

    Attributes:
        bucket: Number of the bucket: Unix time divided by ``BUCKET_S``.
        organisation: Name of the organisation.
        agent: Name of the agent.
        met: Number of programs that met the objective.
        missed: Number of programs that did not.
    """

    bucket: int
    organisation: str
    agent: str
    met: int
    missed: int


class BurnPoint(msgspec.Struct, frozen=True):
    """Burn rate and remaining error budget at one time, for plots.

    Attributes:
        at_s: Unix time of the start of the hour.
        rate: Burn rate of the programs that ended in that hour.
        budget_left: Share of the window's error budget left after that hour.
    """

    at_s: float
    rate: float
    budget_left: float


class AgentBurn(msgspec.Struct, frozen=True):
    """Use of the error budget of one agent's objective.

    Attributes:
        agent: Name of the agent.
        objective_s: Time within which programs should end, in seconds.
        objective_share: Share of programs that must do so.
        programs: Number of programs that ended in the window.
        missed: Number of those that did not meet the objective.
        budget_left: Share of the window's error budget that is left; negative where
            more was used.
        short_rate: Burn rate over the short window.
        long_rate: Burn rate over the long window.
        points: Burn rate of each hour of the window, oldest first.
    """

    agent: str
    objective_s: float
    objective_share: float
    programs: int
    missed: int
    budget_left: float
    short_rate: float
    long_rate: float
    points: list[BurnPoint]


class BurnReport(msgspec.Struct, frozen=True):
    """Use of the error budgets of all agents of one organisation.

    Attributes:
        organisation: Name of the organisation.
        at_s: Unix time of the report.
        window_s: Length of the window of the error budgets, in seconds.
        short_s: Length of the window of ``AgentBurn.short_rate``, in seconds.
        long_s: Length of the window of ``AgentBurn.long_rate``, in seconds.
        agents: One entry per agent of the inventory.
    """

    organisation: str
    at_s: float
    window_s: int
    short_s: int
    long_s: int
    agents: list[AgentBurn]


def burn_report(
    inventory: Inventory, samples: Iterable[BurnSample], now_s: float
) -> BurnReport:
    """Return the burn report of an organisation.

    Args:
        inventory: The organisation's inventory in force.
        samples: Samples of all instances; those of other organisations are ignored.
        now_s: Unix time, in seconds.
    """
    own = [item for item in samples if item.organisation == inventory.organisation]
    agents = [
        _agent_burn(agent, [item for item in own if item.agent == agent.name], now_s)
        for agent in inventory.agents
    ]
    return BurnReport(
        inventory.organisation, now_s, WINDOW_S, SHORT_WINDOW_S, LONG_WINDOW_S, agents
    )


def _agent_burn(agent: Agent, samples: list[BurnSample], now_s: float) -> AgentBurn:
    allowed_share = 1.0 - agent.objective_share
    programs, missed = _count_programs(samples, now_s - WINDOW_S, now_s)
    return AgentBurn(
        agent=agent.name,
        objective_s=agent.objective_s,
        objective_share=agent.objective_share,
        programs=programs,
        missed=missed,
        budget_left=1.0 - _burn_rate(programs, missed, allowed_share),
        short_rate=_burn_rate(
            *_count_programs(samples, now_s - SHORT_WINDOW_S, now_s), allowed_share
        ),
        long_rate=_burn_rate(
            *_count_programs(samples, now_s - LONG_WINDOW_S, now_s), allowed_share
        ),
        points=_points(samples, allowed_share, programs, now_s),
    )


def _points(
    samples: list[BurnSample], allowed_share: float, programs: int, now_s: float
) -> list[BurnPoint]:
    """Return one point per hour of the window, oldest first."""
    ended: Counter[int] = Counter()
    missed: Counter[int] = Counter()
    last_hour = int(now_s // POINT_INTERVAL_S)
    for item in samples:
        hour = item.bucket * BUCKET_S // POINT_INTERVAL_S
        ended[hour] += item.met + item.missed
        missed[hour] += item.missed
    used = 0
    points = []
    for hour in range(last_hour - WINDOW_S // POINT_INTERVAL_S + 1, last_hour + 1):
        used += missed[hour]
        rate = _burn_rate(ended[hour], missed[hour], allowed_share)
        budget_left = 1.0 - _burn_rate(programs, used, allowed_share)
        points.append(BurnPoint(hour * POINT_INTERVAL_S, rate, budget_left))
    return points


def _count_programs(
    samples: Sequence[BurnSample], from_s: float, to_s: float
) -> tuple[int, int]:
    """Return how many programs ended in a span of time, and how many missed."""
    buckets = range(int(from_s // BUCKET_S) + 1, int(to_s // BUCKET_S) + 1)
    inside = [item for item in samples if item.bucket in buckets]
    missed = sum(item.missed for item in inside)
    return missed + sum(item.met for item in inside), missed


def _burn_rate(programs: int, missed: int, allowed_share: float) -> float:
    return missed / programs / allowed_share if programs else 0.0
