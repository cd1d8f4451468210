"""What control knows and tells the other processes of its instance."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from .clock import Clock
from .errors import CarobspurError, NotFoundError, NotReadyError, UnauthenticatedError
from .inventory import Inventory, Key
from .keys import KeyIndex
from .metrics import REVISION
from .peers import GET_VIEW, PeerClient, messages
from .placement import shard_of

VIEW_PERIOD_S = 0.25
MAX_VIEW_AGE_S = 5.0
NO_REVISION = -1

_logger = logging.getLogger(__name__)
_decoder = msgspec.json.Decoder(list[Inventory])


class ViewClient:
    """Keeps a copy of the local control process's view.

    Args:
        peers: Client of our own processes.
        clock: Source of time.
        host: The control process's IP number.
        port: Its port for peers.
        on_change: Called after every update.
    """

    __slots__ = (
        "_clock",
        "_host",
        "_inventories",
        "_keys",
        "_peers",
        "_port",
        "_received_s",
        "_revision",
        "_view",
        "on_change",
    )

    def __init__(
        self,
        peers: PeerClient,
        *,
        clock: Clock,
        host: str,
        port: int,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._host = host
        self._port = port
        self.on_change = on_change
        self._view: Any = None
        self._revision = NO_REVISION
        self._received_s = 0.0
        self._inventories: dict[str, Inventory] = {}
        self._keys = KeyIndex()

    def __repr__(self) -> str:
        return f"ViewClient(revision={self._revision})"

    @property
    def is_ready(self) -> bool:
        """Whether the view is recent and known to be current."""
        if self._view is None or not self._view.is_current:
            return False
        return self._clock.monotonic() - self._received_s < MAX_VIEW_AGE_S

    @property
    def revision(self) -> int:
        """Inventory revision in force here."""
        return self._revision

    @property
    def sessions(self) -> list[Any]:
        """Live schedulers, as ``SessionInfo`` messages."""
        return [] if self._view is None else self._view.sessions

    @property
    def instances(self) -> list[Any]:
        """Instances that callers may use, as ``InstanceInfo`` messages."""
        return [] if self._view is None else self._view.instances

    @property
    def loads(self) -> list[Any]:
        """Reports of endpoints, as ``EndpointLoad`` messages."""
        return [] if self._view is None else self._view.loads

    @property
    def inventories(self) -> list[Inventory]:
        """All inventories in force."""
        return list(self._inventories.values())

    def inventory(self, organisation: str) -> Inventory:
        """Return the inventory in force of an organisation.

        Raises:
            NotFoundError: There is none.
        """
        try:
            return self._inventories[organisation]
        except KeyError:
            raise NotFoundError(f"no organisation {organisation!r}") from None

    def authenticate(self, secret: str) -> tuple[Inventory, Key]:
        """Return whose key a secret is.

        Raises:
            NotReadyError: No inventory is in force here yet.
            UnauthenticatedError: Nobody's.
        """
        if self._view is None:
            raise NotReadyError("no configuration yet", retry_after_s=1.0)
        owner = self._keys.find(secret)
        if owner is None:
            raise UnauthenticatedError("the key is not known")
        return self._inventories[owner.organisation], owner.key

    def owner_of(self, program: str) -> Any | None:
        """Return the ``SessionInfo`` of the scheduler that owns a program."""
        if self._view is None or not self._view.shard_owners:
            return None
        owners = self._view.shard_owners
        owner = owners[shard_of(program, len(owners))]
        return next((item for item in self.sessions if item.id == owner), None)

    async def run(self) -> None:
        """Update until the task is cancelled."""
        while True:
            try:
                await self.update()
            except CarobspurError as error:
                _logger.warning("control can't be reached: %s", error.message)
            await self._clock.sleep(VIEW_PERIOD_S)

    async def update(self) -> None:
        """Ask control once; a lower revision than the one in force is ignored."""
        request = messages.GetView(known_revision=self._revision)
        view = await self._peers.call(self._host, self._port, GET_VIEW, request)
        if view.revision < self._revision:
            _logger.warning("control went back to revision %d", view.revision)
            return
        if view.inventories is not None:
            found = _decoder.decode(view.inventories)
            self._inventories = {item.organisation: item for item in found}
            self._keys = KeyIndex.of(found)
        self._view = view
        self._revision = view.revision
        self._received_s = self._clock.monotonic()
        REVISION.set(view.revision)
        self.on_change()
