"""Deployments of real processes for experiments, scaled as the load files say."""

from __future__ import annotations

import time
from pathlib import Path
from urllib.error import URLError
from urllib.request import Request, urlopen

import msgspec
from examples.deployment import PLATFORM_KEY, Deployment
from tests import builders

from carobspur.inventory import Inventory, encode_inventory
from carobspur.load_driver import Target
from carobspur.workload import EngineSpeed

from .virtual_world import Example

STEP_TOKENS = 8
LOAD_LAG_S = 0.5
READY_LIMIT_S = 30.0


def start(
    directory: Path, example: Example, name: str, options: str, *, instances: int
) -> tuple[Deployment, Target]:
    """Start a deployment with all its endpoints and wait until it serves.

    Args:
        directory: Directory of settings files and logs.
        example: The organisation, already scaled.
        name: Name of the target in reports.
        options: Lines of the settings' section ``[scheduler]``.
        instances: Number of instances.

    Returns:
        The deployment, which the caller must stop, and the target for the load tool.
    """
    running = Deployment(
        directory, lease_s=4.0, scheduler_options=options, log_level="warning"
    )
    running.start_platform()
    inventory = _start_endpoints(running, example.inventory, example.workload.speed)
    for number in range(instances):
        data_centre = inventory.data_centres[number % len(inventory.data_centres)].name
        running.start_instance(f"instance-{number}", data_centre)
    running.wait_ready()
    _import(running.instances[0].control_url, inventory)
    entries = [item.entry_url for item in running.instances]
    for entry in entries:
        _wait_for_key(entry)
    engines = [item.address for item in inventory.engines]
    return running, Target(name, entries, engines, builders.CALLER_SECRET)


def _start_endpoints(
    running: Deployment, inventory: Inventory, speed: EngineSpeed
) -> Inventory:
    options = [
        f"--batch={speed.batch}",
        f"--prefill_tokens_per_s={speed.prefill_tokens_per_s}",
        f"--decode_tokens_per_s={speed.decode_tokens_per_s}",
        f"--batch_slowdown={speed.batch_slowdown}",
        f"--step_tokens={STEP_TOKENS}",
        f"--load_lag_s={LOAD_LAG_S}",
    ]
    engines = []
    for engine in inventory.engines:
        address = running.start_standin(
            "engine", *options, f"--kv_tokens={engine.kv_tokens}"
        )
        engines.append(msgspec.structs.replace(engine, address=address))
    services = []
    for service in inventory.services:
        address = running.start_standin("tool")
        replica = msgspec.structs.replace(service.replicas[0], address=address)
        services.append(msgspec.structs.replace(service, replicas=[replica]))
    return msgspec.structs.replace(inventory, engines=engines, services=services)


def _import(control: str, inventory: Inventory) -> None:
    request = Request(
        f"{control}/v1/organisations/{inventory.organisation}/inventory",
        method="PUT",
        data=encode_inventory(inventory),
        headers={
            "Authorization": f"Bearer {PLATFORM_KEY}",
            "If-Match": '"0"',
            "Carobspur-Change": "first",
        },
    )
    with urlopen(request, timeout=10):
        pass


def _wait_for_key(entry: str) -> None:
    headers = {"Authorization": f"Bearer {builders.CALLER_SECRET}"}
    deadline = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < deadline:
        try:
            with urlopen(Request(f"{entry}/v1/addresses", headers=headers)):
                return
        except URLError:
            time.sleep(0.1)
    raise TimeoutError(f"{entry} does not know the inventory")
