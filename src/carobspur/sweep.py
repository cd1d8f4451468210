"""Cache sweeps, which free engine memory of programs that have ended.

The control process that polls an engine for its load also lists, every
``SWEEP_PERIOD_S`` seconds, the programs with histories in the engine's cache, and
reports them to the schedulers that own these programs. An owner releases the histories
of programs that have ended or that it does not know. Sweeps don't rely on cache events,
which come late or never. Several sweeps of an engine at the same time do no harm: they
release nothing themselves, and leases determine the owner of a program.
"""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from .engine_messages import CachedHistory
from .errors import CarobspurError
from .gossip_rounds import PeerCaller
from .http import HttpClient, HttpRequest
from .peers import SWEEP_CACHE, messages
from .placement import shard_of

SWEEP_PERIOD_S = 30.0
LIST_TIMEOUT_S = 5.0
MAX_PROGRAMS_PER_REPORT = 2000

_logger = logging.getLogger(__name__)


def group_by_owner(
    programs: Iterable[str], shard_owners: Mapping[int, str], shards: int
) -> dict[str, list[str]]:
    """Group programs by the id of the session that owns them.

    Programs in shards that no session owns are left out.
    """
    found: dict[str, list[str]] = defaultdict(list)
    for program in programs:
        owner = shard_owners.get(shard_of(program, shards))
        if owner:
            found[owner].append(program)
    return found


class CacheSweeper:
    """Lists the programs in engines' caches and reports them to their owners.

    Args:
        client: HTTP client for engines.
        peers: Client for messages to schedulers.
        shards: Number of shards of the whole system.
    """

    __slots__ = ("_client", "_peers", "_shards")

    def __init__(self, client: HttpClient, peers: PeerCaller, *, shards: int) -> None:
        self._client = client
        self._peers = peers
        self._shards = shards

    async def sweep(
        self,
        addresses: Iterable[str],
        sessions: Mapping[str, Any],
        shard_owners: Mapping[int, str],
    ) -> int:
        """Report the programs cached in some engines to their owners.

        The engines are queried concurrently, each one once.

        An engine or owner that does not answer is logged and left to the next sweep.

        Args:
            addresses: Base URLs of the engines.
            sessions: Live sessions by id, as ``SessionInfo`` messages.
            shard_owners: Id of the session that owns each shard.

        Returns:
            The number of programs that were released.
        """
        sweeps = (
            self._sweep_engine(address, sessions, shard_owners) for address in addresses
        )
        return sum(await asyncio.gather(*sweeps))

    async def _sweep_engine(
        self,
        address: str,
        sessions: Mapping[str, Any],
        shard_owners: Mapping[int, str],
    ) -> int:
        released = 0
        try:
            programs = await self._cached_programs(address)
            for owner, owned in group_by_owner(
                programs, shard_owners, self._shards
            ).items():
                if owner in sessions:
                    released += await self._report_to_owner(
                        sessions[owner], address, owned
                    )
        except (CarobspurError, msgspec.MsgspecError) as error:
            _logger.info("cache sweep of %s failed: %s", address, error)
        return released

    async def _cached_programs(self, address: str) -> list[str]:
        """Return the programs with histories in an engine; none on an error status."""
        request = HttpRequest("GET", f"{address}/v1/cache", timeout_s=LIST_TIMEOUT_S)
        response = await self._client.fetch(request)
        if response.status != 200:
            return []
        found = msgspec.json.decode(response.body, type=list[CachedHistory])
        return sorted({item.program for item in found})

    async def _report_to_owner(
        self, owner: Any, address: str, programs: list[str]
    ) -> int:
        message = messages.SweepCache(
            address=address, programs=programs[:MAX_PROGRAMS_PER_REPORT]
        )
        result = await self._peers.call(owner.host, owner.port, SWEEP_CACHE, message)
        return result.released
