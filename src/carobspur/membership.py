"""Instances: what each announces of itself and what the platform's list says."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

import msgspec

from .errors import StoreUnavailableError
from .http import HttpClient, HttpError, HttpRequest
from .table import Row

INSTANCE_PREFIX = "instance/"


class InstanceRow(msgspec.Struct, frozen=True):
    """What an instance announces of itself in the table."""

    id: str
    host: str
    entry_port: int
    scheduler_port: int
    control_port: int
    data_centre: str
    leaving: bool = False


class InstanceStatus(StrEnum):
    """What the platform's list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the platform's list; it lags."""

    id: str
    status: InstanceStatus


class LiveList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def instances(self) -> list[ListedInstance]:
        """Return the list.

        Raises:
            StoreUnavailableError: No answer.
        """


class HttpLiveList:
    """Client of the platform's list.

    Args:
        client: The HTTP client.
        base_url: Address of the service, without a slash at the end.
        timeout_s: Seconds to wait.
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
            raise StoreUnavailableError(f"live list: {failure.message}") from failure
        if response.status != 200:
            raise StoreUnavailableError(f"live list answered {response.status}")
        return msgspec.json.decode(response.body, type=list[ListedInstance])


def instance_key(instance: str) -> str:
    """Return the key of an instance's row."""
    return INSTANCE_PREFIX + instance


def usable_instances(
    rows: list[Row], listed: list[ListedInstance], live_schedulers: set[str]
) -> list[InstanceRow]:
    """Return the instances that callers may be sent to.

    An instance is usable while its scheduler holds a session and nobody says that it
    is leaving. The platform's list can only take instances away, since it lags.

    Args:
        rows: All instance rows.
        listed: The platform's list; empty where it is not known.
        live_schedulers: Ids of the instances whose schedulers have sessions.
    """
    leaving = {item.id for item in listed if item.status == InstanceStatus.LEAVING}
    found = []
    for row in rows:
        item = msgspec.json.decode(row.value, type=InstanceRow)
        is_gone = item.leaving or item.id in leaving
        if not is_gone and item.id in live_schedulers:
            found.append(item)
    return found
