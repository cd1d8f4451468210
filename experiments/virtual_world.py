"""A whole deployment in one process under virtual time, driven by the load tool.

The load of the machine has no effect on these runs: the same seed gives the same
figures. They contain no processor time, so carobspur's own cost is not in them.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

import msgspec
from tests import builders
from tests.world import World, _serve

from carobspur.http import HttpError, HttpRequest, HttpResponse
from carobspur.inventory import Allowance, Engine, Inventory, Key, Role
from carobspur.inventory_checks import parse_inventory
from carobspur.load_driver import Target
from carobspur.verdict import NOT_RUN
from carobspur.workload import EngineSpeed, Workload
from carobspur_standins.engine import ModelEngine

EXAMPLES = Path(__file__).parent.parent / "examples"
ENTRY_PORT = 1
LOAD_LAG_S = 0.5
MANY_UNITS = 1 << 50
UNITS_WINDOW_S = 3600
# Options of plain load balancers, which send engines no hold orders.
NO_HOLDS = "holds = none"
# Scheduler options by name. ``finish`` is the complete policy: routing and hold orders.
# The first three are the plain balancers that it is compared with, the next three have
# only one half of it.
POLICIES = {
    "round_robin": f"routing = round_robin\n{NO_HOLDS}",
    "least_loaded": f"routing = least_loaded\n{NO_HOLDS}",
    "sticky": f"routing = sticky\n{NO_HOLDS}",
    "sticky_releasing": "routing = sticky\nholds = cost",
    "least_loaded_releasing": "routing = least_loaded\nholds = cost",
    "finish_silent": f"routing = finish\n{NO_HOLDS}",
    "finish": "routing = finish\nholds = cost",
}


@dataclass(frozen=True, slots=True)
class Example:
    """An example organisation, with the engines that its load file describes.

    Attributes:
        workload: The load file.
        inventory: The inventory, with the addresses of the test world.
    """

    workload: Workload
    inventory: Inventory

    @classmethod
    def read(cls, name: str, *, kv_tokens: int) -> Example:
        """Read inventory and load file of an example organisation.

        Args:
            name: Start of the inventory's file name; the load file's name.
            kv_tokens: Memory of each engine in tokens.
        """
        inventory = parse_inventory(next(EXAMPLES.glob(f"{name}*.json")).read_bytes())
        workload = Workload.read(EXAMPLES / f"load-{name}.ini")
        return cls(workload, _scaled(inventory, workload.speed, kv_tokens))


def _scaled(inventory: Inventory, speed: EngineSpeed, kv_tokens: int) -> Inventory:
    data_centres = [item.name for item in inventory.data_centres]
    slowdown = 1 + speed.batch_slowdown * (speed.batch - 1)
    engines = [
        Engine(
            f"engine-{number}",
            f"http://10.0.1.{number + 1}:1",
            data_centres[number % len(data_centres)],
            [item.name for item in inventory.models],
            kv_tokens=kv_tokens,
            in_flight=speed.batch,
            prefill_tokens_per_s=speed.prefill_tokens_per_s,
            decode_tokens_per_s=speed.decode_tokens_per_s / slowdown,
        )
        for number in range(speed.engines)
    ]
    services = []
    for item in inventory.services:
        url = builders.PLAIN_URL if item.repeatable else builders.TOOL_URL
        replica = msgspec.structs.replace(item.replicas[0], address=url)
        services.append(msgspec.structs.replace(item, replicas=[replica]))
    keys = [
        Key("callers", builders.digest_of(builders.CALLER_SECRET), Role.CALLER),
        Key("operators", builders.digest_of(builders.OPERATOR_SECRET), Role.OPERATOR),
    ]
    return msgspec.structs.replace(
        inventory,
        keys=keys,
        engines=engines,
        services=services,
        allowances=[Allowance(MANY_UNITS, UNITS_WINDOW_S)],
    )


class WorldClient:
    """HTTP client of the load tool: reaches entry processes and engines in the process.

    Args:
        world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self._world = world

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request; see :class:`carobspur.http.HttpClient`."""
        parts = urlsplit(request.url)
        if parts.hostname.startswith("10.0."):
            return await self._world.client.fetch(request)
        for node in self._world.nodes.values():
            if node.settings.instance.host == parts.hostname:
                body = None if request.body is None else msgspec.Raw(request.body)
                reply = await _serve(
                    node.app, request.method, parts.path, body, dict(request.headers)
                )
                return HttpResponse(reply.status, reply.body, reply.headers)
        raise HttpError(f"{parts.hostname} is not reachable", verdict=NOT_RUN)


async def start_world(
    example: Example, options: str, *, instances: int, load_lag_s: float = LOAD_LAG_S
) -> tuple[World, Target]:
    """Start a deployment; return it with the target for the load tool.

    Args:
        example: The organisation.
        options: Lines of the settings' section ``[scheduler]``.
        instances: Number of instances.
        load_lag_s: Greatest age of the engines' load reports.
    """
    speed = example.workload.speed
    engines = {
        item.address: ModelEngine(
            kv_tokens=item.kv_tokens,
            batch=speed.batch,
            prefill_tokens_per_s=speed.prefill_tokens_per_s,
            decode_tokens_per_s=speed.decode_tokens_per_s,
            batch_slowdown=speed.batch_slowdown,
            step_tokens=4,
            load_lag_s=load_lag_s,
            seed=number,
        )
        for number, item in enumerate(example.inventory.engines)
    }
    world = World(example.inventory, engines=engines, scheduler_options=options)
    await world.start(instances)
    entries = [
        f"http://{node.settings.instance.host}:{ENTRY_PORT}"
        for node in world.nodes.values()
    ]
    return world, Target("", entries, list(engines), builders.CALLER_SECRET)
