"""Routes are matched by host and path prefix, as fast with many routes as with few."""

from __future__ import annotations

import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from carobspur.gateway.routes import Configuration, Route, RouteKind, WeightedService

MANY_ROUTES = 10_000
MAX_MATCH_S = 100e-6
"""At 72 requests a second per gateway this is 0.7 % of a core."""

SEGMENT = st.sampled_from(["a", "b", "ab", ""])
PREFIX = st.lists(SEGMENT, max_size=3).map(lambda parts: "/".join(["", *parts, ""]))
PATH = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))


def route(number: int, host: str, prefix: str) -> Route:
    service = WeightedService("s", 1)
    return Route(
        f"r{number}", host, prefix, RouteKind.IDEMPOTENT, (service,), 1.0, 0.1, 1
    )


def configuration(routes: list[Route]) -> Configuration:
    return Configuration(version=1, routes=tuple(routes), services={})


def match_by_scan(routes: list[Route], host: str, path: str) -> Route | None:
    """Return the matching route by a scan of all routes, as a reference."""
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(found, key=lambda item: len(item.prefix), default=None)


class MatchTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("xy"), PREFIX)), PATH)
    def test_match_finds_the_same_route_as_a_scan_of_all(
        self, rows: list[tuple[str, str]], path: str
    ) -> None:
        routes = [route(n, host, prefix) for n, (host, prefix) in enumerate(rows)]
        found = configuration(routes).match("x", path)
        self.assertEqual(match_by_scan(routes, "x", path), found)

    def test_match_takes_the_same_time_among_many_routes(self) -> None:
        routes = [route(n, "x", f"/p{n}/q/") for n in range(MANY_ROUTES)]
        made = configuration(routes)
        started = time.process_time()
        for number in range(1000):
            self.assertIs(routes[number], made.match("x", f"/p{number}/q/r/s"))
        taken_s = (time.process_time() - started) / 1000
        self.assertLess(taken_s, MAX_MATCH_S)

    def test_path_of_many_segments_takes_no_longer(self) -> None:
        made = configuration([route(0, "x", "/a/b/")])
        paths = ["/" * 60_000 + str(number) for number in range(100)]
        started = time.thread_time()
        for path in paths:
            self.assertIsNone(made.match("x", path))
        taken_s = (time.thread_time() - started) / len(paths)
        self.assertLess(taken_s, MAX_MATCH_S)

    def test_host_without_routes_matches_nothing(self) -> None:
        self.assertIsNone(configuration([route(0, "x", "/a/")]).match("y", "/a/b"))
