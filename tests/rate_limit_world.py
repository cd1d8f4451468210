"""Simulates the rate limits of many gateways in virtual time, without network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from carobspur.gateway.customers.customer import Customer
from carobspur.gateway.customers.rate_limit_messages import RateRequest
from carobspur.gateway.customers.rate_limit_times import (
    MAX_WAIT_S,
    POLL_S,
    TICK_S,
    RateLimitTolerance,
)
from carobspur.gateway.customers.rate_limiter import (
    Outgoing,
    RateLimiter,
    Refusal,
    Waiter,
)

WINDOW_S = 5.0
TOLERANCE = RateLimitTolerance(window_s=WINDOW_S, overage=0.1, slack=20)
MEMBERS_INTERVAL_S = 0.25
START_S = 100.0
SETTLED_S = 5.0
"""Time in which the gateways of a new deployment find each other."""


def most_in_window(customer: Customer) -> float:
    """Return how many requests the rule permits in any window."""
    return (customer.rate_per_s * WINDOW_S + customer.burst) * 1.1 + 20


def largest_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    largest = start = 0
    for end, moment in enumerate(times):
        while moment - times[start] >= WINDOW_S:
            start += 1
        largest = max(largest, end - start + 1)
    return largest


@dataclass(slots=True, eq=False)
class SimulatedGateway:
    """One gateway of the simulation.

    Attributes:
        callers: Its address.
        limiter: Its rate limits.
        is_up: Whether its process runs, suspended or not.
        is_suspended: Whether the process is suspended.
        is_leaving: Whether it has announced that it stops.
        side: Gateways of different sides do not reach each other.
        lag_s: Age of what its membership believes.
        table_read_at: Time at which it reads the member table.
        buffered: What happens once it is resumed.
        start: Number of starts of its process.
        is_polling: Whether a check of its waiting requests is due.
    """

    callers: str
    limiter: RateLimiter
    lag_s: float
    table_read_at: float
    is_up: bool = True
    is_suspended: bool = False
    is_leaving: bool = False
    side: int = 0
    buffered: list[Callable[[], None]] = field(default_factory=list)
    start: int = 1
    is_polling: bool = False


@dataclass(slots=True)
class Outcomes:
    """What became of the requests of one customer, by kind of request."""

    admitted: list[float] = field(default_factory=list)
    running: list[int] = field(default_factory=lambda: [0, 0])
    new: list[int] = field(default_factory=lambda: [0, 0])
    retry_after_s: list[float] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        """Part of the requests that were refused."""
        refused = self.running[1] + self.new[1]
        return refused / max(1, len(self.admitted) + refused)


class RateLimitWorld:
    """Gateways whose messages take a few milliseconds and may be lost.

    Args:
        gateways: Number of gateways.
        customers: Their customers.
        seed: Seed of all randomness.
        loss: Part of the datagrams that are lost.
        duplicated: Part of the datagrams that arrive twice.
    """

    def __init__(
        self,
        gateways: int,
        customers: list[Customer],
        *,
        seed: int,
        loss: float = 0.0,
        duplicated: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = START_S
        self.customers = customers
        self.loss = loss
        self.duplicated = duplicated
        self.messages = 0
        self.outcomes = {item.name: Outcomes() for item in customers}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._beliefs: dict[str, list[tuple[float, frozenset[str]]]] = {}
        self.gateways: dict[str, SimulatedGateway] = {}
        for number in range(gateways):
            self.add_gateway(f"10.0.0.{number}:80")

    def at(self, moment: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (moment, next(self._order), action))

    def run_until(self, end: float) -> None:
        """Let the time pass."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def add_gateway(self, callers: str) -> None:
        """Start a gateway that the others do not know yet."""
        gateway = self._new_process(callers, 1)
        self.gateways[callers] = gateway
        self._members_changed()

    def _new_process(self, callers: str, start: int) -> SimulatedGateway:
        limiter = RateLimiter(f"{callers}/{start}", callers, self.now, TOLERANCE)
        limiter.configure(self.customers, self.now)
        gateway = SimulatedGateway(
            callers,
            limiter,
            lag_s=self.rng.uniform(0.1, 2.0),
            table_read_at=self.now + self.rng.uniform(0.0, 1.0),
            start=start,
        )
        self.at(
            self.now + self.rng.uniform(0, TICK_S), lambda: self._tick(gateway, -1.0)
        )
        return gateway

    def kill(self, callers: str) -> None:
        """End a process at once."""
        self.gateways[callers].is_up = False
        self._members_changed()

    def leave(self, callers: str) -> None:
        """Announce a planned stop; the process still serves until it is killed."""
        self.gateways[callers].is_leaving = True
        self._members_changed()
        for beliefs in self._beliefs.values():
            # A stopping gateway tells all others at once.
            since, alive = beliefs[-1]
            beliefs[-1] = since - 2.0, alive

    def restart(self, callers: str) -> None:
        """Start a process again; it ends first if it runs."""
        old = self.gateways[callers]
        old.is_up = False
        new = self._new_process(callers, old.start + 1)
        new.side = old.side
        self.gateways[callers] = new
        self._members_changed()

    def suspend(self, callers: str) -> None:
        """Suspend a process; datagrams wait in its socket."""
        self.gateways[callers].is_suspended = True
        self._members_changed()

    def resume(self, callers: str) -> None:
        """Resume a process, which then handles all that has waited."""
        gateway = self.gateways[callers]
        gateway.is_suspended = False
        buffered, gateway.buffered = gateway.buffered, []
        for action in buffered:
            action()
        self._members_changed()

    def divide(self, sides: list[int]) -> None:
        """Partition the network, or unite it with equal sides."""
        for gateway, side in zip(self.gateways.values(), sides, strict=True):
            gateway.side = side
        self._members_changed()

    def configure(self, customers: list[Customer], *, within_s: float = 3.0) -> None:
        """Apply a configuration at every gateway within a time."""
        self.customers = customers
        for gateway in self.gateways.values():

            def _apply(gateway: SimulatedGateway = gateway) -> None:
                self._run(
                    gateway, lambda: gateway.limiter.configure(customers, self.now)
                )

            self.at(self.now + self.rng.uniform(0, within_s), _apply)

    def request(self, customer: str, callers: str, *, is_running: bool = True) -> None:
        """Send one request to a gateway; nothing happens if it is down."""
        gateway = self.gateways[callers]
        if not gateway.is_up or gateway.is_suspended:
            return
        began = self.now
        outcomes = self.outcomes[customer]
        counts = outcomes.running if is_running else outcomes.new

        def _done(result: Refusal | float) -> None:
            if isinstance(result, Refusal):
                counts[1] += 1
                outcomes.retry_after_s.append(result.retry_after_s)
                return
            counts[0] += 1
            outcomes.admitted.append(self.now)
            outcomes.waits_s.append(self.now - began)

        token = gateway.limiter.try_take(customer, self.now, is_running=is_running)
        if token is not None:
            _done(token)
        else:
            waiter = Waiter(is_running, self.now + MAX_WAIT_S, _done)
            gateway.limiter.wait(customer, waiter)
        if gateway.limiter.has_pending:
            self._send(gateway, gateway.limiter.collect(self.now))
            self._schedule_poll(gateway)

    def add_load(
        self,
        customer: str,
        per_s: float,
        start: float,
        end: float,
        *,
        weights: list[float] | None = None,
        running_share: float = 0.7,
    ) -> None:
        """Send requests at random times to gateways chosen at random by weight."""
        moment = start
        while (moment := moment + self.rng.expovariate(per_s)) < end:
            addresses = list(self.gateways)
            callers = self.rng.choices(addresses, weights)[0]
            is_running = self.rng.random() < running_share

            def _request(callers: str = callers, is_running: bool = is_running) -> None:
                self.request(customer, callers, is_running=is_running)

            self.at(moment, _request)

    def add_steps(
        self,
        customer: str,
        per_s: float,
        start: float,
        end: float,
        size: tuple[int, int],
    ) -> None:
        """Send requests in steps of programs, all of a step within 20 ms.

        Args:
            customer: The customer.
            per_s: Requests a second on average.
            start: Time of the first step at the earliest.
            end: Time by which the last step has begun.
            size: Smallest and largest number of requests of a step.
        """
        addresses = list(self.gateways)
        moment = start
        steps_per_s = per_s * 2 / sum(size)
        while (moment := moment + self.rng.expovariate(steps_per_s)) < end:
            for _ in range(self.rng.randint(*size)):
                callers = self.rng.choice(addresses)
                is_running = self.rng.random() < 0.7

                def _request(
                    callers: str = callers, is_running: bool = is_running
                ) -> None:
                    self.request(customer, callers, is_running=is_running)

                self.at(moment + self.rng.uniform(0.0, 0.02), _request)

    def shares_counted_twice(self, customer: str) -> list[str]:
        """Return gateways whose share of a limit two processes count at this moment."""
        counted: list[str] = []
        for gateway in self.gateways.values():
            if gateway.is_up:
                counted += gateway.limiter.counted_shares(customer, self.now)
        return [callers for callers, count in Counter(counted).items() if count > 1]

    def _schedule_poll(self, gateway: SimulatedGateway) -> None:
        if not gateway.is_polling and gateway.limiter.has_pending:
            gateway.is_polling = True
            self.at(self.now + POLL_S, lambda: self._run(gateway, _poll))

            def _poll() -> None:
                gateway.is_polling = False
                self._send(gateway, gateway.limiter.poll(self.now))
                self._schedule_poll(gateway)

    def _tick(self, gateway: SimulatedGateway, ticked_at: float) -> None:
        def _act() -> None:
            has_table = self.now >= gateway.table_read_at
            moment = self.now - gateway.lag_s
            alive = self._believed_alive(gateway, moment) if has_table else frozenset()
            known = [gateway.callers]
            if has_table:
                known += [name for name in self.gateways if name != gateway.callers]
            has_changed = gateway.limiter.update_members(
                known,
                alive,
                self.now,
                is_table_current=has_table and gateway.side == 0,
                is_candidate=not gateway.is_leaving,
            )
            next_ticked_at = ticked_at
            if has_changed or self.now - ticked_at >= TICK_S:
                next_ticked_at = self.now
                self._send(gateway, gateway.limiter.tick(self.now))
            self.at(
                self.now + MEMBERS_INTERVAL_S,
                lambda: self._tick(gateway, next_ticked_at),
            )

        self._run(gateway, _act)

    def _run(self, gateway: SimulatedGateway, action: Callable[[], None]) -> None:
        """Run an action of a process, or once it is resumed; never if it has ended."""
        if not gateway.is_up:
            return
        if gateway.is_suspended:
            gateway.buffered.append(action)
            return
        action()

    def _send(self, sender: SimulatedGateway, outgoing: Outgoing) -> None:
        for callers, request in outgoing:
            self._deliver(
                sender,
                callers,
                lambda to, request=request: self._answer(to, sender, request),
            )

    def _answer(
        self, owner: SimulatedGateway, sender: SimulatedGateway, request: RateRequest
    ) -> None:
        answer = owner.limiter.answer(request, self.now)
        if answer is None:
            return

        def _receive(to: SimulatedGateway) -> None:
            if to is sender:
                self._send(to, to.limiter.receive(answer, self.now))

        self._deliver(owner, sender.callers, _receive)

    def _deliver(
        self,
        sender: SimulatedGateway,
        callers: str,
        action: Callable[[SimulatedGateway], None],
    ) -> None:
        self.messages += 1
        receiver = self.gateways[callers]
        if self.rng.random() < self.loss or sender.side != receiver.side:
            return
        delay_s = self.rng.uniform(0.0005, 0.004)

        def _arrive() -> None:
            self._run(receiver, lambda: action(receiver))

        self.at(self.now + delay_s, _arrive)
        if self.duplicated and self.rng.random() < self.duplicated:
            self.at(self.now + 2 * delay_s, _arrive)

    def _members_changed(self) -> None:
        """Remember who is reachable from where, for beliefs that lag behind."""
        for gateway in self.gateways.values():
            alive = frozenset(
                other.callers
                for other in self.gateways.values()
                if other.is_up
                and not (other.is_suspended or other.is_leaving)
                and other.side == gateway.side
                and other is not gateway
            )
            self._beliefs.setdefault(gateway.callers, []).append((self.now, alive))

    def _believed_alive(
        self, gateway: SimulatedGateway, moment: float
    ) -> frozenset[str]:
        for since, alive in reversed(self._beliefs[gateway.callers]):
            if since <= moment:
                return alive
        return frozenset()
