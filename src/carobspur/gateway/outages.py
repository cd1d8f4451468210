"""How turns meet an outage of the row store; pure decisions.

The load they answer: the whole store is away for seconds, no gateway reaches it, and
every turn that must be kept or whose tokens no row covers comes in vain. Callers
come back once within their deadline and then anew, a few times; to refuse all of it at
once spends their chances in less time than an outage takes. So the first attempt is
refused with a time that reaches as far as callers allow, and a later one is held until
the store is back or the time left holds no turn. Turns under way wait for their commit
as long as callers do.
"""

from __future__ import annotations

from .routes import Route

FIRST_ATTEMPT_SHARE = 0.85
"""A caller that has this share of the usual time left has not been refused before: one
that was comes back with two thirds of it."""
MIN_TURN_S = 0.35
"""No turn is expected to take less: its way, its commit and an engine's first event."""
RELEASE_SPREAD_S = 0.3
"""Time over which held turns go on once the store is back; it serves some hundreds."""
OUTAGE_CONFIRMED_S = 0.3
"""Age from which an outage is taken to last; a lost answer or a reset is over then."""
HONOURED_RETRY_SHARE = 1 / 3
"""Share of the time left that callers wait before they come back, from the platform's
pages."""
RETRY_SPREAD_SHARE = 0.2
"""Share of that time over which returns are spread, so that they form no burst."""
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_LATENCIES = 4
SILENCE_TIMEOUT_GAPS = 8
"""Callers leave a silent stream after this long at least, or after so many times its
target latency or its widest pause, from the platform's pages."""
SILENCE_TIMEOUT_MARGIN_S = 0.2
"""Kept back of it, so that the caller still hears the end."""


def is_outage_confirmed(away_s: float | None) -> bool:
    """Return whether to refuse what needs the store at once.

    Args:
        away_s: How long no gateway has reached the store; ``None`` while one does.
    """
    return away_s is not None and away_s >= OUTAGE_CONFIRMED_S


def retry_after_s(remaining_s: float, *, draw: float) -> float:
    """Return when a caller should come back: as late as it is willing to.

    Args:
        remaining_s: Time until its deadline.
        draw: Number from 0 to 1, drawn anew for each refusal.
    """
    honoured_s = max(0.0, remaining_s) * HONOURED_RETRY_SHARE
    return honoured_s * (1 - RETRY_SPREAD_SHARE * draw)


def max_hold_s(
    route: Route,
    *,
    remaining_s: float,
    age_s: float,
    usual_deadline_s: float,
    usual_turn_s: float,
) -> float:
    """Return how much longer a turn may be held for the store; 0 to refuse it now.

    Args:
        route: Terms of the request.
        remaining_s: Time until its deadline.
        age_s: Time since the request came.
        usual_deadline_s: Time that callers of the route usually have at first; 0 where
            that is unknown.
        usual_turn_s: Time that a turn usually takes; 0 where that is unknown.
    """
    spare_s = remaining_s - max(MIN_TURN_S, usual_turn_s)
    has_returned = remaining_s + age_s < FIRST_ATTEMPT_SHARE * usual_deadline_s
    if not has_returned:
        return 0.0
    return max(0.0, min(spare_s, _silence_timeout_s(route) - age_s))


def release_delay_s(spare_s: float, *, draw: float) -> float:
    """Return how long a held turn waits once the store is back.

    Those with little time to spare go first; the others follow spread out.

    Args:
        spare_s: Time left beyond what the turn takes.
        draw: Number from 0 to 1, drawn anew for each turn.
    """
    return draw * min(RELEASE_SPREAD_S, max(0.0, spare_s) / 2)


def commit_wait_s(route: Route, remaining_s: float) -> float:
    """Return how long the end of a turn may wait for the store.

    Args:
        route: Terms of the request.
        remaining_s: Time until the caller's deadline.
    """
    return max(0.0, min(_silence_timeout_s(route), remaining_s))


def _silence_timeout_s(route: Route) -> float:
    """Return for how long callers of a route wait without an event."""
    timeout_s = max(
        MIN_SILENCE_TIMEOUT_S,
        SILENCE_TIMEOUT_LATENCIES * route.target_latency_s,
        SILENCE_TIMEOUT_GAPS * route.max_gap_s,
    )
    return timeout_s - SILENCE_TIMEOUT_MARGIN_S
