"""All parts of one control process, wired together."""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Mapping
from typing import Any

from .background import BackgroundJob
from .clock import Clock
from .configuration import HEAD_KEY, Configuration
from .control_view import ControlView
from .endpoint_loads import LoadReports, LoadSample, watched_endpoints
from .errors import CarobspurError, StoreError
from .gossip import Gossip
from .gossip_rounds import ROUND_S, GossipRounds, PeerCaller, Place
from .heartbeats import Heartbeats
from .http import HttpClient
from .in_force import NOT_READ, InventoriesInForce, prune_changes
from .inventory import Inventory
from .load_asker import LoadPoller
from .membership import (
    LiveList,
    LiveListReader,
    own_row,
    usable_instances,
    write_instance,
)
from .settings import Settings
from .sweep import SWEEP_PERIOD_S, CacheSweep
from .table import Table
from .table_reader import TableReader, reader_order

_logger = logging.getLogger(__name__)


class Control:
    """All that one control process knows.

    Args:
        settings: The instance's settings.
        clock: Source of time.
        table: The table service.
        live_list: The platform's list of instances.
        client: HTTP client towards endpoints.
        peers: Calls other control processes.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        table: Table,
        live_list: LiveList,
        client: HttpClient,
        peers: PeerCaller,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self._listed = LiveListReader(live_list, clock)
        self._configuration = Configuration(table)
        self._in_force = InventoriesInForce()
        self._published: dict[str, int] = {}
        self._published_revision = NOT_READ
        self._view = ControlView(secrets.token_hex(8), shards=settings.scheduler.shards)
        self._loads = LoadReports()
        self._heartbeats = Heartbeats(settings.instance.id)
        self._gossip = Gossip(random.Random(settings.instance.id))
        self._rounds = GossipRounds(
            place=Place(settings.instance.id, settings.instance.data_centre),
            clock=clock,
            peers=peers,
            gossip=self._gossip,
            heartbeats=self._heartbeats,
            loads=self._loads,
            in_force=self._in_force,
            rng=random.Random(settings.instance.id),
            on_items=self._take_items,
            on_loads=self._publish_loads,
        )
        self._asker = LoadPoller(
            settings.instance.id,
            client=client,
            clock=clock,
            reports=self._loads,
            on_loads=self._publish_loads,
        )
        self._sweep = CacheSweep(client, peers, shards=settings.scheduler.shards)
        self._reader = TableReader(
            table=table,
            configuration=self._configuration,
            gossip=self._gossip,
            in_force=self._in_force,
            clock=clock,
        )

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
    def shards(self) -> int:
        """Number of shards of the system."""
        return self._settings.scheduler.shards

    @property
    def revision(self) -> int:
        """Inventory revision in force here; -1 before the first read."""
        return self._in_force.revision

    @property
    def inventories(self) -> dict[str, Inventory]:
        """Inventories in force, by organisation."""
        return self._in_force.inventories

    @property
    def revisions(self) -> dict[str, int]:
        """Revision of each organisation's inventory in force."""
        return self._in_force.revisions

    @property
    def sessions(self) -> list[Any]:
        """Schedulers that have sessions, as ``SessionInfo`` messages."""
        return list(self._view.sessions.values.values())

    @property
    def instances(self) -> list[Any]:
        """Instances that callers may use, as ``InstanceInfo`` messages."""
        return list(self._view.instances.values.values())

    @property
    def loads(self) -> Mapping[str, LoadSample]:
        """The youngest report of each endpoint."""
        return self._loads.samples

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def rounds(self) -> GossipRounds:
        """Exchange with the other control processes."""
        return self._rounds

    @property
    def shard_owners(self) -> Mapping[int, str]:
        """Session that holds each shard."""
        return self._view.shard_owners.values

    @property
    def is_current(self) -> bool:
        """Whether this process knows which inventories are in force."""
        is_read = self._in_force.revision != NOT_READ
        return is_read and self._rounds.knows_what_is_in_force

    async def announce(self, *, leaving: bool) -> None:
        """Write this instance's row."""
        row = own_row(self._settings, leaving=leaving)
        await write_instance(self._table, row)

    def loops(self) -> list[BackgroundJob]:
        """Return everything that runs until it is cancelled."""
        return [self.run, self.run_gossip, self.run_load, self.run_sweep]

    async def run(self) -> None:
        """Follow the table, where it is this process's turn, until cancelled."""
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self.announce(leaving=False)
                    is_announced = True
                await self.follow()
            except StoreError as error:
                _logger.warning("the platform can't be read: %s", error.message)
            except CarobspurError:
                _logger.exception("polling failed")
            self.refresh()
            await self._clock.sleep(self._settings.control.poll_s)

    async def run_gossip(self) -> None:
        """Exchange with other control processes until the task is cancelled."""
        while True:
            await self._rounds.run_round()
            await self._clock.sleep(ROUND_S)

    async def run_load(self) -> None:
        """Ask endpoints for their load until the task is cancelled."""
        while True:
            await self.ask_loads()
            poll_s = self._settings.control.poll_s
            await self._clock.sleep(self._loads.ask_period_s(poll_s))

    async def run_sweep(self) -> None:
        """Sweep the caches of engines until the task is cancelled."""
        while True:
            await self._clock.sleep(SWEEP_PERIOD_S)
            await self._sweep.sweep(
                self._loads.first_asked,
                self._view.sessions.values,
                self._view.shard_owners.values,
            )

    async def follow(self) -> None:
        """Read the table if it is this process's turn, or what gossip left out."""
        await self._listed.poll(len(self._view.sessions.values))
        if self._reader.is_due(self._reader_place(), self._rounds.table_age_s):
            await self.poll()
        else:
            self._publish_inventories(await self._reader.read_missing_changes())

    async def poll(self) -> None:
        """Read the table now."""
        places = {item.data_centre for item in self._view.sessions.values.values()}
        changed = await self._reader.read(readers=max(1, len(places)))
        self._rounds.note_reading(self._reader.last_read_s)
        self._publish_inventories(changed)
        self._take_items()
        self.refresh()

    def refresh(self) -> None:
        """Work out anew which instances are live and which callers may use."""
        with_session = {item.instance for item in self.sessions}
        staying = {item.instance for item in self.sessions if not item.leaving}
        known = self._view.all_instances.values()
        self._rounds.set_instances(x for x in known if x.id in with_session)
        is_alone = not self._rounds.is_in_contact
        usable = usable_instances(
            known,
            self._listed.instances,
            staying,
            lambda name: not is_alone and self._heartbeats.is_silent(name),
        )
        self._view.instances.replace({item.id: item for item in usable})

    async def ask_loads(self) -> None:
        """Ask the endpoints that are this process's to ask."""
        instances = {x.instance: x.data_centre for x in self._heard_sessions()}
        own = self._settings.instance
        instances.setdefault(own.id, own.data_centre)
        period_s = self._loads.ask_period_s(self._settings.control.poll_s)
        await self._asker.poll(instances, period_s=period_s)

    def view(self, request: Any) -> Any:
        """Return what changed in the view, as a message.

        Args:
            request: The ``GetView`` message.
        """
        self._publish_unpublished()
        return self._view.message(
            request,
            revision=self._in_force.revision,
            is_current=self.is_current,
            now_s=self._clock.monotonic(),
        )

    def _take_items(self) -> None:
        items = self._gossip.arrived()
        if not items:
            return
        prune_changes(self._gossip.store, items)
        if any(item.key == HEAD_KEY for item in items):
            self._rounds.push_changes()
        self._publish_inventories(self._in_force.advance(self._gossip.store))
        self._view.take(items)

    def _publish_unpublished(self) -> None:
        """Publish what was put in force while the table is still being read.

        A view never names a revision without its inventories.
        """
        if self._published_revision == self._in_force.revision:
            return
        revisions = self._in_force.revisions
        changed = [x for x, at in revisions.items() if self._published.get(x) != at]
        self._publish_inventories(changed)
        self._published_revision = self._in_force.revision

    def _publish_inventories(self, organisations: list[str]) -> None:
        if not organisations:
            return
        for name in organisations:
            self._published[name] = self._in_force.revisions[name]
            self._view.inventories.set(name, self._in_force.inventories[name])
        self._loads.watch(watched_endpoints(self._in_force.inventories.values()))

    def _publish_loads(self, addresses: list[str]) -> None:
        for address in addresses:
            self._view.loads.set(address, self._loads.samples[address])

    def _heard_sessions(self) -> list[Any]:
        is_silent = self._heartbeats.is_silent
        return [x for x in self.sessions if not is_silent(x.instance)]

    def _reader_place(self) -> int:
        """Return this process's place in its data centre's order of readers."""
        own = self._settings.instance
        heard = self._heard_sessions()
        names = {x.instance for x in heard if x.data_centre == own.data_centre}
        return reader_order(own.data_centre, names | {own.id}).index(own.id)
