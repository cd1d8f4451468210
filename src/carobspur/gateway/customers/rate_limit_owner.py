"""The owner of customers' limits: buckets fed by delegated shares; a pure module.

Handles customers far over their limit, and owners that two sides of a partition choose
independently: a bucket has only the part of the rate and of the capacity whose shares
gateways delegate to it, and each gateway delegates its share once.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from .customer import Customer
from .known_gateways import KnownGateways
from .rate_limit_messages import (
    AnswerEntry,
    RateAnswer,
    RateRequest,
    RequestEntry,
    customer_id,
)
from .rate_limit_times import (
    DELEGATION_S,
    INITIAL_LEVEL,
    MAX_RETRY_AFTER_S,
    RESERVED_SHARE,
    RateLimitTolerance,
)
from .token_bucket import TokenBucket

MAX_SENDERS = 1024
"""Processes whose last message number is remembered."""
INITIAL_LEVEL_INTERVAL_S = 5.0
"""Shortest time between two initial levels of one bucket: the window of the rule."""


class _OwnedLimit:
    """Bucket of one customer, with the shares delegated to it."""

    __slots__ = (
        "_has_majority",
        "_initial_at",
        "_new_backlog",
        "_next_expiry",
        "_running_backlog",
        "_share",
        "_shares",
        "_updated_at",
        "bucket",
    )

    def __init__(self, rate_per_s: float, capacity: float, now: float) -> None:
        self.bucket = TokenBucket(rate_per_s, capacity, now)
        # Time until which a share counts, by the address of its gateway.
        self._shares: dict[str, float] = {}
        # No share expires before.
        self._next_expiry = math.inf
        # Part of the rate that was delegated at the last update.
        self._share = 0.0
        self._updated_at = now
        self._has_majority = False
        self._initial_at = float("-inf")
        # Requests that were told when to come back, less those that the rate has since
        # had room for.
        self._running_backlog = 0.0
        self._new_backlog = 0.0

    def configure(
        self, rate_per_s: float, capacity: float, now: float, gateways: int
    ) -> None:
        """Apply a new limit."""
        self.update(now, gateways)
        self.bucket.rate_per_s = rate_per_s
        self.bucket.capacity = capacity
        self.bucket.add(0.0, self._share)

    def shares(self, now: float) -> list[str]:
        """Return the addresses of the gateways whose shares count now."""
        return [callers for callers, until in self._shares.items() if until > now]

    def update(self, now: float, gateways: int) -> None:
        """Expire shares and refill the bucket.

        The time since the last update counts with the smaller of the shares then and
        now, as the exact moment of the change may lie anywhere between.
        """
        if now >= self._next_expiry:
            self._expire_shares(now)
        share = self._current_share(gateways)
        self.bucket.refill(now, min(self._share, share))
        self._share = share
        served = max(0.0, now - self._updated_at) * self.bucket.rate_per_s * share
        self._updated_at = now
        running = min(served, self._running_backlog)
        self._running_backlog -= running
        self._new_backlog = max(0.0, self._new_backlog - (served - running))
        if len(self._shares) * 2 <= gateways:
            self._has_majority = False

    def _expire_shares(self, now: float) -> None:
        self._shares = {
            callers: until for callers, until in self._shares.items() if until > now
        }
        self._next_expiry = min(self._shares.values(), default=math.inf)

    def _current_share(self, gateways: int) -> float:
        return len(self._shares) / max(gateways, len(self._shares), 1)

    def delegate(
        self, callers: str, until: float, level: float, now: float, gateways: int
    ) -> None:
        """Count a share, with the level that its former owner handed over."""
        self._shares[callers] = until
        self._next_expiry = min(self._next_expiry, until)
        self._share = self._current_share(gateways)
        if len(self._shares) * 2 > gateways and not self._has_majority:
            self._has_majority = True
            if now - self._initial_at >= INITIAL_LEVEL_INTERVAL_S:
                self._initial_at = now
                level += INITIAL_LEVEL
        self.bucket.add(level, self._share)

    def withdraw(self, callers: str, gateways: int) -> float:
        """No longer count a share; return the part of the level that goes with it."""
        if callers not in self._shares:
            return 0.0
        level = self.bucket.level / len(self._shares)
        del self._shares[callers]
        self.bucket.level -= level
        self._share = self._current_share(gateways)
        self.bucket.add(0.0, self._share)
        return level

    def grant(self, entry: RequestEntry) -> tuple[int, int, float, float]:
        """Grant tokens; running programs first, and alone in the reserved part.

        Returns:
            Tokens for running programs, tokens for any request, and the times until
            refused requests of running programs and others may have room.
        """
        bucket, share = self.bucket, self._share
        available = bucket.most(share)
        reserved = min(RESERVED_SHARE * available, max(0.0, available - 1))
        running = bucket.take(entry.running)
        new = bucket.take(entry.new, keep=reserved)
        running_retry_s = new_retry_s = 0.0
        if running < entry.running:
            missing = entry.running - running
            running_retry_s = bucket.wait_s(self._running_backlog + missing, share)
            self._running_backlog += missing
        if new < entry.new:
            missing = entry.new - new
            before = self._running_backlog + self._new_backlog
            new_retry_s = bucket.wait_s(before + missing, share, keep=reserved)
            self._new_backlog += missing
        else:
            new += bucket.take(entry.ahead, keep=reserved)
        self._limit_backlogs()
        return running, new, running_retry_s, new_retry_s

    def _limit_backlogs(self) -> None:
        most = self.bucket.rate_per_s * MAX_RETRY_AFTER_S
        self._running_backlog = min(self._running_backlog, most)
        self._new_backlog = min(self._new_backlog, most)


class RateLimitOwner:
    """Grants tokens of the customers whose limits this gateway owns.

    Args:
        callers: Address of this gateway for callers.
        known: Gateways among which the rates are divided.
        tolerance: What the rule permits beyond the limits.
    """

    __slots__ = (
        "_callers",
        "_customers",
        "_known",
        "_limits",
        "_numbers",
        "_tolerance",
    )

    def __init__(
        self, callers: str, known: KnownGateways, tolerance: RateLimitTolerance
    ) -> None:
        self._tolerance = tolerance
        self._callers = callers
        self._known = known
        self._customers: dict[int, Customer] = {}
        self._limits: dict[int, _OwnedLimit] = {}
        # Number of the last message by sender, the least recent first.
        self._numbers: OrderedDict[str, int] = OrderedDict()

    def shares(self, name: str, now: float) -> list[str]:
        """Return the addresses of the gateways whose shares of a limit count now."""
        limit = self._limits.get(customer_id(name))
        return limit.shares(now) if limit else []

    def configure(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the limits of a new configuration."""
        self._customers = {customer_id(item.name): item for item in customers}
        for key, limit in list(self._limits.items()):
            customer = self._customers.get(key)
            if customer is None:
                del self._limits[key]
            else:
                capacity = self._tolerance.capacity(customer)
                gateways = self._known.count(now)
                limit.configure(customer.rate_per_s, capacity, now, gateways)

    def answer(self, request: RateRequest, now: float) -> RateAnswer | None:
        """Answer a request; ``None`` for one that arrives twice or out of order."""
        if request.number <= self._numbers.get(request.sender, 0):
            return None
        self._numbers[request.sender] = request.number
        self._numbers.move_to_end(request.sender)
        if len(self._numbers) > MAX_SENDERS:
            self._numbers.popitem(last=False)
        self._known.record_report(request.gateways, now)
        entries = []
        for entry in request.entries:
            answer = self._answer_entry(request, entry, now)
            if answer is not None:
                entries.append(answer)
        return RateAnswer(
            callers=self._callers,
            number=request.number,
            sent_at=request.sent_at,
            stamp=now,
            gateways=self._known.own_count(),
            entries=entries,
        )

    def _answer_entry(
        self, request: RateRequest, entry: RequestEntry, now: float
    ) -> AnswerEntry | None:
        customer = self._customers.get(entry.customer)
        if customer is None:
            return None
        limit = self._limits.get(entry.customer)
        if limit is None:
            capacity = self._tolerance.capacity(customer)
            limit = _OwnedLimit(customer.rate_per_s, capacity, now)
            self._limits[entry.customer] = limit
        gateways = self._known.count(now)
        limit.update(now, gateways)
        handed_over = 0.0
        if not entry.delegates:
            handed_over = limit.withdraw(request.callers, gateways)
        elif self._may_count(request, now):
            until = request.stamp + DELEGATION_S
            limit.delegate(request.callers, until, entry.level, now, gateways)
        running, other, running_retry_s, new_retry_s = limit.grant(entry)
        return AnswerEntry(
            customer=entry.customer,
            running=running,
            other=other,
            running_retry_ms=_retry_ms(running_retry_s),
            new_retry_ms=_retry_ms(new_retry_s),
            bucket_level=int(limit.bucket.level),
            has_returned=not entry.delegates,
            level=handed_over,
        )

    def _may_count(self, request: RateRequest, now: float) -> bool:
        """Return whether a delegation is valid.

        Its time stamp shows how old it can be. A process that was suspended finds old
        messages in its socket.
        """
        return (
            bool(self._known.count(now))
            and request.callers in self._known
            and now - DELEGATION_S < request.stamp <= now
        )


def _retry_ms(retry_s: float) -> int:
    return int(min(retry_s, MAX_RETRY_AFTER_S) * 1000 + 0.999)
