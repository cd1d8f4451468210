"""The control daemon: configuration, membership, endpoint load, operators."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import msgspec
import tornado.web

from .burn_recorder import BurnRecorder
from .clock import Clock, LoopClock
from .configuration import Configuration
from .daemon import background, daemon_main, http_server
from .errors import CarobspurError, StoreConflictError, StoreError
from .health import health_routes
from .http import CurlClient, HttpClient, HttpRequest
from .inventory import Inventory
from .membership import (
    INSTANCE_PREFIX,
    HttpLiveList,
    InstanceRow,
    ListedInstance,
    LiveList,
    instance_key,
    usable_instances,
)
from .operator_actions import operator_routes
from .peers import GET_VIEW, Emit, PeerServer, messages, peer_client
from .problem import NoSuchPathHandler
from .session_row import SESSION_PREFIX, SessionRow, decode_session
from .settings import Settings
from .shard_rows import SHARD_PREFIX, ShardRow, shard_number
from .table import ABSENT_VERSION, Check, HttpTable, Row, Table, Write
from .tls import peer_client_context, peer_server_context, public_server_context

MAX_POLL_AGE_S = 10.0
LOAD_TIMEOUT_S = 1.0
NOT_READ = -1

_logger = logging.getLogger(__name__)


class EngineLoad(msgspec.Struct, frozen=True):
    """What an endpoint answers when it is asked for its load."""

    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    leaving: bool = False


class Control:
    """All that one control process knows.

    Args:
        settings: The instance's settings.
        clock: Source of time.
        table: The table service.
        live_list: The platform's list of instances.
        client: HTTP client towards endpoints.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        table: Table,
        live_list: LiveList,
        client: HttpClient,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self._live_list = live_list
        self._client = client
        self._configuration = Configuration(table)
        self._inventories: dict[str, Inventory] = {}
        self._revisions: dict[str, int] = {}
        self._revision = NOT_READ
        self._sessions: list[SessionRow] = []
        self._shards: list[Row] = []
        self._instances: list[InstanceRow] = []
        self._listed: list[ListedInstance] = []
        self._loads: dict[str, tuple[float, EngineLoad | None]] = {}
        self._polled_s = float("-inf")
        self._leaving = False

    @property
    def instance_id(self) -> str:
        """Id of this process's instance."""
        return self._settings.instance.id

    @property
    def configuration(self) -> Configuration:
        """Reads and changes inventories."""
        return self._configuration

    @property
    def table(self) -> Table:
        """The table service."""
        return self._table

    @property
    def revision(self) -> int:
        """Inventory revision in force here; -1 before the first read."""
        return self._revision

    @property
    def inventories(self) -> dict[str, Inventory]:
        """Inventories in force, by organisation."""
        return self._inventories

    @property
    def revisions(self) -> dict[str, int]:
        """Revision of each organisation's inventory in force."""
        return self._revisions

    @property
    def sessions(self) -> list[SessionRow]:
        """Schedulers that have sessions."""
        return self._sessions

    @property
    def instances(self) -> list[InstanceRow]:
        """Instances that callers may use."""
        return self._instances

    @property
    def loads(self) -> dict[str, tuple[float, EngineLoad | None]]:
        """Time and content of each endpoint's last report."""
        return self._loads

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def shard_owners(self) -> dict[int, str]:
        """Session that holds each shard."""
        return {
            shard_number(row.key): msgspec.json.decode(row.value, type=ShardRow).session
            for row in self._shards
        }

    @property
    def is_current(self) -> bool:
        """Whether the table was read recently enough to know what is in force."""
        age_s = self._clock.monotonic() - self._polled_s
        return self._revision != NOT_READ and age_s < MAX_POLL_AGE_S

    async def announce(self, *, leaving: bool) -> None:
        """Write this instance's row."""
        options = self._settings
        self._leaving = leaving
        row = InstanceRow(
            id=options.instance.id,
            host=options.instance.host,
            entry_port=options.entry.port,
            scheduler_port=options.scheduler.port,
            control_port=options.control.port,
            data_centre=options.instance.data_centre,
            leaving=leaving,
        )
        key = instance_key(row.id)
        while True:
            stored = await self._table.read(key)
            version = ABSENT_VERSION if stored is None else stored.version
            write = Write(key, msgspec.json.encode(row))
            try:
                await self._table.commit([Check(key, version)], [write])
                return
            except StoreConflictError:
                continue

    async def run(self) -> None:
        """Poll the table and the live list until the task is cancelled."""
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self.announce(leaving=False)
                    is_announced = True
                await self.poll()
            except StoreError as error:
                _logger.warning("the platform can't be read: %s", error.message)
            except CarobspurError:
                _logger.exception("polling failed")
            await self._clock.sleep(self._settings.control.poll_s)

    async def poll(self) -> None:
        """Read everything once."""
        started_s = self._clock.monotonic()
        await self._poll_configuration()
        sessions = await self._table.scan(SESSION_PREFIX)
        self._sessions = [decode_session(row) for row in sessions]
        self._shards = await self._table.scan(SHARD_PREFIX)
        rows = await self._table.scan(INSTANCE_PREFIX)
        await self._poll_live_list()
        live = {item.instance for item in self._sessions if not item.leaving}
        self._instances = usable_instances(rows, self._listed, live)
        self._polled_s = started_s

    async def run_load(self) -> None:
        """Ask endpoints for their load until the task is cancelled."""
        while True:
            addresses = sorted(self._engine_addresses())
            await asyncio.gather(*(self._poll_load(item) for item in addresses))
            await self._clock.sleep(self._settings.control.poll_s)

    def view(self, known_revision: int) -> Any:
        """Return the view as a message.

        Args:
            known_revision: Revision whose inventories the asker has.
        """
        inventories = None
        if known_revision != self._revision:
            inventories = msgspec.json.encode(list(self._inventories.values()))
        owners = self.shard_owners
        return messages.View(
            revision=self._revision,
            sessions=[_session_message(item) for item in self._sessions],
            shard_owners=[owners.get(n, "") for n in range(self._shard_count())],
            instances=[_instance_message(item) for item in self._instances],
            loads=self._load_messages(),
            inventories=inventories,
            is_current=self.is_current,
        )

    def _shard_count(self) -> int:
        return self._settings.scheduler.shards

    async def _poll_configuration(self) -> None:
        head = await self._configuration.head()
        if head == self._revision:
            return
        if head < self._revision:
            _logger.error("the table went back to revision %d; ignored", head)
            return
        if self._revision == NOT_READ:
            rows = await self._configuration.organisations()
        else:
            names = await self._configuration.changed_since(self._revision, head)
            rows = [await self._configuration.organisation(name) for name in names]
        for row in rows:
            name = row.inventory.organisation
            self._inventories[name] = row.inventory
            self._revisions[name] = row.revision
        self._revision = head
        _logger.info("inventory revision %d is in force", self._revision)

    async def _poll_live_list(self) -> None:
        try:
            self._listed = await self._live_list.instances()
        except StoreError as error:
            _logger.info("the live list can't be read: %s", error.message)

    def _engine_addresses(self) -> set[str]:
        return {
            engine.address
            for inventory in self._inventories.values()
            for engine in inventory.engines
        }

    async def _poll_load(self, address: str) -> None:
        request = HttpRequest("GET", f"{address}/v1/load", timeout_s=LOAD_TIMEOUT_S)
        load = None
        try:
            response = await self._client.fetch(request)
            if response.status == 200:
                load = msgspec.json.decode(response.body, type=EngineLoad)
        except (CarobspurError, msgspec.MsgspecError) as error:
            _logger.info("%s reports no load: %s", address, error)
        self._loads[address] = (self._clock.monotonic(), load)

    def _load_messages(self) -> list[Any]:
        now_s = self._clock.monotonic()
        found = []
        for address, (at_s, load) in self._loads.items():
            known = load or EngineLoad()
            found.append(
                messages.EndpointLoad(
                    address=address,
                    reachable=load is not None,
                    running=known.running,
                    waiting=known.waiting,
                    kv_used_tokens=known.kv_used_tokens,
                    kv_capacity_tokens=known.kv_capacity_tokens,
                    age_s=now_s - at_s,
                    leaving=known.leaving,
                )
            )
        return found


def _session_message(item: SessionRow) -> Any:
    return messages.SessionInfo(
        id=item.id,
        epoch=item.epoch,
        instance=item.instance,
        host=item.host,
        port=item.port,
        data_centre=item.data_centre,
        leaving=item.leaving,
    )


def _instance_message(item: InstanceRow) -> Any:
    return messages.InstanceInfo(
        id=item.id,
        host=item.host,
        entry_port=item.entry_port,
        scheduler_port=item.scheduler_port,
        control_port=item.control_port,
        data_centre=item.data_centre,
        leaving=item.leaving,
    )


async def serve(settings: Settings, stopping: asyncio.Event) -> None:
    """Run control until it is told to stop."""
    clock = LoopClock()
    client = CurlClient()
    platform = settings.platform
    control = Control(
        settings=settings,
        clock=clock,
        table=HttpTable(client, platform.table_url, timeout_s=platform.table_timeout_s),
        live_list=HttpLiveList(client, platform.live_list_url),
        client=client,
    )
    server = PeerServer(ssl_options=peer_server_context(settings.tls))

    async def _get_view(request: Any, emit: Emit) -> Any:
        return control.view(request.known_revision)

    server.handle(GET_VIEW, _get_view)
    host = settings.instance.host
    server.listen(settings.control.peer_port, host)
    recorder = BurnRecorder(
        table=control.table,
        client=client,
        clock=clock,
        instance=settings.instance.id,
        metrics_url=f"http://{host}:{settings.scheduler.metrics_port}",
    )
    async with peer_client(ssl_options=peer_client_context(settings.tls)) as peers:
        routes = operator_routes(
            control, peers, platform_key_sha256=settings.control.platform_key_sha256
        )
        app = tornado.web.Application(
            [*health_routes(lambda: control.is_current), *routes],
            default_handler_class=NoSuchPathHandler,
        )
        async with (
            background(control.run(), control.run_load(), recorder.run()),
            http_server(
                app,
                host,
                settings.control.port,
                ssl_options=public_server_context(settings.tls),
            ),
        ):
            await stopping.wait()
            await _announce_leaving(control)
    server.stop()
    server.close_connections()
    client.close()


async def _announce_leaving(control: Control) -> None:
    try:
        await control.announce(leaving=True)
    except StoreError as error:
        _logger.warning("leaving could not be announced: %s", error.message)


def main() -> None:
    """Entry point of ``carobspur-control``."""
    daemon_main("control", serve)
