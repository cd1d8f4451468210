"""Which gateways a caller is told to use."""

from __future__ import annotations

from ..placement import first_of
from .members import Membership

MAX_ADDRESSES = 64
"""Most addresses in an answer, which the platform fixes."""
ENOUGH_NEAR = 2
"""Gateways in the caller's data centre that make those elsewhere unnecessary."""


def addresses_for(
    membership: Membership, *, data_centre: str, is_ready: bool, now: float
) -> list[str]:
    """Return ``HOST:PORT`` of the gateways for a caller.

    Those of the caller's own data centre come alone where there are enough of them:
    bytes between data centres cost, and each of them can serve every request.

    Args:
        membership: Who is alive.
        data_centre: Where the caller is.
        is_ready: Whether this gateway itself takes callers.
        now: Loop time.
    """
    members = membership.alive(now)
    if is_ready:
        members.append(membership.own)
    near = [item for item in members if item.data_centre == data_centre]
    chosen = near if len(near) >= ENOUGH_NEAR else members
    # Each gateway answers with others of many, so that none is left out by all.
    told = first_of(
        membership.own.name, (item.callers for item in chosen), MAX_ADDRESSES
    )
    return sorted(told)
