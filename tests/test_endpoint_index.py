"""Candidates of a service: all its endpoints or, of many, a fair and stable sample."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from carobspur.gateway.endpoints import MAX_CANDIDATES, Endpoint, EndpointIndex
from carobspur.gateway.health import HealthTracker
from carobspur.gateway.placement import Need, choose_engine

DATA_CENTRES = "abcdef"


def endpoint(number: int, *, service: str = "engines") -> Endpoint:
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return Endpoint(f"e{number}", service, "h", number, data_centre, 8)


def make_index(count: int) -> EndpointIndex:
    index = EndpointIndex()
    for number in range(count):
        index.put(endpoint(number))
    return index


class EndpointIndexTest(unittest.TestCase):
    def test_few_endpoints_are_all_usable(self) -> None:
        index = make_index(MAX_CANDIDATES)
        index.put(endpoint(1000, service="tools"))
        found = index.usable("engines", affinity="p", data_centre="a")
        self.assertEqual(MAX_CANDIDATES, len({item.id for item in found}))
        self.assertEqual([], index.usable("unknown"))

    def test_draining_and_removed_endpoints_are_not_usable(self) -> None:
        index = make_index(3)
        index.put(replace(endpoint(0), is_draining=True))
        index.remove("e1")
        index.remove("e9")
        self.assertEqual(["e2"], [item.id for item in index.usable("engines")])
        self.assertEqual({"e0", "e2"}, set(index.ids()))

    def test_endpoint_with_a_new_service_is_removed_from_the_former(self) -> None:
        index = make_index(2)
        index.put(endpoint(0, service="tools"))
        self.assertEqual(["e1"], [item.id for item in index.usable("engines")])
        self.assertEqual(["e0"], [item.id for item in index.usable("tools")])

    def test_sample_of_many_is_bounded_and_mostly_local(self) -> None:
        found = make_index(3100).usable("engines", affinity="p", data_centre="a")
        self.assertEqual(MAX_CANDIDATES, len({item.id for item in found}))
        local = sum(item.data_centre == "a" for item in found)
        self.assertGreater(local, MAX_CANDIDATES / 2)
        self.assertLess(local, MAX_CANDIDATES)

    def test_program_keeps_its_engine_when_others_are_added_and_removed(self) -> None:
        index = make_index(3100)
        moved = 0
        for number in range(60):
            before = self._engine_of(index, f"p{number}")
            gone = f"e{number * 7}"
            index.remove(gone)
            index.put(endpoint(5000 + number))
            moved += before != gone and self._engine_of(index, f"p{number}") != before
        self.assertLessEqual(moved, 3)

    def test_many_programs_are_spread_over_many_engines(self) -> None:
        index = make_index(3100)
        counts = Counter(self._engine_of(index, f"p{number}") for number in range(1000))
        self.assertLess(max(counts.values()), 25)
        self.assertGreater(len(counts), 250)

    def _engine_of(self, index: EndpointIndex, program: str) -> str:
        usable = index.usable("engines", affinity=program, data_centre="a")
        need = Need("a", program, 1500)
        return choose_engine(usable, need, HealthTracker(), 0.0).id
