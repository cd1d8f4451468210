"""Decodes and applies the registry, a table with an entry for each running replica."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.endpoints import Endpoint, EndpointIndex
from ..gateway.host_port import split_address
from ..gateway.rows import Row

TABLE = "servers"
LAPSE_GRACE_S = 2.2
"""Time for which endpoints stay in use whose entries lapsed during a store outage.

Their replicas write the entries again within about 2 s.
"""


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    # HOST:PORT of the replica.
    address: str
    zone: str
    # Requests that the replica processes at the same time.
    slots: int
    state: str
    # Number of this entry among those that the replica has written since its start.
    sequence: int = 0
    # Start of the replica in Unix milliseconds; distinguishes two starts with one id.
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


@dataclass(frozen=True, slots=True)
class DecodedEntry:
    """A decoded registry entry.

    Attributes:
        endpoint: The replica that the entry names.
        sequence: Number of the entry among those of the same start of the replica.
    """

    endpoint: Endpoint
    sequence: int


def decode_entry(endpoint_id: str, value: bytes) -> DecodedEntry | None:
    """Decode a registry entry.

    Returns:
        ``None`` if the entry is damaged, has no service, or has a state other than
        ``ready`` and ``draining``.
    """
    try:
        wire = _decoder.decode(value)
        host, port = split_address(wire.address)
    except (msgspec.MsgspecError, ValueError, UnicodeDecodeError):
        return None
    if wire.state not in ("ready", "draining") or not wire.service:
        return None
    endpoint = Endpoint(
        id=endpoint_id,
        service=wire.service,
        host=host,
        port=port,
        data_centre=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        started_ms=wire.born,
    )
    return DecodedEntry(endpoint, wire.sequence)


class Registry:
    """Applies registry entries to the endpoints that may be used.

    Args:
        endpoints: The endpoints that may be used.
        log: Decision log.
        on_removed: Called with the key of an endpoint that was removed, or whose
            replica was restarted.
        store_was_unreachable: Returns whether the store is or recently was unreachable.
    """

    __slots__ = (
        "_endpoints",
        "_lapse_timer",
        "_log",
        "_on_removed",
        "_sequences",
        "_store_was_unreachable",
    )

    def __init__(
        self,
        endpoints: EndpointIndex,
        log: DecisionLog,
        *,
        on_removed: Callable[[str], None],
        store_was_unreachable: Callable[[], bool],
    ) -> None:
        self._endpoints = endpoints
        self._log = log
        self._on_removed = on_removed
        self._store_was_unreachable = store_was_unreachable
        self._sequences: dict[str, int] = {}
        self._lapse_timer: asyncio.TimerHandle | None = None

    def apply(self, rows: list[Row], is_full_table: bool) -> None:
        """Apply changed rows, or all rows of the table."""
        if is_full_table:
            present = {row.key.key for row in rows}
            for endpoint_id in self._endpoints.ids():
                if endpoint_id not in present:
                    self._apply_removal(endpoint_id)
        for row in rows:
            self._endpoints.version = max(self._endpoints.version, row.version)
            if row.value is None:
                self._apply_removal(row.key.key)
            else:
                self._apply_entry(row)

    def _apply_entry(self, row: Row) -> None:
        decoded = decode_entry(row.key.key, row.value)
        if decoded is None:
            self._log.record(
                "entry_damaged", endpoint=row.key.key, registry_version=row.version
            )
            self._remove(row.key.key)
            return
        endpoint = decoded.endpoint
        current = self._endpoints.get(endpoint.id)
        if current is not None:
            if endpoint.started_ms < current.started_ms:
                return
            is_same_start = endpoint.started_ms == current.started_ms
            if is_same_start and decoded.sequence < self._sequences.get(endpoint.id, 0):
                return
            if not is_same_start:
                self._on_removed(current.key)
        self._sequences[endpoint.id] = decoded.sequence
        endpoint = self._endpoints.put(endpoint)
        if current != endpoint:
            self._log.record(
                "endpoint",
                endpoint=endpoint.id,
                service=endpoint.service,
                address=f"{endpoint.host}:{endpoint.port}",
                state="draining" if endpoint.is_draining else "ready",
                registry_version=row.version,
            )

    def _apply_removal(self, endpoint_id: str) -> None:
        current = self._endpoints.get(endpoint_id)
        if current is None:
            return
        if self._store_was_unreachable() and not current.is_draining:
            self._log.record("endpoint_lapsed", endpoint=endpoint_id)
            self._endpoints.mark_lapsed(endpoint_id)
            if self._lapse_timer is None:
                loop = asyncio.get_running_loop()
                self._lapse_timer = loop.call_later(LAPSE_GRACE_S, self._remove_lapsed)
            return
        self._remove(endpoint_id)

    def _remove_lapsed(self) -> None:
        self._lapse_timer = None
        for endpoint_id in self._endpoints.lapsed_ids():
            self._remove(endpoint_id)

    def _remove(self, endpoint_id: str) -> None:
        current = self._endpoints.get(endpoint_id)
        self._sequences.pop(endpoint_id, None)
        if current is not None:
            self._endpoints.remove(endpoint_id)
            self._on_removed(current.key)
            self._log.record("endpoint", endpoint=endpoint_id, state="gone")
