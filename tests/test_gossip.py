"""Unit tests of gossip items, digests and heartbeats, without processes."""

from __future__ import annotations

import random
import unittest

from carobspur.gossip import MAX_MESSAGE_ITEM_BYTES, Gossip, Item, item_message
from carobspur.heartbeats import SUSPECT_AFTER_S, Heartbeats


def reconcile_stores(one: Gossip, other: Gossip, rounds: int) -> None:
    """Run rounds in which two stores compare digests and exchange what differs."""
    for _ in range(rounds):
        repair = one.reconcile(other.summaries(one.store.digest))
        if repair is not None:
            other.merge(repair.items)
            one.merge(other.requested_items(repair.wanted))


class ItemsTest(unittest.TestCase):
    def test_older_items_change_nothing(self) -> None:
        rng = random.Random(1)
        for _ in range(200):
            gossip = Gossip(rng)
            items = [
                Item("k", version, None if version % 3 == 2 else b"%d" % version)
                for version in range(6)
            ]
            rng.shuffle(items)
            gossip.merge(map(item_message, items))
            self.assertEqual(gossip.store.get("k"), Item("k", 5, None))

    def test_a_deletion_wins_over_its_row(self) -> None:
        gossip = Gossip(random.Random(1))
        gossip.put(Item("k", 7, None))
        self.assertFalse(gossip.put(Item("k", 7, b"row")))
        self.assertTrue(gossip.put(Item("k", 8, b"row")))

    def test_digests_repair_any_difference(self) -> None:
        rng = random.Random(2)
        one, other = Gossip(rng), Gossip(rng)
        for number in range(500):
            one.put(Item(f"a{number}", number, b"one"))
            other.put(Item(f"b{number}", number, b"other"))
            one.put(Item(f"c{number}", number, b"old"))
            other.put(Item(f"c{number}", number + 1, b"new"))
        reconcile_stores(one, other, 200)
        self.assertEqual(one.store.digest, other.store.digest)
        self.assertEqual(one.store.get("c3").value, b"new")

    def test_messages_are_bounded(self) -> None:
        gossip = Gossip(random.Random(1))
        for number in range(1000):
            gossip.put(Item(f"k{number}", number, b"x" * 100))
        sent = sum(len(item.value) + len(item.key) for item in gossip.items_to_send())
        self.assertLessEqual(sent, MAX_MESSAGE_ITEM_BYTES)


class HeartbeatsTest(unittest.TestCase):
    def test_a_silent_instance_is_suspected_until_its_next_heartbeat(self) -> None:
        one, other = Heartbeats("one"), Heartbeats("other")
        other.advance_counter()
        one.set_instances(["other"], 0.0)
        one.merge(other.encode(), 1.0)
        one.set_instances(["other"], 1.0 + SUSPECT_AFTER_S)
        self.assertFalse(one.is_silent("other"))
        one.merge(other.encode(), 5.0)
        one.set_instances(["other"], 1.1 + SUSPECT_AFTER_S)
        self.assertTrue(one.is_silent("other"))
        restarted = Heartbeats("other")
        restarted.merge(one.encode(), 8.0)
        restarted.advance_counter()
        one.merge(restarted.encode(), 9.0)
        self.assertFalse(one.is_silent("other"))
