"""Times and sizes of the rate limit; docs/design/17-customers.md derives them."""

from __future__ import annotations

from dataclasses import dataclass

from .customer import Customer

TOKEN_VALIDITY_S = 0.25
"""How long a granted token may be used. Within 5 s a customer may use the tokens
granted in 5.25 s, so that this validity costs half of the permitted excess of 10 %."""
DELEGATION_S = 0.6
"""How long an owner counts a delegated share after the time stamp that the delegation
repeats. After the death of an owner its customers get no tokens for so long: with 1.2 s
and messages every 0.5 s, 12 % of the requests of 10 s were refused."""
DELEGATION_MARGIN_S = 0.05
"""How much longer the delegating gateway regards its share as delegated, as the clocks
of two machines may run at slightly different rates."""
TICK_S = 0.25
"""Time between two messages from a gateway to each owner without any demand."""
SLOTS = 4
"""Groups of customers with a common owner. They bound the owners that each gateway has
to stay in contact with: 37 gateways send each other 600 messages a second instead of
4,700 with an owner for each of 80 customers. With 8 groups, messages took some 6 % more
of the gateways' processor time."""
SILENT_AFTER_S = 0.3
"""Time without an answer after which a gateway regards an owner as silent: one lost
message does not suffice."""
MAX_WAIT_S = 0.1
"""Longest time for which a request waits for a token."""
REPEAT_AFTER_S = 0.03
"""Shortest time without an answer after which the owner is asked again for a waiting
request: three times while it waits. With 0.05 s and 5 % of the datagrams lost, 1.2 % of
the requests were refused."""
REPEAT_ANSWER_TIMES = 3.0
"""The same as a multiple of the usual time of the owner's answers. An owner that is
only slow grants a second token, which expires if no other request uses it."""
POLL_S = 0.01
"""Time between two checks of the waiting requests."""
TOLERANCE_SHARE = 0.5
"""Part of the rule's tolerance that goes into the capacity of a bucket. The rest is for
the validity of tokens, changes of owner and messages in flight."""
MIN_CAPACITY = 1.0
"""Smallest capacity of a bucket: that of one request."""
INITIAL_LEVEL = 3.0
"""Level of the bucket of an owner to which most gateways have just turned. Three such
owners within one window stay within the half of a slack of 20 that is not part of the
capacity."""
RESERVED_SHARE = 0.2
"""Part of the capacity that only requests of running programs may use, if a token for
a new program remains beside it."""
MAX_RETRY_AFTER_S = 3.0
"""Longest time to retry that an owner reports."""
NO_OWNER_RETRY_AFTER_S = 0.4
"""Time to retry without an owner that answers: about the time until another is found.
"""


@dataclass(frozen=True, slots=True)
class RateLimitTolerance:
    """What the rule permits beyond the rate and the burst of a customer.

    In any window, a customer may send ``(rate * window + burst) * (1 + overage) +
    slack`` requests. The fields are also keys of the ``[rate_limits]`` section of the
    settings file, read only at start-up. The defaults permit nothing.

    Attributes:
        window_s: Length of the window in seconds.
        overage: Part of the rate and burst that may be exceeded.
        slack: Requests that may be sent beyond that.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def capacity(self, customer: Customer) -> float:
        """Return the capacity of a customer's bucket.

        Steps of programs send 3 to 20 requests at once: with the burst alone as the
        capacity, bursts of a small customer are refused far below its limit.
        """
        permitted = customer.rate_per_s * self.window_s + customer.burst
        tolerance = permitted * self.overage + self.slack
        return max(customer.burst + TOLERANCE_SHARE * tolerance, MIN_CAPACITY)
