"""Selects the gateways whose addresses a caller is given."""

from __future__ import annotations

from ..placement import first_of
from .members import Membership

MAX_ADDRESSES = 64
"""Most addresses in one answer; a limit of the platform."""
ENOUGH_LOCAL_GATEWAYS = 2
"""With this many gateways in the caller's data centre, no others are listed."""


def addresses_for(
    membership: Membership, *, data_centre: str, is_ready: bool, now: float
) -> list[str]:
    """Return the ``HOST:PORT`` addresses of gateways for a caller.

    If the caller's data centre has enough gateways, only those are returned: traffic
    between data centres costs money, and every gateway can serve every request.

    Args:
        membership: The known gateways.
        data_centre: Data centre of the caller.
        is_ready: Whether this gateway itself accepts callers.
        now: Event loop time in seconds.
    """
    members = membership.alive(now)
    if is_ready:
        members.append(membership.own)
    local = [item for item in members if item.data_centre == data_centre]
    chosen = local if len(local) >= ENOUGH_LOCAL_GATEWAYS else members
    # With more gateways than addresses, each gateway lists a different selection, so
    # that none is missing from all of them.
    addresses = first_of(
        membership.own.name, (item.callers for item in chosen), MAX_ADDRESSES
    )
    return sorted(addresses)
