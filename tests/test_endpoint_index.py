"""Endpoints by service; of many, a sample that is fair and stays."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from carobspur.gateway.endpoints import MAX_CANDIDATES, Endpoint, EndpointIndex
from carobspur.gateway.health import HealthTracker
from carobspur.gateway.placement import Need, choose_engine

PLACES = "abcdef"


def endpoint(number: int, *, service: str = "engines") -> Endpoint:
    place = PLACES[number % len(PLACES)]
    return Endpoint(f"e{number}", service, "h", number, place, 8)


def book(count: int) -> EndpointIndex:
    made = EndpointIndex()
    for number in range(count):
        made.put(endpoint(number))
    return made


class EndpointIndexTest(unittest.TestCase):
    def test_few_endpoints_are_all_compared(self) -> None:
        made = book(MAX_CANDIDATES)
        made.put(endpoint(1000, service="tools"))
        found = made.usable("engines", affinity="p", data_centre="a")
        self.assertEqual(MAX_CANDIDATES, len({item.id for item in found}))
        self.assertEqual([], made.usable("unknown"))

    def test_draining_and_removed_endpoints_are_not_usable(self) -> None:
        made = book(3)
        made.put(replace(endpoint(0), is_draining=True))
        made.remove("e1")
        made.remove("e9")
        self.assertEqual(["e2"], [item.id for item in made.usable("engines")])
        self.assertEqual({"e0", "e2"}, set(made.ids()))

    def test_endpoint_that_changes_its_service_leaves_the_former(self) -> None:
        made = book(2)
        made.put(endpoint(0, service="tools"))
        self.assertEqual(["e1"], [item.id for item in made.usable("engines")])
        self.assertEqual(["e0"], [item.id for item in made.usable("tools")])

    def test_sample_of_many_is_bounded_and_mostly_near(self) -> None:
        found = book(3100).usable("engines", affinity="p", data_centre="a")
        self.assertEqual(MAX_CANDIDATES, len({item.id for item in found}))
        near = sum(item.data_centre == "a" for item in found)
        self.assertGreater(near, MAX_CANDIDATES / 2)
        self.assertLess(near, MAX_CANDIDATES)

    def test_program_keeps_its_engine_while_others_come_and_go(self) -> None:
        made = book(3100)
        moved = 0
        for number in range(60):
            before = self._home(made, f"p{number}")
            gone = f"e{number * 7}"
            made.remove(gone)
            made.put(endpoint(5000 + number))
            moved += before != gone and self._home(made, f"p{number}") != before
        self.assertLessEqual(moved, 3)

    def test_many_programs_spread_over_many_engines(self) -> None:
        made = book(3100)
        counts = Counter(self._home(made, f"p{number}") for number in range(1000))
        self.assertLess(max(counts.values()), 25)
        self.assertGreater(len(counts), 250)

    def _home(self, made: EndpointIndex, program: str) -> str:
        usable = made.usable("engines", affinity=program, data_centre="a")
        need = Need("a", program, 1500)
        return choose_engine(usable, need, HealthTracker(), 0.0).id
