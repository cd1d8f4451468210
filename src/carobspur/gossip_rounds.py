"""Rounds of gossip: choice of peers, and the exchange of messages with them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from .clock import Clock
from .configuration import INVENTORY_PREFIX
from .endpoint_loads import LoadReports
from .errors import CarobspurError
from .gossip import Gossip
from .heartbeats import CONTACT_AGE_S, Heartbeats
from .in_force import InventoriesInForce
from .peers import GOSSIP, RECONCILE, Method, messages

ROUND_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.0
ROUNDS_PER_REMOTE_PEER = 2
ROUNDS_PER_SILENT_PEER = 10
MAX_TABLE_AGE_S = 3.0
MAX_PUSH_PEERS = 3


class PeerCaller(Protocol):
    """Calls a method of another process; see :class:`.peers.PeerClient`."""

    async def call(
        self,
        host: str,
        port: int,
        method: Method,
        request: Any,
        *,
        timeout_s: float = 5.0,
    ) -> Any:
        """Return the result message, or raise a :class:`CarobspurError`."""


@dataclass(frozen=True, slots=True)
class Location:
    """Instance and data centre of this process, by id and name."""

    instance: str
    data_centre: str


class GossipRounds:
    """Exchanges items, heartbeats and load reports with a few random peers per round.

    Args:
        location: Instance and data centre of this process.
        clock: Source of time.
        peers: Client of other processes.
        gossip: The items that this process has.
        heartbeats: Heartbeats of all instances.
        loads: Load reports of endpoints.
        in_force: Inventories in force here.
        rng: Source of randomness.
        on_items: Called after a message's items were merged.
        on_loads: Called with the addresses of the endpoints that have new reports.
    """

    def __init__(
        self,
        *,
        location: Location,
        clock: Clock,
        peers: PeerCaller,
        gossip: Gossip,
        heartbeats: Heartbeats,
        loads: LoadReports,
        in_force: InventoriesInForce,
        rng: random.Random,
        on_items: Callable[[], None],
        on_loads: Callable[[list[str]], None],
    ) -> None:
        self._location = location
        self._clock = clock
        self._peers = peers
        self._gossip = gossip
        self._heartbeats = heartbeats
        self._loads = loads
        self._in_force = in_force
        self._rng = rng
        self._on_items = on_items
        self._on_loads = on_loads
        self._round_number = 0
        self._push_task: asyncio.Task[None] | None = None
        self._instances: dict[str, Any] = {}
        self._local_peers: list[Any] = []
        self._remote_peers: list[Any] = []
        self._silent_peers: list[Any] = []
        self._table_read_s = float("-inf")
        self._reported_revision = 0

    @property
    def table_age_s(self) -> float:
        """Age of the latest reading of the table, here or reported by a peer."""
        return self._clock.monotonic() - self._table_read_s

    @property
    def is_in_contact(self) -> bool:
        """Whether heartbeats of more than half of the live instances arrive here."""
        since_s = self._clock.monotonic() - CONTACT_AGE_S
        count = len(self._instances.keys() | {self._location.instance})
        return 2 * self._heartbeats.count_received_since(since_s) > count

    @property
    def is_configuration_current(self) -> bool:
        """Whether the inventories here are known to be the latest.

        They are if the table was read within ``MAX_TABLE_AGE_S``, here or by a peer
        that reported it, or if most live instances are in contact with this one and
        none of them can read the table: a change is accepted only by an instance that
        can read the table and is in contact with most others. They are not while a
        peer has reported a higher revision.
        """
        if self._in_force.revision < self._reported_revision:
            return False
        return self.table_age_s < MAX_TABLE_AGE_S or self.is_in_contact

    def record_table_read(self, at_s: float) -> None:
        """Record that the table was read at a loop time."""
        self._table_read_s = max(self._table_read_s, at_s)

    def set_instances(self, instances: Iterable[Any]) -> None:
        """Set the live instances, as ``InstanceInfo`` messages."""
        self._instances = {item.id: item for item in instances}
        self._gossip.instance_count = max(1, len(self._instances))
        self._heartbeats.set_instances(self._instances, self._clock.monotonic())
        self._local_peers.clear()
        self._remote_peers.clear()
        self._silent_peers.clear()
        for item in self._instances.values():
            if item.id == self._location.instance or not item.peer_port:
                continue
            if self._heartbeats.is_silent(item.id):
                self._silent_peers.append(item)
            elif item.data_centre == self._location.data_centre:
                self._local_peers.append(item)
            else:
                self._remote_peers.append(item)

    def choose_peers(self) -> list[Any]:
        """Choose the peers of the next round at random.

        One peer of the own data centre in each round, one of another data centre in
        every second round (in each, if there is none in the own), and a silent one in
        every tenth round or if there is no other.
        """
        local, remote, silent = (
            self._local_peers,
            self._remote_peers,
            self._silent_peers,
        )
        chosen = self._rng.sample(local, min(1, len(local)))
        if not local or self._round_number % ROUNDS_PER_REMOTE_PEER == 0:
            chosen += self._rng.sample(remote, min(1, len(remote)))
        if silent and (not chosen or self._round_number % ROUNDS_PER_SILENT_PEER == 0):
            chosen.append(self._rng.choice(silent))
        return chosen

    async def run_round(self) -> None:
        """Exchange messages with this round's peers; a failed exchange is skipped."""
        self._heartbeats.advance_counter()
        peers = self.choose_peers()
        self._round_number += 1
        for peer in peers:
            try:
                await self._exchange(peer)
            except CarobspurError:
                continue

    def push_changes(self) -> None:
        """Send new changes of inventories at once to ``MAX_PUSH_PEERS`` random peers.

        The regular rounds reach all others.
        """
        if self._push_task is None or self._push_task.done():
            self._push_task = asyncio.ensure_future(self._push_changes())

    async def _push_changes(self) -> None:
        items = self._gossip.items_to_send(prefix=INVENTORY_PREFIX)
        others = self._local_peers + self._remote_peers
        chosen = self._rng.sample(others, min(MAX_PUSH_PEERS, len(others)))
        message = messages.Reconcile(items=items, wanted=b"")
        calls = (self._call(peer, RECONCILE, message) for peer in chosen)
        await asyncio.gather(*calls, return_exceptions=True)

    async def handle_gossip(self, request: Any) -> Any:
        """Handle a peer's ``Gossip`` message; return the one that answers it."""
        self._apply_message(request)
        known = [item.key for item in request.items]
        summaries = self._gossip.summaries(request.digest)
        return self._message(request.data_centre, known=known, summaries=summaries)

    async def handle_reconcile(self, request: Any) -> Any:
        """Merge items that were missing here; return those that the peer wants."""
        self._apply_items(request.items)
        return messages.Reconciled(items=self._gossip.requested_items(request.wanted))

    async def _exchange(self, peer: Any) -> None:
        request = self._message(peer.data_centre)
        answer = await self._call(peer, GOSSIP, request)
        self._apply_message(answer)
        repair = self._gossip.reconcile(answer.summaries)
        if repair is not None:
            result = await self._call(peer, RECONCILE, repair)
            self._apply_items(result.items)

    async def _call(self, peer: Any, method: Method, request: Any) -> Any:
        return await self._peers.call(
            peer.host, peer.peer_port, method, request, timeout_s=PEER_TIMEOUT_S
        )

    def _message(
        self,
        receiver: str,
        *,
        known: Iterable[str] = (),
        summaries: Iterable[Any] = (),
    ) -> Any:
        """Return a ``Gossip`` message.

        Args:
            receiver: Data centre of the receiver, on which its load reports depend.
            known: Keys of items that the receiver has.
            summaries: Summaries of buckets in which the receiver's digest differs.
        """
        now_s = self._clock.monotonic()
        age_s = self.table_age_s
        return messages.Gossip(
            instance=self._location.instance,
            data_centre=self._location.data_centre,
            revision=max(self._in_force.revision, self._reported_revision),
            table_age_s=age_s if age_s < MAX_TABLE_AGE_S else None,
            heartbeats=self._heartbeats.encode(),
            loads=self._loads.encode(receiver, now_s),
            digest=self._gossip.store.digest,
            items=self._gossip.items_to_send(known=known),
            summaries=list(summaries),
        )

    def _apply_message(self, message: Any) -> None:
        now_s = self._clock.monotonic()
        if message.table_age_s is not None:
            self.record_table_read(now_s - message.table_age_s)
        self._reported_revision = max(self._reported_revision, message.revision)
        self._heartbeats.merge(message.heartbeats, now_s)
        self._on_loads(self._loads.merge(message.loads, now_s))
        self._apply_items(message.items)

    def _apply_items(self, items: Iterable[Any]) -> None:
        self._gossip.merge(items)
        self._on_items()
