"""Time for which a program is not served when its scheduler ends.

Kills a scheduler, or stops it in a planned way, while a caller keeps calling one of its
programs; prints the longest time without a served call.

Usage: ``PYTHONPATH=src:. python experiments/takeover.py [--real]``. Without the option,
whole deployments run in one process under virtual time, with many seeds; with it,
deployments of real processes get ``SIGKILL`` and ``SIGTERM``.
"""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from statistics import median
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import msgspec
from examples.deployment import (
    PLATFORM_KEY,
    Deployment,
    deployment,
    example_inventory,
)
from tests import builders
from tests.virtual import VirtualLoop
from tests.world import World

SEEDS = 8
REAL_RUNS = 2
REAL_LEASE_S = 2.0
CALLING_S = 8.0


async def _longest_gap(
    stop: Callable[[World, int], Awaitable[None]],
) -> tuple[float, int]:
    """Return the longest time between two served calls, and the number of failed ones.

    Args:
        stop: Ends the scheduler of an instance during the calls.
    """
    inventory = builders.an_inventory(max_calls=10_000)
    world = await World(inventory).start(3)
    await asyncio.sleep(10 + random.random() * builders.LEASE_S)
    program = await world.start_program("k1")
    owner = world.owner_of(program)
    entry_node = next(number for number in world.nodes if number != owner)
    loop = asyncio.get_running_loop()
    served, failed = [loop.time()], 0
    stopping = asyncio.ensure_future(stop(world, owner))
    end_s = loop.time() + CALLING_S
    number = 1
    while loop.time() < end_s:
        reply = await world.call(program, number, "vault", {}, node=entry_node)
        if reply.status == 200:
            served.append(loop.time())
            number += 1
        else:
            failed += 1
        await asyncio.sleep(0.05)
    await stopping
    gaps = [later - earlier for earlier, later in zip(served, served[1:], strict=False)]
    return max(gaps), failed


async def _kill(world: World, owner: int) -> None:
    await asyncio.sleep(0.2 + random.random())
    world.kill(owner)


async def _stop_gracefully(world: World, owner: int) -> None:
    await asyncio.sleep(0.2 + random.random())
    await world.nodes[owner].scheduler.shut_down()


def _virtual() -> None:
    for name, stop in (("kill", _kill), ("planned stop", _stop_gracefully)):
        found = [_run(stop, seed) for seed in range(SEEDS)]
        _print(f"virtual, lease {builders.LEASE_S} s, {name}", found)


def _run(stop: Callable[[World, int], Awaitable[None]], seed: int) -> Any:
    """Run once on a new loop; remaining tasks are abandoned together with the loop."""
    random.seed(seed)
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(_longest_gap(stop))


def _print(name: str, found: list[tuple[float, int]]) -> None:
    gaps = sorted(gap for gap, _ in found)
    print(
        f"{name}: {len(gaps)} runs, longest gap median {median(gaps):.2f} s, "
        f"worst {gaps[-1]:.2f} s; failed calls {sum(count for _, count in found)}"
    )


class _Caller:
    """Sends requests to an entry process over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url

    def ask(self, path: str, body: Any, key: str = "") -> Any:
        """Send a request; return the answer, or ``None`` on any error."""
        headers = {
            "Authorization": f"Bearer {builders.CALLER_SECRET}",
            "Carobspur-User": "clerk-1",
            "Idempotency-Key": key or "none",
        }
        content = msgspec.json.encode(body)
        request = Request(self._url + path, content, headers, method="POST")
        try:
            with urlopen(request, timeout=30) as reply:
                return msgspec.json.decode(reply.read())
        except (HTTPError, OSError):
            return None


def _import_inventory(running: Deployment) -> None:
    inventory = running.start_endpoints(example_inventory("oro-recupero"))
    keys = builders.an_inventory().keys
    agents = [
        msgspec.structs.replace(item, max_calls=10_000) for item in inventory.agents
    ]
    inventory = msgspec.structs.replace(inventory, keys=keys, agents=agents)
    url = running.instances[0].control_url
    headers = {
        "Authorization": f"Bearer {PLATFORM_KEY}",
        "If-Match": '"0"',
        "Carobspur-Change": "c1",
    }
    path = f"/v1/organisations/{inventory.organisation}/inventory"
    body = msgspec.json.encode(inventory)
    urlopen(Request(url + path, body, headers, method="PUT"), timeout=10).close()


def _owner(running: Deployment, directory: Path, program: str) -> Any:
    """Return the instance in whose log a call of the program has finished."""
    for instance in running.instances:
        log = (directory / f"{instance.id}-scheduler.log").read_text()
        if any(program in line and "call finished" in line for line in log.split("\n")):
            return instance
    raise LookupError(program)


def _longest_real_gap(number: int) -> tuple[float, int]:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        with deployment(directory, lease_s=REAL_LEASE_S) as running:
            running.start_platform()
            for index in (1, 2, 3):
                running.start_instance(f"instance-{index}", f"dc-{index}")
            running.wait_ready()
            _import_inventory(running)
            time.sleep(3 * REAL_LEASE_S)
            service = next(
                item
                for item in example_inventory("oro-recupero").services
                if item.repeatable
            ).name
            return _keep_calling(running, directory, service, number)


def _keep_calling(
    running: Deployment, directory: Path, service: str, number: int
) -> tuple[float, int]:
    caller = _Caller(running.instances[0].entry_url)
    agent = example_inventory("oro-recupero").agents[0].name
    for attempt in range(200):
        started = caller.ask("/v1/programs", {"agent": agent}, key=f"k{attempt}")
        program = started["program"]
        path = f"/v1/programs/{program}/calls/"
        caller.ask(f"{path}1", {"endpoint": service, "input": {}})
        owner = _owner(running, directory, program)
        if owner is not running.instances[0]:
            break
    process = owner.processes["scheduler"]
    running.expect_exit(process)
    served, failed, call = [time.monotonic()], 0, 2
    process.send(number)
    while time.monotonic() < served[0] + 3 * REAL_LEASE_S:
        answer = caller.ask(f"{path}{call}", {"endpoint": service, "input": {}})
        if answer is None:
            failed += 1
        else:
            served.append(time.monotonic())
            call += 1
        time.sleep(0.02)
    process.popen.wait(30)
    gaps = [later - earlier for earlier, later in zip(served, served[1:], strict=False)]
    return max(gaps), failed


def _real() -> None:
    for name, number in (("kill", signal.SIGKILL), ("stop", signal.SIGTERM)):
        found = [_longest_real_gap(number) for _ in range(REAL_RUNS)]
        _print(f"real processes, lease {REAL_LEASE_S} s, {name}", found)


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    _real() if "--real" in sys.argv else _virtual()
