"""Endpoints as one scheduler sees them: load, window, prefixes, failures."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .inventory import Engine, Inventory, Service

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A history that an engine should have in its cache."""

    key: str
    tokens: int
    last_used_s: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint last reported of itself; it lags."""

    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    received_s: float = 0.0


@dataclass(slots=True)
class CircuitBreaker:
    """Keeps calls away from an endpoint that fails.

    After some failures in a row the endpoint gets no calls for a while; then one
    call probes it, and a failure doubles the while.
    """

    failures: int = 0
    open_until_s: float = 0.0
    open_s: float = INITIAL_OPEN_S
    is_probing: bool = False

    def allows(self, now_s: float) -> bool:
        """Return whether a call may be sent."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now_s >= self.open_until_s and not self.is_probing

    def on_send(self) -> None:
        """Note that a call is sent."""
        self.is_probing = self.failures >= FAILURES_TO_OPEN

    def on_success(self) -> None:
        """Note that a call was answered."""
        self.failures = 0
        self.open_s = INITIAL_OPEN_S
        self.is_probing = False

    def on_failure(self, now_s: float) -> None:
        """Note that a call failed; one sent before it opened changes nothing."""
        is_stale = self.failures >= FAILURES_TO_OPEN and not self.is_probing
        if is_stale:
            return
        self.failures += 1
        self.is_probing = False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until_s = now_s + self.open_s
            self.open_s = min(2 * self.open_s, MAX_OPEN_S)


@dataclass(slots=True, eq=False)
class EndpointState:
    """One replica of an endpoint.

    Attributes:
        address: Its base URL.
        data_centre: Where it stands.
        window: Calls that this scheduler may have under way there.
        total_slots: Calls that it runs at once, of all schedulers.
        own_slots: This scheduler's part of the places.
        prefill_tokens_per_s: Speed of reading input.
        decode_tokens_per_s: Speed of generating for one call.
        kv_tokens: Capacity of its prefix cache; 0 for services.
        checks_fencing: Whether it refuses orders with an old fencing number.
        in_flight: Calls of this scheduler that are under way there.
        work_s: Predicted time of the calls that are under way there.
        awaiting_calls: Calls of this scheduler that wait for this endpoint.
        calls_ahead: Those of them that come before the call that is placed now.
        load: Its last report.
        is_draining: Whether it takes no new calls.
        prefixes: Histories it should have in its cache, by program and model.
        breaker: Its circuit breaker.
    """

    address: str
    data_centre: str
    window: int
    total_slots: int = 1
    own_slots: int = 1
    prefill_tokens_per_s: float = 1.0
    decode_tokens_per_s: float = 1.0
    kv_tokens: int = 0
    checks_fencing: bool = False
    in_flight: int = 0
    work_s: float = 0.0
    awaiting_calls: int = 0
    calls_ahead: int = 0
    load: LoadReport = LoadReport()
    is_draining: bool = False
    prefixes: dict[tuple[str, str], CachedPrefix] = field(default_factory=dict)
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)

    def apply_report(self, load: LoadReport) -> None:
        """Follow a load report: use half of the room that others leave unused.

        Only half, because all schedulers see the same room, and late.
        """
        self.load = load
        others = max(0, load.running + load.waiting - self.in_flight)
        unused = max(0, self.total_slots - others - self.own_slots)
        self.window = min(self.total_slots, self.own_slots + unused // 2)

    def can_accept(self, now_s: float) -> bool:
        """Return whether one more call may be sent now."""
        has_room = self.in_flight < self.window
        return has_room and not self.is_draining and self.breaker.allows(now_s)


class EndpointPool:
    """All endpoints of all inventories, by address, and where histories are."""

    __slots__ = ("_by_address", "_removed", "_warm_engines", "_serving_lists")

    def __init__(self) -> None:
        self._by_address: dict[str, EndpointState] = {}
        self._removed: dict[str, EndpointState] = {}
        self._serving_lists: dict[tuple[str, str], list[EndpointState]] = {}
        self._warm_engines: dict[str, dict[str, EndpointState]] = {}

    def __repr__(self) -> str:
        return f"EndpointPool({len(self._by_address)} endpoints)"

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._by_address.values())

    def find(self, address: str) -> EndpointState | None:
        """Return the endpoint with this address, or ``None``."""
        return self._by_address.get(address)

    def warm_engine(self, program: str, model: str) -> EndpointState | None:
        """Return the engine that should have a program's history, or ``None``."""
        return self._warm_engines.get(program, {}).get(model)

    def warm_engines(self, program: str) -> list[EndpointState]:
        """Return all engines that should have histories of a program."""
        return list(self._warm_engines.get(program, {}).values())

    def cached_models(self, program: str) -> list[str]:
        """Return the models whose histories of a program some engine should have."""
        return list(self._warm_engines.get(program, {}))

    def record_prefix(
        self, program: str, model: str, endpoint: EndpointState, cached: CachedPrefix
    ) -> EndpointState | None:
        """Note which engine has a program's history; return the one before, if any."""
        previous = self.warm_engine(program, model)
        if previous is not None:
            previous.prefixes.pop((program, model), None)
        self._warm_engines.setdefault(program, {})[model] = endpoint
        endpoint.prefixes[(program, model)] = cached
        return None if previous is endpoint else previous

    def forget_program(self, program: str) -> None:
        """Forget where a program's histories are."""
        for model, endpoint in self._warm_engines.pop(program, {}).items():
            endpoint.prefixes.pop((program, model), None)

    def update(self, inventories: Sequence[Inventory], *, schedulers: int) -> None:
        """Take the endpoints of new inventories; keep what is known of old ones.

        Args:
            inventories: All inventories in force.
            schedulers: Live schedulers, which share each endpoint's window.
        """
        updated: dict[str, EndpointState] = {}
        for inventory in inventories:
            for engine in inventory.engines:
                state = self._state(engine.address, engine.data_centre)
                self._apply_engine(state, engine, schedulers)
                updated[engine.address] = state
            for service in inventory.services:
                for replica in service.replicas:
                    state = self._state(replica.address, replica.data_centre)
                    state.data_centre = replica.data_centre
                    self._apply_service(state, service, schedulers)
                    updated[replica.address] = state
        self._removed = {a: x for a, x in self._removed.items() if x.in_flight}
        for address, state in self._by_address.items():
            if address not in updated:
                self._remove(state)
        self._by_address = updated
        self._update_serving_lists(inventories)

    def _update_serving_lists(self, inventories: Sequence[Inventory]) -> None:
        """Change the lists in place, so that calls that wait see it."""
        by_name = {item.organisation: item for item in inventories}
        for (organisation, name), states in self._serving_lists.items():
            inventory = by_name.get(organisation)
            states[:] = (
                [] if inventory is None else self._find_endpoints(inventory, name)
            )

    def _remove(self, state: EndpointState) -> None:
        """Take an endpoint out: queued calls and histories look elsewhere."""
        state.is_draining = True
        self._removed[state.address] = state
        for program, model in list(state.prefixes):
            warm_engines = self._warm_engines.get(program, {})
            if warm_engines.get(model) is state:
                del warm_engines[model]
            if not warm_engines:
                self._warm_engines.pop(program, None)
        state.prefixes.clear()

    def endpoints_for(self, inventory: Inventory, name: str) -> list[EndpointState]:
        """Return the endpoints of a model or service.

        The list follows later updates; it must not be changed.
        """
        key = (inventory.organisation, name)
        if key not in self._serving_lists:
            self._serving_lists[key] = self._find_endpoints(inventory, name)
        return self._serving_lists[key]

    def _find_endpoints(self, inventory: Inventory, name: str) -> list[EndpointState]:
        addresses = [item.address for item in inventory.engines_for(name)]
        service = inventory.service(name)
        if service is not None:
            addresses = [item.address for item in service.replicas]
        return [self._by_address[a] for a in addresses if a in self._by_address]

    def _state(self, address: str, data_centre: str) -> EndpointState:
        known = self._by_address.get(address)
        if known is None and address in self._removed:
            known = self._removed.pop(address)
            known.is_draining = False
        return known or EndpointState(address, data_centre, window=1)

    @staticmethod
    def _apply_engine(state: EndpointState, engine: Engine, schedulers: int) -> None:
        state.data_centre = engine.data_centre
        _divide_slots(state, engine.in_flight, schedulers)
        state.prefill_tokens_per_s = engine.prefill_tokens_per_s
        state.decode_tokens_per_s = engine.decode_tokens_per_s
        state.kv_tokens = engine.kv_tokens
        state.checks_fencing = engine.checks_fencing

    @staticmethod
    def _apply_service(state: EndpointState, service: Service, schedulers: int) -> None:
        _divide_slots(state, service.in_flight, schedulers)
        state.checks_fencing = service.checks_fencing


def _divide_slots(state: EndpointState, total_slots: int, schedulers: int) -> None:
    own_slots = max(1, -(-total_slots // max(1, schedulers)))
    if (state.total_slots, state.own_slots) != (total_slots, own_slots):
        state.total_slots, state.own_slots, state.window = (
            total_slots,
            own_slots,
            own_slots,
        )
