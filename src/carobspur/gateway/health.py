"""What the gateway's own requests tell of each endpoint: load, pace and failures."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .calls import EndpointLoad
from .engine_times import EngineTimes
from .failure_rates import OutcomeCounts, failure_share
from .load_sharing import PeerLoads

PACE_WEIGHT = 0.25
"""Weight of the newest answer in an endpoint's average."""
PACE_MEMORY_S = 4.0
"""An average without new answers is forgotten after this long."""
USUAL_WEIGHT = 0.05
"""Weight of the newest answer in what is usual for a kind of work."""
SLOW_FACTOR = 1.7
"""An endpoint counts as slow from this many times the usual on; work that varies by
its mean stays below."""
FIRST_SUSPECT_S = 0.3
"""How long an endpoint is avoided after a failure; doubled by each that follows."""
MAX_SUSPECT_S = 3.0
"""Longest avoidance: about a planned restart of an endpoint."""
FULL_S = 0.1
"""How long an endpoint that said it is full is avoided: about one short answer."""
LOAD_MEMORY_S = 0.5
"""Told loads older than this say nothing any more."""


@dataclass(slots=True)
class EndpointHealth:
    """What is known of one endpoint.

    Attributes:
        in_flight: Requests of this gateway that are under way there.
        told: Newest load that it told.
        told_at: Loop time of that.
        told_in_flight: ``in_flight`` at that time.
        pace: Average time of its answers, in times of what is usual for their kind.
        pace_at: Loop time of the newest measurement.
        failures: Failures since the last success.
        suspect_until: Loop time until which it is avoided.
        full_until: Loop time until which it has no place.
        outcomes: Its answers and failures of late.
    """

    in_flight: int = 0
    told: EndpointLoad | None = None
    told_at: float = 0.0
    told_in_flight: int = 0
    pace: float = 1.0
    pace_at: float = 0.0
    failures: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)

    def running(self, now: float) -> int:
        """Return the requests that probably occupy it now."""
        if self.told is None or now - self.told_at > LOAD_MEMORY_S:
            return self.in_flight
        told = self.told.running + self.told.waiting
        return max(self.in_flight, told + self.in_flight - self.told_in_flight)

    def slowness(self, now: float) -> float:
        """Return how many times slower than usual it is; 1 where not clearly so."""
        is_known = now - self.pace_at < PACE_MEMORY_S
        return self.pace if is_known and self.pace >= SLOW_FACTOR else 1.0


@dataclass(frozen=True, slots=True)
class MeasuredTurn:
    """A turn that an engine has generated whole.

    Attributes:
        running: Requests that occupied the engine when it was sent.
        events: Its events.
        gap_ms: Mean pause between two of them.
    """

    running: int
    events: int
    gap_ms: float


class HealthTracker:
    """States of endpoints by key.

    Attributes:
        peers: What other gateways have under way.
        on_change: Called when the number of requests under way changes.
        on_failure: Called when an endpoint has failed.
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
        # Keys of endpoints that failed lately, so that the others cost nothing.
        self._failing: set[str] = set()
        self._usual_s: dict[str, float] = {}
        self._engine_times: dict[str, EngineTimes] = {}
        self.peers = PeerLoads()
        self.on_change: Callable[[], None] = lambda: None
        self.on_failure: Callable[[], None] = lambda: None

    def begin(self, key: str) -> None:
        """Count a request that is sent to an endpoint."""
        self.state(key).in_flight += 1
        self.on_change()

    def end(self, key: str) -> None:
        """Count a request that has ended there."""
        self.state(key).in_flight -= 1
        self.on_change()

    def counts(self) -> dict[str, int]:
        """Return this gateway's requests under way by endpoint."""
        return {
            key: state.in_flight
            for key, state in self._states.items()
            if state.in_flight > 0
        }

    def failures(
        self, now: float, hash_name: Callable[[str], int]
    ) -> dict[int, tuple[float, float]]:
        """Return answers and failures of endpoints that failed lately, by name."""
        found = {}
        for key in list(self._failing):
            answered, failed = self._outcomes(key, now)
            if failed:
                found[hash_name(key)] = (round(answered, 1), round(failed, 1))
        return found

    def _outcomes(self, key: str, now: float) -> tuple[float, float]:
        """Return this gateway's answers and failures as they count now."""
        if key not in self._failing:
            return 0.0, 0.0
        answered, failed = self.state(key).outcomes.at(now)
        if not failed:
            self._failing.discard(key)
        return answered, failed

    def failure_share(self, key: str, now: float) -> float:
        """Return the share of an endpoint's requests that are likely to fail."""
        answered, failed = self._outcomes(key, now)
        peers_answered, peers_failed = self.peers.failures(key, now)
        return failure_share(answered + peers_answered, failed + peers_failed)

    def running(self, key: str, now: float) -> int:
        """Return the requests of all gateways that occupy an endpoint.

        What peers report is newer than what the endpoint last told, and counts
        requests that have not reached it yet.
        """
        state = self.state(key)
        others = self.peers.total(key, now)
        if others:
            return state.in_flight + others
        return state.running(now)

    def state(self, key: str) -> EndpointHealth:
        """Return an endpoint's state, a fresh one for a new endpoint."""
        return self._states.setdefault(key, EndpointHealth())

    def forget(self, key: str) -> None:
        """Drop the state of an endpoint that is gone."""
        self._states.pop(key, None)
        self._failing.discard(key)

    def record_load(self, key: str, load: EndpointLoad | None, now: float) -> None:
        """Take note of a load that an endpoint told."""
        if load is None:
            return
        state = self.state(key)
        state.told, state.told_at = load, now
        state.told_in_flight = state.in_flight

    def record_success(self, key: str, kind: str, taken_s: float, now: float) -> None:
        """Take note of a good answer.

        Args:
            key: The endpoint.
            kind: What was measured, such as a route; times of one kind compare.
            taken_s: How long it took.
            now: Loop time.
        """
        usual_s = self.usual_s(kind, taken_s)
        self._usual_s[kind] = usual_s + USUAL_WEIGHT * (taken_s - usual_s)
        self._record_pace(key, taken_s / max(usual_s, 1e-6), now)

    def record_turn(
        self, key: str, service: str, turn: MeasuredTurn, now: float
    ) -> None:
        """Take note of a turn that was generated whole."""
        times = self.engine_times(service)
        expected_ms = times.gap_ms(turn.running)
        times.record_gap(turn.running, turn.gap_ms, events=turn.events)
        self._record_pace(key, turn.gap_ms / max(expected_ms, 1e-3), now)

    def engine_times(self, service: str) -> EngineTimes:
        """Return what turns take at the engines of a service."""
        return self._engine_times.setdefault(service, EngineTimes())

    def _record_pace(self, key: str, pace: float, now: float) -> None:
        """Take note of a good answer that took so many times what is usual."""
        state = self.state(key)
        state.outcomes.record(now, is_failure=False)
        state.failures = 0
        state.suspect_until = 0.0
        known = state.pace if now - state.pace_at < PACE_MEMORY_S else 1.0
        state.pace = known + PACE_WEIGHT * (pace - known)
        state.pace_at = now

    def usual_s(self, kind: str, otherwise_s: float) -> float:
        """Return the usual time of a kind of work."""
        return self._usual_s.get(kind, otherwise_s)

    def record_failure(self, key: str, now: float) -> None:
        """Take note of a failure that is the endpoint's own."""
        state = self.state(key)
        state.outcomes.record(now, is_failure=True)
        self._failing.add(key)
        avoid_s = min(FIRST_SUSPECT_S * 2**state.failures, MAX_SUSPECT_S)
        state.failures += 1
        state.suspect_until = now + avoid_s
        self.on_failure()

    def record_full(self, key: str, now: float) -> None:
        """Take note that an endpoint had no place."""
        self.state(key).full_until = now + FULL_S
