"""Decodes and applies the registry, a table with an entry for each running replica."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Annotated

import msgspec

from ..gateway.decisions import DecisionLog
from ..gateway.endpoints import Endpoint, EndpointIndex
from ..gateway.host_port import split_address
from ..gateway.rows import Row

TABLE = "servers"
LAPSE_GRACE_S = 2.2
"""Time after the store's return for which endpoints stay in use whose entries lapsed.

Their replicas write the entries again within about 2 s.
"""
MAX_LAPSED_USE_S = 1.8
"""Longest use of an endpoint after its entry was found missing.

The entry may have been removed on purpose, and its replica then serves for ``drainMs``,
which is 2 s or more.
"""
LAPSE_POLL_S = 0.1
"""Interval at which lapsed endpoints are checked."""
MAX_SLOTS = 1_000_000
"""Most slots of a replica; an entry with more is not one of a replica."""
MAX_INT64 = 2**63 - 1

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    # IP:PORT of the replica.
    address: str
    zone: str
    # Requests that the replica processes at the same time.
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: str
    # Number of this entry among those that the replica has written since its start.
    sequence: _Count = 0
    # Start of the replica in Unix milliseconds; distinguishes two starts with one id.
    born: _Count = 0


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
        ``None`` if the entry is damaged or out of range, has no service, has a state
        other than ``ready`` and ``draining``, or has an id that no header can carry.
    """
    try:
        wire = _decoder.decode(value)
        host, port = split_address(wire.address)
        IPv4Address(host)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    if not port or not _is_header_value(endpoint_id):
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


def _is_header_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header field."""
    return text.isascii() and text.isprintable() and text == text.strip() != ""


class Registry:
    """Applies registry entries to the endpoints that may be used.

    Args:
        endpoints: The endpoints that may be used.
        log: Decision log.
        on_removed: Called with the key of an endpoint that was removed, or whose
            replica was restarted.
        unreachable_until: Returns the loop time until which the store was unreachable
            as far as this gateway knows; the present while it still is.
    """

    __slots__ = (
        "_endpoints",
        "_lapse_deadlines",
        "_lapse_timer",
        "_log",
        "_on_removed",
        "_sequences",
        "_unreachable_until",
    )

    def __init__(
        self,
        endpoints: EndpointIndex,
        log: DecisionLog,
        *,
        on_removed: Callable[[str], None],
        unreachable_until: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._log = log
        self._on_removed = on_removed
        self._unreachable_until = unreachable_until
        self._sequences: dict[str, int] = {}
        # Loop time until which each lapsed endpoint stays in use.
        self._lapse_deadlines: dict[str, float] = {}
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
        now = asyncio.get_running_loop().time()
        deadline = min(
            self._unreachable_until() + LAPSE_GRACE_S, now + MAX_LAPSED_USE_S
        )
        if deadline <= now or current.is_draining:
            self._remove(endpoint_id)
            return
        if endpoint_id in self._endpoints.lapsed_ids():
            # Found missing before; its time has begun.
            return
        self._log.record(
            "endpoint_lapsed", endpoint=endpoint_id, kept_s=round(deadline - now, 2)
        )
        self._endpoints.mark_lapsed(endpoint_id)
        self._lapse_deadlines[endpoint_id] = deadline
        if self._lapse_timer is None:
            self._schedule_lapse_check()

    def _schedule_lapse_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(LAPSE_POLL_S, self._check_lapsed)

    def _check_lapsed(self) -> None:
        """Remove lapsed endpoints whose time is over, unless the store is away again.

        While it is away, their replicas cannot write their entries.
        """
        self._lapse_timer = None
        now = asyncio.get_running_loop().time()
        lapsed = self._endpoints.lapsed_ids()
        self._lapse_deadlines = {
            endpoint_id: self._lapse_deadlines[endpoint_id] for endpoint_id in lapsed
        }
        if self._unreachable_until() < now:
            for endpoint_id in lapsed:
                if self._lapse_deadlines[endpoint_id] <= now:
                    self._remove(endpoint_id)
        if self._lapse_deadlines:
            self._schedule_lapse_check()

    def _remove(self, endpoint_id: str) -> None:
        current = self._endpoints.get(endpoint_id)
        self._sequences.pop(endpoint_id, None)
        self._lapse_deadlines.pop(endpoint_id, None)
        if current is not None:
            self._endpoints.remove(endpoint_id)
            self._on_removed(current.key)
            self._log.record("endpoint", endpoint=endpoint_id, state="gone")
