"""Compares how evenly three ways of ordering addresses spread callers over instances.

Each caller asks the instance that it uses for addresses every 20 s, at a time of its
own, and sends equal work to the first address of the answer. Prints the largest
deviation of an instance's number of callers from the mean, in per cent: mean and worst
over samples taken once a second, with seven instances, and with six from 20 s after
one of them began to leave.

    PYTHONPATH=src python experiments/address_balance.py
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from statistics import mean

from carobspur.addresses import Rotation
from carobspur.placement import rank

INSTANCES = 7
REASK_INTERVAL_S = 20
WARM_S = 60
"""Time from which samples are taken."""
LEAVE_S = 180
END_S = 300
LOAD_LAG_S = 2
SEEDS = 5

Choose = Callable[[str, Sequence[str], Counter[str]], str]


def rendezvous(rng: random.Random) -> Choose:
    """Return a function that chooses the first of a random rendezvous order."""
    return lambda entry, names, load: rank(str(rng.random()), names)[0]


def power_of_two(rng: random.Random) -> Choose:
    """Return a function that chooses the less loaded of two random instances.

    It knows loads that are up to ``LOAD_LAG_S`` old.
    """

    def _choose(entry: str, names: Sequence[str], load: Counter[str]) -> str:
        return min(rng.sample(list(names), 2), key=load.__getitem__)

    return _choose


def rotation(rng: random.Random) -> Choose:
    """Return a function that uses one :class:`Rotation` for each instance."""
    rotations = {
        f"i{number}": Rotation(random.Random(rng.random())) for number in range(7)
    }
    return lambda entry, names, load: rotations[entry].order(names)[0]


def deviations(callers: int, choose: Choose, rng: random.Random) -> list[list[float]]:
    """Return the largest deviation of each sample, in per cent.

    The first list has the samples before one instance leaves, the second those after.
    """
    names = [f"i{number}" for number in range(INSTANCES)]
    used = {caller: rng.choice(names) for caller in range(callers)}
    asks_at_s = {caller: rng.randrange(REASK_INTERVAL_S) for caller in range(callers)}
    load: Counter[str] = Counter()
    found: list[list[float]] = [[], []]
    for now_s in range(END_S):
        if now_s == LEAVE_S:
            names = names[1:]
        if now_s % LOAD_LAG_S == 0:
            load = Counter(used.values())
        for caller in range(callers):
            if now_s % REASK_INTERVAL_S == asks_at_s[caller]:
                used[caller] = choose(used[caller], names, load)
        is_after = now_s >= LEAVE_S
        if (now_s >= LEAVE_S + REASK_INTERVAL_S) if is_after else now_s >= WARM_S:
            counts = Counter(used.values())
            even = callers / len(names)
            worst = max(abs(counts[name] - even) for name in names)
            found[is_after].append(100 * worst / even)
    return found


def main() -> None:
    """Print a line for each number of callers and kind of order."""
    print("callers answer        7: mean worst   6: mean worst  (% from the mean)")
    for callers in (70, 350, 1400, 7000):
        for policy in (rendezvous, power_of_two, rotation):
            before: list[float] = []
            after: list[float] = []
            for seed in range(SEEDS):
                rng = random.Random(seed)
                found = deviations(callers, policy(rng), rng)
                before += found[0]
                after += found[1]
            print(
                f"{callers:7d} {policy.__name__:14s}"
                f" {mean(before):7.1f} {max(before):5.1f}"
                f" {mean(after):9.1f} {max(after):5.1f}"
            )


if __name__ == "__main__":
    main()
