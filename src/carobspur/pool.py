"""State of the endpoints in one scheduler: load, window, cached prefixes, failures."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .inventory import Engine, Inventory, Service

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A program's history that an engine should have in its prefix cache.

    Attributes:
        key: Key of the history.
        tokens: Its length.
        last_used_s: Monotonic time at which the last call that used it ended.
    """

    key: str
    tokens: int
    last_used_s: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint last reported; it lags behind the real one.

    Attributes:
        running: Calls that it runs, of all schedulers.
        waiting: Calls that it has queued itself.
        kv_used_tokens: Tokens in its prefix cache.
        kv_capacity_tokens: Capacity of that cache.
        received_s: Monotonic time at which the endpoint answered with the report.
    """

    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    received_s: float = 0.0


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one endpoint.

    ``FAILURES_TO_OPEN`` failures in a row open it, and the endpoint gets no calls for
    ``open_s``. Then one call probes the endpoint: success closes the breaker, failure
    opens it again for twice the time, at most ``MAX_OPEN_S``.
    """

    failures: int = 0
    open_until_s: float = 0.0
    open_s: float = INITIAL_OPEN_S
    is_probing: bool = False

    def allows(self, now_s: float) -> bool:
        """Return whether a call may be sent, by monotonic time."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now_s >= self.open_until_s and not self.is_probing

    def on_send(self) -> None:
        """Record that a call is sent; while the breaker is open, it is the probe."""
        self.is_probing = self.failures >= FAILURES_TO_OPEN

    def on_success(self) -> None:
        """Record that a call was answered, and close the breaker."""
        self.failures = 0
        self.open_s = INITIAL_OPEN_S
        self.is_probing = False

    def on_failure(self, now_s: float) -> None:
        """Record that a call failed.

        While the breaker is open and no probe is in flight, failures of calls that were
        sent earlier are ignored.
        """
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
    """An engine, or one replica of a service.

    Attributes:
        address: Base URL.
        data_centre: Data centre in which it runs.
        window: Number of calls that this scheduler may have in flight there. It
            changes with the load reports.
        total_slots: Number of calls that it runs at the same time, of all schedulers.
        own_slots: This scheduler's share of the slots; its window is at least this.
        prefill_tokens_per_s: Speed of processing input.
        decode_tokens_per_s: Speed of generating output, for one call.
        kv_tokens: Capacity of its prefix cache; 0 for services.
        checks_fencing: Whether it rejects orders with an old fencing number.
        in_flight: Number of this scheduler's calls that are in flight there.
        work_s: Sum of the predicted durations of these calls.
        awaiting_calls: Number of this scheduler's queued calls that wait for it.
        calls_ahead: How many of these are ahead of the call that is being routed; the
            dispatcher resets it for each scan of a queue.
        load: Its last load report.
        is_draining: Whether it accepts no new calls.
        prefixes: Histories that it should have in its cache, by program and model.
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
        """Store a load report, and extend the window by half of the unused slots.

        Only by half, because all schedulers see the same unused slots, with a delay.
        """
        self.load = load
        other_calls = max(0, load.running + load.waiting - self.in_flight)
        unused = max(0, self.total_slots - other_calls - self.own_slots)
        self.window = min(self.total_slots, self.own_slots + unused // 2)

    def can_accept(self, now_s: float) -> bool:
        """Return whether one more call may be sent there at this monotonic time."""
        has_free_slot = self.in_flight < self.window
        return has_free_slot and not self.is_draining and self.breaker.allows(now_s)


class EndpointPool:
    """The endpoints of all inventories, and which engine has which history cached.

    An endpoint that was removed while calls were in flight keeps its state, in case
    an inventory lists it again before they end.
    """

    __slots__ = ("_by_address", "_removed", "_warm_engines", "_endpoint_lists")

    def __init__(self) -> None:
        self._by_address: dict[str, EndpointState] = {}
        self._removed: dict[str, EndpointState] = {}
        self._endpoint_lists: dict[tuple[str, str], list[EndpointState]] = {}
        self._warm_engines: dict[str, dict[str, EndpointState]] = {}

    def __repr__(self) -> str:
        return f"EndpointPool({len(self._by_address)} endpoints)"

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._by_address.values())

    def find(self, address: str) -> EndpointState | None:
        """Return the endpoint with this address, or ``None``."""
        return self._by_address.get(address)

    def warm_engine(self, program: str, model: str) -> EndpointState | None:
        """Return the engine that should have a program's history cached, if any."""
        return self._warm_engines.get(program, {}).get(model)

    def warm_engines(self, program: str) -> list[EndpointState]:
        """Return the engines that should have a program's histories, one per model."""
        return list(self._warm_engines.get(program, {}).values())

    def cached_models(self, program: str) -> list[str]:
        """Return the models for which some engine should have a program's history."""
        return list(self._warm_engines.get(program, {}))

    def record_prefix(
        self, program: str, model: str, endpoint: EndpointState, cached: CachedPrefix
    ) -> EndpointState | None:
        """Record that an engine has a program's history in its cache.

        Returns:
            The engine that had it before, unless it is the same one or there is none.
        """
        previous = self.warm_engine(program, model)
        if previous is not None:
            previous.prefixes.pop((program, model), None)
        self._warm_engines.setdefault(program, {})[model] = endpoint
        endpoint.prefixes[(program, model)] = cached
        return None if previous is endpoint else previous

    def forget_program(self, program: str) -> None:
        """Forget which engines have a program's histories."""
        for model, endpoint in self._warm_engines.pop(program, {}).items():
            endpoint.prefixes.pop((program, model), None)

    def update(self, inventories: Sequence[Inventory], *, schedulers: int) -> None:
        """Replace the endpoints by those of the inventories.

        Endpoints that were listed before keep their state.

        Args:
            inventories: All inventories in force.
            schedulers: Number of live schedulers, which share each endpoint's slots.
        """
        updated: dict[str, EndpointState] = {}
        for inventory in inventories:
            for engine in inventory.engines:
                state = self._state_of(engine.address, engine.data_centre)
                self._apply_engine(state, engine, schedulers)
                updated[engine.address] = state
            for service in inventory.services:
                for replica in service.replicas:
                    state = self._state_of(replica.address, replica.data_centre)
                    state.data_centre = replica.data_centre
                    self._apply_service(state, service, schedulers)
                    updated[replica.address] = state
        self._removed = {
            address: state
            for address, state in self._removed.items()
            if state.in_flight
        }
        for address, state in self._by_address.items():
            if address not in updated:
                self._remove(state)
        self._by_address = updated
        self._update_endpoint_lists(inventories)

    def _update_endpoint_lists(self, inventories: Sequence[Inventory]) -> None:
        """Update the endpoints of each model and service.

        The lists are changed in place, since queued calls refer to them.
        """
        by_name = {item.organisation: item for item in inventories}
        for (organisation, name), states in self._endpoint_lists.items():
            inventory = by_name.get(organisation)
            states[:] = (
                [] if inventory is None else self._find_endpoints(inventory, name)
            )

    def _remove(self, state: EndpointState) -> None:
        """Drain an endpoint and forget its histories, so that it gets no more calls."""
        state.is_draining = True
        self._removed[state.address] = state
        for program, model in list(state.prefixes):
            by_model = self._warm_engines.get(program, {})
            if by_model.get(model) is state:
                del by_model[model]
            if not by_model:
                self._warm_engines.pop(program, None)
        state.prefixes.clear()

    def endpoints_for(self, inventory: Inventory, name: str) -> list[EndpointState]:
        """Return the endpoints of a model or service.

        The pool updates the list in place with the inventories; callers must not
        change it.
        """
        key = (inventory.organisation, name)
        if key not in self._endpoint_lists:
            self._endpoint_lists[key] = self._find_endpoints(inventory, name)
        return self._endpoint_lists[key]

    def _find_endpoints(self, inventory: Inventory, name: str) -> list[EndpointState]:
        addresses = [item.address for item in inventory.engines_for(name)]
        service = inventory.service(name)
        if service is not None:
            addresses = [item.address for item in service.replicas]
        return [
            self._by_address[address]
            for address in addresses
            if address in self._by_address
        ]

    def _state_of(self, address: str, data_centre: str) -> EndpointState:
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
    """Set the slots; if they changed, reset the window to this scheduler's share.

    The share is rounded up, and is at least one slot.
    """
    own_slots = max(1, -(-total_slots // max(1, schedulers)))
    if (state.total_slots, state.own_slots) != (total_slots, own_slots):
        state.total_slots, state.own_slots, state.window = (
            total_slots,
            own_slots,
            own_slots,
        )
