"""Loads of turns and calls for the tests of placement; see ``engine_load``."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count

from carobspur.gateway.calls import PromptPart
from carobspur.gateway.placement import Need

from .engine_load import (
    EVENT_TOKENS,
    STEP_PER_TURN_S,
    STEP_S,
    TOKENS_PER_S,
    Site,
    Work,
)

TURN = Need(
    "a",
    "p",
    4000,
    route="r",
    is_turn=True,
    prompt_parts=tuple(PromptPart(f"p/{n}", 500) for n in range(8)),
    expected_tokens=80,
    tokens_per_event=EVENT_TOKENS,
    memory_tokens=40_000,
)


def arrivals(
    site: Site, per_s: float, until: float, act: Callable[[Site, int], None]
) -> Site:
    """Call ``act`` with the numbers of arrivals at random times."""
    when = 0.0
    for number in count():
        when += site.rng.expovariate(per_s)
        if when > until:
            break
        site.at(when, act, site, number)
    return site


def send_call(site: Site, number: int) -> None:
    """Send a plain call of one of three routes."""
    work_s = (0.02, 0.054, 0.081)[number % 3]
    need = Need("a", service_ms=50.0, route=f"r{number % 3}")
    site.send(Work(need, 3 * work_s, work_s=work_s))


def start_session(
    site: Site, name: str, *, turns: int, tokens: int, new: int = 400
) -> None:
    """Run turns one after the other; each prompt contains all earlier ones."""
    parts = [PromptPart(f"shared{site.rng.randrange(8)}", 512)]

    def _next(left: int) -> None:
        if not left:
            return
        parts.append(PromptPart(f"{name}/{left}", new))
        length = max(EVENT_TOKENS, round(tokens * site.rng.uniform(0.6, 1.4)))
        need = replace(
            TURN,
            affinity=name,
            route=f"r{tokens}",
            prompt_tokens=sum(part.tokens for part in parts),
            prompt_parts=tuple(parts),
            expected_tokens=tokens,
            memory_tokens=site.memory,
        )
        idle_s = length * (STEP_S + STEP_PER_TURN_S) + new / TOKENS_PER_S
        pause_s = site.rng.uniform(0.02, 0.3)
        work = Work(need, 1.5 * idle_s + 0.02, tokens=length)
        work.then = lambda: site.at(site.now + pause_s, _next, left - 1)
        site.send(work)

    _next(turns)


def short_session(site: Site, number: int) -> None:
    """Start a session of six short turns."""
    start_session(site, f"p{number}", turns=6, tokens=60)


def sessions(
    policy: str, speeds: list[float], *, per_s: float, seed: int = 1, **options: object
) -> Site:
    """Run 8 s of sessions, every fourth with few long turns, and return the site."""
    site = Site(policy, speeds, seed=seed, **options)

    def _arrive(site: Site, number: int) -> None:
        turns, tokens = (3, 200) if number % 4 == 0 else (8, 40)
        start_session(site, f"p{number}", turns=turns, tokens=tokens)

    return arrivals(site, per_s, 8.0, _arrive).run(12.0)


def busiest(site: Site) -> float:
    """Return the largest share of requests relative to what the speed warrants."""
    mean = sum(site.placed.values()) / sum(1 / speed for speed in site.speeds)
    return max(site.placed[n] * speed / mean for n, speed in enumerate(site.speeds))
