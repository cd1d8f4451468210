"""Applies the rate limits of customers to requests; connects them to datagrams."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from ..calls import Call
from ..decisions import DecisionLog
from ..members import Member, Membership
from ..objectives import Served
from ..refusals import OverLimitError
from ..routes import Configuration, Route
from ..telemetry import Telemetry
from .customer import Customer
from .program_starts import ProgramStarts
from .rate_limit_messages import RateAnswer, RateRequest
from .rate_limit_times import MAX_WAIT_S, POLL_S, TICK_S, RateLimitTolerance
from .rate_limiter import Outgoing, RateLimiter, Refusal, Waiter

MEMBERS_INTERVAL_S = 0.25
"""Time between two looks at the membership: that of heartbeats."""
LATE_AFTER_S = 0.03
"""Delay of a poll from which the process counts as having been paused."""
RETRY_SPREAD = 0.3
"""Most by which Retry-After is randomly lengthened, as a part of it, so that refused
callers do not come back at the same moment."""
MAX_NAMED_CUSTOMERS = 20
"""Customers with a time series of their own: those with the highest limits."""
MAX_CUSTOMER_LABELS = 64
"""Customers that get one in the life of a process, whatever configurations follow."""
OTHER_CUSTOMERS = "other"


class RateMessageSender(Protocol):
    """Sends datagrams to other gateways."""

    def send_rate_message(
        self, message: RateRequest | RateAnswer, address: str | tuple[str, int]
    ) -> None:
        """Send a message to the ``HOST:PORT`` or address of another gateway."""


class RateLimitGate:
    """Admits requests of customers within their limits; see :class:`RateLimiter`.

    Requests of customers without a limit, or without a customer, pass unchanged.

    Args:
        membership: The gateways.
        sender: Sends datagrams.
        tolerance: What the rule permits beyond the limits.
        is_table_current: Returns whether the member table was recently read from the
            store.
        is_ready: Returns whether this gateway may own limits.
        log: Decision log.
        telemetry: Metrics.
        clock: Returns the time in seconds; it must go on while the machine is
            suspended, so that tokens expire.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_is_flush_due",
        "_is_ready",
        "_is_table_current",
        "_labels",
        "_limiter",
        "_log",
        "_membership",
        "_named",
        "_poll_timer",
        "_programs",
        "_sender",
        "_telemetry",
        "_token_expiry",
    )

    def __init__(
        self,
        membership: Membership,
        sender: RateMessageSender,
        *,
        tolerance: RateLimitTolerance,
        is_table_current: Callable[[], bool],
        is_ready: Callable[[], bool],
        log: DecisionLog,
        telemetry: Telemetry,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._membership = membership
        self._sender = sender
        self._is_table_current = is_table_current
        self._is_ready = is_ready
        self._log = log
        self._telemetry = telemetry
        self._clock = clock or boot_time
        own = membership.own
        self._limiter = RateLimiter(own.name, own.callers, self._clock(), tolerance)
        self._programs = ProgramStarts()
        # Addresses for datagrams by addresses for callers.
        self._addresses: dict[str, str] = {}
        # Expiry of the tokens of admitted requests by the identity of the call.
        self._token_expiry: dict[int, float] = {}
        self._is_flush_due = False
        self._poll_timer: asyncio.TimerHandle | None = None
        self._named: frozenset[str] = frozenset()
        self._labels: set[str] = set()

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a new configuration."""
        customers = configuration.customers
        self._limiter.configure(customers, self._clock())
        largest = sorted(customers, key=lambda item: -item.rate_per_s)
        self._named = frozenset(item.name for item in largest[:MAX_NAMED_CUSTOMERS])

    async def admit(self, call: Call, route: Route, customer: Customer | None) -> None:
        """Admit a request or refuse it; see :class:`.RequestGate`.

        Raises:
            OverLimitError: The customer's limit is reached.
        """
        if customer is None or not customer.is_limited:
            return
        now = self._clock()
        is_running = self._programs.is_running(call, route)
        result: Refusal | float | None = self._limiter.try_take(
            customer.name, now, is_running=is_running
        )
        if self._limiter.has_pending:
            self._schedule_flush()
        if result is None:
            result = await self._wait(customer.name, now, is_running=is_running)
        label = self._label(customer.name)
        if isinstance(result, Refusal):
            self._telemetry.customer_requests.labels(label, "refused").inc()
            self._refuse(call, customer, result, is_running=is_running)
        self._telemetry.customer_requests.labels(label, "admitted").inc()
        self._programs.record(call)
        self._token_expiry[id(call)] = result

    async def _wait(
        self, name: str, now: float, *, is_running: bool
    ) -> Refusal | float:
        """Wait until the owner grants a token or refuses it."""
        done = asyncio.get_running_loop().create_future()

        def _finish(result: Refusal | float) -> None:
            if not done.done():
                done.set_result(result)

        waiter = Waiter(is_running, now + MAX_WAIT_S, _finish)
        self._limiter.wait(name, waiter)
        self._schedule_flush()
        try:
            return await done
        finally:
            self._limiter.give_up(name, waiter)

    def _refuse(
        self, call: Call, customer: Customer, refusal: Refusal, *, is_running: bool
    ) -> None:
        retry_after_s = refusal.retry_after_s * random.uniform(1.0, 1 + RETRY_SPREAD)
        age_s = refusal.age_s
        self._log.record(
            "over_limit",
            request=call.id,
            customer=customer.name,
            rate_per_s=customer.rate_per_s,
            burst=customer.burst,
            level=refusal.level,
            age_ms=None if age_s is None else round(age_s * 1000),
            owner=refusal.owner,
            gateways=self._limiter.gateways,
            is_running=is_running,
            reason=refusal.reason,
            retry_after_ms=round(retry_after_s * 1000),
        )
        raise OverLimitError(
            f"{refusal.reason}: {customer.rate_per_s:g} requests a second",
            retry_after_s=retry_after_s,
        )

    def finished(self, call: Call, route: Route, served: Served | None) -> None:
        """Give back the token of a request that was not sent to any endpoint."""
        expires_at = self._token_expiry.pop(id(call), None)
        if expires_at is not None and served is None and not call.was_sent:
            now = self._clock()
            self._limiter.give_back(call.customer or "", expires_at, now)

    def receive(
        self, message: RateRequest | RateAnswer, address: tuple[str, int]
    ) -> None:
        """Handle a datagram of another gateway."""
        now = self._clock()
        match message:
            case RateRequest():
                answer = self._limiter.answer(message, now)
                if answer is not None:
                    self._sender.send_rate_message(answer, address)
            case RateAnswer():
                self._send(self._limiter.receive(message, now))

    async def run_forever(self) -> None:
        """Follow the membership and keep in contact with owners, until cancelled."""
        ticked_at = float("-inf")
        while True:
            now = self._clock()
            if self._update_members(now) or now - ticked_at >= TICK_S:
                ticked_at = now
                self._send(self._limiter.tick(now))
            await asyncio.sleep(MEMBERS_INTERVAL_S)

    def _update_members(self, now: float) -> bool:
        membership = self._membership
        others = membership.others()
        members = [membership.own, *others]
        alive: list[Member] = membership.alive(asyncio.get_running_loop().time())
        self._addresses = {item.callers: item.heartbeats for item in members}
        return self._limiter.update_members(
            self._addresses,
            [item.callers for item in alive],
            now,
            is_table_current=self._is_table_current(),
            is_candidate=self._is_ready(),
            leaving=[
                item.callers for item in others if membership.is_leaving(item.name)
            ],
        )

    def _schedule_flush(self) -> None:
        """Send what is wanted once the requests that have just arrived are read."""
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._send(self._limiter.collect(self._clock()))
        if self._poll_timer is None:
            self._schedule_poll()

    def _schedule_poll(self, *, was_late: bool = False) -> None:
        self._poll_timer = None
        if self._limiter.has_pending:
            loop = asyncio.get_running_loop()
            due_at = loop.time() + POLL_S
            self._poll_timer = loop.call_at(due_at, self._poll, due_at, was_late)

    def _poll(self, due_at: float, was_late: bool) -> None:
        """Refuse requests that waited too long.

        After a pause of the whole process, the answers may wait in the socket, so that
        the first late poll refuses nothing.
        """
        is_late = asyncio.get_running_loop().time() - due_at > LATE_AFTER_S
        now = self._clock()
        if is_late and not was_late:
            self._send(self._limiter.collect(now))
        else:
            self._send(self._limiter.poll(now))
        self._schedule_poll(was_late=is_late and not was_late)

    def _send(self, outgoing: Outgoing) -> None:
        for owner, request in outgoing:
            address = self._addresses.get(owner)
            if address is not None:
                self._sender.send_rate_message(request, address)

    def _label(self, name: str) -> str:
        if name in self._labels:
            return name
        if name in self._named and len(self._labels) < MAX_CUSTOMER_LABELS:
            self._labels.add(name)
            return name
        return OTHER_CUSTOMERS


def boot_time() -> float:
    """Return the seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
