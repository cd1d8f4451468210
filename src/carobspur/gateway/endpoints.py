"""The endpoints that may be used, as the platform's registry tells them."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

MAX_CANDIDATES = 64
"""Most endpoints that one request is placed among: such a choice takes 0.6 ms, one
among 3,100 took 30 ms."""
LOCAL_CANDIDATES = 48
"""How many of them come from the gateway's own data centre, if it has so many."""
MAX_LEAVING = 4096
"""Starts that are remembered as leaving: more than there are endpoints."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of a replica.

    Attributes:
        id: Id of this start; names it in requests, so that nobody else runs them.
        service: Service that it belongs to.
        host: IP number.
        port: TCP port.
        data_centre: Where it stands.
        slots: Requests that it processes at once.
        is_draining: Whether it takes no new work.
        started_ms: Start in Unix milliseconds; 0 if not told.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool = False
    started_ms: int = 0

    @property
    def key(self) -> str:
        """Names this start even where an id is used again."""
        return f"{self.id}@{self.started_ms}"


class _HashRing:
    """Endpoints in the order of a hash of their ids, so that a run is a fair sample."""

    __slots__ = ("_endpoints", "_positions")

    def __init__(self) -> None:
        self._positions: list[tuple[int, str]] = []
        self._endpoints: list[Endpoint] = []

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint whose id is not there."""
        score = _position(endpoint.id)
        place = bisect_left(self._positions, score)
        self._positions.insert(place, score)
        self._endpoints.insert(place, endpoint)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint, if it is there."""
        score = _position(endpoint_id)
        place = bisect_left(self._positions, score)
        if self._positions[place : place + 1] == [score]:
            del self._positions[place]
            del self._endpoints[place]

    def successors(self, affinity: str, count: int) -> list[Endpoint]:
        """Return so many endpoints from the place of a key on, round the end."""
        if len(self._endpoints) <= count:
            return list(self._endpoints)
        start = bisect_left(self._positions, _position(affinity))
        found = self._endpoints[start : start + count]
        return found + self._endpoints[: count - len(found)]


class EndpointIndex:
    """Endpoints by service.

    Entries that lapse while the registry is away are kept until it had time to list
    them again; all others go at once. A start that said itself that it leaves takes
    no new work, whatever the registry says of it later.
    """

    __slots__ = ("_by_id", "_lapsed", "_leaving", "_near", "_services", "version")

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        # Those that take new work, by service, and by service and data centre.
        self._services: defaultdict[str, _HashRing] = defaultdict(_HashRing)
        self._near: defaultdict[tuple[str, str], _HashRing] = defaultdict(_HashRing)
        self._lapsed: set[str] = set()
        # Keys of starts that said that they leave, oldest first.
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self.version = 0

    def __repr__(self) -> str:
        return f"EndpointBook({len(self._by_id)} endpoints, version={self.version})"

    def put(self, endpoint: Endpoint) -> Endpoint:
        """Add an endpoint or replace what was known of it; return what is known now."""
        if endpoint.key in self._leaving:
            endpoint = replace(endpoint, is_draining=True)
        self._lapsed.discard(endpoint.id)
        self._take_out(endpoint.id)
        self._by_id[endpoint.id] = endpoint
        if not endpoint.is_draining:
            self._services[endpoint.service].put(endpoint)
            self._near[endpoint.service, endpoint.data_centre].put(endpoint)
        return endpoint

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Take note that a start said that it leaves; return whether that is news."""
        if endpoint.key in self._leaving:
            return False
        self._leaving[endpoint.key] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        known = self._by_id.get(endpoint.id)
        if known is not None and known.key == endpoint.key:
            is_lapsed = endpoint.id in self._lapsed
            self.put(known)
            if is_lapsed:
                self.mark_lapsed(endpoint.id)
        return True

    def remove(self, endpoint_id: str) -> None:
        """Forget an endpoint."""
        self._lapsed.discard(endpoint_id)
        self._take_out(endpoint_id)

    def _take_out(self, endpoint_id: str) -> None:
        known = self._by_id.pop(endpoint_id, None)
        if known is None:
            return
        for table, key in (
            (self._services, known.service),
            (self._near, (known.service, known.data_centre)),
        ):
            table[key].remove(endpoint_id)
            if not table[key]:
                del table[key]

    def mark_lapsed(self, endpoint_id: str) -> None:
        """Mark an endpoint whose entry ran out while the registry was away."""
        if endpoint_id in self._by_id:
            self._lapsed.add(endpoint_id)

    def lapsed_ids(self) -> list[str]:
        """Return the endpoints that were not listed again since they lapsed."""
        return sorted(self._lapsed)

    def ids(self) -> Iterable[str]:
        """Return the ids of all endpoints."""
        return tuple(self._by_id)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return one endpoint, if it is known."""
        return self._by_id.get(endpoint_id)

    def usable(
        self, service: str, *, affinity: str = "", data_centre: str = ""
    ) -> list[Endpoint]:
        """Return endpoints of a service that take new work, to choose among.

        All of a service with few; of one with many, a sample that stays the same for
        a key while they stay, most of it from one data centre.

        Args:
            service: The service.
            affinity: What is placed.
            data_centre: Where the sample should come from.
        """
        everywhere = self._services.get(service)
        if everywhere is None:
            return []
        if len(everywhere) <= MAX_CANDIDATES:
            return everywhere.successors("", MAX_CANDIDATES)
        near = self._near.get((service, data_centre))
        sample = near.successors(affinity, LOCAL_CANDIDATES) if near else []
        known = {item.id for item in sample}
        rest = everywhere.successors(affinity, MAX_CANDIDATES)
        sample += [item for item in rest if item.id not in known]
        return sample[:MAX_CANDIDATES]


def _position(text: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(text), text
