"""Rendezvous order: its forms agree, and removing a name does not move other keys."""

from __future__ import annotations

import unittest

from carobspur.placement import first, first_of, rank

NAMES = [f"edge-{number:03}" for number in range(40)]


class RendezvousTest(unittest.TestCase):
    def test_first_and_first_of_agree_with_rank(self) -> None:
        for number in range(50):
            key = f"program-{number}"
            order = rank(key, NAMES)
            self.assertEqual(order[:3], first_of(key, reversed(NAMES), 3))
            self.assertEqual(order[0], first(key, NAMES))

    def test_order_of_other_names_stays_when_a_name_is_removed(self) -> None:
        remaining = NAMES[1:]
        for number in range(50):
            order = rank(f"program-{number}", NAMES)
            order.remove(NAMES[0])
            self.assertEqual(order, rank(f"program-{number}", remaining))
