"""Instances: the row that each writes to the table, and the platform's list."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from .clock import Clock
from .errors import StoreConflictError, StoreError, StoreUnavailableError
from .gossip import Item
from .http import HttpClient, HttpError, HttpRequest
from .peers import encode, messages
from .session_row import decode_session
from .settings import Settings
from .table import ABSENT_VERSION, Check, Row, Table, Write

INSTANCE_PREFIX = "instance/"
LIVE_LIST_READS_PER_S = 50.0

_logger = logging.getLogger(__name__)


class InstanceRow(msgspec.Struct, frozen=True):
    """Row that an instance writes about itself to the table.

    Attributes:
        id: Id of the instance.
        host: IP address of its processes.
        entry_port: Port of the entry process for callers.
        scheduler_port: Port of the scheduler for peers.
        control_port: Port of the control process for operators.
        data_centre: Name of its data centre.
        leaving: Whether it is shutting down.
        control_peer_port: Port of the control process for peers; 0 if unknown.
    """

    id: str
    host: str
    entry_port: int
    scheduler_port: int
    control_port: int
    data_centre: str
    leaving: bool = False
    control_peer_port: int = 0


class InstanceStatus(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's list, which lags behind."""

    id: str
    status: InstanceStatus


class LiveList(Protocol):
    """The platform's list of live and leaving instances, which lags behind."""

    async def instances(self) -> list[ListedInstance]:
        """Return the list.

        Raises:
            StoreUnavailableError: The service did not answer, or with an error.
        """


class HttpLiveList:
    """HTTP client of the platform's list of instances.

    Args:
        client: The HTTP client.
        base_url: Base URL of the service, without a slash at the end.
        timeout_s: Time-out of a request, in seconds.
    """

    __slots__ = ("_base_url", "_client", "_timeout_s")

    def __init__(
        self, client: HttpClient, base_url: str, *, timeout_s: float = 2.0
    ) -> None:
        self._client = client
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def instances(self) -> list[ListedInstance]:
        """Return the list; see :class:`LiveList`."""
        url = f"{self._base_url}/v1/instances"
        request = HttpRequest("GET", url, timeout_s=self._timeout_s)
        try:
            response = await self._client.fetch(request)
        except HttpError as failure:
            raise StoreUnavailableError(
                f"list of instances: {failure.message}"
            ) from failure
        if response.status != 200:
            raise StoreUnavailableError(
                f"list of instances: HTTP status {response.status}"
            )
        return msgspec.json.decode(response.body, type=list[ListedInstance])


class LiveListReader:
    """Reads the platform's list, less often the more instances there are.

    All instances together read it at most ``LIVE_LIST_READS_PER_S`` times a second.

    Args:
        live_list: Client of the list.
        clock: Source of time.

    Attributes:
        instances: The entries as last read; empty before the first read.
    """

    __slots__ = ("_clock", "_live_list", "_last_read_s", "instances")

    def __init__(self, live_list: LiveList, clock: Clock) -> None:
        self._live_list = live_list
        self._clock = clock
        self._last_read_s = float("-inf")
        self.instances: list[ListedInstance] = []

    async def poll(self, readers: int) -> None:
        """Read the list if a read is due; a failure keeps the last entries.

        Args:
            readers: Number of processes that read the list.
        """
        now_s = self._clock.monotonic()
        if now_s - self._last_read_s < readers / LIVE_LIST_READS_PER_S:
            return
        self._last_read_s = now_s
        try:
            self.instances = await self._live_list.instances()
        except StoreError as error:
            _logger.info(
                "the platform's list of instances can't be read: %s", error.message
            )


def own_instance_row(settings: Settings, *, leaving: bool) -> InstanceRow:
    """Return the row of the instance that settings describe."""
    return InstanceRow(
        id=settings.instance.id,
        host=settings.instance.host,
        entry_port=settings.entry.port,
        scheduler_port=settings.scheduler.port,
        control_port=settings.control.port,
        data_centre=settings.instance.data_centre,
        leaving=leaving,
        control_peer_port=settings.control.peer_port,
    )


def instance_key(instance: str) -> str:
    """Return the key of an instance's row."""
    return INSTANCE_PREFIX + instance


async def write_instance(table: Table, row: InstanceRow) -> None:
    """Write an instance's row, replacing any earlier one.

    Raises:
        StoreUnavailableError: The table service did not answer; retrying is safe.
    """
    key = instance_key(row.id)
    content = msgspec.json.encode(row)
    while True:
        stored = await table.read(key)
        version = ABSENT_VERSION if stored is None else stored.version
        try:
            await table.commit([Check(key, version)], [Write(key, content)])
            return
        except StoreConflictError:
            continue


def instance_item(row: Row) -> Item:
    """Return the gossip item of an instance's row, an ``InstanceInfo`` message."""
    found = msgspec.json.decode(row.value, type=InstanceRow)
    message = messages.InstanceInfo(
        id=found.id,
        host=found.host,
        entry_port=found.entry_port,
        scheduler_port=found.scheduler_port,
        control_port=found.control_port,
        data_centre=found.data_centre,
        leaving=found.leaving,
        peer_port=found.control_peer_port,
    )
    return Item(row.key, row.version, encode(message))


def session_item(row: Row) -> Item:
    """Return the gossip item of a session's row, a ``SessionInfo`` message."""
    found = decode_session(row)
    message = messages.SessionInfo(
        id=found.id,
        epoch=found.epoch,
        instance=found.instance,
        host=found.host,
        port=found.port,
        data_centre=found.data_centre,
        leaving=found.leaving,
    )
    return Item(row.key, row.version, encode(message))


def usable_instances(
    instances: Iterable[Any],
    listed: Iterable[ListedInstance],
    live_schedulers: set[str],
    is_silent: Callable[[str], bool],
) -> list[Any]:
    """Return the instances to which callers may be directed.

    An instance is usable while its scheduler has a session, neither its row nor the
    platform's list says that it is leaving, and its heartbeats arrive. The platform's
    list lags behind, so it can exclude instances but not add any.

    Args:
        instances: All instances, as ``InstanceInfo`` messages.
        listed: Entries of the platform's list; empty while it is unknown.
        live_schedulers: Ids of the instances whose schedulers have sessions.
        is_silent: Returns whether no heartbeats of an instance arrive.
    """
    leaving = {item.id for item in listed if item.status == InstanceStatus.LEAVING}
    return [
        item
        for item in instances
        if not item.leaving
        and item.id not in leaving
        and item.id in live_schedulers
        and not is_silent(item.id)
    ]
