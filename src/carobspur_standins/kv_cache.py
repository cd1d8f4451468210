"""An engine stand-in's prefix cache, its accounting and its published events."""

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


@dataclass(slots=True)
class CacheEntry:
    """A history in the cache."""

    tokens: int
    idle_since_s: float
    held_until_s: float = 0.0


class EventFeed:
    """Publishes cache events late and with gaps.

    Args:
        now: Returns monotonic time.
        delay_s: Age at which an event is published.
        loss: Share of events that are never published.
        seed: Seed of the losses and of the life's id.
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
        """Note an event; it may get lost."""
        event = CacheEvent(next(self._numbers), kind, program, key, tokens)
        if self._random.random() >= self._loss:
            self._events.append((self._now(), event))

    def after(self, number: int) -> CacheEvents:
        """Return the published events after a number."""
        until_s = self._now() - self._delay_s
        known = [event for at_s, event in self._events if at_s <= until_s]
        latest = known[-1].number if known else 0
        new_events = [event for event in known if event.number > number]
        return CacheEvents(self._feed_id, latest, new_events)


class PrefixCache:
    """Histories by program and key, least recently used first, in limited memory.

    Args:
        capacity: Most tokens of all histories and of the calls that run.
        now: Returns monotonic time.
        feed: Where changes are published.
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
        """Tokens that are kept."""
        return self._used

    @property
    def capacity(self) -> int:
        """Most tokens that fit."""
        return self._capacity

    @property
    def histories(self) -> list[CachedHistory]:
        """What is kept now."""
        now_s = self._now()
        return [
            CachedHistory(
                program, key, item.tokens, max(0.0, item.held_until_s - now_s)
            )
            for (program, key), item in self._entries.items()
        ]

    def idle_token_s(self) -> float:
        """Return the token-seconds of histories that were not used again."""
        still_idle = sum(self._idle_token_s_of(item) for item in self._entries.values())
        return self._idle_token_s + still_idle

    def find(self, program: str, key: str) -> CacheEntry | None:
        """Return a history's entry, or ``None``."""
        return self._entries.get((program, key))

    def take(self, program: str, key: str) -> CacheEntry | None:
        """Take a history out for a call that uses it."""
        entry = self._entries.pop((program, key), None)
        if entry is not None:
            self._used -= entry.tokens
            self._feed.publish(CacheEventKind.REMOVED, program, key, entry.tokens)
        return entry

    def put(self, program: str, key: str, tokens: int, hold_s: float = 0.0) -> None:
        """Keep a history that a call left."""
        self.remove(program, key)
        now_s = self._now()
        held_until_s = now_s + hold_s if hold_s > 0 else 0.0
        self._entries[(program, key)] = CacheEntry(tokens, now_s, held_until_s)
        self._used += tokens
        self._feed.publish(CacheEventKind.STORED, program, key, tokens)

    def hold(self, program: str, key: str, until_s: float) -> None:
        """Keep a history until a time, unless calls that run need the room."""
        entry = self.find(program, key)
        if entry is not None:
            entry.held_until_s = until_s

    def release(self, program: str, key: str) -> None:
        """Forget one history of a program, or all where no key is given."""
        for owner, known in list(self._entries):
            if owner == program and key in ("", known):
                self.remove(owner, known)

    def remove(self, program: str, key: str) -> None:
        """Forget a history that was not used again."""
        entry = self.find(program, key)
        if entry is not None:
            self._idle_token_s += self._idle_token_s_of(entry)
            self.take(program, key)

    def make_room(self, tokens: int) -> None:
        """Evict until this many tokens are free: the held ones last."""
        now_s = self._now()
        for may_evict_held in (False, True):
            for (program, key), entry in list(self._entries.items()):
                if self._used + tokens <= self._capacity:
                    return
                if may_evict_held or entry.held_until_s <= now_s:
                    self.remove(program, key)

    def _idle_token_s_of(self, entry: CacheEntry) -> float:
        return entry.tokens * (self._now() - entry.idle_since_s)
