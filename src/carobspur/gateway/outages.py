"""Decides how turns are handled during an outage of the row store; pure functions.

In an outage no gateway reaches the store for seconds. Turns that must be stored, or
whose tokens exceed what the account may grant without the store, cannot be served.
Callers retry once within their deadline and then start the turn anew a few times;
refusing every attempt at once would use up these retries before the outage ends. The
first attempt is therefore refused with the longest ``Retry-After`` that callers honour,
and a later one is held until the store is back or a turn no longer fits into the
remaining time. Turns that an engine has already generated wait for their commit as
long as their callers wait.
"""

from __future__ import annotations

from .routes import Route

FIRST_ATTEMPT_SHARE = 0.85
"""A request that arrived with at least this share of the usual deadline is a first
attempt: a caller that was refused returns with about two thirds of it."""
MIN_TURN_S = 0.35
"""Least time that a turn is expected to take: network, commit and the engine's first
event."""
RELEASE_SPREAD_S = 0.3
"""Longest time over which held turns are released once the store is back; the store
serves some hundreds of turns in this time."""
OUTAGE_CONFIRMED_S = 0.3
"""Age from which an outage is expected to last; a lost answer or a reset connection is
over by then."""
HONOURED_RETRY_SHARE = 1 / 3
"""Share of the remaining time up to which callers honour ``Retry-After``, according to
the platform's documentation."""
RETRY_SPREAD_SHARE = 0.2
"""Share of ``Retry-After`` that is random, so that refused callers do not return in a
burst."""
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_LATENCIES = 4
SILENCE_TIMEOUT_GAPS = 8
"""Callers abandon a stream without events after the longest of these times: the
minimum, this many target latencies, and this many times the longest permitted gap. The
values are from the platform's documentation."""
SILENCE_TIMEOUT_MARGIN_S = 0.2
"""Subtracted from that time, so that the answer reaches the caller before its end."""


def is_outage_confirmed(away_s: float | None) -> bool:
    """Return whether requests that need the store should be refused at once.

    Args:
        away_s: How long no gateway has reached the store; ``None`` while one does.
    """
    return away_s is not None and away_s >= OUTAGE_CONFIRMED_S


def retry_after_s(remaining_s: float, *, draw: float) -> float:
    """Return the value for ``Retry-After``, as late as callers are willing to wait.

    Args:
        remaining_s: Time until the caller's deadline.
        draw: Random number from 0 to 1, drawn anew for each refusal.
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
    """Return how much longer a turn may wait for the store; 0 to refuse it now.

    Args:
        route: Route of the request.
        remaining_s: Time until the caller's deadline.
        age_s: Time since the request arrived.
        usual_deadline_s: Usual time until the deadline when first attempts arrive on
            the route; 0 if unknown.
        usual_turn_s: Usual duration of a turn on the route; 0 if unknown.
    """
    spare_s = remaining_s - max(MIN_TURN_S, usual_turn_s)
    has_returned = remaining_s + age_s < FIRST_ATTEMPT_SHARE * usual_deadline_s
    if not has_returned:
        return 0.0
    return max(0.0, min(spare_s, _silence_timeout_s(route) - age_s))


def release_delay_s(spare_s: float, *, draw: float) -> float:
    """Return how long a held turn waits before it is released once the store is back.

    Turns with little spare time are released first, the others spread out.

    Args:
        spare_s: How much longer the turn may be held.
        draw: Random number from 0 to 1, drawn anew for each turn.
    """
    return draw * min(RELEASE_SPREAD_S, max(0.0, spare_s) / 2)


def commit_wait_s(route: Route, remaining_s: float) -> float:
    """Return how long a generated turn may wait until it is stored.

    Args:
        route: Route of the request.
        remaining_s: Time until the caller's deadline.
    """
    return max(0.0, min(_silence_timeout_s(route), remaining_s))


def _silence_timeout_s(route: Route) -> float:
    """Return how long callers of a route wait for the next event of a stream."""
    timeout_s = max(
        MIN_SILENCE_TIMEOUT_S,
        SILENCE_TIMEOUT_LATENCIES * route.target_latency_s,
        SILENCE_TIMEOUT_GAPS * route.max_gap_s,
    )
    return timeout_s - SILENCE_TIMEOUT_MARGIN_S
