"""Finds out whether an endpoint that lost requests has crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from ..calls import Call
from ..decisions import DecisionLog
from ..endpoints import Endpoint
from ..http_pool import ConnectionPool
from ..load_sharing import name_hash
from ..send_errors import NotSentError, RefusedConnectionError
from ..telemetry import Telemetry
from .crash_history import MAX_SUSPECTS, CrashHistory, Progress
from .messages import CrashReport
from .request_identity import RequestIdentity

SETTLE_S = 0.02
"""Longest wait for a probe: several round trips within a region."""


class CrashWatch:
    """Records crashes of endpoints with the requests that this gateway had there.

    An answer may be lost for many reasons. An endpoint has crashed if it then refuses
    a new connection: nobody listens at its address.

    Args:
        history: Crashes with their suspects.
        pool: Connections to endpoints.
        name: Name of this gateway's process.
        spawn: Runs a coroutine in the background.
        log: Decision log.
        telemetry: Metrics.

    Attributes:
        on_crash: Called with what this gateway knows of a crash, so that the peers are
            told.
    """

    __slots__ = (
        "_history",
        "_log",
        "_losses",
        "_name",
        "_pool",
        "_probes",
        "_spawn",
        "_telemetry",
        "on_crash",
    )

    def __init__(
        self,
        history: CrashHistory,
        pool: ConnectionPool,
        *,
        name: str,
        spawn: Callable[[Coroutine[None, None, None]], asyncio.Task],
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self._history = history
        self._pool = pool
        self._name = name
        self._spawn = spawn
        self._log = log
        self._telemetry = telemetry
        # Lost requests and probes by the key of an endpoint that is being probed.
        self._losses: dict[str, dict[RequestIdentity, Progress]] = {}
        self._probes: dict[str, asyncio.Task] = {}
        self.on_crash: Callable[[CrashReport], None] = lambda report: None

    def record_loss(
        self, endpoint: Endpoint, call: Call, progress: Progress, *, reason: str
    ) -> None:
        """Record a request whose connection ended before its answer was complete.

        Args:
            endpoint: Where it was lost.
            call: The request.
            progress: How far it had come.
            reason: Why it counts as lost.
        """
        losses = self._losses.get(endpoint.key)
        if losses is None:
            losses = self._losses[endpoint.key] = {}
            probe = self._spawn(self._probe(endpoint, reason))
            self._probes[endpoint.key] = probe
        if len(losses) < MAX_SUSPECTS:
            losses[RequestIdentity.of(call)] = progress

    async def settle(self, endpoint: Endpoint) -> None:
        """Wait until it is known whether an endpoint has crashed, for a moment at most.

        A request is not sent to another endpoint before that: it may crash that one,
        too.
        """
        probe = self._probes.get(endpoint.key)
        if probe is not None:
            await asyncio.wait([probe], timeout=SETTLE_S)

    async def _probe(self, endpoint: Endpoint, reason: str) -> None:
        try:
            if not self._history.has_crashed(name_hash(endpoint.key)):
                await self._pool.probe(endpoint.key, endpoint.host, endpoint.port)
        except RefusedConnectionError:
            self._record_crash(endpoint, reason)
        except NotSentError as error:
            # A cut or overloaded endpoint does not refuse connections.
            self._log.record(
                "crash_not_known", endpoint=endpoint.id, reason=error.message
            )
        else:
            if self._history.has_crashed(name_hash(endpoint.key)):
                self._record_crash(endpoint, reason)
        finally:
            self._losses.pop(endpoint.key, None)
            self._probes.pop(endpoint.key, None)

    def _record_crash(self, endpoint: Endpoint, reason: str) -> None:
        losses = self._losses[endpoint.key]
        now = asyncio.get_running_loop().time()
        is_new = self._history.record(
            name_hash(endpoint.key),
            name_hash(endpoint.service),
            now,
            requests=losses,
            reporter=self._name,
        )
        if is_new:
            self._telemetry.endpoint_crashes.inc()
        self._log.record(
            "endpoint_crashed",
            endpoint=endpoint.id,
            service=endpoint.service,
            requests={
                f"{request.request:016x}": progress.name.lower()
                for request, progress in losses.items()
            },
            targets=sorted({f"{request.target:016x}" for request in losses}),
            reason=reason,
        )
        self.on_crash(
            CrashReport.create(
                self._name,
                name_hash(endpoint.key),
                name_hash(endpoint.service),
                losses,
            )
        )
