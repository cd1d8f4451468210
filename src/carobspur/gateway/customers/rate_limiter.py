"""Decides for each request of a limited customer; one gateway's part, a pure module.

Handles the requests of one gateway, whether or not the owners of the limits answer.
Times and messages are arguments and results, so that tests run it without network or
clock.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ...placement import first
from .customer import Customer
from .granted_tokens import GrantedTokens
from .known_gateways import KnownGateways
from .rate_limit_messages import (
    MAX_ENTRIES,
    AnswerEntry,
    RateAnswer,
    RateRequest,
    RequestEntry,
    customer_id,
)
from .rate_limit_owner import RateLimitOwner
from .rate_limit_times import (
    DELEGATION_MARGIN_S,
    DELEGATION_S,
    NO_OWNER_RETRY_AFTER_S,
    REPEAT_AFTER_S,
    REPEAT_ANSWER_TIMES,
    SILENT_AFTER_S,
    SLOTS,
    TOKEN_VALIDITY_S,
    RateLimitTolerance,
)
from .share_delegation import ShareDelegation

_LIMIT_REACHED = "the limit is reached"
_NO_ANSWER = "the owner of the limit did not answer"

ANSWER_TIME_WEIGHT = 0.2
"""Weight of the last answer in the moving average of an owner's answer times."""
MAX_UNANSWERED = 4096
"""Requests whose answers are awaited. The tokens of older ones have expired unless a
gateway sends 16,000 messages a second."""

Outgoing = list[tuple[str, RateRequest]]
"""Requests with the caller addresses of the owners that receive them."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused.

    Attributes:
        retry_after_s: Time after which the bucket should have room.
        owner: Caller address of the owner; empty for none.
        level: Tokens in the owner's bucket when it last answered; ``None`` if unknown.
        age_s: Time since that answer; ``None`` if there was none.
        reason: What happened.
    """

    retry_after_s: float
    owner: str
    level: int | None
    age_s: float | None
    reason: str


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes:
        is_running: Whether it belongs to a running program.
        deadline: Time until which it waits.
        on_done: Called once, with the refusal or with the time at which the token
            expires.
        asked_at: Time at which the owner was last asked for it.
        ask_from: Time before which the owner is not asked again.
        retry_s: Time to retry in the owner's last answer; 0 without an answer.
    """

    is_running: bool
    deadline: float
    on_done: Callable[[Refusal | float], None]
    asked_at: float = float("-inf")
    ask_from: float = float("-inf")
    retry_s: float = 0.0


class _CustomerState:
    """What one gateway knows about one customer's limit."""

    __slots__ = (
        "answered_at",
        "bucket_level",
        "customer",
        "delegation",
        "id",
        "owner",
        "tokens",
        "waiters",
        "wanted_ahead",
    )

    def __init__(self, customer: Customer, now: float, free_at: float) -> None:
        self.customer = customer
        self.id = customer_id(customer.name)
        self.tokens = GrantedTokens(now)
        self.delegation = ShareDelegation(free_at)
        self.owner = ""
        self.waiters: list[Waiter] = []
        self.wanted_ahead = 0
        self.bucket_level: int | None = None
        self.answered_at: float | None = None

    def refusal(self, retry_after_s: float, reason: str, now: float) -> Refusal:
        age_s = None if self.answered_at is None else now - self.answered_at
        return Refusal(retry_after_s, self.owner, self.bucket_level, age_s, reason)


_Wanted = dict[str, list[tuple[_CustomerState, int, int, int]]]
"""By owner: customers with the tokens wanted for running programs, for other requests
and ahead of demand."""


@dataclass(slots=True)
class _Peer:
    """What is known of another gateway as an owner."""

    stamp: float = 0.0
    stamp_received_at: float = float("-inf")
    unanswered_since: float | None = None
    is_silent: bool = False
    answer_s: float = 0.0

    @property
    def repeat_after_s(self) -> float:
        """Time without an answer after which it is asked again."""
        return max(REPEAT_AFTER_S, REPEAT_ANSWER_TIMES * self.answer_s)


class RateLimiter:
    """The rate limit at one gateway.

    Args:
        name: Name of the gateway's process.
        callers: Its address for callers.
        now: Time in seconds.
        tolerance: What the rule permits beyond the limits.
    """

    __slots__ = (
        "_alive",
        "_by_id",
        "_callers",
        "_free_at",
        "_is_candidate",
        "_known",
        "_name",
        "_number",
        "_owner",
        "_peers",
        "_pending",
        "_states",
        "_unanswered",
    )

    def __init__(
        self, name: str, callers: str, now: float, tolerance: RateLimitTolerance
    ) -> None:
        self._name = name
        self._callers = callers
        self._known = KnownGateways()
        self._owner = RateLimitOwner(callers, self._known, tolerance)
        self._states: dict[str, _CustomerState] = {}
        self._by_id: dict[int, _CustomerState] = {}
        self._peers: dict[str, _Peer] = defaultdict(_Peer)
        self._alive: frozenset[str] = frozenset()
        self._is_candidate = False
        # Customers with waiting requests or with tokens wanted ahead.
        self._pending: dict[str, _CustomerState] = {}
        self._number = 0
        # Times of the requests without an answer by their numbers, the oldest first.
        self._unanswered: OrderedDict[int, float] = OrderedDict()
        # A share of a new limit is not delegated before, as a former process of this
        # gateway may have delegated it.
        self._free_at = now + DELEGATION_S + DELEGATION_MARGIN_S

    @property
    def has_pending(self) -> bool:
        """Whether requests wait or tokens are wanted ahead."""
        return bool(self._pending)

    @property
    def gateways(self) -> int:
        """Number of gateways that this one knows; 0 before the table was read."""
        return self._known.own_count()

    def counted_shares(self, name: str, now: float) -> list[str]:
        """Return the gateways whose shares of a limit this one counts as its owner."""
        return self._owner.shares(name, now)

    def configure(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the limits of a new configuration."""
        limited = {item.name: item for item in customers if item.is_limited}
        self._owner.configure(limited.values(), now)
        removed = self._states.keys() - limited.keys()
        for name, customer in limited.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = _CustomerState(customer, now, self._free_at)
                continue
            if customer.rate_per_s < state.customer.rate_per_s:
                state.tokens.clear()
            state.customer = customer
        for name in removed:
            # The customer has no limit any more, or its keys are unknown.
            for waiter in self._states.pop(name).waiters:
                waiter.on_done(now)
            self._pending.pop(name, None)
        if removed:
            # Owners without this configuration still count the share. The limit may
            # return with the next one.
            self._free_at = now + DELEGATION_S + DELEGATION_MARGIN_S
        self._by_id = {state.id: state for state in self._states.values()}
        self._choose_owners()

    def update_members(
        self,
        known: Iterable[str],
        alive: Iterable[str],
        now: float,
        *,
        is_table_current: bool,
        is_candidate: bool,
        leaving: Iterable[str] = (),
    ) -> bool:
        """Record what membership believes.

        Args:
            known: Caller addresses of all members, this one included.
            alive: Those of the other members that are alive and ready.
            now: Time in seconds.
            is_table_current: Whether the member table was recently read from the store.
            is_candidate: Whether this gateway is ready to own limits.
            leaving: Caller addresses of other members that are stopping.

        Returns:
            Whether owners may have changed, so that :meth:`tick` should be called.
        """
        self._known.update(
            known, now, is_table_current=is_table_current, leaving=leaving
        )
        alive = frozenset(alive)
        has_changed = alive != self._alive or is_candidate != self._is_candidate
        if has_changed:
            self._alive = alive
            self._is_candidate = is_candidate
            self._choose_owners()
        for callers in self._peers.keys() - alive:
            if callers not in self._known:
                del self._peers[callers]
        return has_changed

    def _choose_owners(self) -> None:
        candidates = [
            callers for callers in self._alive if not self._is_silent(callers)
        ]
        if self._is_candidate or not candidates:
            candidates.append(self._callers)
        owners = [first(f"limits {slot}", candidates) or "" for slot in range(SLOTS)]
        for state in self._states.values():
            state.owner = owners[state.id % SLOTS]

    def _is_silent(self, callers: str) -> bool:
        peer = self._peers.get(callers)
        return peer is not None and peer.is_silent

    def try_take(self, name: str, now: float, *, is_running: bool) -> float | None:
        """Take a token for a request.

        Returns:
            The time at which the token expires; ``None`` if there is no token.
        """
        state = self._states.get(name)
        if state is None:
            return now
        expires_at = state.tokens.take(now, is_running=is_running)
        if expires_at is None:
            return None
        wanted = state.tokens.wanted_ahead(now)
        if wanted:
            state.wanted_ahead = wanted
            self._pending[name] = state
        return expires_at

    def give_back(self, name: str, expires_at: float, now: float) -> None:
        """Return the token of a request that was not sent to an endpoint."""
        state = self._states.get(name)
        if state is not None:
            state.tokens.give_back(expires_at, now)

    def wait(self, name: str, waiter: Waiter) -> None:
        """Add a request that found no token; :meth:`collect` asks for it."""
        state = self._states[name]
        state.waiters.append(waiter)
        self._pending[name] = state

    def give_up(self, name: str, waiter: Waiter) -> None:
        """Remove a request whose caller has left."""
        state = self._states.get(name)
        if state is not None and waiter in state.waiters:
            state.waiters.remove(waiter)

    def poll(self, now: float) -> Outgoing:
        """Refuse requests that waited too long; return what to send."""
        for state in list(self._pending.values()):
            for waiter in [item for item in state.waiters if item.deadline <= now]:
                state.waiters.remove(waiter)
                retry_s = waiter.retry_s or NO_OWNER_RETRY_AFTER_S
                reason = _LIMIT_REACHED if waiter.retry_s else _NO_ANSWER
                waiter.on_done(state.refusal(retry_s, reason, now))
        self._notice_silence(now)
        return self.collect(now)

    def collect(self, now: float) -> Outgoing:
        """Return requests for the tokens that are wanted now."""
        entries: _Wanted = {}
        for name, state in list(self._pending.items()):
            running = new = 0
            repeat_after_s = self._peers[state.owner].repeat_after_s
            for waiter in state.waiters:
                if now - waiter.asked_at < repeat_after_s or now < waiter.ask_from:
                    continue
                waiter.asked_at = now
                if waiter.is_running:
                    running += 1
                else:
                    new += 1
            ahead, state.wanted_ahead = state.wanted_ahead, 0
            if not state.waiters:
                del self._pending[name]
            if running or new or ahead:
                wanted = state, running, new, ahead
                entries.setdefault(state.owner, []).append(wanted)
        return self._send(entries, now)

    def tick(self, now: float) -> Outgoing:
        """Measure the use, notice silent owners, and return the regular messages."""
        if not self._states:
            return []
        self._notice_silence(now)
        wanted: _Wanted = {}
        for state in self._states.values():
            state.tokens.measure_use(now)
            wanted.setdefault(state.owner, []).append((state, 0, 0, 0))
            holder = state.delegation.holder
            if holder not in ("", state.owner):
                wanted.setdefault(holder, []).append((state, 0, 0, 0))
        for callers in self._alive:
            if self._is_silent(callers):
                wanted.setdefault(callers, [])
        return self._send(wanted, now)

    def _notice_silence(self, now: float) -> None:
        """Choose other owners instead of those that do not answer."""
        has_changed = False
        for peer in self._peers.values():
            if (
                not peer.is_silent
                and peer.unanswered_since is not None
                and now - peer.unanswered_since >= SILENT_AFTER_S
            ):
                peer.is_silent = has_changed = True
        if has_changed:
            self._choose_owners()

    def _send(self, wanted: _Wanted, now: float) -> Outgoing:
        """Create the requests; those to this gateway itself are answered at once."""
        outgoing: Outgoing = []
        for owner, items in wanted.items():
            if not owner:
                continue
            for start in range(0, len(items) or 1, MAX_ENTRIES):
                request = self._request(owner, items[start : start + MAX_ENTRIES], now)
                if owner == self._callers:
                    answer = self._owner.answer(request, now)
                    if answer is not None:
                        outgoing += self._receive(answer, now)
                    continue
                peer = self._peers[owner]
                if peer.unanswered_since is None:
                    peer.unanswered_since = now
                self._unanswered[request.number] = now
                if len(self._unanswered) > MAX_UNANSWERED:
                    self._unanswered.popitem(last=False)
                outgoing.append((owner, request))
        return outgoing

    def _request(
        self, owner: str, items: list[tuple[_CustomerState, int, int, int]], now: float
    ) -> RateRequest:
        self._number += 1
        if owner == self._callers:
            stamp, received_at = now, now
        else:
            peer = self._peers[owner]
            stamp, received_at = peer.stamp, peer.stamp_received_at
        has_stamp = bool(stamp) and now - received_at < DELEGATION_S
        entries = []
        for state, running, new, ahead in items:
            delegates = (
                owner == state.owner
                and has_stamp
                and self._known.own_count() > 0
                and state.delegation.may_delegate(owner, now)
            )
            level = 0.0
            if delegates:
                level = state.delegation.delegate(owner, received_at, self._number)
            entries.append(
                RequestEntry(state.id, delegates, running, new, ahead, level)
            )
        return RateRequest(
            sender=self._name,
            callers=self._callers,
            number=self._number,
            sent_at=now,
            stamp=stamp,
            gateways=self._known.own_count(),
            entries=entries,
        )

    def answer(self, request: RateRequest, now: float) -> RateAnswer | None:
        """Answer another gateway's request."""
        return self._owner.answer(request, now)

    def receive(self, answer: RateAnswer, now: float) -> Outgoing:
        """Apply an owner's answer; return what to send next."""
        # The network may deliver an answer twice; its tokens count once. Another time
        # than that of the request would make them valid for too long.
        if self._unanswered.pop(answer.number, None) != answer.sent_at:
            return []
        self._known.record_report(answer.gateways, now)
        peer = self._peers[answer.callers]
        if answer.stamp > peer.stamp or now - peer.stamp_received_at >= DELEGATION_S:
            peer.stamp, peer.stamp_received_at = answer.stamp, now
        peer.unanswered_since = None
        answer_s = max(0.0, now - answer.sent_at)
        peer.answer_s += ANSWER_TIME_WEIGHT * (answer_s - peer.answer_s)
        if peer.is_silent:
            peer.is_silent = False
            self._choose_owners()
        return self._receive(answer, now)

    def _receive(self, answer: RateAnswer, now: float) -> Outgoing:
        wanted: _Wanted = {}
        for entry in answer.entries:
            state = self._by_id.get(entry.customer)
            if state is None:
                continue
            if entry.has_returned:
                state.delegation.returned(
                    answer.callers, entry.level, answer.number, now
                )
            if answer.callers == state.owner:
                state.bucket_level = entry.bucket_level
                state.answered_at = now
            if self._should_delegate(state, now):
                wanted.setdefault(state.owner, []).append((state, 0, 0, 0))
            expires_at = answer.sent_at + TOKEN_VALIDITY_S
            state.tokens.add(entry.running, entry.other, expires_at)
            self._serve_waiters(state, answer, entry, now)
        return self._send(wanted, now) if wanted else []

    def _should_delegate(self, state: _CustomerState, now: float) -> bool:
        """Return whether the share is free and the owner's time stamp is known."""
        if state.delegation.holder == state.owner or not self._known.own_count():
            return False
        is_own = state.owner == self._callers
        received_at = now if is_own else self._peers[state.owner].stamp_received_at
        return now - received_at < DELEGATION_S and state.delegation.may_delegate(
            state.owner, now
        )

    def _serve_waiters(
        self, state: _CustomerState, answer: RateAnswer, entry: AnswerEntry, now: float
    ) -> None:
        for is_running, retry_ms in (
            (True, entry.running_retry_ms),
            (False, entry.new_retry_ms),
        ):
            retry_s = retry_ms / 1000
            for waiter in [
                item for item in state.waiters if item.is_running == is_running
            ]:
                expires_at = state.tokens.take(now, is_running=is_running)
                if expires_at is not None:
                    state.waiters.remove(waiter)
                    waiter.on_done(expires_at)
                elif not retry_ms or waiter.asked_at > answer.sent_at:
                    continue
                elif now + retry_s <= waiter.deadline:
                    waiter.retry_s = retry_s
                    waiter.ask_from = now + retry_s
                    waiter.asked_at = float("-inf")
                else:
                    state.waiters.remove(waiter)
                    waiter.on_done(state.refusal(retry_s, _LIMIT_REACHED, now))
