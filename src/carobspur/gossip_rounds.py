"""Rounds of gossip: whom a control process talks to, and what both sides tell."""

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

ROUND_S = 0.5
PEER_TIMEOUT_S = 1.0
FAR_ROUNDS = 2
DEAD_PEER_ROUNDS = 10
KNOWLEDGE_AGE_S = 3.0
PUSHES = 3


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
        """Return the result or raise a :class:`CarobspurError`."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where this process runs."""

    instance: str
    data_centre: str


class GossipRounds:
    """Exchanges items, heartbeats and load reports with a few random peers a round.

    Args:
        place: Where this process runs.
        clock: Source of time.
        peers: Calls other processes.
        gossip: Items.
        heartbeats: Heartbeats.
        loads: Load reports.
        in_force: Inventories in force here.
        rng: Source of randomness.
        on_items: Called after items were taken.
        on_loads: Called with the endpoints that have new reports.
    """

    def __init__(
        self,
        *,
        place: Place,
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
        self._place = place
        self._clock = clock
        self._peers = peers
        self._gossip = gossip
        self._heartbeats = heartbeats
        self._loads = loads
        self._in_force = in_force
        self._rng = rng
        self._on_items = on_items
        self._on_loads = on_loads
        self._round = 0
        self._pushing: asyncio.Task[None] | None = None
        self._instances: dict[str, Any] = {}
        self._near: list[Any] = []
        self._far: list[Any] = []
        self._silent: list[Any] = []
        self._table_s = float("-inf")
        self._shown_revision = 0

    @property
    def table_age_s(self) -> float:
        """Age of the freshest reading of the table that was heard of or made."""
        return self._clock.monotonic() - self._table_s

    @property
    def is_in_contact(self) -> bool:
        """Whether the heartbeats of most live instances arrive here."""
        since_s = self._clock.monotonic() - CONTACT_AGE_S
        count = len(self._instances.keys() | {self._place.instance})
        return 2 * self._heartbeats.heard_since(since_s) > count

    @property
    def knows_what_is_in_force(self) -> bool:
        """Whether an accepted change would have been heard of.

        Either a reading of the table was heard of just now, or most live instances
        are in contact and none of them sees the table: a change is accepted only by
        an instance that sees the table and is in contact with most others.
        """
        if self._in_force.revision < self._shown_revision:
            return False
        return self.table_age_s < KNOWLEDGE_AGE_S or self.is_in_contact

    def note_reading(self, at_s: float) -> None:
        """Note that the table was read here."""
        self._table_s = max(self._table_s, at_s)

    def set_instances(self, instances: Iterable[Any]) -> None:
        """Set the live instances, as ``InstanceInfo`` messages."""
        self._instances = {item.id: item for item in instances}
        self._gossip.peers = max(1, len(self._instances))
        self._heartbeats.watch(self._instances, self._clock.monotonic())
        self._near.clear()
        self._far.clear()
        self._silent.clear()
        for item in self._instances.values():
            if item.id == self._place.instance or not item.peer_port:
                continue
            if self._heartbeats.is_silent(item.id):
                self._silent.append(item)
            elif item.data_centre == self._place.data_centre:
                self._near.append(item)
            else:
                self._far.append(item)

    def choose_peers(self) -> list[Any]:
        """Return whom to talk to in the next round.

        One peer of the own data centre every round, one of another every second
        round, and now and then one that has fallen silent.
        """
        near, far, silent = self._near, self._far, self._silent
        chosen = self._rng.sample(near, min(1, len(near)))
        if not near or self._round % FAR_ROUNDS == 0:
            chosen += self._rng.sample(far, min(1, len(far)))
        if silent and (not chosen or self._round % DEAD_PEER_ROUNDS == 0):
            chosen.append(self._rng.choice(silent))
        return chosen

    async def run_round(self) -> None:
        """Talk to a few peers."""
        self._heartbeats.beat()
        peers = self.choose_peers()
        self._round += 1
        for peer in peers:
            try:
                await self._exchange(peer)
            except CarobspurError:
                continue

    def push_changes(self) -> None:
        """Send the latest changes of inventories on at once, to a few peers.

        Rounds reach whom this leaves out.
        """
        if self._pushing is None or self._pushing.done():
            self._pushing = asyncio.ensure_future(self._push_changes())

    async def _push_changes(self) -> None:
        items = self._gossip.fresh(prefix=INVENTORY_PREFIX)
        others = self._near + self._far
        chosen = self._rng.sample(others, min(PUSHES, len(others)))
        message = messages.Reconcile(items=items, wanted=b"")
        sending = (self._call(peer, RECONCILE, message) for peer in chosen)
        await asyncio.gather(*sending, return_exceptions=True)

    async def answer(self, request: Any) -> Any:
        """Take a peer's round and answer it."""
        self._take(request)
        known = [item.key for item in request.items]
        summaries = self._gossip.summaries(request.digest)
        return self._message(request.data_centre, known=known, summaries=summaries)

    async def answer_reconcile(self, request: Any) -> Any:
        """Take the items that a peer found lacking here and send what it wants."""
        self._take_items(request.items)
        return messages.Reconciled(items=self._gossip.wanted(request.wanted))

    async def _exchange(self, peer: Any) -> None:
        request = self._message(peer.data_centre)
        answer = await self._call(peer, GOSSIP, request)
        self._take(answer)
        mending = self._gossip.reconcile(answer.summaries)
        if mending is not None:
            result = await self._call(peer, RECONCILE, mending)
            self._take_items(result.items)

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
        now_s = self._clock.monotonic()
        age_s = self.table_age_s
        return messages.Gossip(
            instance=self._place.instance,
            data_centre=self._place.data_centre,
            revision=max(self._in_force.revision, self._shown_revision),
            table_age_s=age_s if age_s < KNOWLEDGE_AGE_S else None,
            heartbeats=self._heartbeats.encode(),
            loads=self._loads.encode(receiver, now_s),
            digest=self._gossip.store.digest,
            items=self._gossip.fresh(known=known),
            summaries=list(summaries),
        )

    def _take(self, message: Any) -> None:
        now_s = self._clock.monotonic()
        if message.table_age_s is not None:
            self.note_reading(now_s - message.table_age_s)
        self._shown_revision = max(self._shown_revision, message.revision)
        self._heartbeats.take(message.heartbeats, now_s)
        self._on_loads(self._loads.merge(message.loads, now_s))
        self._take_items(message.items)

    def _take_items(self, items: Iterable[Any]) -> None:
        self._gossip.take(items)
        self._on_items()
