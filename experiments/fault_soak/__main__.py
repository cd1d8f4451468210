"""Command line of the fault soak: ``python -m experiments.fault_soak``."""

from __future__ import annotations

import asyncio
import sys
import time

import fire

from .run import SoakResult, run_seed


def soak(
    seeds: int = 5,
    first: int = 0,
    seconds: float = 12.0,
    gateways: int = 4,
    keep_logs: str = "",
) -> None:
    """Run seeds in sequence and print the result of each.

    Exits with 1 if a seed has complaints.

    Args:
        seeds: Number of seeds.
        first: First seed; 0 takes new ones from the clock.
        seconds: Seconds under faults, for each seed.
        gateways: Number of gateway processes.
        keep_logs: Folder that gets the gateways' logs of failed seeds; empty for none.
    """
    start = first or int(time.time())
    failed = 0
    for seed in range(start, start + seeds):
        result = asyncio.run(
            run_seed(seed, seconds=seconds, gateways=gateways, keep_logs=keep_logs)
        )
        _print(seed, result)
        failed += bool(result.complaints)
    print(f"{seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _print(seed: int, result: SoakResult) -> None:
    print(
        f"seed {seed}: {result.calls} calls, {result.served} served, "
        f"{len(result.faults)} faults, {len(result.complaints)} complaints"
    )
    if result.complaints:
        print("  faults: " + "; ".join(result.faults))
        for complaint in result.complaints[:20]:
            print(f"  {complaint}")


if __name__ == "__main__":
    fire.Fire(soak)
