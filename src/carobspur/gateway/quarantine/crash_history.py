"""Which requests endpoints were running when they crashed; pure.

Answers a load that crashes endpoint after endpoint: one request that is sent again and
again, by its callers and by retries. Requests that were merely there are told apart:

- An endpoint crashes when it begins to run such a request. So one that had begun and
  given no output is blamed most, one that was perhaps still queued less, and one that
  had given output hardly at all.
- Blame for a crash is divided among its requests, and convicts only with a number of
  crashes: one crash never does.
- A complete answer acquits a request.
- Callers may change the body a little with each attempt. So a target (a request without
  its body) is judged as well, but only while no request for it is answered completely.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from .request_identity import RequestIdentity

MAX_CRASHES = 256
"""Most crashes that are remembered."""
MAX_SUSPECTS = 48
"""Most requests that are remembered for a crash; those that came furthest without any
output are kept."""
MAX_CONVICTED = 4096
"""Most requests and targets in quarantine."""
MAX_ANSWERED = 8192
"""Most targets that are remembered as answered."""
ANSWERED_TTL_S = 60.0
"""How long a target is beyond suspicion after a complete answer."""
CRASH_TTL_S = 300.0
"""How long a crash counts against its suspects, and the first quarantine lasts; each
further crash after that doubles it."""
MAX_QUARANTINE_S = 3600.0
CONVICTIONS = ((2, 1.2), (3, 0.5), (5, 0.0))
"""Crashes that convict a request, each with the least blame for all of them."""
TARGET_CONVICTIONS = ((3, 1.2), (5, 0.5))
"""The same for a target."""
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
        requests: Requests that were lost, with their progress.
        reporters: Names of the gateways that reported some of them.
        digests: Digests of all requests and targets, acquitted ones included.
    """

    service: int
    at: float
    requests: dict[RequestIdentity, Progress] = field(default_factory=dict)
    reporters: set[str] = field(default_factory=set)
    digests: set[int] = field(default_factory=set)

    def add(self, request: RequestIdentity, progress: Progress) -> bool:
        """Add a request; returns whether there was room for it."""
        known = self.requests.get(request)
        if known is None and len(self.requests) >= MAX_SUSPECTS:
            least = min(self.requests, key=self.requests.__getitem__)
            if self.requests[least] >= progress:
                return False
            del self.requests[least]
        self.requests[request] = progress if known is None else max(known, progress)
        self.digests.update((request.request, request.target))
        return True

    def blame(self, digest: int) -> float:
        """Return the share of the blame of a request or of a target.

        It is 0 for one with output if any other request was under way without.
        """
        suspects = [
            progress
            for request, progress in self.requests.items()
            if digest in (request.request, request.target)
        ]
        if not suspects or (not any(suspects) and any(self.requests.values())):
            return 0.0
        total = sum(WEIGHTS[progress] for progress in self.requests.values())
        return sum(WEIGHTS[progress] for progress in suspects) / total


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of one request.

    Attributes:
        crashes: Recent crashes in which it is suspected.
        blame: Sum of its shares of the blame for them.
        quarantined_until: Loop time at which its quarantine ends; ``None`` if it is not
            in quarantine.
        reporters: Names of the gateways that reported it.
        is_target: Whether not this body is blamed but all requests for the target.
    """

    crashes: int = 0
    blame: float = 0.0
    quarantined_until: float | None = None
    reporters: tuple[str, ...] = ()
    is_target: bool = False

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

    __slots__ = ("_answered", "_at_crashes", "_convicted", "_crashes")

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, Crash] = OrderedDict()
        # Endpoints that crashed, by the digest of a request or target that was there.
        self._at_crashes: dict[int, set[int]] = {}
        self._convicted: OrderedDict[int, _Conviction] = OrderedDict()
        # Loop time of the newest complete answer, by target.
        self._answered: OrderedDict[int, float] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or in quarantine."""
        return not self._at_crashes and not self._convicted

    @property
    def convicted(self) -> int:
        """Number of requests and targets found guilty and not acquitted since."""
        return len(self._convicted)

    def record(
        self,
        endpoint: int,
        service: int,
        at: float,
        *,
        requests: Mapping[RequestIdentity, Progress],
        reporter: str,
    ) -> bool:
        """Add what one gateway knows of a crash; returns whether it is a new crash.

        Args:
            endpoint: The endpoint.
            service: Hash of its service.
            at: Loop time at which the crash became known.
            requests: Requests that were lost, with their progress.
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
            if not crash.add(request, progress):
                continue
            for digest in (request.request, request.target):
                self._at_crashes.setdefault(digest, set()).add(endpoint)
                if digest in self._convicted:
                    self._judge(digest, CONVICTIONS, at)
        return is_new

    def verdict(self, request: RequestIdentity, now: float) -> Verdict:
        """Return what is known of a request, and convict it if that suffices."""
        self._expire(now)
        verdict = self._judge(request.request, CONVICTIONS, now)
        if verdict.quarantined_until is not None or self.is_answered(
            request.target, now
        ):
            return verdict
        target = self._judge(request.target, TARGET_CONVICTIONS, now, is_target=True)
        is_worse = target.quarantined_until is not None or not verdict.is_suspected
        return target if is_worse else verdict

    def _judge(
        self,
        digest: int,
        convictions: tuple[tuple[int, float], ...],
        now: float,
        *,
        is_target: bool = False,
    ) -> Verdict:
        crashes = [
            (crash, crash.blame(digest))
            for crash in map(self._crashes.get, self._at_crashes.get(digest, ()))
        ]
        crashes = [(crash, blame) for crash, blame in crashes if blame]
        conviction = self._convicted.get(digest)
        if not crashes and conviction is None:
            return INNOCENT
        total = sum(blame for _, blame in crashes)
        last_at = max((crash.at for crash, _ in crashes), default=0.0)
        if conviction is None:
            if any(
                len(crashes) >= count and total >= least for count, least in convictions
            ):
                conviction = _Conviction(DOUBLED_FROM, last_at)
                self._convicted[digest] = conviction
                if len(self._convicted) > MAX_CONVICTED:
                    self._convicted.popitem(last=False)
        elif last_at > conviction.until:
            conviction.crashes += 1
            conviction.last_at = last_at
        until = conviction.until if conviction else 0.0
        reporters = {name for crash, _ in crashes for name in crash.reporters}
        return Verdict(
            len(crashes),
            total,
            until if until > now else None,
            tuple(sorted(reporters)),
            is_target,
        )

    def acquit(self, request: RequestIdentity, now: float) -> bool:
        """Record that a request was answered completely.

        Returns:
            Whether that is news about a suspect, which the peers should be told.
        """
        is_news = self.is_remembered(request) or request.request in self._convicted
        if not self.is_answered(request.target, now):
            is_news = is_news or self.is_suspected_target(request.target)
        self.record_answered(request.target, now)
        self._convicted.pop(request.request, None)
        for endpoint in self._at_crashes.pop(request.request, ()):
            self._crashes[endpoint].requests.pop(request, None)
        return is_news

    def record_answered(self, target: int, now: float) -> None:
        """Record that requests for a target are answered, here or at a peer."""
        self._answered[target] = now
        self._answered.move_to_end(target)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        self._convicted.pop(target, None)

    def is_suspected_target(self, target: int) -> bool:
        """Return whether a request for a target was at an endpoint that crashed."""
        return target in self._at_crashes

    def answered_targets(self, now: float) -> list[int]:
        """Return the targets of recent crashes whose requests are answered."""
        targets = {
            request.target
            for crash in self._crashes.values()
            for request in crash.requests
        }
        return [target for target in targets if self.is_answered(target, now)]

    def is_answered(self, target: int, now: float) -> bool:
        """Return whether a request for a target was answered completely of late."""
        return now - self._answered.get(target, float("-inf")) < ANSWERED_TTL_S

    def is_remembered(self, request: RequestIdentity) -> bool:
        """Return whether a request was at an endpoint that crashed."""
        return request.request in self._at_crashes

    def has_crashed(self, endpoint: int) -> bool:
        """Return whether a start of an endpoint is known to have ended."""
        return endpoint in self._crashes

    def recoveries(self, service: int, now: float) -> list[float]:
        """Return when the endpoints of a service that crashed are probably back.

        Returns:
            Seconds until each of them is back, in ascending order.
        """
        return sorted(
            crash.at + RECOVERY_S - now
            for crash in self._crashes.values()
            if crash.service == service and now - crash.at < RECOVERY_S
        )

    def crashes(self, now: float) -> list[tuple[int, Crash]]:
        """Return the recent crashes whose requests were not all acquitted."""
        self._expire(now)
        return [item for item in self._crashes.items() if item[1].requests]

    def _expire(self, now: float) -> None:
        while self._convicted:
            digest, conviction = next(iter(self._convicted.items()))
            if now - conviction.until < MAX_QUARANTINE_S:
                break
            del self._convicted[digest]
        while self._crashes:
            endpoint, crash = next(iter(self._crashes.items()))
            if now - crash.at < CRASH_TTL_S:
                return
            self._drop(endpoint)

    def _drop(self, endpoint: int) -> None:
        for digest in self._crashes.pop(endpoint).digests:
            endpoints = self._at_crashes.get(digest, set())
            endpoints.discard(endpoint)
            if not endpoints:
                self._at_crashes.pop(digest, None)
