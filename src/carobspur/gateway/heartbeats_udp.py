"""Sends and receives heartbeats and load reports as UDP datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import msgspec

from .customers.rate_limit_messages import RateAnswer, RateRequest
from .decisions import DecisionLog
from .host_port import split_address
from .load_sharing import LoadReport, PeerLoads
from .members import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEATS_PER_ROW,
    Heartbeat,
    Member,
    Membership,
)
from .quarantine.messages import (
    Acquittal,
    AnsweredTargets,
    CrashMessage,
    CrashReport,
)

CrashMessageHandler = Callable[[CrashMessage], None]
"""Receives a message on crashes of endpoints."""
RateMessageHandler = Callable[[RateRequest | RateAnswer, tuple[str, int]], None]
"""Receives a message on rate limits and the address of its sender."""
LoadReportHandler = Callable[[LoadReport, float], None]
"""Receives a load report and the loop time."""


class _Receiver(asyncio.DatagramProtocol):
    def __init__(
        self,
        membership: Membership,
        loads: PeerLoads,
        on_store_unreachable: Callable[[], None],
        on_rate_message: RateMessageHandler,
        on_load_report: LoadReportHandler,
        on_crash_message: CrashMessageHandler,
    ) -> None:
        self._on_store_unreachable = on_store_unreachable
        self._on_rate_message = on_rate_message
        self._on_load_report = on_load_report
        self._on_crash_message = on_crash_message
        self._membership = membership
        self._loads = loads
        self._decoder = msgspec.msgpack.Decoder(
            Heartbeat | LoadReport | RateRequest | RateAnswer | CrashMessage
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError:
            # Anybody may send to an open port: other datagrams are ignored.
            return
        now = asyncio.get_running_loop().time()
        match message:
            case Heartbeat():
                self._membership.record_heartbeat(message, now)
                if not message.reaches_store:
                    self._on_store_unreachable()
            case LoadReport():
                self._loads.record(message, now)
                self._on_load_report(message, now)
            case RateRequest() | RateAnswer():
                self._on_rate_message(message, addr)
            case CrashReport() | AnsweredTargets() | Acquittal():
                self._on_crash_message(message)

    def error_received(self, exc: OSError) -> None:
        """Ignore refused datagrams: missing heartbeats already show a dead peer."""


class HeartbeatSender:
    """Sends this gateway's heartbeats, receives others', logs which peers are alive.

    Args:
        membership: Gives the recipients; updated by received heartbeats.
        loads: Updated by received load reports.
        state: Returns whether this gateway is ready and whether it reaches the row
            store.
        on_store_unreachable: Called when a peer reports that it does not reach the row
            store.
        log: Decision log.

    Attributes:
        on_rate_message: Receives messages on rate limits; set before :meth:`running`.
        on_load_report: Receives load reports after ``loads``; set before
            :meth:`running`.
        on_crash_message: Receives messages on crashes; set before :meth:`running`.
        on_peer_alive: Called with a member that has become alive.
        has_unrecorded: Returns the value for each heartbeat; see
            :class:`.members.Heartbeat`.
    """

    __slots__ = (
        "_alive",
        "_loads",
        "_log",
        "_membership",
        "_on_store_unreachable",
        "_sent",
        "_state",
        "_transport",
        "has_unrecorded",
        "on_crash_message",
        "on_load_report",
        "on_peer_alive",
        "on_rate_message",
    )

    def __init__(
        self,
        membership: Membership,
        loads: PeerLoads,
        state: Callable[[], tuple[bool, bool]],
        log: DecisionLog,
        *,
        on_store_unreachable: Callable[[], None],
    ) -> None:
        self._on_store_unreachable = on_store_unreachable
        self._membership = membership
        self._loads = loads
        self._state = state
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._alive: set[str] = set()
        self._sent = 0
        self.has_unrecorded: Callable[[], bool] = lambda: False
        self.on_rate_message: RateMessageHandler = lambda message, address: None
        self.on_load_report: LoadReportHandler = lambda report, now: None
        self.on_crash_message: CrashMessageHandler = lambda message: None
        self.on_peer_alive: Callable[[Member], None] = lambda member: None

    @asynccontextmanager
    async def running(self, host: str, port: int) -> AsyncIterator[None]:
        """Listen on a UDP port and send heartbeats until the context ends."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(
                self._membership,
                self._loads,
                self._on_store_unreachable,
                self.on_rate_message,
                self.on_load_report,
                self.on_crash_message,
            ),
            local_addr=(host, port),
        )
        task = loop.create_task(self._send_forever())
        try:
            yield
        finally:
            task.cancel()
            self._transport.close()

    def send(self) -> None:
        """Send one heartbeat to the watchers.

        While this gateway suspects a member or is not ready, all members receive it.
        """
        now = asyncio.get_running_loop().time()
        is_ready, reaches_store = self._state()
        suspects = self._membership.suspects(now)
        own = self._membership.own
        is_row_due = (
            self._sent % HEARTBEATS_PER_ROW == 0
            or self._membership.has_unheard_watchers()
        )
        member = own if is_row_due else None
        self._sent += 1
        heartbeat = Heartbeat(
            own.name, is_ready, suspects, reaches_store, member, self.has_unrecorded()
        )
        data = msgspec.msgpack.encode(heartbeat)
        to_everyone = suspects or not is_ready
        recipients = (
            self._membership.others() if to_everyone else self._membership.watchers()
        )
        self._send_to(recipients, data)
        self._loads.is_complete = self._membership.exchanges_all_loads(now)
        self.record_peer_changes(now)

    def send_load_report(self, report: LoadReport) -> int:
        """Send a load report to its recipients; returns how many there are."""
        peers = self._membership.load_report_recipients(
            asyncio.get_running_loop().time()
        )
        self._send_to(peers, msgspec.msgpack.encode(report))
        return len(peers)

    def send_rate_message(
        self, message: RateRequest | RateAnswer, address: str | tuple[str, int]
    ) -> None:
        """Send a message on rate limits to another gateway.

        Args:
            message: The message.
            address: ``HOST:PORT``, or the address from which a request came.
        """
        if isinstance(address, str):
            address = split_address(address)
        if not self._transport.is_closing():
            self._transport.sendto(msgspec.msgpack.encode(message), address)

    def broadcast(self, message: CrashMessage) -> None:
        """Send a message to all other gateways, alive or not."""
        self.send_crash_messages(self._membership.others(), [message])

    def send_crash_messages(
        self,
        members: Iterable[Member],
        messages: Iterable[CrashMessage],
    ) -> None:
        """Send messages on crashes to some gateways."""
        if self._transport is None or self._transport.is_closing():
            return
        recipients = list(members)
        for message in messages:
            self._send_to(recipients, msgspec.msgpack.encode(message))

    def _send_to(self, members: Iterable[Member], data: bytes) -> None:
        for member in members:
            self._transport.sendto(data, split_address(member.heartbeats))

    def record_peer_changes(self, now: float) -> None:
        """Log which members have become alive or silent, and record the silent ones."""
        alive = {member.name for member in self._membership.alive(now)}
        for name in alive - self._alive:
            self._log.record("peer_alive", peer=name)
            member = self._membership.get(name)
            if member is not None:
                self.on_peer_alive(member)
        for name in self._alive - alive:
            is_leaving = self._membership.is_leaving(name)
            self._log.record("peer_silent", peer=name, is_leaving=is_leaving)
            if not is_leaving:
                self._membership.record_silence(name, now)
        for name in self._membership.record_lost_leavers(now):
            self._log.record("peer_lost_while_leaving", peer=name)
        self._alive = alive

    async def _send_forever(self) -> None:
        while True:
            self.send()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
