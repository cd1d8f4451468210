"""Times and sizes of the rate limit; docs/design/17-customers.md derives them."""

from __future__ import annotations

from .customer import Customer

TOKEN_VALIDITY_S = 0.25
"""How long a granted token may be used. Within 5 s a customer may use the tokens
granted in 5.25 s, so that this validity costs half of the permitted excess of 10 %."""
DELEGATION_S = 1.2
"""How long an owner counts a delegated share after the time stamp that the delegation
repeats: two lost messages in a row cost nothing else."""
DELEGATION_MARGIN_S = 0.05
"""How much longer the delegating gateway regards its share as delegated, as the clocks
of two machines may run at slightly different rates."""
TICK_S = 0.5
"""Time between two messages from a gateway to each owner without any demand."""
SILENT_AFTER_S = 0.6
"""Time without an answer after which a gateway regards an owner as silent."""
MAX_WAIT_S = 0.1
"""Longest time for which a request waits for a token."""
REPEAT_AFTER_S = 0.03
"""Time without an answer after which a waiting request is sent to the owner again: ten
round trips between two data centres."""
POLL_S = 0.01
"""Time between two checks of the waiting requests."""
MIN_CAPACITY = 12.0
"""Smallest capacity of a bucket. The requests of a customer with one a second, 62 % of
its limit, come irregularly: a capacity of 6 is calculated to refuse 0.3 % of them."""
CAPACITY_S = 0.05
"""Smallest capacity of a bucket, in seconds of the rate."""
INITIAL_LEVEL = 2.0
"""Level of the bucket of an owner to which most gateways have just turned."""
RESERVED_SHARE = 0.25
"""Part of the capacity that only requests of running programs may use."""
MAX_RETRY_AFTER_S = 3.0
"""Longest time to retry that an owner reports."""
NO_OWNER_RETRY_AFTER_S = 0.5
"""Time to retry without an owner that answers: about the time until another is found.
"""


def capacity_of(customer: Customer) -> float:
    """Return the capacity of a customer's bucket.

    It exceeds the configured burst only for small bursts, at the expense of the slack
    of the rule.
    """
    return max(customer.burst, MIN_CAPACITY, CAPACITY_S * customer.rate_per_s)
