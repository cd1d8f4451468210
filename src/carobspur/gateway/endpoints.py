"""Index of the endpoints that requests may be sent to, updated from the registry."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

MAX_CANDIDATES = 64
"""Most endpoints that the placement of one request compares: a choice among 64 takes
0.6 ms, one among 3,100 took 30 ms."""
LOCAL_CANDIDATES = 48
"""How many of these candidates come from the gateway's own data centre, if it has that
many."""
MAX_LEAVING_KEYS = 4096
"""Most replica processes that are remembered as leaving; higher than the number of
endpoints."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A replica that serves requests of one service, from one start of its process.

    Attributes:
        id: Id of the replica; requests name it, so that no other replica that listens
            on the same address runs them.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        data_centre: Data centre that it runs in.
        slots: Requests that it processes at once.
        is_draining: Whether it takes no new work.
        started_ms: Unix time in milliseconds at which its process started; 0 where its
            entry does not say.
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
        """Identifies one start of the process, even if a later start reuses the id."""
        return f"{self.id}@{self.started_ms}"


class _HashRing:
    """Endpoints in the order of the hashes of their ids.

    A key hashes to a position on the ring, and the endpoints that follow it are a fair
    sample, which changes little when other endpoints are added or removed.
    """

    __slots__ = ("_endpoints", "_positions")

    def __init__(self) -> None:
        self._positions: list[tuple[int, str]] = []
        self._endpoints: list[Endpoint] = []

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint; its id must not be on the ring yet."""
        position = _position(endpoint.id)
        index = bisect_left(self._positions, position)
        self._positions.insert(index, position)
        self._endpoints.insert(index, endpoint)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint, if it is on the ring."""
        position = _position(endpoint_id)
        index = bisect_left(self._positions, position)
        if self._positions[index : index + 1] == [position]:
            del self._positions[index]
            del self._endpoints[index]

    def successors(self, key: str, count: int) -> list[Endpoint]:
        """Return up to ``count`` endpoints that follow a key's position."""
        if len(self._endpoints) <= count:
            return list(self._endpoints)
        start = bisect_left(self._positions, _position(key))
        found = self._endpoints[start : start + count]
        return found + self._endpoints[: count - len(found)]


class EndpointIndex:
    """Endpoints by id, by service, and by service and data centre.

    An endpoint whose registry entry disappears while the row store is unreachable is
    marked as lapsed and stays usable until the entry has had time to come back; at
    other times it is removed at once. An endpoint that has announced that it leaves
    takes no new work, whatever its registry entry says later.

    Attributes:
        version: Newest row version of the registry that was applied.
    """

    __slots__ = (
        "_by_data_centre",
        "_by_id",
        "_by_service",
        "_lapsed",
        "_leaving",
        "version",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        # Only endpoints that take new work.
        self._by_service: defaultdict[str, _HashRing] = defaultdict(_HashRing)
        self._by_data_centre: defaultdict[tuple[str, str], _HashRing] = defaultdict(
            _HashRing
        )
        self._lapsed: set[str] = set()
        # Keys of endpoints that announced that they leave, oldest first.
        self._leaving: OrderedDict[str, None] = OrderedDict()
        self.version = 0

    def __repr__(self) -> str:
        return f"EndpointIndex({len(self._by_id)} endpoints, version={self.version})"

    def put(self, endpoint: Endpoint) -> Endpoint:
        """Add or replace an endpoint and return it as stored.

        It is stored as draining if it has announced that it leaves.
        """
        if endpoint.key in self._leaving:
            endpoint = replace(endpoint, is_draining=True)
        self._lapsed.discard(endpoint.id)
        self._drop(endpoint.id)
        self._by_id[endpoint.id] = endpoint
        if not endpoint.is_draining:
            self._by_service[endpoint.service].put(endpoint)
            self._by_data_centre[endpoint.service, endpoint.data_centre].put(endpoint)
        return endpoint

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Record that an endpoint announced that it leaves.

        Returns:
            Whether this was not known before.
        """
        if endpoint.key in self._leaving:
            return False
        self._leaving[endpoint.key] = None
        if len(self._leaving) > MAX_LEAVING_KEYS:
            self._leaving.popitem(last=False)
        known = self._by_id.get(endpoint.id)
        if known is not None and known.key == endpoint.key:
            is_lapsed = endpoint.id in self._lapsed
            self.put(known)
            if is_lapsed:
                self.mark_lapsed(endpoint.id)
        return True

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint, if it is known."""
        self._lapsed.discard(endpoint_id)
        self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        known = self._by_id.pop(endpoint_id, None)
        if known is None:
            return
        for rings, key in (
            (self._by_service, known.service),
            (self._by_data_centre, (known.service, known.data_centre)),
        ):
            rings[key].remove(endpoint_id)
            if not rings[key]:
                del rings[key]

    def mark_lapsed(self, endpoint_id: str) -> None:
        """Mark an endpoint whose entry disappeared while the store was unreachable."""
        if endpoint_id in self._by_id:
            self._lapsed.add(endpoint_id)

    def lapsed_ids(self) -> list[str]:
        """Return the ids of lapsed endpoints that were not registered again."""
        return sorted(self._lapsed)

    def ids(self) -> Iterable[str]:
        """Return the ids of all endpoints."""
        return tuple(self._by_id)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint by id, or ``None`` if it is unknown."""
        return self._by_id.get(endpoint_id)

    def usable(
        self, service: str, *, affinity: str = "", data_centre: str = ""
    ) -> list[Endpoint]:
        """Return the endpoints of a service that a request may be placed on.

        If at most ``MAX_CANDIDATES`` endpoints take new work, these are all of them;
        otherwise a sample of that size, mostly from ``data_centre`` if it has enough.
        The sample of an affinity key changes little when endpoints are added or
        removed.

        Args:
            service: Name of the service.
            affinity: Key of the sample, such as a program's id.
            data_centre: Data centre that most of the sample should come from.
        """
        everywhere = self._by_service.get(service)
        if everywhere is None:
            return []
        if len(everywhere) <= MAX_CANDIDATES:
            return everywhere.successors("", MAX_CANDIDATES)
        near = self._by_data_centre.get((service, data_centre))
        sample = near.successors(affinity, LOCAL_CANDIDATES) if near else []
        known = {item.id for item in sample}
        rest = everywhere.successors(affinity, MAX_CANDIDATES)
        sample += [item for item in rest if item.id not in known]
        return sample[:MAX_CANDIDATES]


def _position(text: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(text), text
