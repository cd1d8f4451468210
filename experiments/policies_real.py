"""Compares routing policies on real processes, with one deployment for each policy.

Starts all deployments; then the load tool drives them in turn.

PYTHONPATH=src python -m experiments.policies_real --name=oro --out=out/real-oro
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

import fire

from carobspur.clock import LoopClock
from carobspur.http import CurlClient
from carobspur.load import Comparison, compare, write_report
from carobspur.load_report import RunResult

from .real_world import start
from .virtual_world import POLICIES, Example

BASELINES = ("round_robin", "least_loaded", "sticky")


async def _run(comparison: Comparison) -> list[RunResult]:
    client = CurlClient()
    try:
        return await compare(comparison, client=client, clock=LoopClock())
    finally:
        client.close()


def main(
    name: str = "oro",
    out: str = "out/real",
    policies: Sequence[str] = (*BASELINES, "finish"),
    loads: Sequence[float] = (0.8,),
    repeats: int = 2,
    duration_s: float = 15.0,
    instances: int = 2,
    kv_tokens: int = 30_000,
) -> None:
    """Start the deployments, run the comparison, stop them and print the tables."""
    example = Example.read(name, kv_tokens=kv_tokens)
    shares = [loads] if isinstance(loads, float) else loads
    with ExitStack() as stack:
        targets = []
        for policy in policies:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
            running, target = start(
                Path(directory), example, policy, POLICIES[policy], instances=instances
            )
            stack.callback(running.stop)
            targets.append(target)
        comparison = Comparison(example.workload, targets, shares, repeats, duration_s)
        results = asyncio.run(_run(comparison))
    print(write_report(results, Path(out), title=f"{name}, real processes"))


if __name__ == "__main__":
    fire.Fire(main)
