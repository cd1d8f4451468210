"""Copy of the control process's view in the other processes of its instance."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from .clock import Clock
from .errors import CarobspurError, NotFoundError, NotReadyError, UnauthenticatedError
from .inventory import Inventory, Key
from .keys import KeyIndex
from .lease_watch import successors
from .metrics import REVISION
from .peer_client import PeerClient
from .peers import GET_VIEW, messages
from .placement import shard_of

VIEW_PERIOD_S = 0.25
MAX_VIEW_AGE_S = 5.0
NO_REVISION = -1

_logger = logging.getLogger(__name__)
_decoder = msgspec.json.Decoder(list[Inventory])


class ViewClient:
    """Fetches changes of the local control process's view and keeps a copy.

    Args:
        peers: Client of the system's other processes.
        clock: Source of time.
        host: IP address of the control process.
        port: Its port for peers.
        with_loads: Whether to fetch load reports of endpoints too.
        on_change: Called after every update.
    """

    __slots__ = (
        "_known_change",
        "_clock",
        "_host",
        "_incarnation",
        "_instances",
        "_inventories",
        "_inventory_updates",
        "_is_current",
        "_keys",
        "_loads",
        "_shard_owners",
        "_peers",
        "_port",
        "_received_s",
        "_revision",
        "_sessions",
        "_with_loads",
        "on_change",
    )

    def __init__(
        self,
        peers: PeerClient,
        *,
        clock: Clock,
        host: str,
        port: int,
        with_loads: bool = True,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._host = host
        self._port = port
        self._with_loads = with_loads
        self.on_change = on_change
        self._known_change = 0
        self._incarnation = ""
        self._is_current = False
        self._revision = NO_REVISION
        self._received_s = float("-inf")
        self._sessions: dict[str, Any] = {}
        self._instances: dict[str, Any] = {}
        self._shard_owners: list[str] = []
        self._loads: list[Any] = []
        self._inventories: dict[str, Inventory] = {}
        self._keys = KeyIndex()
        self._inventory_updates = 0

    def __repr__(self) -> str:
        return f"ViewClient(revision={self._revision})"

    @property
    def is_fresh(self) -> bool:
        """Whether control has answered within ``MAX_VIEW_AGE_S``."""
        return self._clock.monotonic() - self._received_s < MAX_VIEW_AGE_S

    @property
    def is_ready(self) -> bool:
        """Whether the view is fresh and its inventories known to be the latest."""
        return self._is_current and self.is_fresh

    @property
    def revision(self) -> int:
        """Revision of the inventories here; -1 before the first answer."""
        return self._revision

    @property
    def sessions(self) -> list[Any]:
        """Sessions of live schedulers, as ``SessionInfo`` messages."""
        return list(self._sessions.values())

    @property
    def instances(self) -> list[Any]:
        """Instances to which callers may be directed, as ``InstanceInfo`` messages."""
        return list(self._instances.values())

    @property
    def loads(self) -> list[Any]:
        """Load reports new in the last update, as ``EndpointLoad`` messages."""
        return self._loads

    @property
    def inventories(self) -> list[Inventory]:
        """Inventories in force, of all organisations."""
        return list(self._inventories.values())

    @property
    def inventory_updates(self) -> int:
        """Number of updates that changed inventories, for detecting changes."""
        return self._inventory_updates

    def inventory(self, organisation: str) -> Inventory:
        """Return the inventory in force of an organisation.

        Raises:
            NotFoundError: There is no such organisation.
        """
        try:
            return self._inventories[organisation]
        except KeyError:
            raise NotFoundError(f"unknown organisation {organisation!r}") from None

    def authenticate(self, secret: str) -> tuple[Inventory, Key]:
        """Return the inventory and the key that a secret belongs to.

        Raises:
            NotReadyError: No inventory is in force here yet.
            UnauthenticatedError: No inventory has this key.
        """
        if not self._incarnation:
            raise NotReadyError(
                "no inventories have been received yet", retry_after_s=1.0
            )
        owner = self._keys.find(secret)
        if owner is None:
            raise UnauthenticatedError("unknown key")
        return self._inventories[owner.organisation], owner.key

    def owner_of(self, program: str) -> Any | None:
        """Return the ``SessionInfo`` of the scheduler that owns a program, if any."""
        if not self._shard_owners:
            return None
        owner = self._shard_owners[shard_of(program, len(self._shard_owners))]
        return self._sessions.get(owner)

    def successors_of(self, program: str) -> list[Any]:
        """Return the sessions likely to take a program over from its owner."""
        if not self._shard_owners:
            return []
        shard = shard_of(program, len(self._shard_owners))
        return successors(shard, self._shard_owners[shard], self._sessions.values())

    async def run(self) -> None:
        """Update every ``VIEW_PERIOD_S`` until the task is cancelled."""
        while True:
            try:
                await self.update()
            except CarobspurError as error:
                _logger.warning("control process can't be reached: %s", error.message)
            await self._clock.sleep(VIEW_PERIOD_S)

    async def update(self) -> None:
        """Fetch from control what changed since the last update.

        An answer with a lower revision than the present one is ignored as a whole.
        """
        request = messages.GetView(
            known_change=self._known_change,
            incarnation=self._incarnation,
            with_loads=self._with_loads,
        )
        view = await self._peers.call(self._host, self._port, GET_VIEW, request)
        if view.revision < self._revision:
            _logger.warning("view with the lower revision %d ignored", view.revision)
            return
        if view.is_full:
            self._clear(view.shards)
        self._apply_view(view)
        self._known_change = view.change
        self._incarnation = view.incarnation
        self._is_current = view.is_current
        self._revision = view.revision
        self._received_s = self._clock.monotonic()
        REVISION.set(view.revision)
        self.on_change()

    def _clear(self, shards: int) -> None:
        self._sessions.clear()
        self._instances.clear()
        self._shard_owners = [""] * shards

    def _apply_view(self, view: Any) -> None:
        self._sessions.update((item.id, item) for item in view.sessions)
        self._instances.update((item.id, item) for item in view.instances)
        for name in view.gone_sessions:
            self._sessions.pop(name, None)
        for name in view.gone_instances:
            self._instances.pop(name, None)
        for item in view.shard_owners:
            self._shard_owners[item.number] = item.session
        self._loads = view.loads
        if view.inventories is not None:
            self._apply_inventories(_decoder.decode(view.inventories))

    def _apply_inventories(self, changed: list[Inventory]) -> None:
        self._inventory_updates += 1
        for inventory in changed:
            self._inventories[inventory.organisation] = inventory
            self._keys.replace(inventory)
