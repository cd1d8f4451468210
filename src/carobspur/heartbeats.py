"""Failure detector: heartbeat counters that control processes exchange by gossip.

Suspicion affects address answers, routing and the choice of gossip peers. It never
decides which session owns a shard: leases in the table do.
"""

from __future__ import annotations

import heapq
import struct
from collections.abc import Iterable
from functools import lru_cache

import xxhash

SUSPECT_AFTER_S = 5.0
CONTACT_AGE_S = 3.0
SCALE_TIMEOUT_ABOVE_INSTANCES = 90
MAX_HEARTBEATS = 64
MAX_CACHED_HASHES = 65_536

_HEARTBEAT = struct.Struct(">II")


@lru_cache(maxsize=MAX_CACHED_HASHES)
def name_hash(name: str) -> int:
    """Return the 32-bit hash that stands for a name in heartbeats and load reports."""
    return xxhash.xxh32_intdigest(name)


class _ReceivedHeartbeat:
    """Highest counter received from an instance.

    Attributes:
        counter: The counter.
        at_s: Loop time at which it was first received.
    """

    __slots__ = ("at_s", "counter")

    def __init__(self, counter: int, at_s: float) -> None:
        self.counter = counter
        self.at_s = at_s


class Heartbeats:
    """Heartbeat counters of all instances, and which instances are silent.

    Args:
        own: Id of this instance; its counter is advanced here, and raised to the one
            that peers have from before a restart.
    """

    __slots__ = ("_counter", "_received", "_own", "_silent", "_others")

    def __init__(self, own: str) -> None:
        self._own = name_hash(own)
        self._counter = 0
        self._received: dict[int, _ReceivedHeartbeat] = {}
        self._silent: set[int] = set()
        self._others: set[int] = set()

    def advance_counter(self) -> None:
        """Advance this instance's own counter."""
        self._counter += 1

    def encode(self) -> bytes:
        """Return the own counter and the ``MAX_HEARTBEATS`` latest received, packed."""
        latest = heapq.nlargest(
            MAX_HEARTBEATS, self._received.items(), key=lambda pair: pair[1].at_s
        )
        pairs = [(name, received.counter) for name, received in latest]
        pairs.append((self._own, self._counter))
        return b"".join(_HEARTBEAT.pack(*pair) for pair in pairs)

    def merge(self, content: bytes, now_s: float) -> None:
        """Merge the packed counters of a peer's message.

        An instance that restarted receives its former counter in this way and counts
        on from it.
        """
        for name, counter in _HEARTBEAT.iter_unpack(content):
            if name == self._own:
                self._counter = max(self._counter, counter)
                continue
            received = self._received.get(name)
            if received is None:
                self._received[name] = _ReceivedHeartbeat(counter, now_s)
            elif counter > received.counter:
                received.counter = counter
                received.at_s = now_s
                self._silent.discard(name)

    def set_instances(self, instances: Iterable[str], now_s: float) -> None:
        """Set which instances exist and determine which of them are silent.

        A new instance counts as if a heartbeat had just arrived, so it has the whole
        time-out for its first one. Instances that no longer exist are dropped.

        Args:
            instances: Ids of the instances.
            now_s: Loop time.
        """
        names = {name_hash(item) for item in instances}
        self._others = names - {self._own}
        for name in self._others - self._received.keys():
            self._received[name] = _ReceivedHeartbeat(0, now_s)
        for name in self._received.keys() - names:
            del self._received[name]
        silent_before_s = now_s - self.suspect_after_s
        self._silent = {
            name
            for name, received in self._received.items()
            if received.at_s < silent_before_s
        }

    def is_silent(self, instance: str) -> bool:
        """Return whether an instance is silent.

        That is so if it was silent at the last :meth:`set_instances` and no new
        heartbeat of it has arrived since.
        """
        return name_hash(instance) in self._silent

    def count_received_since(self, at_s: float) -> int:
        """Return how many instances had a heartbeat after a time, counting this one."""
        received = (self._received[name] for name in self._others)
        return 1 + sum(item.at_s > at_s for item in received)

    @property
    def suspect_after_s(self) -> float:
        """Silence after which an instance is suspected, in seconds.

        Grows with the number of instances, as a message carries at most
        ``MAX_HEARTBEATS`` of their counters.
        """
        return SUSPECT_AFTER_S * max(
            1.0, len(self._received) / SCALE_TIMEOUT_ABOVE_INSTANCES
        )
