"""Builders of inventories, settings and log lines for tests.

The addresses are those under which :class:`tests.world.World` serves its stand-ins.
"""

from __future__ import annotations

import contextlib
import hashlib
import io
import json
import tempfile
from pathlib import Path

import msgspec

from carobspur.cli import run
from carobspur.inventory import (
    Agent,
    Allowance,
    DataCentre,
    Engine,
    Inventory,
    Key,
    Model,
    PriorityClass,
    Replica,
    Role,
    Rules,
    Service,
    ServiceKind,
    StopRule,
)
from carobspur.inventory_checks import parse_inventory
from carobspur.settings import Settings

EXAMPLES = Path(__file__).parent.parent / "examples"
ORGANISATION = "oro-recupero"
CALLER_SECRET = "caller-secret"
OPERATOR_SECRET = "operator-secret"
PLATFORM_SECRET = "platform-secret"
TABLE_URL = "http://10.0.0.1:1"
OBJECTS_URL = "http://10.0.0.1:2"
LIVE_LIST_URL = "http://10.0.0.1:3"
ENGINE_URLS = ("http://10.0.1.1:1", "http://10.0.1.2:1")
TOOL_URL = "http://10.0.2.1:1"
PLAIN_URL = "http://10.0.2.2:1"
LEASE_S = 4.0


def digest_of(secret: str) -> str:
    """Return the SHA-256 digest by which an inventory stores a key's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def an_inventory(
    organisation: str = ORGANISATION,
    *,
    secret_prefix: str = "",
    units: int = 1_000_000,
    user_units: int = 100_000,
    checks_fencing: bool = True,
    has_lookup: bool = True,
    engine_urls: tuple[str, ...] = ENGINE_URLS,
    max_calls: int = 100,
) -> Inventory:
    """Return an inventory with a model, a tool and a plain service.

    Args:
        organisation: Id of the organisation.
        secret_prefix: Prefix of its keys' secrets, to tell organisations apart.
        units: Allowance of the organisation in cost units an hour.
        user_units: Allowance of each user in cost units an hour.
        checks_fencing: Whether the tool ``payout`` checks fencing numbers.
        has_lookup: Whether ``payout`` can be asked if a call was executed.
        engine_urls: Base URLs of the engines; only the first checks fencing numbers.
        max_calls: Most calls of a program.
    """
    return Inventory(
        organisation=organisation,
        keys=[
            Key("shops", digest_of(secret_prefix + CALLER_SECRET), Role.CALLER),
            Key("ops", digest_of(secret_prefix + OPERATOR_SECRET), Role.OPERATOR),
        ],
        data_centres=[DataCentre(f"dc-{number}") for number in (1, 2, 3)],
        models=[Model("model", 32768, input_cost=1, output_cost=3)],
        engines=[
            Engine(
                f"engine-{number}",
                url,
                f"dc-{number}",
                ["model"],
                kv_tokens=100_000,
                checks_fencing=number == 1,
            )
            for number, url in enumerate(engine_urls, start=1)
        ],
        services=[
            Service(
                "payout",
                ServiceKind.TOOL,
                [Replica(TOOL_URL, "dc-1")],
                has_lookup=has_lookup,
                checks_fencing=checks_fencing,
                timeout_s=5.0,
                cost=10,
                shared=True,
            ),
            Service(
                "vault",
                ServiceKind.PLAIN,
                [Replica(PLAIN_URL, "dc-2")],
                repeatable=True,
                timeout_s=5.0,
                shared=True,
            ),
        ],
        agents=[Agent("quote", "counter", max_calls=max_calls)],
        allowances=[
            Allowance(units, 3600),
            Allowance(user_units, 3600, "*"),
        ],
        rules=Rules(
            classes=[PriorityClass("counter", 0)],
            stop=[StopRule(Role.CALLER), StopRule(Role.OPERATOR, own_only=False)],
        ),
    )


def some_settings(
    number: int = 1,
    *,
    shards: int = 8,
    lease_s: float = LEASE_S,
    scheduler_options: str = "",
) -> Settings:
    """Return the settings of an instance that runs in the test's process.

    Args:
        number: Number of the instance; gives its id, host and data centre.
        shards: Number of shards.
        lease_s: Lease time in seconds of its session.
        scheduler_options: Further lines of the section ``[scheduler]``.
    """
    options = scheduler_options.replace("\n", "\n        ")
    return Settings.parse(
        f"""
        [instance]
        id = instance-{number}
        data_centre = dc-{(number - 1) % 3 + 1}
        host = 10.1.0.{number}
        [platform]
        table_url = {TABLE_URL}
        objects_url = {OBJECTS_URL}
        live_list_url = {LIVE_LIST_URL}
        [entry]
        port = 1
        [scheduler]
        port = 2
        metrics_port = 3
        lease_s = {lease_s}
        shards = {shards}
        {options}
        [control]
        port = 4
        peer_port = 5
        platform_key_sha256 = {digest_of(PLATFORM_SECRET)}
        """
    )


def json_of(text: str) -> object:
    """Return the content of a stored JSON answer, or ``None`` for an empty one."""
    return json.loads(text) if text else None


def an_example_inventory(name: str) -> Inventory:
    """Return an example inventory with the addresses of the test world."""
    example = parse_inventory((EXAMPLES / f"{name}.json").read_bytes())
    engines = [
        msgspec.structs.replace(engine, address=url)
        for engine, url in zip(example.engines, ENGINE_URLS, strict=True)
    ]
    services = [
        msgspec.structs.replace(
            service, replicas=[_at_address(service.replicas[0], url)]
        )
        for service, url in zip(example.services, (TOOL_URL, PLAIN_URL), strict=True)
    ]
    return msgspec.structs.replace(example, engines=engines, services=services)


def _at_address(replica: Replica, url: str) -> Replica:
    return msgspec.structs.replace(replica, address=url)


def log_line(time: float, event: str, *, instance: str = "g1", **fields: object) -> str:
    """Return a line of a gateway's decision log; ``time`` is Unix time."""
    return json.dumps({"time": time, "event": event, "instance": instance, **fields})


def run_on_log(lines: list[str], *arguments: str) -> tuple[int, object]:
    """Run a command of ``carobspur`` on a log; return exit code and printed JSON.

    Args:
        lines: Lines of the log.
        arguments: Command and its arguments before the log's path.
    """
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.log"
        path.write_text("\n".join(lines))
        with contextlib.redirect_stdout(output):
            status = run([*arguments, str(path), "--json"])
    return status, json.loads(output.getvalue())
