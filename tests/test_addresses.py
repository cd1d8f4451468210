"""Order of the instances in address answers."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from carobspur.addresses import Rotation, addresses
from carobspur.peers import messages


def instances(count: int) -> list[object]:
    return [
        messages.InstanceInfo(
            id=f"i{number}",
            host=f"10.0.0.{number}",
            entry_port=80,
            scheduler_port=1,
            control_port=2,
            data_centre=f"dc-{number % 3}",
            leaving=False,
            peer_port=3,
        )
        for number in range(count)
    ]


class AddressesTest(unittest.TestCase):
    def test_each_of_seven_instances_comes_first_equally_often(self) -> None:
        rotation = Rotation(random.Random(1))
        firsts = Counter(
            addresses(instances(7), owner_instance=None, rotation=rotation)[0].host
            for _ in range(700)
        )
        self.assertEqual(set(firsts.values()), {100})

    def test_instance_that_left_is_not_returned(self) -> None:
        rotation = Rotation(random.Random(1))
        addresses(instances(7), owner_instance=None, rotation=rotation)
        firsts = Counter(
            addresses(instances(6), owner_instance=None, rotation=rotation)[0].host
            for _ in range(600)
        )
        self.assertNotIn("10.0.0.6", firsts)
        self.assertLess(max(firsts.values()) - min(firsts.values()), 3)

    def test_owner_and_own_data_centre_come_first(self) -> None:
        rotation = Rotation(random.Random(1))
        found = addresses(
            instances(7), owner_instance="i2", rotation=rotation, data_centre="dc-1"
        )
        self.assertEqual(found[0].host, "10.0.0.2")
        self.assertEqual({address.data_centre for address in found[1:3]}, {"dc-1"})
        self.assertEqual(len({address.host for address in found}), 7)
