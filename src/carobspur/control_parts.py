"""State of one control process, and the loops that keep it up to date."""

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
from .endpoint_loads import LoadReports, LoadSample, polled_endpoints
from .errors import CarobspurError, StoreError
from .gossip import Gossip
from .gossip_rounds import ROUND_INTERVAL_S, GossipRounds, Location, PeerCaller
from .heartbeats import Heartbeats
from .http import HttpClient
from .in_force import NO_REVISION, InventoriesInForce, prune_changes
from .inventory import Inventory
from .load_poller import LoadPoller
from .membership import (
    LiveList,
    LiveListReader,
    own_instance_row,
    usable_instances,
    write_instance,
)
from .settings import Settings
from .sweep import SWEEP_PERIOD_S, CacheSweeper
from .table import Table
from .table_reader import TableReader, reader_order

_logger = logging.getLogger(__name__)


class Control:
    """State of one control process: inventories, membership, shards, endpoint load.

    Args:
        settings: The instance's settings.
        clock: Source of time.
        table: Client of the table service.
        live_list: The platform's list of instances.
        client: HTTP client for endpoints.
        peers: Client of other processes.
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
        self._live_list = LiveListReader(live_list, clock)
        self._configuration = Configuration(table)
        self._in_force = InventoriesInForce()
        self._published_revisions: dict[str, int] = {}
        self._published_revision = NO_REVISION
        self._view = ControlView(secrets.token_hex(8), shards=settings.scheduler.shards)
        self._loads = LoadReports()
        self._heartbeats = Heartbeats(settings.instance.id)
        self._gossip = Gossip(random.Random(settings.instance.id))
        self._rounds = GossipRounds(
            location=Location(settings.instance.id, settings.instance.data_centre),
            clock=clock,
            peers=peers,
            gossip=self._gossip,
            heartbeats=self._heartbeats,
            loads=self._loads,
            in_force=self._in_force,
            rng=random.Random(settings.instance.id),
            on_items=self._apply_items,
            on_loads=self._publish_loads,
        )
        self._load_poller = LoadPoller(
            settings.instance.id,
            client=client,
            clock=clock,
            reports=self._loads,
            on_loads=self._publish_loads,
        )
        self._sweep = CacheSweeper(client, peers, shards=settings.scheduler.shards)
        self._reader = TableReader(
            table=table,
            configuration=self._configuration,
            gossip=self._gossip,
            in_force=self._in_force,
            clock=clock,
        )

    @property
    def instance_id(self) -> str:
        """Id of the instance that this process belongs to."""
        return self._settings.instance.id

    @property
    def configuration(self) -> Configuration:
        """Reads and changes inventories."""
        return self._configuration

    @property
    def table(self) -> Table:
        """Client of the table service."""
        return self._table

    @property
    def shards(self) -> int:
        """Number of shards of the whole system."""
        return self._settings.scheduler.shards

    @property
    def revision(self) -> int:
        """Revision of the inventories in force here; -1 before the first read."""
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
        """Sessions of schedulers, as ``SessionInfo`` messages."""
        return list(self._view.sessions.values.values())

    @property
    def instances(self) -> list[Any]:
        """Instances to which callers may be directed, as ``InstanceInfo`` messages."""
        return list(self._view.instances.values.values())

    @property
    def loads(self) -> Mapping[str, LoadSample]:
        """Latest load report of each endpoint, by address."""
        return self._loads.samples

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def rounds(self) -> GossipRounds:
        """Gossip with the other control processes."""
        return self._rounds

    @property
    def shard_owners(self) -> Mapping[int, str]:
        """Id of the session that holds each shard; empty for none."""
        return self._view.shard_owners.values

    @property
    def is_current(self) -> bool:
        """Whether the inventories here are known to be the latest."""
        is_read = self._in_force.revision != NO_REVISION
        return is_read and self._rounds.is_configuration_current

    async def announce(self, *, leaving: bool) -> None:
        """Write this instance's row to the table.

        Args:
            leaving: Whether the instance is about to end.
        """
        row = own_instance_row(self._settings, leaving=leaving)
        await write_instance(self._table, row)

    def loops(self) -> list[BackgroundJob]:
        """Return the background loops, each of which runs until it is cancelled."""
        return [self.run, self.run_gossip, self.run_load, self.run_sweep]

    async def run(self) -> None:
        """Announce this instance, then follow the table until cancelled."""
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self.announce(leaving=False)
                    is_announced = True
                await self.follow_table()
            except StoreError as error:
                _logger.warning(
                    "the table service can't be read or written: %s", error.message
                )
            except CarobspurError:
                _logger.exception("unexpected error while following the table")
            self.update_usable_instances()
            await self._clock.sleep(self._settings.control.poll_s)

    async def run_gossip(self) -> None:
        """Run rounds of gossip until the task is cancelled."""
        while True:
            await self._rounds.run_round()
            await self._clock.sleep(ROUND_INTERVAL_S)

    async def run_load(self) -> None:
        """Poll endpoints for their load until the task is cancelled."""
        while True:
            await self.poll_loads()
            poll_s = self._settings.control.poll_s
            await self._clock.sleep(self._loads.poll_period_s(poll_s))

    async def run_sweep(self) -> None:
        """Sweep cached histories of ended programs until the task is cancelled."""
        while True:
            await self._clock.sleep(SWEEP_PERIOD_S)
            await self._sweep.sweep(
                self._loads.primary_endpoints,
                self._view.sessions.values,
                self._view.shard_owners.values,
            )

    async def follow_table(self) -> None:
        """Read the table if a read is due, else only changes missing from gossip."""
        await self._live_list.poll(len(self._view.sessions.values))
        if self._reader.is_due(self._reader_rank(), self._rounds.table_age_s):
            await self.read_table()
        else:
            self._publish_inventories(await self._reader.read_missing_changes())

    async def read_table(self) -> None:
        """Read the table now and publish what changed.

        All readers share a limit on rows read per second; each data centre that has
        sessions counts as one reader.
        """
        data_centres = {
            item.data_centre for item in self._view.sessions.values.values()
        }
        changed = await self._reader.read(readers=max(1, len(data_centres)))
        self._rounds.record_table_read(self._reader.last_read_s)
        self._publish_inventories(changed)
        self._apply_items()
        self.update_usable_instances()

    def update_usable_instances(self) -> None:
        """Determine which instances are live, and to which callers may be directed.

        Silent instances count as usable while this process is out of contact with
        most others: then it can't tell whether they failed or it did.
        """
        with_session = {item.instance for item in self.sessions}
        not_leaving = {item.instance for item in self.sessions if not item.leaving}
        known = self._view.all_instances.values()
        self._rounds.set_instances(
            instance for instance in known if instance.id in with_session
        )
        is_out_of_contact = not self._rounds.is_in_contact
        usable = usable_instances(
            known,
            self._live_list.instances,
            not_leaving,
            lambda name: not is_out_of_contact and self._heartbeats.is_silent(name),
        )
        self._view.instances.replace({item.id: item for item in usable})

    async def poll_loads(self) -> None:
        """Poll the endpoints that are assigned to this instance."""
        instances = {
            session.instance: session.data_centre
            for session in self._responding_sessions()
        }
        own = self._settings.instance
        instances.setdefault(own.id, own.data_centre)
        period_s = self._loads.poll_period_s(self._settings.control.poll_s)
        await self._load_poller.poll(instances, period_s=period_s)

    def view(self, request: Any) -> Any:
        """Return what changed in the view, as a ``View`` message.

        Args:
            request: The ``GetView`` message with the latest change number that the peer
                has.
        """
        self._publish_pending()
        return self._view.message(
            request,
            revision=self._in_force.revision,
            is_current=self.is_current,
            now_s=self._clock.monotonic(),
        )

    def _apply_items(self) -> None:
        items = self._gossip.take_new_items()
        if not items:
            return
        prune_changes(self._gossip.store, items)
        if any(item.key == HEAD_KEY for item in items):
            self._rounds.push_changes()
        self._publish_inventories(self._in_force.apply_gossiped(self._gossip.store))
        self._view.apply_items(items)

    def _publish_pending(self) -> None:
        """Publish inventories that a table read in progress has put in force.

        A view must never have a revision without the inventories of that revision.
        """
        if self._published_revision == self._in_force.revision:
            return
        revisions = self._in_force.revisions
        changed = [
            name
            for name, revision in revisions.items()
            if self._published_revisions.get(name) != revision
        ]
        self._publish_inventories(changed)
        self._published_revision = self._in_force.revision

    def _publish_inventories(self, organisations: list[str]) -> None:
        if not organisations:
            return
        for name in organisations:
            self._published_revisions[name] = self._in_force.revisions[name]
            self._view.inventories.set(name, self._in_force.inventories[name])
        self._loads.set_endpoints(polled_endpoints(self._in_force.inventories.values()))

    def _publish_loads(self, addresses: list[str]) -> None:
        for address in addresses:
            self._view.loads.set(address, self._loads.samples[address])

    def _responding_sessions(self) -> list[Any]:
        is_silent = self._heartbeats.is_silent
        return [session for session in self.sessions if not is_silent(session.instance)]

    def _reader_rank(self) -> int:
        """Return this instance's rank among its data centre's readers of the table."""
        own = self._settings.instance
        responding = self._responding_sessions()
        names = {
            session.instance
            for session in responding
            if session.data_centre == own.data_centre
        }
        return reader_order(own.data_centre, names | {own.id}).index(own.id)
