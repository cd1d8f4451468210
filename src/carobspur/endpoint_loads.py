"""Endpoint load: who asks which endpoint, and how the reports spread.

Each endpoint is asked by one control process, and by a second one when the first
falls silent. Reports carry their age, so no clocks are compared; the youngest wins.
Where there are many endpoints, a report stays in its endpoint's data centre, but for
what routing elsewhere must know at once: that the endpoint leaves or is unreachable.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from .heartbeats import name_hash
from .inventory import Inventory
from .placement import rank

MAX_SAMPLES = 96
SENDS = 2
URGENT_SENDS = 6
FEW_ENDPOINTS = 128
MANY_PERIOD_S = 1.0
SECOND_ASKER_AFTER_PERIODS = 3.0
SAME_AGE_S = 0.15
ASKERS = 2

_SAMPLE = struct.Struct(">IHHBBB")
_MAX_U16 = 0xFFFF
_MAX_U8 = 0xFF
_REACHABLE = 1
_LEAVING = 2
_AGE_UNIT_S = 0.1


class EngineLoad(msgspec.Struct, frozen=True):
    """What an endpoint answers when it is asked for its load."""

    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Watched:
    """An endpoint whose load is wanted: where it stands and its cache's capacity."""

    data_centre: str
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A report of an endpoint.

    Attributes:
        at_s: When it was made, on this process's clock.
        load: What the endpoint answered; ``None`` where it did not answer.
    """

    at_s: float
    load: EngineLoad | None

    @property
    def may_take(self) -> bool:
        """Whether the endpoint answers and is not leaving."""
        return self.load is not None and not self.load.leaving

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint says that it is leaving."""
        return self.load is not None and self.load.leaving


class LoadReports:
    """The youngest report of each endpoint, and what of them to send on."""

    __slots__ = (
        "_askers",
        "_watched",
        "_names",
        "_samples",
        "_sends",
        "_share",
    )

    def __init__(self) -> None:
        self._askers: dict[str, str] = {}
        self._share: dict[str, bool] = {}
        self._watched: dict[str, Watched] = {}
        self._names: dict[int, str] = {}
        self._samples: dict[str, LoadSample] = {}
        self._sends: dict[str, int] = {}

    @property
    def samples(self) -> Mapping[str, LoadSample]:
        """The youngest reports by endpoint."""
        return self._samples

    def watch(self, endpoints: Mapping[str, Watched]) -> None:
        """Set the endpoints that exist, by address."""
        if endpoints == self._watched:
            return
        self._watched = dict(endpoints)
        self._askers = {}
        self._names = {name_hash(address): address for address in endpoints}
        for address in [item for item in self._samples if item not in endpoints]:
            del self._samples[address]
            self._sends.pop(address, None)

    def put(self, address: str, sample: LoadSample) -> bool:
        """Keep a report if it is younger than the known one."""
        known = self._samples.get(address)
        if known is not None and sample.at_s <= known.at_s + SAME_AGE_S:
            return False
        self._samples[address] = sample
        self._sends.pop(address, None)
        self._sends[address] = URGENT_SENDS if _is_news(known, sample) else SENDS
        return True

    def to_ask(
        self,
        own: str,
        instances: Mapping[str, str],
        *,
        period_s: float,
        now_s: float,
    ) -> Iterator[str]:
        """Yield the endpoints that this process should ask now.

        Args:
            own: Id of this instance.
            instances: Data centre of each instance that can ask.
            period_s: Time between two reports of an endpoint.
            now_s: The time.
        """
        if instances != self._askers:
            self._askers = dict(instances)
            self._share = self._find_share(own)
        for address, is_first in self._share.items():
            if is_first or self._is_old(address, period_s, now_s):
                yield address

    @property
    def first_asked(self) -> list[str]:
        """Endpoints that this process is the first to ask."""
        return [address for address, is_first in self._share.items() if is_first]

    def ask_period_s(self, poll_s: float) -> float:
        """Return the time between two reports of an endpoint."""
        is_few = len(self._watched) <= FEW_ENDPOINTS
        return poll_s if is_few else max(poll_s, MANY_PERIOD_S)

    def _find_share(self, own: str) -> dict[str, bool]:
        """Return the endpoints to ask, with whether this process is the first."""
        places = set(self._askers.values())
        own_place = self._askers.get(own)
        share = {}
        for address, watched in self._watched.items():
            data_centre = watched.data_centre
            if data_centre != own_place and data_centre in places:
                continue
            order = askers(address, data_centre, self._askers)
            if own in order:
                share[address] = order[0] == own
        return share

    def encode(self, receiver: str, now_s: float) -> bytes:
        """Return the reports to send to a peer now, in bounded bytes.

        Args:
            receiver: Data centre of the peer.
            now_s: The time.
        """
        chosen = []
        for address in sorted(self._sends, key=self._sends.__getitem__, reverse=True):
            if len(chosen) == MAX_SAMPLES:
                break
            if self._concerns(address, receiver):
                chosen.append(address)
        for address in chosen:
            self._note_sent(address)
        return b"".join(self._pack(address, now_s) for address in chosen)

    def take(self, content: bytes, now_s: float) -> list[str]:
        """Keep the reports of a message; return the endpoints that have new ones."""
        found = []
        for hashed, running, waiting, used, age, flags in _SAMPLE.iter_unpack(content):
            address = self._names.get(hashed)
            if address is None:
                continue
            sample = LoadSample(now_s - age * _AGE_UNIT_S, None)
            if flags & _REACHABLE:
                capacity = self._watched[address].kv_tokens
                is_leaving = bool(flags & _LEAVING)
                used_tokens = used * capacity // _MAX_U8
                load = EngineLoad(running, waiting, used_tokens, capacity, is_leaving)
                sample = LoadSample(sample.at_s, load)
            if self.put(address, sample):
                found.append(address)
        return found

    def _is_old(self, address: str, period_s: float, now_s: float) -> bool:
        known = self._samples.get(address)
        limit_s = SECOND_ASKER_AFTER_PERIODS * period_s
        return known is None or now_s - known.at_s > limit_s

    def _concerns(self, address: str, data_centre: str) -> bool:
        if len(self._watched) <= FEW_ENDPOINTS:
            return True
        is_near = self._watched[address].data_centre == data_centre
        return is_near or not self._samples[address].may_take

    def _note_sent(self, address: str) -> None:
        self._sends[address] -= 1
        if self._sends[address] <= 0:
            del self._sends[address]

    def _pack(self, address: str, now_s: float) -> bytes:
        sample = self._samples[address]
        load = sample.load or EngineLoad()
        flags = _REACHABLE * (sample.load is not None) + _LEAVING * load.leaving
        used = _MAX_U8 * load.kv_used_tokens // max(1, load.kv_capacity_tokens)
        return _SAMPLE.pack(
            name_hash(address),
            min(load.running, _MAX_U16),
            min(load.waiting, _MAX_U16),
            min(used, _MAX_U8),
            min(round((now_s - sample.at_s) / _AGE_UNIT_S), _MAX_U8),
            flags,
        )


def askers(
    address: str, data_centre: str, instances: Mapping[str, str]
) -> Sequence[str]:
    """Return the instances that ask an endpoint, the first one first.

    Args:
        address: The endpoint.
        data_centre: Where it stands; instances there go first.
        instances: Data centre of each instance that can ask.
    """
    near = [item for item, place in instances.items() if place == data_centre]
    return rank(address, near or list(instances))[:ASKERS]


def _is_news(known: LoadSample | None, sample: LoadSample) -> bool:
    """Return whether routing must know a report at once."""
    return sample.may_take != (known is None or known.may_take)


def watched_endpoints(inventories: Iterable[Inventory]) -> dict[str, Watched]:
    """Return the engines of some inventories by address."""
    return {
        engine.address: Watched(engine.data_centre, engine.kv_tokens)
        for inventory in inventories
        for engine in inventory.engines
    }
