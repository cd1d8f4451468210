"""Load, speed and failures of each endpoint, learned from the gateway's requests.

Pace is the time of an answer divided by the usual time of the same kind of work: 1 is
usual, 2 is twice as slow.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .calls import EndpointLoad
from .engine_times import EngineTimes
from .failure_rates import OutcomeCounts, failure_share
from .load_sharing import PeerLoads

PACE_WEIGHT = 0.25
"""Weight of the newest answer in an endpoint's moving average of its pace."""
PACE_TTL_S = 4.0
"""An endpoint's average pace is ignored once its newest answer is this old."""
USUAL_WEIGHT = 0.05
"""Weight of the newest answer in the moving average of a kind of work."""
SLOW_FACTOR = 1.7
"""Pace from which an endpoint counts as slow. Work whose times vary by as much as their
mean stays below it on an endpoint of usual speed."""
FIRST_AVOID_S = 0.3
"""How long an endpoint is avoided after a failure; each further one doubles it."""
MAX_AVOID_S = 3.0
"""Longest time for which an endpoint is avoided: about that of a planned restart."""
FULL_AVOID_S = 0.1
"""How long an endpoint that refused a request as full is avoided: about the time of one
short answer."""
LOAD_REPORT_TTL_S = 0.5
"""Age from which an endpoint's load report is ignored."""


@dataclass(slots=True)
class EndpointHealth:
    """Load, pace and failures of one endpoint, as this gateway observes them.

    Attributes:
        in_flight: This gateway's requests that are under way there.
        reported_load: Newest load that the endpoint reported; ``None`` before that.
        reported_at: Loop time of that report.
        in_flight_at_report: ``in_flight`` at that time.
        pace: Moving average of the times of its answers, each divided by the usual time
            of its kind of work.
        pace_at: Loop time of the newest answer in ``pace``.
        failures: Failures since the last success.
        suspect_until: Loop time until which it is avoided because it failed.
        full_until: Loop time until which it counts as full.
        outcomes: Its answers and failures, weighted by age.
    """

    in_flight: int = 0
    reported_load: EndpointLoad | None = None
    reported_at: float = 0.0
    in_flight_at_report: int = 0
    pace: float = 1.0
    pace_at: float = 0.0
    failures: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)

    def running(self, now: float) -> int:
        """Return an estimate of the requests at the endpoint, queued ones included.

        This is the reported load, adjusted by the change of ``in_flight`` since the
        report, but at least ``in_flight``. Without a recent report it is ``in_flight``.
        """
        if self.reported_load is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return self.in_flight
        reported = self.reported_load.running + self.reported_load.waiting
        return max(self.in_flight, reported + self.in_flight - self.in_flight_at_report)

    def slowdown(self, now: float) -> float:
        """Return the slowdown of a recent load report, 1 without one."""
        if self.reported_load is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return 1.0
        return self.reported_load.slowdown

    def slowness(self, now: float) -> float:
        """Return the pace if it is recent and at least ``SLOW_FACTOR``, else 1."""
        is_recent = now - self.pace_at < PACE_TTL_S
        return self.pace if is_recent and self.pace >= SLOW_FACTOR else 1.0


@dataclass(frozen=True, slots=True)
class MeasuredTurn:
    """A turn that an engine has generated completely.

    Attributes:
        running: Requests at the engine when the turn was sent.
        events: Number of events in the turn's stream.
        gap_ms: Mean time between two of these events.
    """

    running: int
    events: int
    gap_ms: float


class HealthTracker:
    """Tracks the health of every endpoint, by the endpoint's key.

    Attributes:
        peers: Requests under way and failures that other gateways reported.
        on_change: Called when this gateway's number of requests under way changes.
        on_failure: Called when a request of this gateway has failed at an endpoint.
    """

    __slots__ = (
        "_engine_times",
        "_failing",
        "_states",
        "_usual_s",
        "on_change",
        "on_failure",
        "peers",
    )

    def __init__(self) -> None:
        self._states: dict[str, EndpointHealth] = {}
        # Keys of endpoints with recent failures; all others are skipped in the sums.
        self._failing: set[str] = set()
        self._usual_s: dict[str, float] = {}
        self._engine_times: dict[str, EngineTimes] = {}
        self.peers = PeerLoads()
        self.on_change: Callable[[], None] = lambda: None
        self.on_failure: Callable[[], None] = lambda: None

    def begin(self, key: str) -> None:
        """Add a request to those under way at an endpoint."""
        self.state(key).in_flight += 1
        self.on_change()

    def end(self, key: str) -> None:
        """Remove a request from those under way at an endpoint."""
        self.state(key).in_flight -= 1
        self.on_change()

    def counts(self) -> dict[str, int]:
        """Return this gateway's requests under way by key, without zeros."""
        return {
            key: state.in_flight
            for key, state in self._states.items()
            if state.in_flight > 0
        }

    def failures(
        self, now: float, hash_name: Callable[[str], int]
    ) -> dict[int, tuple[float, float]]:
        """Return age-weighted counts of answers and failures per failing endpoint.

        Args:
            now: Loop time.
            hash_name: Returns the hash of an endpoint's key.

        Returns:
            Answers and failures, by the hash of the endpoint's key; endpoints without
            recent failures are left out.
        """
        found = {}
        for key in list(self._failing):
            answered, failed = self._outcomes(key, now)
            if failed:
                found[hash_name(key)] = (round(answered, 1), round(failed, 1))
        return found

    def _outcomes(self, key: str, now: float) -> tuple[float, float]:
        """Return this gateway's answers and failures, weighted by their age now.

        Both are 0 for an endpoint without recent failures.
        """
        if key not in self._failing:
            return 0.0, 0.0
        answered, failed = self.state(key).outcomes.at(now)
        if not failed:
            self._failing.discard(key)
        return answered, failed

    def failure_share(self, key: str, now: float) -> float:
        """Return the share of requests expected to fail at an endpoint.

        It counts the requests of all gateways; see :func:`failure_share`.
        """
        answered, failed = self._outcomes(key, now)
        peers_answered, peers_failed = self.peers.failures(key, now)
        return failure_share(answered + peers_answered, failed + peers_failed)

    def running(self, key: str, now: float) -> int:
        """Return an estimate of all gateways' requests at an endpoint.

        Reports of all peers take precedence over the endpoint's own: they are newer,
        and they count requests that have not reached the endpoint yet. Where only some
        gateways report, their sum is a lower bound, and the larger estimate is used.
        """
        state = self.state(key)
        others = self.peers.total(key, now)
        if not others:
            return state.running(now)
        counted = state.in_flight + others
        if self.peers.is_complete:
            return counted
        return max(counted, state.running(now))

    def state(self, key: str) -> EndpointHealth:
        """Return the health of an endpoint; adds an entry for a new one."""
        known = self._states.get(key)
        if known is None:
            known = self._states[key] = EndpointHealth()
        return known

    def forget(self, key: str) -> None:
        """Delete the health of an endpoint that was removed."""
        self._states.pop(key, None)
        self._failing.discard(key)

    def record_load(self, key: str, load: EndpointLoad | None, now: float) -> None:
        """Record the load that an endpoint reported with an answer, if it did."""
        if load is None:
            return
        state = self.state(key)
        state.reported_load, state.reported_at = load, now
        state.in_flight_at_report = state.in_flight

    def record_success(self, key: str, kind: str, taken_s: float, now: float) -> None:
        """Record a good answer.

        Args:
            key: Key of the endpoint.
            kind: Kind of work, such as the name of a route; only times of one kind are
                compared with each other.
            taken_s: How long the answer took.
            now: Loop time.
        """
        usual_s = self.usual_s(kind, taken_s)
        self._usual_s[kind] = usual_s + USUAL_WEIGHT * (taken_s - usual_s)
        self._record_pace(key, taken_s / max(usual_s, 1e-6), now)

    def record_turn(
        self, key: str, service: str, turn: MeasuredTurn, now: float
    ) -> None:
        """Record a turn that an engine generated completely.

        Args:
            key: Key of the engine.
            service: Service of the engine; its engines share expected times.
            turn: The measured turn.
            now: Loop time.
        """
        times = self.engine_times(service)
        expected_ms = times.gap_ms(turn.running)
        times.record_gap(turn.running, turn.gap_ms, events=turn.events)
        self._record_pace(key, turn.gap_ms / max(expected_ms, 1e-3), now)

    def engine_times(self, service: str) -> EngineTimes:
        """Return the learned times of turns at the engines of a service."""
        return self._engine_times.setdefault(service, EngineTimes())

    def _record_pace(self, key: str, pace: float, now: float) -> None:
        """Record a good answer with its pace; ends the avoidance after failures."""
        state = self.state(key)
        state.outcomes.record(now, is_failure=False)
        state.failures = 0
        state.suspect_until = 0.0
        known = state.pace if now - state.pace_at < PACE_TTL_S else 1.0
        state.pace = known + PACE_WEIGHT * (pace - known)
        state.pace_at = now

    def usual_s(self, kind: str, default_s: float) -> float:
        """Return the average time of a kind of work, or ``default_s`` without one."""
        return self._usual_s.get(kind, default_s)

    def record_failure(self, key: str, now: float) -> None:
        """Record a failure that the endpoint caused, and avoid it for a while."""
        state = self.state(key)
        state.outcomes.record(now, is_failure=True)
        self._failing.add(key)
        avoid_s = min(FIRST_AVOID_S * 2**state.failures, MAX_AVOID_S)
        state.failures += 1
        state.suspect_until = now + avoid_s
        self.on_failure()

    def record_full(self, key: str, now: float) -> None:
        """Record that an endpoint refused a request because it was full."""
        self.state(key).full_until = now + FULL_AVOID_S
