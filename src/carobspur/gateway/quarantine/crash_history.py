"""Which requests endpoints were running when they crashed; pure.

Answers a load that crashes endpoint after endpoint: one request that is sent again and
again, by its callers and by retries. Requests that were merely there are told apart:

- An endpoint crashes when it begins to run such a request. So one that had begun and
  given no output is blamed most, one that was perhaps still queued less, and one that
  had given output hardly at all.
- Blame for a crash is divided among its requests, and convicts only with a number of
  crashes: one crash never does.
- A complete answer acquits a request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

MAX_CRASHES = 512
"""Most crashes that are remembered."""
MAX_SUSPECTS = 96
"""Most requests that are remembered for a crash."""
MAX_CONVICTED = 4096
"""Most requests in quarantine."""
CRASH_TTL_S = 300.0
"""How long a crash counts against its suspects, and the first quarantine lasts; each
further crash after that doubles it."""
MAX_QUARANTINE_S = 3600.0
CONVICTIONS = ((2, 1.2), (3, 0.5), (5, 0.0))
"""Crashes that convict a request, each with the least blame for all of them."""
DOUBLED_FROM = 3
"""Crashes from which each further one doubles the quarantine."""
RECOVERY_S = 5.0
"""Time after a crash for which the endpoint counts as missing: a restart takes some
seconds."""


class Progress(IntEnum):
    """How far a request had come when its answer was lost."""

    PRODUCING = 0
    """Some output was received."""
    SENT = 1
    """Nothing was received; it may have been queued at the endpoint."""
    BEGUN = 2
    """The head of the answer was received, and no output."""


WEIGHTS = {Progress.PRODUCING: 0.05, Progress.SENT: 0.25, Progress.BEGUN: 1.0}
"""Weights by which blame for a crash is divided."""


@dataclass(slots=True)
class Crash:
    """A crash of one start of an endpoint.

    Attributes:
        service: Hash of the endpoint's service.
        at: Loop time at which it became known.
        requests: Digests of the requests that were lost, with their progress.
        reporters: Names of the gateways that reported some of them.
    """

    service: int
    at: float
    requests: dict[int, Progress] = field(default_factory=dict)
    reporters: set[str] = field(default_factory=set)

    def is_suspect(self, request: int) -> bool:
        """Return whether a request may have caused the crash.

        One with output is suspected only if no other was under way without any.
        """
        progress = self.requests[request]
        return progress > Progress.PRODUCING or not any(self.requests.values())

    def blame(self, request: int) -> float:
        """Return a request's share of the blame."""
        total = sum(WEIGHTS[progress] for progress in self.requests.values())
        return WEIGHTS[self.requests[request]] / total


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of one request.

    Attributes:
        crashes: Recent crashes in which it is suspected.
        blame: Sum of its shares of the blame for them.
        quarantined_until: Loop time at which its quarantine ends; ``None`` if it is not
            in quarantine.
        reporters: Names of the gateways that reported it.
    """

    crashes: int = 0
    blame: float = 0.0
    quarantined_until: float | None = None
    reporters: tuple[str, ...] = ()

    @property
    def is_suspected(self) -> bool:
        """Whether it may have caused a recent crash."""
        return self.crashes > 0


INNOCENT = Verdict()


@dataclass(slots=True)
class _Conviction:
    crashes: int
    last_at: float

    @property
    def until(self) -> float:
        doublings = min(max(0, self.crashes - DOUBLED_FROM), 10)
        return self.last_at + min(CRASH_TTL_S * 2**doublings, MAX_QUARANTINE_S)


class CrashHistory:
    """Recent crashes with their suspects, and the requests in quarantine.

    Endpoints are identified by the hash of their key, which is new with each start.
    """

    __slots__ = ("_by_request", "_convicted", "_crashes")

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, Crash] = OrderedDict()
        self._by_request: dict[int, set[int]] = {}
        self._convicted: OrderedDict[int, _Conviction] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or in quarantine."""
        return not self._by_request and not self._convicted

    @property
    def convicted(self) -> int:
        """Number of requests that were found guilty and not acquitted since."""
        return len(self._convicted)

    def record(
        self,
        endpoint: int,
        service: int,
        at: float,
        *,
        requests: Mapping[int, Progress],
        reporter: str,
    ) -> bool:
        """Add what one gateway knows of a crash; returns whether it is a new crash.

        Args:
            endpoint: The endpoint.
            service: Hash of its service.
            at: Loop time at which the crash became known.
            requests: Digests of requests that were lost, with their progress.
            reporter: Name of the gateway.
        """
        crash = self._crashes.get(endpoint)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[endpoint] = Crash(service, at)
            if len(self._crashes) > MAX_CRASHES:
                self._drop(next(iter(self._crashes)))
        crash.reporters.add(reporter)
        for request, progress in requests.items():
            known = crash.requests.get(request)
            if known is None and len(crash.requests) >= MAX_SUSPECTS:
                continue
            crash.requests[request] = (
                progress if known is None else max(known, progress)
            )
            self._by_request.setdefault(request, set()).add(endpoint)
            if request in self._convicted:
                self.verdict(request, at)
        return is_new

    def verdict(self, request: int, now: float) -> Verdict:
        """Return what is known of a request, and convict it if that suffices."""
        self._expire(now)
        crashes = [
            crash
            for crash in map(self._crashes.get, self._by_request.get(request, ()))
            if crash.is_suspect(request)
        ]
        conviction = self._convicted.get(request)
        if not crashes and conviction is None:
            return INNOCENT
        blame = sum(crash.blame(request) for crash in crashes)
        last_at = max((crash.at for crash in crashes), default=0.0)
        if conviction is None:
            if any(
                len(crashes) >= count and blame >= least for count, least in CONVICTIONS
            ):
                conviction = _Conviction(DOUBLED_FROM, last_at)
                self._convicted[request] = conviction
                if len(self._convicted) > MAX_CONVICTED:
                    self._convicted.popitem(last=False)
        elif last_at > conviction.until:
            conviction.crashes += 1
            conviction.last_at = last_at
        until = conviction.until if conviction else 0.0
        reporters = {name for crash in crashes for name in crash.reporters}
        return Verdict(
            len(crashes),
            blame,
            until if until > now else None,
            tuple(sorted(reporters)),
        )

    def acquit(self, request: int) -> bool:
        """Forget a request that was answered completely; returns if it was known."""
        was_known = request in self._by_request or request in self._convicted
        self._convicted.pop(request, None)
        for endpoint in self._by_request.pop(request, ()):
            self._crashes[endpoint].requests.pop(request, None)
        return was_known

    def is_remembered(self, request: int) -> bool:
        """Return whether a request was at an endpoint that crashed."""
        return request in self._by_request

    def has_crashed(self, endpoint: int) -> bool:
        """Return whether a start of an endpoint is known to have ended."""
        return endpoint in self._crashes

    def missing(self, service: int, now: float) -> int:
        """Return how many endpoints of a service are probably being restarted."""
        return sum(
            crash.service == service and now - crash.at < RECOVERY_S
            for crash in self._crashes.values()
        )

    def crashes(self, now: float) -> list[tuple[int, Crash]]:
        """Return the recent crashes whose requests were not all acquitted."""
        self._expire(now)
        return [item for item in self._crashes.items() if item[1].requests]

    def _expire(self, now: float) -> None:
        while self._convicted:
            request, conviction = next(iter(self._convicted.items()))
            if now - conviction.until < MAX_QUARANTINE_S:
                break
            del self._convicted[request]
        while self._crashes:
            endpoint, crash = next(iter(self._crashes.items()))
            if now - crash.at < CRASH_TTL_S:
                return
            self._drop(endpoint)

    def _drop(self, endpoint: int) -> None:
        crash = self._crashes.pop(endpoint)
        for request in crash.requests:
            endpoints = self._by_request.get(request, set())
            endpoints.discard(endpoint)
            if not endpoints:
                self._by_request.pop(request, None)
