"""Faults that the soak injects.

Each is a coroutine that injects one fault, ends it (some faults of store and replicas
end by themselves) and returns a description for the report.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from tests.platform_world import ENGINES, TOOLS, configuration, route

from carobspur_standins.platform_replica import ReplicaFault

from .deployment import GatewayProcess, SoakWorld
from .proxy import LinkFault

Fault = Callable[[SoakWorld, random.Random], Awaitable[str]]

SHORT_RANGE_S = (0.3, 1.5)
LONG_RANGE_S = (1.0, 4.0)

EXCLUDED_FAULTS = (
    ReplicaFault.HANG,
    ReplicaFault.OTHER_WEIGHTS,
    ReplicaFault.NEW_WEIGHTS,
)
"""Replica faults that the soak leaves out: they would change what recorded seeds draw,
or cause a stream that the checks do not know."""


def _gateway(world: SoakWorld, rng: random.Random) -> GatewayProcess:
    return rng.choice(world.processes)


async def kill_and_restart(world: SoakWorld, rng: random.Random) -> str:
    """Kill one gateway, or all at once, and start it again."""
    victims = world.processes if rng.random() < 0.2 else [_gateway(world, rng)]
    for victim in victims:
        victim.signal(signal.SIGCONT)
        victim.signal(signal.SIGKILL)
    await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    for victim in victims:
        await victim.ended()
        victim.start()
    return f"killed {[victim.name for victim in victims]}"


async def pause(world: SoakWorld, rng: random.Random) -> str:
    """Pause one gateway process and let it continue."""
    victim = _gateway(world, rng)
    victim.signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    victim.signal(signal.SIGCONT)
    return f"paused {victim.name}"


async def stop_and_restart(world: SoakWorld, rng: random.Random) -> str:
    """Stop one gateway with SIGTERM, as a planned stop does, and start it again."""
    victim = _gateway(world, rng)
    victim.signal(signal.SIGCONT)
    victim.signal(signal.SIGTERM)
    await victim.ended()
    victim.start()
    return f"stopped {victim.name}"


async def reload_settings(world: SoakWorld, rng: random.Random) -> str:
    """Make one gateway reload its settings, at times a damaged file first."""
    victim = _gateway(world, rng)
    good = victim.settings.read_text()
    if rng.random() < 0.5:
        victim.settings.write_text("[store]\naddress = nowhere\n")
        victim.signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
    victim.settings.write_text(good)
    victim.signal(signal.SIGHUP)
    return f"settings of {victim.name}"


async def disturb_store_link(world: SoakWorld, rng: random.Random) -> str:
    """Disturb the connections between one gateway, or all, and the store."""
    victims = world.processes if rng.random() < 0.3 else [_gateway(world, rng)]
    fault = rng.choice([item for item in LinkFault if item is not LinkFault.NONE])
    for victim in victims:
        victim.store_proxy.set_fault(fault)
    await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
    for victim in victims:
        victim.store_proxy.set_fault(LinkFault.NONE)
    return f"{fault} towards the store at {[victim.name for victim in victims]}"


async def disturb_store(world: SoakWorld, rng: random.Random) -> str:
    """Make the store refuse calls, respond late, lose answers, drop history or hang."""
    faults = world.store.faults
    match rng.choice(("busy", "slow", "lost", "history", "connections")):
        case "busy":
            faults.status = rng.choice((429, 503))
            await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
            faults.status = 0
            return "the store refused"
        case "slow":
            faults.delay_s = rng.uniform(0.05, 0.4)
            await asyncio.sleep(rng.uniform(*LONG_RANGE_S))
            faults.delay_s = 0.0
            return "the store was slow"
        case "lost":
            faults.lose_answers = rng.randint(1, 5)
            return "the store lost answers"
        case "history":
            world.store.drop_history()
            return "the store forgot its history"
        case _:
            world.store.mute_open_connections()
            return "open connections to the store fell silent"


async def disturb_replica(world: SoakWorld, rng: random.Random) -> str:
    """Give a replica faults for its next one to four requests."""
    replica = rng.choice(list(world.replicas.values()))
    faults = [item for item in ReplicaFault if item not in EXCLUDED_FAULTS]
    replica.faults.extend(rng.choice(faults) for _ in range(rng.randint(1, 4)))
    return f"wrong answers of {replica.id}"


async def replace_replica(world: SoakWorld, rng: random.Random) -> str:
    """Replace a replica by a new one, or let its registration lapse for a moment."""
    service = rng.choice((ENGINES, TOOLS))
    old = rng.choice(
        [replica for replica in world.replicas.values() if replica.service == service]
    )
    if rng.random() < 0.4:
        world.unregister(old)
        await asyncio.sleep(rng.uniform(*SHORT_RANGE_S))
        world.register(old, sequence=3)
        return f"{old.id} lapsed"
    await world.add_replica(service, events=old.events)
    world.register(old, state="draining", sequence=2)
    await asyncio.sleep(2.0)
    world.unregister(old)
    return f"{old.id} left"


async def change_configuration(world: SoakWorld, rng: random.Random) -> str:
    """Write one to three new configuration versions in quick succession."""
    for _ in range(rng.randint(1, 3)):
        version = next(world.versions)
        extra = route(f"extra-{version}", "idempotent", TOOLS)
        content = configuration(version)
        content["routes"].append(extra)
        world.configure(content)
        await asyncio.sleep(rng.uniform(0, 0.3))
    return "new configurations"


FAULTS: tuple[Fault, ...] = (
    kill_and_restart,
    pause,
    stop_and_restart,
    reload_settings,
    disturb_store_link,
    disturb_store,
    disturb_replica,
    disturb_replica,
    replace_replica,
    change_configuration,
)


async def inject(
    world: SoakWorld, rng: random.Random, stopped: asyncio.Event, injected: list[str]
) -> None:
    """Inject random faults, one after the other, until ``stopped`` is set.

    Args:
        world: The deployment.
        rng: Source of all random choices.
        stopped: Ends the injection after the current fault.
        injected: Gets the description of each fault.
    """
    while not stopped.is_set():
        fault = rng.choice(FAULTS)
        injected.append(await fault(world, rng))
        await asyncio.sleep(rng.uniform(0, 0.8))
