"""Composition of one scheduler from its parts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

from .budgets import Budgets
from .calls import CallService
from .clock import Clock
from .dispatch import Dispatcher
from .endpoints import Endpoints
from .errors import NotReadyError, SessionLostError
from .execution import CallRuntime
from .fencing import FencingNumbers
from .forward import Forwarder, takeover_limit_s
from .history import Histories
from .holder import CacheHoldManager
from .http import HttpClient
from .lifecycle import Lifecycle
from .metrics import PROGRAMS, SHARDS
from .objects import Objects
from .outage import OutageGuard
from .ownership import Ownership
from .peer_client import PeerClient
from .plugin_registry import PluginKind, plugin
from .pool import EndpointPool, LoadReport
from .program_index import ProgramIndex
from .retry import RetryBudgets
from .session import Session
from .settings import Settings
from .shards import ShardManager
from .table import Table
from .view import ViewClient

ROWS_PER_COMMIT = 2  # the session's row and a chunk of its journal
DRAIN_TIMEOUT_S = 60.0

_logger = logging.getLogger(__name__)


class Scheduler:
    """Builds the parts of one scheduler and connects them.

    The services for calls and programs exist once :meth:`open` has opened the session.

    Args:
        settings: The instance's settings.
        clock: Source of time.
        table: The table service.
        objects: The object store.
        client: HTTP client for the endpoints.
        view: Copy of control's view of sessions, inventories and loads.
        peers: Client for the system's other processes.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        table: Table,
        objects: Objects,
        client: HttpClient,
        view: ViewClient,
        peers: PeerClient,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self._objects = objects
        self._client = client
        self._view = view
        limit_s = takeover_limit_s(settings.scheduler.lease_s)
        self._forwarder = Forwarder(peers, view, clock, limit_s=limit_s)
        self._program_index = ProgramIndex()
        self._pool = EndpointPool()
        self._session: Session | None = None
        self._hold_manager: CacheHoldManager | None = None
        self._pool_version = (0, 0)
        self._shard_manager: ShardManager | None = None
        self._ownership: Ownership | None = None
        self._lifecycle: Lifecycle | None = None
        self._budgets: Budgets | None = None
        self._calls: CallService | None = None
        self._dispatcher: Dispatcher | None = None
        self._drain_task: asyncio.Future[None] | None = None

    @property
    def view(self) -> ViewClient:
        """Copy of control's view."""
        return self._view

    @property
    def session(self) -> Session | None:
        """The session, or ``None`` before :meth:`open`."""
        return self._session

    @property
    def shard_manager(self) -> ShardManager | None:
        """Manager of this scheduler's shards, or ``None`` before :meth:`open`."""
        return self._shard_manager

    @property
    def calls(self) -> CallService:
        """The service that runs calls.

        Raises:
            NotReadyError: The scheduler is still starting.
        """
        if self._calls is None:
            raise NotReadyError("the scheduler is starting", retry_after_s=1.0)
        return self._calls

    @property
    def lifecycle(self) -> Lifecycle:
        """The service that starts and ends programs.

        Raises:
            NotReadyError: The scheduler is still starting.
        """
        if self._lifecycle is None:
            raise NotReadyError("the scheduler is starting", retry_after_s=1.0)
        return self._lifecycle

    async def open(self, port: int) -> None:
        """Open the session and build the services; afterwards calls can be served.

        Args:
            port: Port on which peers reach this scheduler.
        """
        options = self._settings.scheduler
        instance = self._settings.instance
        self._session = await Session.open(
            table=self._table,
            clock=self._clock,
            instance=instance.id,
            host=instance.host,
            port=port,
            data_centre=instance.data_centre,
            lease_s=options.lease_s,
            interval_s=self._commit_interval_s,
            on_commit=self._apply,
        )
        self._dispatcher = Dispatcher(
            clock=self._clock,
            policy=plugin(PluginKind.ROUTING, options.routing)(),
            max_waiting=options.max_waiting,
        )
        self._build_services(self._session, self._dispatcher)
        self._shard_manager = ShardManager(
            table=self._table,
            objects=self._objects,
            clock=self._clock,
            session=self._session,
            program_index=self._program_index,
            shards=options.shards,
            lease_s=options.lease_s,
            checkpoint_commits=options.checkpoint_commits,
            is_busy=self._ownership.is_busy,
        )
        self.apply_view()

    def _build_services(self, session: Session, dispatcher: Dispatcher) -> None:
        options = self._settings.scheduler
        self._hold_manager = CacheHoldManager(
            self._client,
            plugin(PluginKind.HOLDS, options.holds)(),
            self._pool,
            self._cache_order_fence,
        )
        budgets = Budgets(
            table=self._table,
            session=session,
            clock=self._clock,
            grant_units=options.grant_units,
            schedulers=lambda: len(self._view.sessions),
        )
        self._budgets = budgets
        runtime = CallRuntime(
            clock=self._clock,
            session=session,
            budgets=budgets,
            dispatcher=dispatcher,
            pool=self._pool,
            endpoints=Endpoints(self._client),
            hold_manager=self._hold_manager,
            histories=Histories(self._objects),
            data_centre=self._settings.instance.data_centre,
            fences=FencingNumbers(session.epoch),
            retries=RetryBudgets(),
            outage=OutageGuard(session, self._clock, options.lease_s),
        )
        self._ownership = Ownership(
            session=session, owns=self._owns, shards=options.shards
        )
        self._lifecycle = Lifecycle(
            runtime=runtime,
            program_index=self._program_index,
            ownership=self._ownership,
            inventories=self._view.inventory,
            forwarder=self._forwarder,
        )
        self._calls = CallService(
            runtime=runtime,
            program_index=self._program_index,
            ownership=self._ownership,
            lifecycle=self._lifecycle,
            inventories=self._view.inventory,
        )

    def _owns(self, program: str) -> bool:
        return self._shard_manager is not None and self._shard_manager.owns(program)

    def apply_view(self) -> None:
        """Apply control's current view: endpoints, their loads and ended sessions.

        Called after each change of the view.
        """
        if self._shard_manager is not None:
            SHARDS.set(len(self._shard_manager.owned))
        self._forwarder.disconnect_ended_sessions()
        schedulers = max(1, len(self._view.sessions))
        pool_version = (self._view.inventory_updates, schedulers)
        if pool_version != self._pool_version:
            self._pool.update(self._view.inventories, schedulers=schedulers)
            self._pool_version = pool_version
        for load in self._view.loads:
            state = self._pool.find(load.address)
            if state is not None:
                report = LoadReport(
                    load.running,
                    load.waiting,
                    load.kv_used_tokens,
                    load.kv_capacity_tokens,
                    self._clock.monotonic() - load.age_s,
                )
                if load.reachable:
                    state.apply_report(report)
                state.is_draining = load.leaving
        if self._dispatcher is not None:
            self._dispatcher.dispatch()

    async def run(self) -> None:
        """Run the periodic jobs of programs and budgets until cancelled."""
        await asyncio.gather(self.lifecycle.run(), self._budgets.run())

    async def shut_down(self) -> None:
        """Hand all shards over to other schedulers and close the session.

        The hand-over takes at most ``DRAIN_TIMEOUT_S``. Unused grants are returned.
        """
        if self._shard_manager is None or self._session is None:
            return
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._shard_manager.drain()
        except (TimeoutError, SessionLostError) as error:
            _logger.warning("not all shards were handed over: %r", error)
        await self._budgets.release()
        await self._session.close()

    def release_ended(self, address: str, programs: Sequence[str]) -> int:
        """Release the caches that an engine holds for ended programs of this scheduler.

        Args:
            address: Address of the engine.
            programs: Ids of the programs for which it holds caches.

        Returns:
            The number of programs whose caches are released.
        """
        ended = [item for item in programs if self._has_ended(item)]
        if self._hold_manager is not None:
            self._hold_manager.release_programs(address, ended)
        return len(ended)

    async def drain(self, *, leaving: bool) -> None:
        """Start to drain this scheduler, or end the draining.

        Args:
            leaving: Whether to hand all shards over; ``False`` lets the scheduler claim
                shards again.

        Raises:
            NotReadyError: The scheduler is still starting.
        """
        if self._shard_manager is None:
            raise NotReadyError("the scheduler is starting", retry_after_s=1.0)
        if leaving:
            self._drain_task = asyncio.ensure_future(self._shard_manager.drain())
        else:
            await self._shard_manager.undrain()

    def count_open_programs(self, organisation: str) -> int:
        """Return how many programs of an organisation have not ended here."""
        return sum(
            item.organisation == organisation and not item.ended
            for item in self._program_index.programs
        )

    def _commit_interval_s(self) -> float:
        """Return the commit interval that gives each scheduler an equal write rate.

        Each commit counts as ``ROWS_PER_COMMIT`` writes of the table service's
        ``table_writes_per_s``, of which all live schedulers get equal shares.
        """
        schedulers = max(1, len(self._view.sessions))
        writes_per_s = self._settings.platform.table_writes_per_s
        return schedulers * ROWS_PER_COMMIT / writes_per_s

    def _apply(self, records: list[Any]) -> None:
        for record in records:
            self._program_index.apply(record)
        PROGRAMS.set(len(self._program_index))
        if self._shard_manager is not None:
            self._shard_manager.on_committed(records)
            SHARDS.set(len(self._shard_manager.owned))

    def _cache_order_fence(self) -> int:
        """Return the fencing number of cache orders: the highest epoch of any session.

        An engine may keep one highest number for all senders, and would then refuse
        the orders of every scheduler but the youngest if each used its own epoch. A
        late order of a scheduler that was replaced is harmless: it costs at most the
        recomputation of a prefix.
        """
        epochs = [item.epoch for item in self._view.sessions]
        return max([self._session.epoch, *epochs])

    def _has_ended(self, program: str) -> bool:
        """Return whether an own program has ended or is unknown."""
        found = self._program_index.find(program)
        return self._owns(program) and (found is None or found.ended)
