"""Tornado applications for callers' address look-ups, readiness, peers and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import tornado.web
from prometheus_client import CollectorRegistry, generate_latest

from ..gateway.addresses import addresses_for
from ..gateway.decimals import parse_decimal
from ..gateway.members import Membership
from ..gateway.spending import AccountOwner
from ..gateway.spending_protocol import (
    SPENDING_PATH,
    SpendingRequest,
    answer_spending,
)
from .bootstrap import SNAPSHOT_PATH
from .store import RELAY_PATH, PlatformRowStore, RelayRequest

ADDRESS_TTL_S = 1
"""Time for which callers may cache an answer, and so may still use a dead instance."""


class _ResolveHandler(tornado.web.RequestHandler):
    def initialize(
        self, membership: Membership, is_ready: Callable[[], bool], ttl_s: float
    ) -> None:
        self._membership = membership
        self._is_ready = is_ready
        self._ttl_s = ttl_s

    def get(self) -> None:
        """Return the addresses that the caller should connect to."""
        found = addresses_for(
            self._membership,
            data_centre=self.get_query_argument("zone", ""),
            is_ready=self._is_ready(),
            now=asyncio.get_running_loop().time(),
        )
        if not found:
            self.set_status(503)
        self.set_header("Content-Type", "application/json")
        # ttlS: seconds for which the caller may cache the addresses.
        self.finish(msgspec.json.encode({"addresses": found, "ttlS": self._ttl_s}))


class _ReadyHandler(tornado.web.RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer 200 while this gateway takes requests, 503 otherwise."""
        self.set_status(200 if self._is_ready() else 503)


class _RelayHandler(tornado.web.RequestHandler):
    def initialize(self, store: PlatformRowStore) -> None:
        self._store = store

    async def post(self) -> None:
        """Call the row store on behalf of a peer that does not reach it."""
        try:
            request = msgspec.msgpack.decode(self.request.body, type=RelayRequest)
        except msgspec.MsgspecError:
            self.set_status(400)
            return
        answer = await self._store.execute_relayed(request)
        self.finish(msgspec.msgpack.encode(answer))


class _SpendingHandler(tornado.web.RequestHandler):
    def initialize(self, account_owner: AccountOwner) -> None:
        self._account_owner = account_owner

    async def post(self) -> None:
        """Answer a peer's request about a token account that this gateway holds."""
        try:
            request = msgspec.msgpack.decode(self.request.body, type=SpendingRequest)
        except msgspec.MsgspecError:
            self.set_status(400)
            return
        answer = await answer_spending(self._account_owner, request)
        self.finish(msgspec.msgpack.encode(answer))


class _SnapshotHandler(tornado.web.RequestHandler):
    def initialize(self, snapshot: Callable[[dict[str, int] | None], bytes]) -> None:
        self._snapshot = snapshot

    def get(self) -> None:
        """Return this gateway's snapshot for one that has just started.

        The query has the version of the newest row that it has, by feed.
        """
        after = {
            name: parse_decimal(values[-1].decode("latin-1")) or 0
            for name, values in self.request.query_arguments.items()
        }
        self.finish(self._snapshot(after or None))


class _MetricsHandler(tornado.web.RequestHandler):
    def initialize(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def get(self) -> None:
        """Return all metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(generate_latest(self._registry))


def _create_application(handlers: list[tuple]) -> tornado.web.Application:
    return tornado.web.Application(handlers, log_function=lambda _: None)


def directory_application(
    membership: Membership, is_ready: Callable[[], bool], *, max_ttl_s: float
) -> tornado.web.Application:
    """Return the application that serves gateways' addresses to callers.

    Args:
        membership: The known gateways.
        is_ready: Returns whether this gateway takes requests.
        max_ttl_s: Upper bound of the time for which callers may cache an answer.
    """
    ttl_s = min(ADDRESS_TTL_S, max_ttl_s)
    arguments = {"membership": membership, "is_ready": is_ready, "ttl_s": ttl_s}
    return _create_application([(r"/carobspur/resolve", _ResolveHandler, arguments)])


def ready_application(is_ready: Callable[[], bool]) -> tornado.web.Application:
    """Return the application that answers readiness checks."""
    return _create_application(
        [(r"/carobspur/readyz", _ReadyHandler, {"is_ready": is_ready})]
    )


def peer_application(
    store: PlatformRowStore,
    account_owner: AccountOwner,
    snapshot: Callable[[dict[str, int] | None], bytes],
) -> tornado.web.Application:
    """Return the application that serves other gateways.

    Args:
        store: Makes the store calls of peers.
        account_owner: Answers requests about token accounts.
        snapshot: Returns the encoded snapshot of the rows of the followed tables that
            are newer than the given versions; all without any.
    """
    return _create_application(
        [
            (RELAY_PATH, _RelayHandler, {"store": store}),
            (SPENDING_PATH, _SpendingHandler, {"account_owner": account_owner}),
            (SNAPSHOT_PATH, _SnapshotHandler, {"snapshot": snapshot}),
        ]
    )


def metrics_application(registry: CollectorRegistry) -> tornado.web.Application:
    """Return the application that serves metrics."""
    return _create_application([(r"/metrics", _MetricsHandler, {"registry": registry})])
