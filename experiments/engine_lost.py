"""Latency of programs when one of five engines dies under load, under virtual time.

Programs are grouped by their intended start relative to the death of the engine and
compared with the same programs in a run in which it lives.

PYTHONPATH=src python -m experiments.engine_lost --name=oro --load=0.8
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import fire
from tests.virtual import run_virtual

from carobspur.load_driver import LoadDriver, Outcome, Sample
from carobspur.load_report import Percentiles

from .virtual_world import POLICIES, Example, WorldClient, start_world

KILL_AT_S = 30.0
DURATION_S = 75.0
WINDOWS_S = ((-20, 0), (0, 10), (10, 20), (20, 45))


def run(
    name: str, policy: str, load: float, seed: int, is_lost: bool, kv_tokens: int
) -> list[Sample]:
    """Run one policy with one seed; return the samples of all programs.

    Args:
        name: Name of the example organisation.
        policy: Name in ``POLICIES``.
        load: Load as a share of the workload's nominal rate.
        seed: Seed of arrivals and engines.
        is_lost: Whether the engine dies.
        kv_tokens: Memory of each engine in tokens.
    """
    logging.disable(logging.WARNING)
    example = Example.read(name, kv_tokens=kv_tokens)
    workload = example.workload
    rate = load * workload.nominal_rate()

    async def scenario() -> list[Sample]:
        world, target = await start_world(example, POLICIES[policy], instances=3)
        driver = LoadDriver(
            WorldClient(world), world.clock, target, workload.patience_s, seed=seed
        )
        arrivals = workload.arrivals(seed=seed, rate=rate, duration_s=DURATION_S)
        running = asyncio.ensure_future(driver.run(arrivals))
        await asyncio.sleep(KILL_AT_S)
        if is_lost:
            world.client.kill(target.engines[0])
        return await running

    return run_virtual(scenario, seed=seed)


def _row(samples: Sequence[Sample], low_s: float, high_s: float) -> str:
    found = [
        sample for sample in samples if low_s <= sample.intended_s - KILL_AT_S < high_s
    ]
    good = [sample for sample in found if sample.outcome == Outcome.COMPLETED]
    p95_s = Percentiles.of(sample.latency_s for sample in good).p95_s
    failed = sum(sample.outcome == Outcome.FAILED for sample in found)
    return f"{p95_s:.2f} ({len(good)} of {len(found)}, {failed} failed)"


def main(
    name: str = "oro",
    load: float = 0.8,
    policies: Sequence[str] = ("sticky", "finish"),
    seeds: Sequence[int] = (1, 2, 3),
    kv_tokens: int = 30_000,
) -> None:
    """Print p95 program latency by time of start, with and without the loss."""
    kinds = [(policy, lost) for policy in policies for lost in (False, True)]
    jobs = [
        (name, policy, load, seed, lost, kv_tokens)
        for policy, lost in kinds
        for seed in seeds
    ]
    with ProcessPoolExecutor(3) as pool:
        results = list(pool.map(run, *zip(*jobs, strict=True)))
    heads = " | ".join(f"start {low} to {high} s" for low, high in WINDOWS_S)
    print(f"| policy | engine | {heads} |")
    print("| --- " * (2 + len(WINDOWS_S)) + "|")
    for number, (policy, lost) in enumerate(kinds):
        own = results[number * len(seeds) : (number + 1) * len(seeds)]
        samples = [sample for samples in own for sample in samples]
        cells = " | ".join(_row(samples, *window) for window in WINDOWS_S)
        print(f"| {policy} | {'lost' if lost else 'kept'} | {cells} |")


if __name__ == "__main__":
    asyncio.set_event_loop(None)
    fire.Fire(main)
