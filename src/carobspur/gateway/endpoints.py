"""The endpoints that may be used, as the platform's registry tells them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


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
        born_ms: Start in Unix milliseconds; 0 if not told.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0

    @property
    def key(self) -> str:
        """Names this start even where an id is used again."""
        return f"{self.id}@{self.born_ms}"


class EndpointBook:
    """Endpoints by service.

    Entries that lapse while the registry is away are kept until it had time to list
    them again; all others go at once.
    """

    __slots__ = ("_by_id", "_by_service", "_lapsed", "version")

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._lapsed: set[str] = set()
        self.version = 0

    def __repr__(self) -> str:
        return f"EndpointBook({len(self._by_id)} endpoints, version={self.version})"

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint or replace what was known of it."""
        self._lapsed.discard(endpoint.id)
        self._by_id[endpoint.id] = endpoint
        self._index()

    def remove(self, endpoint_id: str) -> None:
        """Forget an endpoint."""
        self._lapsed.discard(endpoint_id)
        if self._by_id.pop(endpoint_id, None) is not None:
            self._index()

    def lapse(self, endpoint_id: str) -> None:
        """Mark an endpoint whose entry ran out while the registry was away."""
        if endpoint_id in self._by_id:
            self._lapsed.add(endpoint_id)

    def lapsed(self) -> list[str]:
        """Return the endpoints that were not listed again since they lapsed."""
        return sorted(self._lapsed)

    def ids(self) -> Iterable[str]:
        """Return the ids of all endpoints."""
        return tuple(self._by_id)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return one endpoint, if it is known."""
        return self._by_id.get(endpoint_id)

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return self._by_service.get(service, [])

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in sorted(self._by_id.values(), key=lambda item: item.id):
            if not endpoint.is_draining:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)
