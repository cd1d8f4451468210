"""The rendezvous order: one for every process, whatever it asks of it."""

from __future__ import annotations

import unittest

from carobspur.placement import first, first_of, rank

NAMES = [f"edge-{number:03}" for number in range(40)]


class RendezvousTest(unittest.TestCase):
    def test_first_names_are_those_of_the_whole_order(self) -> None:
        for number in range(50):
            key = f"program-{number}"
            order = rank(key, NAMES)
            self.assertEqual(order[:3], first_of(key, reversed(NAMES), 3))
            self.assertEqual(order[0], first(key, NAMES))

    def test_name_that_goes_changes_nothing_for_others(self) -> None:
        left = NAMES[1:]
        for number in range(50):
            order = rank(f"program-{number}", NAMES)
            order.remove(NAMES[0])
            self.assertEqual(order, rank(f"program-{number}", left))
