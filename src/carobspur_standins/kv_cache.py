"""Prefix cache of the engine stand-in, with its accounting and its event feed."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from carobspur.engine_messages import (
    CachedHistory,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
)

MAX_EVENTS = 1000
"""Latest events that the feed retains; older ones are a gap to its readers."""


@dataclass(slots=True)
class CacheEntry:
    """A cached history.

    Attributes:
        tokens: Its length.
        idle_since_s: Time at which the history was cached.
        held_until_s: Time until which it is evicted last; 0 where it is not held.
    """

    tokens: int
    idle_since_s: float
    held_until_s: float = 0.0


class EventFeed:
    """Feed of cache events with delay and gaps, as real engines have them.

    Args:
        now: Returns monotonic time in seconds.
        delay_s: Delay after which an event is published.
        loss: Share of events that are never published.
        seed: Seed of the losses and of the feed's id, by which readers notice that the
            engine was restarted with an empty cache.
    """

    __slots__ = (
        "_delay_s",
        "_events",
        "_feed_id",
        "_loss",
        "_now",
        "_numbers",
        "_random",
    )

    def __init__(
        self,
        now: Callable[[], float],
        *,
        delay_s: float = 0.0,
        loss: float = 0.0,
        seed: int | None = None,
    ) -> None:
        self._now = now
        self._delay_s = delay_s
        self._loss = loss
        self._random = random.Random(seed)
        self._feed_id = f"{self._random.getrandbits(64):016x}"
        self._numbers = count(1)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def publish(
        self, kind: CacheEventKind, program: str, key: str, tokens: int
    ) -> None:
        """Add an event with the next number, unless it is drawn to be lost."""
        event = CacheEvent(next(self._numbers), kind, program, key, tokens)
        if self._random.random() >= self._loss:
            self._events.append((self._now(), event))

    def after(self, number: int) -> CacheEvents:
        """Return the events with a higher number that are old enough to be published.

        ``latest`` of the result is the number of the newest published event, 0 where
        there is none.
        """
        until_s = self._now() - self._delay_s
        known = [event for at_s, event in self._events if at_s <= until_s]
        latest = known[-1].number if known else 0
        new_events = [event for event in known if event.number > number]
        return CacheEvents(self._feed_id, latest, new_events)


class PrefixCache:
    """Histories by program and key; evicts the least recently used, held ones last.

    Args:
        capacity: Most tokens of all histories and running calls together.
        now: Returns monotonic time in seconds.
        feed: Feed in which changes are published.
    """

    __slots__ = ("_capacity", "_entries", "_feed", "_idle_token_s", "_now", "_used")

    def __init__(
        self, capacity: int, now: Callable[[], float], feed: EventFeed
    ) -> None:
        self._capacity = capacity
        self._now = now
        self._feed = feed
        self._entries: OrderedDict[tuple[str, str], CacheEntry] = OrderedDict()
        self._used = 0
        self._idle_token_s = 0.0

    @property
    def used(self) -> int:
        """Tokens of all cached histories."""
        return self._used

    @property
    def capacity(self) -> int:
        """Most tokens of all histories and running calls together."""
        return self._capacity

    @property
    def histories(self) -> list[CachedHistory]:
        """All cached histories, with the seconds for which each is still held."""
        now_s = self._now()
        return [
            CachedHistory(
                program, key, item.tokens, max(0.0, item.held_until_s - now_s)
            )
            for (program, key), item in self._entries.items()
        ]

    def idle_token_s(self) -> float:
        """Return the token-seconds of histories that were not used again.

        Counted are evicted and released histories, and all that are cached now.
        """
        still_idle = sum(self._idle_token_s_of(item) for item in self._entries.values())
        return self._idle_token_s + still_idle

    def find(self, program: str, key: str) -> CacheEntry | None:
        """Return a history's entry, or ``None`` where it is not cached."""
        return self._entries.get((program, key))

    def take(self, program: str, key: str) -> CacheEntry | None:
        """Remove and return a history that a call uses; its idle time is not counted.

        Returns ``None`` where the history is not cached.
        """
        entry = self._entries.pop((program, key), None)
        if entry is not None:
            self._used -= entry.tokens
            self._feed.publish(CacheEventKind.REMOVED, program, key, entry.tokens)
        return entry

    def put(self, program: str, key: str, tokens: int, hold_s: float = 0.0) -> None:
        """Cache the history of an ended or imported call.

        Args:
            program: Program that it belongs to.
            key: Its key; an entry of the same key is replaced.
            tokens: Its length.
            hold_s: Seconds for which it is evicted last; 0 for no hold.
        """
        self.remove(program, key)
        now_s = self._now()
        held_until_s = now_s + hold_s if hold_s > 0 else 0.0
        self._entries[(program, key)] = CacheEntry(tokens, now_s, held_until_s)
        self._used += tokens
        self._feed.publish(CacheEventKind.STORED, program, key, tokens)

    def hold(self, program: str, key: str, until_s: float) -> None:
        """Hold a history until a monotonic time, if it is cached.

        Running calls may still evict it where the other histories do not suffice.
        """
        entry = self.find(program, key)
        if entry is not None:
            entry.held_until_s = until_s

    def release(self, program: str, key: str) -> None:
        """Remove one history of a program, or all where the key is empty."""
        for owner, known in list(self._entries):
            if owner == program and key in ("", known):
                self.remove(owner, known)

    def remove(self, program: str, key: str) -> None:
        """Remove a history, if it is cached, and count its idle time."""
        entry = self.find(program, key)
        if entry is not None:
            self._idle_token_s += self._idle_token_s_of(entry)
            self.take(program, key)

    def make_room(self, tokens: int) -> None:
        """Evict histories until so many tokens are free, held ones last."""
        now_s = self._now()
        for may_evict_held in (False, True):
            for (program, key), entry in list(self._entries.items()):
                if self._used + tokens <= self._capacity:
                    return
                if may_evict_held or entry.held_until_s <= now_s:
                    self.remove(program, key)

    def _idle_token_s_of(self, entry: CacheEntry) -> float:
        return entry.tokens * (self._now() - entry.idle_since_s)
