"""Load reports of endpoints: which instance polls which endpoint, and their gossip.

One control process polls each endpoint, and a second one polls it while no reports
arrive from the first. Reports carry their age, so that clocks are not compared; the
newest one is kept. In a system of more than ``SMALL_SYSTEM_ENDPOINTS`` endpoints a
report is sent only within its endpoint's data centre, unless the endpoint is draining
or unreachable: routing in other data centres must know that at once.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from .heartbeats import name_hash
from .inventory import Inventory
from .placement import rank

MAX_SAMPLES_PER_MESSAGE = 96
SENDS_PER_REPORT = 2
SENDS_PER_URGENT_REPORT = 6
SMALL_SYSTEM_ENDPOINTS = 128
LARGE_SYSTEM_PERIOD_S = 1.0
BACKUP_POLL_AFTER_PERIODS = 3.0
AGE_TOLERANCE_S = 0.15
POLLERS_PER_ENDPOINT = 2

# Hash of the address, running calls, waiting calls, used share of the cache in 255ths,
# age in units of 0.1 s, flags.
_SAMPLE = struct.Struct(">IHHBBB")
_MAX_U16 = 0xFFFF
_MAX_U8 = 0xFF
_REACHABLE = 1
_DRAINING = 2
_AGE_UNIT_S = 0.1


class EngineLoad(msgspec.Struct, frozen=True):
    """An endpoint's answer to a poll of its load.

    Attributes:
        running: Calls that it runs.
        waiting: Calls that it has queued.
        kv_used_tokens: Tokens in its prefix cache.
        kv_capacity_tokens: Capacity of that cache.
        leaving: Whether it is draining.
    """

    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PolledEndpoint:
    """An endpoint whose load is polled.

    Attributes:
        data_centre: Data centre in which it runs.
        kv_tokens: Capacity of its prefix cache.
    """

    data_centre: str
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load report of an endpoint.

    Attributes:
        at_s: Monotonic time of this process at which the poll ended.
        load: What the endpoint answered; ``None`` if it did not.
    """

    at_s: float
    load: EngineLoad | None

    @property
    def is_available(self) -> bool:
        """Whether the endpoint answered and is not draining."""
        return self.load is not None and not self.load.leaving

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint answered that it is draining."""
        return self.load is not None and self.load.leaving


class LoadReports:
    """The newest report of each endpoint, and which reports are still to be sent.

    Reports are sent by gossip. Each one is sent only a few times, since the peers that
    receive it send it too.
    """

    __slots__ = (
        "_poller_data_centres",
        "_polled",
        "_address_by_hash",
        "_samples",
        "_sends_left",
        "_is_primary",
    )

    def __init__(self) -> None:
        self._poller_data_centres: dict[str, str] = {}
        self._is_primary: dict[str, bool] = {}
        self._polled: dict[str, PolledEndpoint] = {}
        self._address_by_hash: dict[int, str] = {}
        self._samples: dict[str, LoadSample] = {}
        self._sends_left: dict[str, int] = {}

    @property
    def samples(self) -> Mapping[str, LoadSample]:
        """The newest reports by address of the endpoint."""
        return self._samples

    def set_endpoints(self, endpoints: Mapping[str, PolledEndpoint]) -> None:
        """Set the endpoints to poll, by address; drops reports of all others."""
        if endpoints == self._polled:
            return
        self._polled = dict(endpoints)
        self._poller_data_centres = {}
        self._address_by_hash = {name_hash(address): address for address in endpoints}
        for address in [item for item in self._samples if item not in endpoints]:
            del self._samples[address]
            self._sends_left.pop(address, None)

    def add(self, address: str, sample: LoadSample) -> bool:
        """Store a report and schedule its sending, if it is newer than the known one.

        Returns:
            Whether it was newer by more than ``AGE_TOLERANCE_S``. Ages are sent in
            steps of 0.1 s, so one report arrives with slightly different times.
        """
        known = self._samples.get(address)
        if known is not None and sample.at_s <= known.at_s + AGE_TOLERANCE_S:
            return False
        self._samples[address] = sample
        self._sends_left.pop(address, None)
        self._sends_left[address] = (
            SENDS_PER_URGENT_REPORT
            if _changes_availability(known, sample)
            else SENDS_PER_REPORT
        )
        return True

    def endpoints_to_poll(
        self,
        own: str,
        instances: Mapping[str, str],
        *,
        period_s: float,
        now_s: float,
    ) -> Iterator[str]:
        """Yield the endpoints that this process should poll now.

        These are the endpoints of which it is the primary poller, and those of which
        it is the backup poller and whose newest report is too old.

        Args:
            own: Id of this instance.
            instances: Data centre of each instance that can poll.
            period_s: Time between two polls of an endpoint.
            now_s: Monotonic time.
        """
        if instances != self._poller_data_centres:
            self._poller_data_centres = dict(instances)
            self._is_primary = self._assign_polls(own)
        for address, is_primary in self._is_primary.items():
            if is_primary or self._is_outdated(address, period_s, now_s):
                yield address

    @property
    def primary_endpoints(self) -> list[str]:
        """Endpoints of which this process is the primary poller."""
        return [
            address for address, is_primary in self._is_primary.items() if is_primary
        ]

    def poll_period_s(self, poll_s: float) -> float:
        """Return the time between two polls of an endpoint.

        In a large system it is at least ``LARGE_SYSTEM_PERIOD_S``.

        Args:
            poll_s: The period by the settings.
        """
        is_small_system = len(self._polled) <= SMALL_SYSTEM_ENDPOINTS
        return poll_s if is_small_system else max(poll_s, LARGE_SYSTEM_PERIOD_S)

    def _assign_polls(self, own: str) -> dict[str, bool]:
        """Return the endpoints to poll, and whether this is the primary poller of each.

        An endpoint is polled from its own data centre where an instance there can poll.
        """
        data_centres = set(self._poller_data_centres.values())
        own_data_centre = self._poller_data_centres.get(own)
        assigned = {}
        for address, polled in self._polled.items():
            data_centre = polled.data_centre
            if data_centre != own_data_centre and data_centre in data_centres:
                continue
            ranked = pollers(address, data_centre, self._poller_data_centres)
            if own in ranked:
                assigned[address] = ranked[0] == own
        return assigned

    def encode(self, receiver_data_centre: str, now_s: float) -> bytes:
        """Return the reports to send to a peer now, of bounded size.

        At most ``MAX_SAMPLES_PER_MESSAGE`` reports, those with most sends left first.
        Each returned report counts as sent once more.

        Args:
            receiver_data_centre: Data centre of the peer.
            now_s: Monotonic time.
        """
        chosen = []
        for address in sorted(
            self._sends_left, key=self._sends_left.__getitem__, reverse=True
        ):
            if len(chosen) == MAX_SAMPLES_PER_MESSAGE:
                break
            if self._is_sent_to(address, receiver_data_centre):
                chosen.append(address)
        for address in chosen:
            self._count_send(address)
        return b"".join(self._pack(address, now_s) for address in chosen)

    def merge(self, content: bytes, now_s: float) -> list[str]:
        """Add the reports of a peer's message; return the endpoints with new ones.

        Reports of endpoints that are not known here are ignored.
        """
        found = []
        for hashed, running, waiting, used, age, flags in _SAMPLE.iter_unpack(content):
            address = self._address_by_hash.get(hashed)
            if address is None:
                continue
            sample = LoadSample(now_s - age * _AGE_UNIT_S, None)
            if flags & _REACHABLE:
                capacity = self._polled[address].kv_tokens
                is_draining = bool(flags & _DRAINING)
                used_tokens = used * capacity // _MAX_U8
                load = EngineLoad(running, waiting, used_tokens, capacity, is_draining)
                sample = LoadSample(sample.at_s, load)
            if self.add(address, sample):
                found.append(address)
        return found

    def _is_outdated(self, address: str, period_s: float, now_s: float) -> bool:
        known = self._samples.get(address)
        limit_s = BACKUP_POLL_AFTER_PERIODS * period_s
        return known is None or now_s - known.at_s > limit_s

    def _is_sent_to(self, address: str, data_centre: str) -> bool:
        if len(self._polled) <= SMALL_SYSTEM_ENDPOINTS:
            return True
        is_near = self._polled[address].data_centre == data_centre
        return is_near or not self._samples[address].is_available

    def _count_send(self, address: str) -> None:
        self._sends_left[address] -= 1
        if self._sends_left[address] <= 0:
            del self._sends_left[address]

    def _pack(self, address: str, now_s: float) -> bytes:
        sample = self._samples[address]
        load = sample.load or EngineLoad()
        flags = _REACHABLE * (sample.load is not None) + _DRAINING * load.leaving
        used = _MAX_U8 * load.kv_used_tokens // max(1, load.kv_capacity_tokens)
        return _SAMPLE.pack(
            name_hash(address),
            min(load.running, _MAX_U16),
            min(load.waiting, _MAX_U16),
            min(used, _MAX_U8),
            min(round((now_s - sample.at_s) / _AGE_UNIT_S), _MAX_U8),
            flags,
        )


def pollers(
    address: str, data_centre: str, instances: Mapping[str, str]
) -> Sequence[str]:
    """Return the instances that poll an endpoint: the primary one, then the backup.

    Args:
        address: Base URL of the endpoint.
        data_centre: Its data centre. Only instances there poll it, if there are any.
        instances: Data centre of each instance that can poll.
    """
    near = [item for item, location in instances.items() if location == data_centre]
    return rank(address, near or list(instances))[:POLLERS_PER_ENDPOINT]


def _changes_availability(known: LoadSample | None, sample: LoadSample) -> bool:
    """Return whether a report shows that an endpoint became available or unavailable.

    Routing in all data centres must know this at once. An endpoint without an earlier
    report counts as available.
    """
    return sample.is_available != (known is None or known.is_available)


def polled_endpoints(inventories: Iterable[Inventory]) -> dict[str, PolledEndpoint]:
    """Return the endpoints to poll: all engines of the inventories, by address."""
    return {
        engine.address: PolledEndpoint(engine.data_centre, engine.kv_tokens)
        for inventory in inventories
        for engine in inventory.engines
    }
