"""Load tool: compares deployments under the same workload."""

from __future__ import annotations

import asyncio
import configparser
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import fire
import msgspec

from .clock import Clock, LoopClock
from .errors import SettingsError
from .http import CurlClient, HttpClient
from .load_driver import LoadDriver, Target
from .load_report import RunResult, Waste, agent_table, plot, table
from .workload import Workload


@dataclass(frozen=True, slots=True)
class Comparison:
    """A series of runs: every target at every load, repeated.

    Attributes:
        workload: Distribution of the programs.
        targets: Deployments that are compared.
        loads: Arrival rates as shares of the nominal rate.
        repeats: Number of runs of each target and load, with different seeds.
        duration_s: Seconds in one run during which programs start.
        seed: Seed of the first repetition.
    """

    workload: Workload
    targets: Sequence[Target]
    loads: Sequence[float] = (0.8,)
    repeats: int = 2
    duration_s: float = 15.0
    seed: int = 1


async def run_once(
    comparison: Comparison,
    target: Target,
    *,
    load: float,
    repeat: int,
    client: HttpClient,
    clock: Clock,
) -> RunResult:
    """Run one target at one load until its last program has ended.

    Args:
        comparison: The series that the run belongs to.
        target: The deployment.
        load: Arrival rate as a share of the nominal rate.
        repeat: Index of the repetition, from 0; determines the seed.
        client: The HTTP client.
        clock: Source of time.
    """
    workload = comparison.workload
    seed = comparison.seed + repeat
    duration_s = comparison.duration_s
    rate = load * workload.nominal_rate()
    arrivals = workload.arrivals(seed=seed, rate=rate, duration_s=duration_s)
    driver = LoadDriver(
        client, clock, target, workload.patience_s, seed=_run_seed(load, seed)
    )
    before = await driver.accounts()
    start_s = clock.monotonic()
    samples = await driver.run(arrivals)
    after = await driver.accounts()
    return RunResult.of(
        policy=target.name,
        load=load,
        repeat=repeat,
        samples=samples,
        arrival_s=duration_s,
        waste=Waste.between(before, after, clock.monotonic() - start_s),
    )


async def compare(
    comparison: Comparison, *, client: HttpClient, clock: Clock
) -> list[RunResult]:
    """Run every target at every load, and print the result of each run.

    Targets alternate, so that disturbances of the machine affect all of them.
    """
    results = []
    for repeat in range(comparison.repeats):
        for load in comparison.loads:
            for target in comparison.targets:
                result = await run_once(
                    comparison,
                    target,
                    load=load,
                    repeat=repeat,
                    client=client,
                    clock=clock,
                )
                results.append(result)
                print(table([result]).splitlines()[-1], flush=True)
    return results


def read_targets(path: str | Path) -> list[Target]:
    """Read an INI file with one section per target.

    Raises:
        SettingsError: The file cannot be read, or a key is missing.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
        return [
            Target(
                name,
                parser[name]["entries"].split(),
                parser[name]["engines"].split(),
                parser[name]["key"],
            )
            for name in parser.sections()
        ]
    except (OSError, KeyError, configparser.Error) as error:
        raise SettingsError(f"{path}: {error!r}") from error


def write_report(results: Sequence[RunResult], directory: Path, *, title: str) -> str:
    """Write results, tables and plot into a directory; return the tables."""
    directory.mkdir(parents=True, exist_ok=True)
    text = f"{table(results)}\n\n{agent_table(results)}\n"
    lines = [msgspec.json.encode(item) for item in results]
    (directory / "results.jsonl").write_bytes(b"\n".join(lines) + b"\n")
    (directory / "table.md").write_text(text, encoding="utf-8")
    plot(results, directory / "plot.png", title=title)
    return text


class LoadCommands:
    """Runs programs against deployments that are running already."""

    def compare(
        self,
        mix: str,
        targets: str,
        out: str,
        loads: Sequence[float] = (0.5, 0.8, 1.1),
        repeats: int = 2,
        duration_s: float = 15.0,
        seed: int = 1,
    ) -> None:
        """Compare targets under a workload; write table, plot and results.

        Args:
            mix: INI file of the workload.
            targets: INI file of the targets.
            out: Directory of the results.
            loads: Shares of the nominal rate.
            repeats: How often each load is run, with different seeds.
            duration_s: How long programs start in one run.
            seed: Seed of the first repetition.
        """
        workload = Workload.read(mix)
        target_list = read_targets(targets)
        shares = [loads] if isinstance(loads, float) else loads
        comparison = Comparison(
            workload, target_list, shares, repeats, duration_s, seed
        )
        results = asyncio.run(_compare_over_sockets(comparison))
        print(write_report(results, Path(out), title=workload.organisation))


async def _compare_over_sockets(comparison: Comparison) -> list[RunResult]:
    client = CurlClient()
    try:
        return await compare(comparison, client=client, clock=LoopClock())
    finally:
        client.close()


def _run_seed(load: float, seed: int) -> int:
    """Return a seed that is unique among a comparison's loads and repetitions.

    The programs' idempotency keys contain it; each run must start new programs.
    """
    return seed * 1000 + round(100 * load)


def main() -> None:
    """Entry point of ``carobspur-load``."""
    fire.Fire(LoadCommands)
