"""Builds a gateway from its components, runs it, reloads its settings and stops it."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from tornado.httpserver import HTTPServer

from ..background import background
from ..errors import SettingsError
from ..gateway.account_rows import TABLE as SPENDING_TABLE
from ..gateway.accounts import ReleasedAccount
from ..gateway.admission.gate import ProgramGate
from ..gateway.admission.request_gate import RequestGate
from ..gateway.call_dispatcher import CallDispatcher
from ..gateway.context import GatewayContext
from ..gateway.customers.rate_limit_gate import RateLimitGate
from ..gateway.decisions import DecisionLog
from ..gateway.endpoint_client import EndpointClient
from ..gateway.endpoint_limits.gate import EndpointLimitGate
from ..gateway.endpoints import Endpoint, EndpointIndex
from ..gateway.feed import TableFeed
from ..gateway.health import HealthTracker
from ..gateway.heartbeats_udp import HeartbeatSender
from ..gateway.host_port import split_address
from ..gateway.http_pool import ConnectionPool
from ..gateway.load_sharing import LoadReporter
from ..gateway.member_rows import TABLE as MEMBERS_TABLE
from ..gateway.member_rows import MemberRows
from ..gateway.members import Member, Membership
from ..gateway.memory.account import ConnectionUse, MemoryAccount
from ..gateway.outages import is_outage_confirmed
from ..gateway.plain_calls import PlainCallHandler
from ..gateway.quarantine.crash_history import CrashHistory
from ..gateway.quarantine.crash_watch import CrashWatch
from ..gateway.quarantine.gate import QuarantineGate
from ..gateway.routes import CallerLimits
from ..gateway.row_sweep import RowSweeper
from ..gateway.rows import Row
from ..gateway.settings import GatewaySettings
from ..gateway.spending import AccountOwner
from ..gateway.spending_client import SpendingClient
from ..gateway.spending_records import MovedAccount, StoreState, spending_expiry
from ..gateway.stream_calls import StreamCallHandler
from ..gateway.telemetry import Telemetry
from ..gateway.token_accounts.owner_history import OwnerHistory
from ..gateway.turn_lifecycle import TurnLifecycle
from ..gateway.turn_rows import TABLE as TURNS_TABLE
from ..gateway.turn_rows import TurnRows
from ..gateway.turn_store import TurnStore, turn_expiry
from ..plugin_registry import PluginKind, plugin
from . import configuration as wire_configuration
from .bootstrap import MEMBERS_FEED, encode_snapshot, load_from_peers
from .directory import (
    directory_application,
    metrics_application,
    peer_application,
    ready_application,
)
from .headers import PlatformWire
from .ingress import Ingress
from .registry import TABLE as REGISTRY_TABLE
from .registry import Registry
from .store import PlatformRowStore

BACKLOG_CONNECTIONS = 512
"""Connections that may wait to be accepted, for each listening socket."""
CONFIGURATION_FRESH_S = 5.0
"""Time for which a configuration confirmed by its feed counts as the newest.

Longer than a feed's wait and one retry.
"""
KEY_FRESH_S = 2.5
"""Age of a confirmation of the configuration up to which an unknown API key is refused
with 401; after that the configuration is read again. Keys added less than 3 s ago
(``configApplyMs``) may still be unknown, so a confirmation of this age suffices, and
each further read of the whole configuration costs store traffic at every gateway."""
KEY_CONFIRM_S = 0.15
"""Longest wait for that confirmation before the answer is 503: an unknown key must be
refused well within a quarter of the shortest objective."""
LEAVE_NOTICE_S = 3.2
"""Time for which a stopping gateway, no longer listed to callers, still accepts them.

Callers cache an address for up to three times its time to live.
"""
STOP_MARGIN_S = 0.8
"""Time reserved before the platform kills the process."""
LEAVE_MARGIN_S = 0.5
"""Time before the end of a stop at which the last attempt to write rows begins."""
STOP_POLL_S = 0.05
ANSWER_MARGIN_S = 0.25
"""Time before the end of a stop at which requests in progress are answered, so that
callers still receive the answers."""
LOSS_WINDOW_MARGIN_S = 10.0
"""Part of the loss window beyond the longest retention of turns.

The programs of a dead gateway may continue within the retention; their accounts may
still be missing for this much longer.
"""
SETTINGS_POLL_S = 1.0
SMALL_BODY_BYTES = 4096
"""Largest body of a request for readiness, addresses or metrics; none needs a body."""
SMALL_SERVER_IDLE_S = 60.0
"""Longest time for which a connection to one of these or from a peer may be idle, and
for which a body may take to arrive."""


class Gateway:
    """One gateway with all its components.

    Args:
        settings: Settings of this gateway.
        settings_path: File of the settings, watched for changes.
        log: Decision log.
        telemetry: Metrics.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        settings_path: str,
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._log = log
        self._telemetry = telemetry
        self._has_refused_configuration = False
        self._knows_owners_since = float("-inf")
        answer_limits = settings.memory.limit_answers(settings.answers)
        self._pool = ConnectionPool(
            on_open=lambda _: self._telemetry.connections.inc(),
            limits=answer_limits,
        )
        self._internal_pool = ConnectionPool(limits=answer_limits)
        self._membership = Membership(self._create_own_member())
        self._store = PlatformRowStore(
            lambda: self._settings.store.address,
            self._relay_peers,
            self._internal_pool,
            log,
            self._telemetry,
            on_change=self._on_store_change,
        )
        health = HealthTracker()
        endpoints = EndpointIndex()
        self._endpoint_limits = EndpointLimitGate(
            endpoints,
            health,
            log,
            telemetry,
            group_share=self._membership.load_report_share,
        )
        crashes = CrashHistory()
        self._quarantine = QuarantineGate(
            crashes,
            endpoints,
            health,
            name=self._membership.own.name,
            broadcast=lambda message: self._heartbeats.broadcast(message),
            log=log,
            telemetry=telemetry,
        )
        crash_watch = CrashWatch(
            crashes,
            self._pool,
            name=self._membership.own.name,
            spawn=lambda coroutine: self._context.spawn(coroutine),
            log=log,
            telemetry=telemetry,
        )
        crash_watch.on_crash = self._quarantine.report_crash
        self._context = GatewayContext(
            data_centre=settings.instance.data_centre,
            endpoint_client=EndpointClient(
                PlatformWire(),
                self._pool,
                health,
                self._telemetry,
                on_draining=self._record_draining,
                on_answer=self._endpoint_limits.record_answer,
            ),
            endpoints=endpoints,
            health=health,
            limits=self._endpoint_limits,
            quarantine=self._quarantine,
            crash_watch=crash_watch,
            placement=plugin(PluginKind.PLACEMENT, settings.placement.policy)(),
            log=log,
            telemetry=self._telemetry,
            answer_limits=answer_limits,
        )
        self._account = MemoryAccount(
            settings.memory,
            other_bytes=lambda: self._context.endpoint_client.buffered_bytes,
        )
        self._telemetry.buffered_bytes.set_function(lambda: self._account.total_bytes)
        self._telemetry.caller_connections.set_function(lambda: len(self._account.uses))
        self._registry = Registry(
            endpoints,
            log,
            on_removed=self._drop_endpoint,
            unreachable_until=lambda: self._store.unreachable_until,
        )
        self._member_rows = MemberRows(
            self._membership, self._store, log, loss_window_s=self._loss_window_s
        )
        self._feeds = {
            "configuration": TableFeed(
                self._store, wire_configuration.TABLE, self._apply_configuration, log
            ),
            "registry": TableFeed(
                self._store, REGISTRY_TABLE, self._registry.apply, log
            ),
            MEMBERS_FEED: TableFeed(
                self._store, MEMBERS_TABLE, self._member_rows.apply, log
            ),
        }
        self._sweeper = RowSweeper(
            self._store,
            {TURNS_TABLE: turn_expiry, SPENDING_TABLE: spending_expiry},
            log,
            gateways=lambda: 1 + len(self._membership.others()),
        )
        turn_rows = TurnRows(
            self._store,
            usual_s=lambda: self._store.usual_s,
            is_unreachable=lambda: self._store.is_unreachable,
            log=log,
        )
        turn_store = TurnStore(
            turn_rows,
            row_bytes=settings.store.row_bytes,
            cache_bytes=settings.memory.history_bytes,
        )
        self._account_owner = AccountOwner(
            self._membership.own.name,
            self._store,
            request_release=self._request_release,
            pull=self._pull,
            confirm_pull=lambda program: self._spending.confirm_pull(program),
            store_state=self._store_state,
            is_first_choice=lambda program: self._spending.is_first_choice(program),
            may_have_lost_owner=self._may_have_lost_owner,
            log=log,
        )
        self._spending = SpendingClient(
            self._membership,
            self._account_owner,
            self._internal_pool,
            accepts_accounts=lambda: not self._context.is_stopping,
            spawn=self._context.spawn,
            log=log,
        )
        turn_lifecycle = TurnLifecycle(
            self._context,
            turn_store,
            self._spending,
            away_s=lambda: self._store.away_s,
            wait_reachable=self._store.wait_reachable,
            on_committed=self._sweeper.record,
        )
        self._heartbeats = HeartbeatSender(
            self._membership,
            health.peers,
            self._heartbeat_state,
            log,
            on_store_unreachable=self._store.check_reachable,
        )
        self._rate_limits = RateLimitGate(
            self._membership,
            self._heartbeats,
            tolerance=settings.rate_limits,
            is_table_current=self._is_member_table_current,
            is_ready=self._is_ready,
            log=log,
            telemetry=self._telemetry,
        )
        self._heartbeats.has_unrecorded = lambda: self._account_owner.has_unrecorded
        self._heartbeats.on_rate_message = self._rate_limits.receive
        self._heartbeats.on_crash_message = self._quarantine.receive
        self._heartbeats.on_peer_alive = self._tell_about_crashes
        self._heartbeats.on_load_report = self._endpoint_limits.record_report
        self._call_dispatcher = CallDispatcher(
            self._context,
            PlainCallHandler(self._context),
            StreamCallHandler(self._context, turn_lifecycle),
            is_configuration_current=self._is_configuration_current,
            confirm_configuration=self._confirm_configuration,
            gates=(self._quarantine, self._rate_limits, *self._create_gates()),
        )
        self._ingress = Ingress(
            self._call_dispatcher,
            self._limits,
            account=self._account,
            on_limit=self._record_limit,
        )
        self._context.hold_bytes = self._ingress.connections.holding
        self._telemetry.caller_connections.set_function(
            lambda: len(self._ingress.connections)
        )
        reporter = LoadReporter(
            self._heartbeats.send_load_report,
            health,
            name=self._membership.own.name,
            limits=self._endpoint_limits.create_report,
        )
        self._endpoint_limits.on_change = reporter.failed
        self._endpoint_limits.on_demand = reporter.changed
        health.on_change = reporter.changed
        health.on_failure = reporter.failed

    async def run(self, stopping: asyncio.Event, reloading: asyncio.Event) -> None:
        """Serve until ``stopping`` is set, then finish the requests in progress.

        Args:
            stopping: Set to make the gateway stop.
            reloading: Set to make it read its settings again.
        """
        listen = self._settings.listen
        if not self._settings.instance.is_first_start:
            self._knows_owners_since = asyncio.get_running_loop().time()
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(
                self._heartbeats.running(*split_address(listen.heartbeats))
            )
            for application, address, body_bytes in (
                (
                    peer_application(self._store, self._account_owner, self._snapshot),
                    listen.peers,
                    None,
                ),
                (ready_application(self._is_ready), listen.ready, SMALL_BODY_BYTES),
                (
                    directory_application(
                        self._membership,
                        self._is_ready,
                        max_ttl_s=self._settings.times.address_ttl_s,
                    ),
                    listen.directory,
                    SMALL_BODY_BYTES,
                ),
                (
                    metrics_application(self._telemetry.registry),
                    listen.metrics,
                    SMALL_BODY_BYTES,
                ),
            ):
                if address:
                    await stack.enter_async_context(
                        _serving(application, address, body_bytes=body_bytes)
                    )
            await stack.enter_async_context(
                background(
                    *(feed.follow for feed in self._feeds.values()),
                    self._member_rows.join,
                    partial(self._watch_settings, reloading),
                    self._member_rows.remove_dead_forever,
                    self._account_owner.sweep_forever,
                    self._account_owner.write_idle_forever,
                    self._sweeper.sweep_own_forever,
                    self._sweeper.sweep_orphans_forever,
                    self._load_from_peers,
                    self._rate_limits.run_forever,
                    on_error=self._record_background_error,
                )
            )
            host, port = split_address(listen.callers)
            await stack.enter_async_context(
                self._ingress.listening(host, port, backlog=BACKLOG_CONNECTIONS)
            )
            self._log.record("started", data_centre=self._context.data_centre)
            await stopping.wait()
            await self._stop()

    async def _stop(self) -> None:
        """Drain the gateway, and end before the platform kills the process.

        Its address is left out of look-ups at once, while it still takes requests for
        ``LEAVE_NOTICE_S``.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self._settings.times.stop_s - STOP_MARGIN_S
        self._context.is_stopping = True
        self._log.record("stopping", in_flight=self._call_dispatcher.in_flight)
        self._call_dispatcher.end_by(end - ANSWER_MARGIN_S)
        self._heartbeats.send()
        self._ingress.disable_keep_alive()
        self._context.spawn(self._leave(end - LEAVE_MARGIN_S))
        await asyncio.sleep(LEAVE_NOTICE_S)
        # Callers that know no other address would otherwise send requests until the
        # process ends.
        self._ingress.stop_accepting()
        # Heads that were read before may still be followed by their bodies.
        self._call_dispatcher.close()
        while self._ingress.is_busy and loop.time() < end:
            await asyncio.sleep(STOP_POLL_S)
        await self._context.wait_for_tasks(max(0.0, end - loop.time()))
        self._log.record("stopped", in_flight=self._call_dispatcher.in_flight)

    async def _leave(self, until: float) -> None:
        """Hand over all token accounts, then remove this gateway's row.

        The row stays if grants of tokens are left that only this gateway knows of.

        Args:
            until: Loop time until which unwritten rows are tried again.
        """
        if await self._account_owner.move_all(self._spending.move, until=until):
            await self._member_rows.leave()

    def _tell_about_crashes(self, member: Member) -> None:
        self._heartbeats.send_crash_messages([member], self._quarantine.reports())

    def _create_gates(self) -> list[RequestGate]:
        """Return the decisions that requests pass before they are served."""
        if not self._settings.admission.policy:
            return []
        gate = ProgramGate(self._context)
        self._context.observe_turn = gate.observe_turn
        return [gate]

    def _create_own_member(self) -> Member:
        settings = self._settings
        return Member(
            name=f"{settings.instance.name}/{uuid.uuid4().hex[:8]}",
            data_centre=settings.instance.data_centre,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
            heartbeats=settings.listen.heartbeats,
            started_at=time.time(),
        )

    def _on_store_change(self) -> None:
        self._heartbeats.send()
        for feed in self._feeds.values():
            feed.refresh()
        if self._store.is_directly_reachable:
            self._context.spawn(self._account_owner.write_unrecorded_accounts())

    async def _request_release(
        self, holder: str, program: str, row_version: int, serial: int
    ) -> ReleasedAccount | None:
        return await self._spending.request_release(
            holder, program, row_version, serial
        )

    async def _pull(self, program: str) -> MovedAccount | None:
        return await self._spending.pull(
            program, may_hold_unrecorded=self._member_rows.is_listed
        )

    def _store_state(self) -> StoreState:
        now = asyncio.get_running_loop().time()
        # A crash that has just become known must count from now on.
        self._heartbeats.record_peer_changes(now)
        history = OwnerHistory(
            now=now,
            window_s=self._loss_window_s(),
            started_at=self._knows_owners_since,
            last_crash_at=self._membership.last_crash_at,
            last_departure_at=self._membership.last_departure_at,
            unreachable_until=self._store.unreachable_until,
            is_listed=self._member_rows.is_listed,
            is_stopping=self._context.is_stopping,
            is_table_read=self._feeds[MEMBERS_FEED].version > 0,
            has_leaving_members=self._membership.has_leaving_members(),
            has_unheard_members=self._membership.has_unheard_members(),
            has_unrecorded_members=bool(self._membership.with_unrecorded(now)),
        )
        return StoreState(
            is_unreachable=self._store.is_unreachable,
            may_have_lost_grants=history.may_have_lost_grants,
            may_grant_unrecorded=history.may_grant_unrecorded,
            should_fail_fast=is_outage_confirmed(self._store.away_s),
            was_unreachable=history.was_unreachable,
            may_hold_unrecorded=self._member_rows.is_listed
            and not self._context.is_stopping,
            may_be_granted_elsewhere=history.may_be_granted_elsewhere,
            usual_s=self._store.usual_s,
        )

    def _may_have_lost_owner(self, program: str) -> bool:
        since = asyncio.get_running_loop().time() - self._loss_window_s()
        return self._spending.may_have_lost_owner(program, since=since)

    def _loss_window_s(self) -> float:
        """Return how many seconds after a crash grants of tokens may still be lost."""
        return self._longest_retention_s() + LOSS_WINDOW_MARGIN_S

    def _snapshot(self, after: dict[str, int] | None) -> bytes:
        members = [self._membership.own, *self._membership.others()]
        return encode_snapshot(self._feeds, members=members, after=after)

    def _record_background_error(self, job: str, error: Exception) -> None:
        self._log.record("background_failed", work=job, reason=repr(error))

    async def _load_from_peers(self) -> None:
        await load_from_peers(
            self._feeds, self._bootstrap_peers, self._internal_pool, self._log
        )

    def _bootstrap_peers(self) -> list[str]:
        """Return the peers to load tables from: those of the data centre first.

        The order is random otherwise, so that gateways that start together do not all
        load from the same peer.
        """
        members = list(self._membership.others())
        random.shuffle(members)
        members.sort(key=lambda item: item.data_centre != self._context.data_centre)
        return [member.peers for member in members] or self._seeds()

    def _longest_retention_s(self) -> float:
        configuration = self._context.configuration
        routes = configuration.routes if configuration else ()
        return max((route.retention_s for route in routes), default=0.0)

    def _relay_peers(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        if not self._membership.others():
            return self._seeds()
        return [item.peers for item in self._membership.reaching_store(now)]

    def _seeds(self) -> list[str]:
        own = self._settings.listen.peers
        seeds = self._settings.store.seed_addresses
        return [address for address in seeds if address != own]

    def _limits(self) -> CallerLimits:
        configuration = self._context.configuration
        return configuration.limits if configuration else CallerLimits()

    def _record_limit(self, bound: str, use: ConnectionUse, outcome: str) -> None:
        self._telemetry.limits_reached.labels(bound).inc()
        self._log.record(
            "limit_reached",
            bound=bound,
            outcome=outcome,
            phase=use.phase.value,
            request_bytes=use.request_bytes,
            unread_bytes=use.unread_bytes,
            buffered_bytes=self._account.total_bytes,
            connections=len(self._ingress.connections),
        )

    def _is_ready(self) -> bool:
        return not self._context.is_stopping and self._context.configuration is not None

    def _heartbeat_state(self) -> tuple[bool, bool]:
        return self._is_ready(), self._store.is_directly_reachable

    def _is_configuration_current(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._feeds["configuration"].confirmed_at < CONFIGURATION_FRESH_S

    async def _confirm_configuration(self) -> bool:
        """Return whether the configuration in force is known to be the newest."""
        is_confirmed = await self._feeds["configuration"].confirm(
            max_age_s=KEY_FRESH_S, timeout_s=KEY_CONFIRM_S
        )
        return is_confirmed and not self._has_refused_configuration

    def _is_member_table_current(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self._feeds[MEMBERS_FEED].confirmed_at < CONFIGURATION_FRESH_S

    def _apply_configuration(self, rows: list[Row], is_full_table: bool) -> None:
        for row in rows:
            if row.key.key != wire_configuration.KEY or row.value is None:
                continue
            try:
                new = wire_configuration.decode_configuration(row.value)
            except wire_configuration.ConfigurationError as error:
                self._log.record("configuration_refused", reason=error.message)
                self._has_refused_configuration = True
                continue
            self._has_refused_configuration = False
            current = self._context.configuration
            if current is not None and new.version <= current.version:
                continue
            self._context.configuration = new
            self._rate_limits.configure(new)
            self._ingress.apply_limits()
            self._log.record(
                "configuration",
                version=new.version,
                row_version=row.version,
                customers=len(new.customers),
                damaged_customers=new.damaged_customers,
            )

    def _drop_endpoint(self, key: str) -> None:
        self._pool.close_idle(key)
        self._context.health.forget(key)
        self._endpoint_limits.forget(key)

    def _record_draining(self, endpoint: Endpoint) -> None:
        if self._context.endpoints.record_leaving(endpoint):
            self._log.record("endpoint", endpoint=endpoint.id, state="said it leaves")

    async def _watch_settings(self, reloading: asyncio.Event) -> None:
        last_text = _read_text(self._settings_path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await reloading.wait()
            except TimeoutError:
                if _read_text(self._settings_path) == last_text:
                    continue
            reloading.clear()
            last_text = _read_text(self._settings_path)
            self._reload()

    def _reload(self) -> None:
        try:
            self._settings = GatewaySettings.read(self._settings_path)
        except SettingsError as error:
            self._log.record("reload_refused", reason=error.message)
            return
        self._log.record("reloaded")


def _read_text(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError:
        # The file is being replaced; the next poll reads it.
        return ""


@asynccontextmanager
async def _serving(
    application, address: str, *, body_bytes: int | None = None
) -> AsyncIterator[None]:
    """Serve an application until the context ends.

    Args:
        application: The application.
        address: Address to listen on.
        body_bytes: Largest size of a request's body; ``None`` for tornado's limit.
    """
    host, port = split_address(address)
    server = HTTPServer(
        application,
        max_body_size=body_bytes,
        idle_connection_timeout=SMALL_SERVER_IDLE_S,
        body_timeout=SMALL_SERVER_IDLE_S,
    )
    server.listen(port, host, backlog=BACKLOG_CONNECTIONS)
    try:
        yield
    finally:
        server.stop()
