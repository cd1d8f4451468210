"""Many control processes in one process under virtual time, with links that fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from carobspur.clock import LoopClock
from carobspur.configuration import Configuration, ImportResult
from carobspur.control_parts import Control
from carobspur.control_peers import ControlPeers
from carobspur.endpoint_loads import EngineLoad
from carobspur.errors import (
    PeerDisconnectedError,
    PeerUnreachableError,
    StoreUnavailableError,
)
from carobspur.http import HttpRequest, HttpResponse
from carobspur.inventory import DataCentre, Engine, Inventory
from carobspur.membership import ListedInstance
from carobspur.peer_server import PeerServer
from carobspur.peers import Method, decode, encode
from carobspur.session_row import SessionRow, session_key
from carobspur.settings import Settings
from carobspur.shard_rows import ShardRow, shard_key
from carobspur.table import Row, Write
from carobspur_standins.table import MemoryTable

from . import builders

FRAME_BYTES = 40
"""Bytes that are counted for each message beside its content."""
CHANGING_ORGANISATION = "jalbandi"


@dataclass
class Traffic:
    """Messages on all links, and their bytes with frames."""

    messages: int = 0
    sent_bytes: int = 0


class PacedClock(LoopClock):
    """A clock whose sleeps can be made longer, so that hours pass in few steps.

    Attributes:
        pace: Factor of all sleeps.
    """

    pace = 1.0

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time, times the pace."""
        await asyncio.sleep(seconds * self.pace)


class _Link:
    """Connection of one control process to its peers, the table and engines.

    It stands in for the peer client, the table, the list of instances and the HTTP
    client of the process.
    """

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number

    async def call(
        self,
        host: str,
        port: int,
        method: Method,
        request: Any,
        *,
        timeout_s: float = 5.0,
    ) -> Any:
        """Call a peer; request and answer are each lost with the fleet's share.

        Raises:
            PeerUnreachableError: If the peer is dead or the link to it is cut.
            PeerDisconnectedError: If request or answer is lost.
        """
        fleet = self._fleet
        target = fleet.numbers.get(host, 0)
        if target not in fleet.controls or fleet.is_link_cut(self._number, target):
            raise PeerUnreachableError(f"{host} is not reachable")
        content = encode(request)
        fleet.count_message(content)
        if fleet.rng.random() < fleet.loss_share:
            raise PeerDisconnectedError("the request was lost")
        server = fleet.servers[target]
        result = encode(await server.dispatch(method.name, content, lambda part: None))
        fleet.count_message(result)
        if fleet.rng.random() < fleet.loss_share:
            raise PeerDisconnectedError("the answer was lost")
        return decode(method.result, result)

    async def read(self, key: str) -> Row | None:
        """Return a row; fails where the fleet cuts the process off from the table."""
        self._require_table()
        return await self._fleet.table.read(key)

    async def scan(self, prefix: str) -> list[Row]:
        """Return and count the rows with a prefix; fails as :meth:`read` does."""
        self._require_table()
        rows = await self._fleet.table.scan(prefix)
        self._fleet.rows_scanned += len(rows)
        return rows

    async def commit(self, checks: Any, writes: Any) -> int:
        """Commit rows; fails as :meth:`read` does."""
        self._require_table()
        return await self._fleet.table.commit(checks, writes)

    async def instances(self) -> list[ListedInstance]:
        """Return an empty list of instances."""
        return []

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Answer as an engine that reports its load."""
        fleet = self._fleet
        fleet.load_requests += 1
        address = request.url.removesuffix("/v1/load")
        load = EngineLoad(
            running=fleet.rng.randrange(32),
            kv_used_tokens=fleet.rng.randrange(100_000),
            kv_capacity_tokens=100_000,
            leaving=address in fleet.leaving_engines,
        )
        return HttpResponse(200, msgspec.json.encode(load))

    def _require_table(self) -> None:
        if not self._fleet.reaches_table(self._number):
            raise StoreUnavailableError("the table is not reachable")


class Fleet:
    """Control processes with sessions and shards in the table, but no schedulers.

    Args:
        instances: Number of instances; the first has number 1.
        data_centres: Number of data centres, to which instances and engines are
            assigned in turn.
        engines: Number of engines.
        shards: Number of shards.
        seed: Seed of losses and loads.

    Attributes:
        is_link_cut: Returns whether the link from one instance to another is cut.
        reaches_table: Returns whether an instance reaches the table.
        loss_share: Share of messages that are lost.
        traffic: Messages since the start or since a test replaced it.
        rows_scanned: Rows that scans of the table returned.
        load_requests: Requests for engines' load reports.
        leaving_engines: Addresses of engines that report that they are draining.
    """

    def __init__(
        self,
        instances: int,
        *,
        data_centres: int = 3,
        engines: int = 2,
        shards: int = 8,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.table = MemoryTable()
        self.clock = PacedClock()
        self.size = instances
        self.data_centres = data_centres
        self.shards = shards
        self.engines = engines
        self.controls: dict[int, Control] = {}
        self.servers: dict[int, PeerServer] = {}
        self.numbers: dict[str, int] = {}
        self.is_link_cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.reaches_table: Callable[[int], bool] = lambda number: True
        self.loss_share = 0.0
        self.traffic = Traffic()
        self.rows_scanned = 0
        self.load_requests = 0
        self.leaving_engines: set[str] = set()
        self._tasks: dict[int, list[asyncio.Task[None]]] = {}
        self._changes = 0

    def count_message(self, content: bytes) -> None:
        """Count one message on a link."""
        self.traffic.messages += 1
        self.traffic.sent_bytes += len(content) + FRAME_BYTES

    def inventory(self, *, units: int = 1_000_000) -> Inventory:
        """Return an inventory with the fleet's engines."""
        base = builders.an_inventory(units=units)
        engines = [
            Engine(
                f"e{index}",
                _engine_url(index),
                self.data_centre_of(index),
                ["model"],
                kv_tokens=100_000,
            )
            for index in range(self.engines)
        ]
        data_centres = [
            DataCentre(self.data_centre_of(index)) for index in range(self.data_centres)
        ]
        return msgspec.structs.replace(base, engines=engines, data_centres=data_centres)

    def data_centre_of(self, number: int) -> str:
        """Return the data centre of an instance or engine."""
        return f"dc-{number % self.data_centres}"

    async def start(self) -> Fleet:
        """Write sessions, shards and an inventory; start all processes.

        Waits until each has a current view.
        """
        await self.change()
        for number in range(1, self.size + 1):
            await self.write_session(number)
        for shard in range(self.shards):
            holder = f"s{shard % self.size + 1}"
            row = msgspec.json.encode(ShardRow(holder))
            await self.table.commit([], [Write(shard_key(shard), row)])
        for number in range(1, self.size + 1):
            self.start_control(number)
        await self.until(
            lambda: all(control.is_current for control in self.controls.values())
        )
        return self

    async def write_session(self, number: int) -> None:
        """Write the session row that the scheduler of an instance would write."""
        host = self._host(number)
        data_centre = self.data_centre_of(number)
        row = SessionRow(f"s{number}", number, f"i{number}", host, 2, data_centre)
        content = msgspec.json.encode(row)
        await self.table.commit([], [Write(session_key(row.id), content)])

    def start_control(self, number: int) -> Control:
        """Start the control process of an instance, for the first time or again."""
        link: Any = _Link(self, number)
        control = Control(
            settings=self._settings(number),
            clock=self.clock,
            table=link,
            live_list=link,
            client=link,
            peers=link,
        )
        server = PeerServer()
        ControlPeers(control).register(server)
        self.controls[number] = control
        self.servers[number] = server
        self.numbers[self._host(number)] = number
        loops = (control.run(), control.run_gossip(), control.run_load())
        self._tasks[number] = [
            asyncio.ensure_future(self._start_late(number, loop)) for loop in loops
        ]
        return control

    def kill(self, number: int) -> Control:
        """Kill the control process of an instance; its session row stays."""
        for task in self._tasks.pop(number):
            task.cancel()
        self.servers.pop(number)
        return self.controls.pop(number)

    async def change(self, *, units: int = 1_000_000) -> int:
        """Import an inventory into the table; return its revision.

        The first is that of the fleet's organisation, all later ones belong to a
        second organisation without engines.
        """
        self._changes += 1
        result = await self._import(Configuration(self.table), units)
        return result.revision

    async def until(
        self, is_true: Callable[[], bool], *, limit_s: float = 120.0
    ) -> float:
        """Wait until a condition holds; return the seconds that it took.

        Fails the test after ``limit_s``.
        """
        start_s = self.clock.monotonic()
        while not is_true():
            waited_s = self.clock.monotonic() - start_s
            assert waited_s < limit_s, "condition not met within the time limit"
            await asyncio.sleep(0.05)
        return self.clock.monotonic() - start_s

    async def until_in_force(self, revision: int, *, limit_s: float = 120.0) -> float:
        """Wait until all processes have a revision; return the seconds it took."""
        return await self.until(
            lambda: all(
                control.revision >= revision for control in self.controls.values()
            ),
            limit_s=limit_s,
        )

    async def _import(self, configuration: Configuration, units: int) -> ImportResult:
        inventory = self.inventory(units=units)
        if self._changes > 1:
            changing = builders.an_inventory(
                CHANGING_ORGANISATION,
                secret_prefix=CHANGING_ORGANISATION,
                units=units + self._changes,
            )
            inventory = msgspec.structs.replace(changing, engines=[])
        known = await configuration.organisation(inventory.organisation)
        return await configuration.import_inventory(
            inventory,
            expected=0 if known is None else known.revision,
            change=f"c{self._changes}",
            operator="ops",
            now_s=0.0,
        )

    async def _start_late(self, number: int, loop: Any) -> None:
        await asyncio.sleep((number * 0.618034) % 1.0 * 0.5)
        await loop

    def _host(self, number: int) -> str:
        return f"10.1.{number // 250}.{number % 250}"

    def _settings(self, number: int) -> Settings:
        base = builders.some_settings(1, shards=self.shards)
        instance = replace(
            base.instance,
            id=f"i{number}",
            host=self._host(number),
            data_centre=self.data_centre_of(number),
        )
        return replace(base, instance=instance)


def _engine_url(number: int) -> str:
    return f"http://10.9.{number // 250}.{number % 250}:1"
