"""Compares routing policies under virtual time; prints tables, writes a report.

PYTHONPATH=src python -m experiments.policies_virtual --name=oro --out=out/oro
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import fire
from tests.virtual import run_virtual

from carobspur.load import Comparison, run_once, write_report
from carobspur.load_report import RunResult, table

from .virtual_world import POLICIES, Example, WorldClient, start_world

PROCESSES = 3


def run_policy(
    name: str,
    policy: str,
    load: float,
    repeat: int,
    duration_s: float,
    instances: int,
    kv_tokens: int,
) -> RunResult:
    """Run one policy at one load in a deployment of its own.

    Args:
        name: Name of the example organisation.
        policy: Name in ``POLICIES``.
        load: Load as a share of the workload's nominal rate.
        repeat: Number of the repetition; also the seed.
        duration_s: Seconds of arrivals.
        instances: Number of instances.
        kv_tokens: Memory of each engine in tokens.
    """
    logging.disable(logging.INFO)
    example = Example.read(name, kv_tokens=kv_tokens)
    comparison = Comparison(example.workload, [], duration_s=duration_s)

    async def scenario() -> RunResult:
        world, target = await start_world(
            example, POLICIES[policy], instances=instances
        )
        return await run_once(
            comparison,
            replace(target, name=policy),
            load=load,
            repeat=repeat,
            client=WorldClient(world),
            clock=world.clock,
        )

    return run_virtual(scenario, seed=repeat)


def main(
    name: str = "oro",
    out: str = "",
    policies: Sequence[str] = tuple(POLICIES),
    loads: Sequence[float] = (0.5, 0.8, 1.1),
    repeats: int = 2,
    duration_s: float = 40.0,
    instances: int = 3,
    kv_tokens: int = 30_000,
) -> None:
    """Run all policies, loads and repeats in a few processes; print the tables."""
    chosen = policies.split(",") if isinstance(policies, str) else policies
    shares = [loads] if isinstance(loads, float) else loads
    jobs = [
        (name, policy, load, repeat, duration_s, instances, kv_tokens)
        for repeat in range(repeats)
        for load in shares
        for policy in chosen
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(run_policy, *zip(*jobs, strict=True)))
    if out:
        write_report(results, Path(out), title=f"{name}, virtual time")
    print(table(results))


if __name__ == "__main__":
    asyncio.set_event_loop(None)
    fire.Fire(main)
