"""Versioned items that control processes exchange by gossip.

The table service remains authoritative. An item is what some control process read
there, with the row's version in the table. The higher version wins everywhere, so
neither a lost message nor a process that returns with old items can revert anything.
New items are sent to a few random peers; anti-entropy by digests then finds and sends
the items that a process still lacks.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import xxhash

from .peers import messages

BUCKET_COUNT = 64
MAX_MESSAGE_ITEM_BYTES = 8192
MAX_RECONCILED_BUCKETS = 2
EXTRA_SENDS = 2
LARGE_ITEM_BYTES = 512
LARGE_ITEM_SENDS = 2

_DIGEST = struct.Struct(f">{BUCKET_COUNT}I")
_SUMMARY = struct.Struct(">QQ")
_HASH = struct.Struct(">Q")


class Item(msgspec.Struct, frozen=True):
    """A row of the table as it was read, or its deletion.

    Attributes:
        key: The row's key.
        version: The row's version when it was read.
        value: The part of its content that gossip carries; ``None`` once it is deleted.
    """

    key: str
    version: int
    value: bytes | None

    @property
    def rank(self) -> int:
        """Order of a key's items: the higher version, and a deletion above its row."""
        return 2 * self.version + (self.value is None)

    @property
    def size(self) -> int:
        """Approximate size of the item in a message, in bytes."""
        return len(self.key) + len(self.value or b"") + 24


def key_hash(key: str) -> int:
    """Return the 64-bit hash that stands for a key in summaries and digests."""
    return xxhash.xxh64_intdigest(key)


class ItemStore:
    """The newest known item of each key, with a digest per bucket of keys.

    A bucket's digest is the XOR of the hashes of its items, so it can be updated item
    by item.
    """

    __slots__ = ("_buckets", "_digests", "_items")

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._buckets: list[dict[int, str]] = [{} for _ in range(BUCKET_COUNT)]
        self._digests = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._items)

    @property
    def digest(self) -> bytes:
        """Digests of all buckets, packed."""
        return _DIGEST.pack(*self._digests)

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or ``None``."""
        return self._items.get(key)

    def with_prefix(self, prefix: str) -> Iterator[Item]:
        """Yield the items, without deletions, whose keys start with a prefix."""
        for item in self._items.values():
            if item.value is not None and item.key.startswith(prefix):
                yield item

    def put(self, item: Item) -> bool:
        """Store an item if it is newer than the present one; return whether it is."""
        known = self._items.get(item.key)
        if known is not None and known.rank >= item.rank:
            return False
        hashed = key_hash(item.key)
        if known is not None:
            self._toggle_digest(hashed, known.rank)
        self._items[item.key] = item
        self._buckets[hashed % BUCKET_COUNT][hashed] = item.key
        self._toggle_digest(hashed, item.rank)
        return True

    def discard(self, key: str) -> None:
        """Remove an item that no process needs any more, if it is present."""
        item = self._items.pop(key, None)
        if item is not None:
            hashed = key_hash(key)
            del self._buckets[hashed % BUCKET_COUNT][hashed]
            self._toggle_digest(hashed, item.rank)

    def differing_buckets(self, digest: bytes) -> list[int]:
        """Return the numbers of the buckets in which another store's digest differs."""
        theirs = _DIGEST.unpack(digest)
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if theirs[bucket] != self._digests[bucket]
        ]

    def summary(self, bucket: int) -> bytes:
        """Return the hash and rank of every item of a bucket, packed."""
        return b"".join(
            _SUMMARY.pack(hashed, self._items[key].rank)
            for hashed, key in self._buckets[bucket].items()
        )

    def by_hash(self, hashed: int) -> Item | None:
        """Return the item whose key has this hash, or ``None``."""
        key = self._buckets[hashed % BUCKET_COUNT].get(hashed)
        return None if key is None else self._items[key]

    def compare(self, bucket: int, summary: bytes) -> tuple[list[Item], list[int]]:
        """Compare a bucket with a peer's summary of it.

        Args:
            bucket: Number of the bucket.
            summary: Hash and rank of every item that the peer has in it.

        Returns:
            The items that are newer here or missing at the peer, and the hashes of
            those that are newer there or missing here.
        """
        theirs = {
            hashed: rank
            for hashed, rank in _SUMMARY.iter_unpack(summary)
            if hashed % BUCKET_COUNT == bucket
        }
        missing = [
            self._items[key]
            for hashed, key in self._buckets[bucket].items()
            if theirs.get(hashed, -1) < self._items[key].rank
        ]
        wanted = [
            hashed for hashed, rank in theirs.items() if rank > self._rank(hashed)
        ]
        return missing, wanted

    def _rank(self, hashed: int) -> int:
        item = self.by_hash(hashed)
        return -1 if item is None else item.rank

    def _toggle_digest(self, hashed: int, rank: int) -> None:
        digest = xxhash.xxh32_intdigest(_SUMMARY.pack(hashed, rank))
        self._digests[hashed % BUCKET_COUNT] ^= digest


class Gossip:
    """Stores items and chooses the items of each message.

    Args:
        rng: Source of randomness.

    Attributes:
        instance_count: Number of live instances; the number of sends grows with it.
        store: The items.
    """

    __slots__ = ("_new_items", "_sends_left", "_rng", "instance_count", "store")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._new_items: list[Item] = []
        self._sends_left: dict[str, int] = {}
        self.store = ItemStore()
        self.instance_count = 1

    def put(self, item: Item, *, is_new_to_peers: bool = True) -> bool:
        """Store an item if it is newer; send it on a few times.

        Args:
            item: The item.
            is_new_to_peers: Whether other processes may lack it. If not, it is not
                sent on; digests repair the case that one lacks it.

        Returns:
            Whether the item was newer than the present one.
        """
        if not self.store.put(item):
            return False
        self._new_items.append(item)
        self._sends_left.pop(item.key, None)
        if is_new_to_peers:
            self._sends_left[item.key] = self._send_count(item)
        return True

    def merge(self, items: Iterable[Any]) -> None:
        """Store the items of a message that are newer than the present ones."""
        for item in items:
            self.put(Item(item.key, item.version, item.value))

    def take_new_items(self) -> list[Item]:
        """Return the items that were stored since the last call, and clear the list."""
        found, self._new_items = self._new_items, []
        return found

    def items_to_send(
        self, *, known: Iterable[str] = (), prefix: str = ""
    ) -> list[Any]:
        """Return items to send on now, the most recently stored first.

        Together they have at most ``MAX_MESSAGE_ITEM_BYTES``, except that one larger
        item is sent alone. Each counts as sent once more.

        Args:
            known: Keys of items that the receiver just sent and therefore has.
            prefix: Prefix of the keys of items to consider.
        """
        skipped = set(known)
        chosen = []
        remaining_bytes = MAX_MESSAGE_ITEM_BYTES
        for key in [
            key for key in reversed(self._sends_left) if key.startswith(prefix)
        ]:
            item = self.store.get(key)
            if item is None:
                del self._sends_left[key]
            elif key not in skipped and (not chosen or item.size <= remaining_bytes):
                remaining_bytes -= item.size
                chosen.append(item)
                self._count_send(key)
            if remaining_bytes <= 0:
                break
        return [item_message(item) for item in chosen]

    def summaries(self, digest: bytes) -> list[Any]:
        """Return summaries of at most ``MAX_RECONCILED_BUCKETS`` differing buckets.

        The buckets are chosen at random.

        Args:
            digest: A peer's digest.
        """
        differing_buckets = self.store.differing_buckets(digest)
        count = min(len(differing_buckets), MAX_RECONCILED_BUCKETS)
        return [
            messages.BucketSummary(bucket=bucket, items=self.store.summary(bucket))
            for bucket in self._rng.sample(differing_buckets, count)
        ]

    def reconcile(self, summaries: Iterable[Any]) -> Any | None:
        """Return the message that repairs differences, or ``None`` if there are none.

        It carries items that the peer lacks and the hashes of items wanted from it.

        Args:
            summaries: The peer's summaries of buckets.
        """
        missing: list[Item] = []
        wanted: list[int] = []
        for summary in summaries:
            items, hashes = self.store.compare(summary.bucket, summary.items)
            missing.extend(items)
            wanted.extend(hashes)
        if not missing and not wanted:
            return None
        return messages.Reconcile(
            items=messages_within_limit(missing),
            wanted=b"".join(map(_HASH.pack, wanted)),
        )

    def requested_items(self, wanted: bytes) -> list[Any]:
        """Return the items that a peer requested by hash, as far as they fit."""
        found = [self.store.by_hash(hashed) for (hashed,) in _HASH.iter_unpack(wanted)]
        return messages_within_limit([item for item in found if item is not None])

    def _send_count(self, item: Item) -> int:
        """Return how often to send an item.

        It grows with the logarithm of the number of instances. Large items are sent
        less often, since the digests repair what that misses.
        """
        if item.size > LARGE_ITEM_BYTES:
            return LARGE_ITEM_SENDS
        return math.ceil(math.log2(self.instance_count + 1)) + EXTRA_SENDS

    def _count_send(self, key: str) -> None:
        self._sends_left[key] -= 1
        if self._sends_left[key] <= 0:
            del self._sends_left[key]


def messages_within_limit(items: Iterable[Item]) -> list[Any]:
    """Return the first items that fit into a message, but at least one."""
    chosen: list[Any] = []
    remaining_bytes = MAX_MESSAGE_ITEM_BYTES
    for item in items:
        if chosen and item.size > remaining_bytes:
            break
        remaining_bytes -= item.size
        chosen.append(item_message(item))
    return chosen


def item_message(item: Item) -> Any:
    """Return an item as a ``GossipItem`` message."""
    return messages.GossipItem(key=item.key, version=item.version, value=item.value)
