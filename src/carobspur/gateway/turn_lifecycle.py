"""Reserves tokens and reads the history before a turn; stores and settles it after."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager

from ._futures import consume_error
from .context import GatewayContext
from .customers.ownership import previous_turn_names, program_name, turn_name
from .outages import (
    commit_wait_s,
    is_outage_confirmed,
    max_hold_s,
    release_delay_s,
    retry_after_s,
)
from .refusals import EndpointFailedError, StateUnavailableError
from .row_sweep import row_lifetime_s
from .rows import RowKey, RowStoreAwayError, RowStoreError
from .spending_client import SpendingClient
from .turn_state import TurnState
from .turn_store import NoSuchTurnError, TurnStore
from .turn_times import TurnTimes

STATE_TIMEOUT_S = 1.1
"""Longest wait for the row store before a turn: a store that is 91 times slower than
usual answers a write within 0.9 s, and callers leave after 2 s without an event."""
STATE_TIMEOUT_SHARE = 0.5
"""Largest share of the remaining time that this wait may take."""
STORE_POLL_S = 0.02
"""Interval of checks whether a short outage is over."""
RETRY_PAUSE_S = 0.05
"""Pause before a held turn is prepared again while a gateway reaches the store: several
times the answer time of a healthy store."""
MAX_HELD_TURNS = 512
"""Limit on the turns that a gateway holds at once: with bodies of 64 KB they take an
eighth of 256 MB."""


class TurnLifecycle:
    """Prepares turns for an engine, commits their output and settles their tokens.

    ``prepare`` reserves tokens and reads the history, ``commit`` stores the turn, and
    ``settle`` reports the tokens that it used. All do nothing for requests that belong
    to no program.

    Args:
        context: Shared components of the gateway.
        turn_store: Stores turns and their histories.
        spending: Reserves and settles tokens of programs with a budget.
        away_s: Returns how long no gateway has reached the store; ``None`` while
            one does.
        wait_reachable: Waits until a gateway reaches the store again, at most for the
            given number of seconds; may return early.
        on_committed: Called with the key of each row that may have been written, and
            with the seconds for which the row must remain.
    """

    __slots__ = (
        "_away_s",
        "_context",
        "_held_turns",
        "_on_committed",
        "_spending",
        "_times",
        "_turn_store",
        "_wait_reachable",
    )

    def __init__(
        self,
        context: GatewayContext,
        turn_store: TurnStore,
        spending: SpendingClient,
        *,
        away_s: Callable[[], float | None],
        wait_reachable: Callable[[float], Awaitable[None]],
        on_committed: Callable[[RowKey, float], None],
    ) -> None:
        self._context = context
        self._turn_store = turn_store
        self._spending = spending
        self._away_s = away_s
        self._wait_reachable = wait_reachable
        self._on_committed = on_committed
        self._times = TurnTimes()
        self._held_turns = 0

    @property
    def max_turn_bytes(self) -> int:
        """Largest size in bytes of a turn's output."""
        return self._turn_store.max_turn_bytes

    async def prepare(self, turn: TurnState) -> None:
        """Reserve the turn's tokens and read its history; may hold it in an outage.

        Raises:
            StateUnavailableError: The store did not answer, and the turn may not be
                held, or not any longer.
            BudgetSpentError: The program's remaining budget is too small.
            NoSuchTurnError: The store does not have the previous turn.
        """
        if turn.call.program is None:
            return
        self._times.record_arrival(turn.route.name, self._remaining_s(turn))
        while True:
            try:
                await self._prepare_once(turn)
            except RowStoreAwayError as error:
                await self._hold(turn, error)
            else:
                turn.prepared_at = asyncio.get_running_loop().time()
                return

    async def _prepare_once(self, turn: TurnState) -> None:
        """Reserve the turn's tokens and read its history at the same time.

        Raises:
            RowStoreAwayError: The store did not answer in time.
            CarobspurError: The error of the step that failed.
        """
        call, program = turn.call, turn.call.program
        turn.prepare_attempts += 1
        steps = []
        needs_tokens = program.token_budget is not None and call.max_tokens
        if needs_tokens and turn.reservation is None:
            steps.append(self._reserve(turn, program.token_budget))
        if turn.route.keeps_history:
            steps.append(self._await_store())
            if program.previous_turn:
                steps.append(self._read_history(turn))
        await _run_concurrently(steps, timeout_s=self._state_timeout_s(turn))

    async def _hold(self, turn: TurnState, error: RowStoreAwayError) -> None:
        """Hold a turn until it may be prepared again.

        Args:
            turn: The turn.
            error: Why it could not be prepared.

        Raises:
            StateUnavailableError: The turn may not be held, or not any longer.
        """
        wait_s = self._max_hold_s(turn)
        if wait_s <= 0:
            raise StateUnavailableError(
                error.message,
                retry_after_s=retry_after_s(
                    self._remaining_s(turn), draw=random.random()
                ),
            ) from error
        if turn.prepare_attempts == 1:
            self._context.log.record(
                "held",
                request=turn.call.id,
                program=turn.call.program.id,
                away_s=self._away_s(),
                most_s=round(wait_s, 2),
                reason=error.message,
            )
        with self._counted_as_held():
            if self._away_s() is None:
                await asyncio.sleep(min(wait_s, RETRY_PAUSE_S))
                return
            while self._away_s() is not None and (wait_s := self._max_hold_s(turn)) > 0:
                await self._wait_reachable(wait_s)
            await asyncio.sleep(release_delay_s(wait_s, draw=random.random()))

    @contextmanager
    def _counted_as_held(self) -> Iterator[None]:
        """Count a turn as held during the block; see ``MAX_HELD_TURNS``."""
        self._held_turns += 1
        try:
            yield
        finally:
            self._held_turns -= 1

    def _max_hold_s(self, turn: TurnState) -> float:
        """Return how much longer a turn may be held; 0 to refuse it now."""
        if self._context.is_stopping or self._held_turns > MAX_HELD_TURNS:
            return 0.0
        route = turn.route
        return max_hold_s(
            route,
            remaining_s=self._remaining_s(turn),
            age_s=asyncio.get_running_loop().time() - turn.call.arrived_at,
            usual_deadline_s=self._times.usual_deadline_s(route.name),
            usual_turn_s=self._times.usual_turn_s(route.name),
        )

    def _remaining_s(self, turn: TurnState) -> float:
        """Return the time until a turn's deadline."""
        return turn.deadline - asyncio.get_running_loop().time()

    def _state_timeout_s(self, turn: TurnState) -> float:
        """Return the timeout for preparing a turn.

        It leaves time for the refusal to reach the caller before the caller leaves.
        """
        return min(STATE_TIMEOUT_S, STATE_TIMEOUT_SHARE * self._remaining_s(turn))

    async def _reserve(self, turn: TurnState, budget: int) -> None:
        """Reserve as many tokens as the call may generate.

        Args:
            turn: The turn.
            budget: Tokens that all turns of the program may generate together.
        """
        call = turn.call
        turn.reservation = await self._spending.reserve(
            program_name(call),
            turn.reservation_id,
            call.max_tokens,
            budget,
            retention_s=turn.route.retention_s,
        )
        self._context.log.record(
            "reserved",
            request=call.id,
            program=call.program.id,
            home=turn.reservation.owner,
            tokens=call.max_tokens,
            others=turn.reservation.other_tokens,
            budget=budget,
        )

    async def _await_store(self) -> None:
        """Wait until a gateway reaches the store, which is needed to commit the turn.

        Raises:
            RowStoreAwayError: The outage is confirmed.
        """
        while (away_s := self._away_s()) is not None:
            if is_outage_confirmed(away_s):
                raise RowStoreAwayError(
                    "no gateway reaches the row store, so the turn cannot be stored"
                )
            await asyncio.sleep(STORE_POLL_S)

    async def _read_history(self, turn: TurnState) -> None:
        """Read the history up to the turn that this one continues.

        A turn of another customer is looked up in the same rows as one that does not
        exist, so that neither the answer nor its time tells them apart.

        Raises:
            NoSuchTurnError: The customer has no such turn.
            RowStoreAwayError: The store could not be read.
        """
        for name in previous_turn_names(turn.call):
            try:
                turn.history = await self._turn_store.history(
                    name, timeout_s=STATE_TIMEOUT_S
                )
            except NoSuchTurnError:
                continue
            return
        raise NoSuchTurnError(
            f"the store has no turn {turn.call.program.previous_turn}"
        )

    async def commit(self, turn: TurnState) -> None:
        """Store the turn; called before the end of the stream is sent to the caller.

        Does nothing on routes that keep no history.

        Raises:
            EndpointFailedError: The store did not confirm the turn in time. The engine
                has run it, but the next turn could not refer to it.
        """
        if not turn.route.keeps_history or turn.call.program is None:
            return
        output = b"".join(event.data + b"\n" for event in turn.output_events)
        retention_s = turn.route.retention_s
        try:
            keys = await self._turn_store.commit(
                turn.history,
                turn_name(turn.call),
                turn.call.body + output,
                retention_s=retention_s,
                timeout_s=commit_wait_s(turn.route, self._remaining_s(turn)),
            )
        except RowStoreError as error:
            self._context.log.record(
                "turn_not_kept",
                request=turn.call.id,
                program=turn.call.program.id,
                reason=error.message,
            )
            raise EndpointFailedError("the turn could not be stored") from error
        for key in keys:
            self._on_committed(key, row_lifetime_s(retention_s))
        taken_s = asyncio.get_running_loop().time() - turn.prepared_at
        self._times.record_duration(turn.route.name, taken_s)

    def _generated_tokens(self, turn: TurnState) -> int:
        """Return the tokens generated for a turn; all reserved ones if unknown."""
        if not turn.runs:
            return 0
        service = self._context.configuration.services.get(
            turn.route.service_for(program_name(turn.call))
        )
        if service is None or service.engine is None:
            return turn.reservation.tokens
        return turn.events * service.engine.tokens_per_event

    def settle(self, turn: TurnState) -> None:
        """Report the generated tokens to the account's owner, in a separate task.

        Does nothing for turns without a reservation.
        """
        if turn.reservation is not None:
            generated = self._generated_tokens(turn)
            self._context.spawn(self._spending.settle(turn.reservation, generated))


async def _run_concurrently(
    steps: list[Coroutine[None, None, None]], *, timeout_s: float
) -> None:
    """Run steps at the same time; the first that fails cancels the others.

    Raises:
        RowStoreAwayError: The steps did not end in time.
        CarobspurError: The error of the step that failed first.
    """
    if not steps:
        return
    tasks = [asyncio.ensure_future(step) for step in steps]
    for task in tasks:
        # Only the first error is raised; asyncio must not log the others.
        task.add_done_callback(consume_error)
    try:
        done, late = await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in done:
            task.result()
        if late:
            raise RowStoreAwayError("timed out reading history or reserving tokens")
    finally:
        for task in tasks:
            task.cancel()
