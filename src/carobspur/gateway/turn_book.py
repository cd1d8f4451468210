"""The state of turns: budgets and histories, before and after an engine's work."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager

from ._futures import consume_error
from .context import GatewayContext
from .outages import (
    commit_wait_s,
    hold_s,
    is_in_vain,
    retry_after_s,
    return_delay_s,
)
from .refusals import EndpointFailedError, StateAwayError
from .rows import RowKey, RowStoreAwayError, RowStoreError
from .spending_client import SpendingClient
from .turn_state import TurnState
from .turn_times import TurnTimes
from .turns import TurnKeeper

STATE_TIMEOUT_S = 1.1
"""Longest wait for the row store before a turn: a store slowed 91 times answers a
write within 0.9 s, and callers leave after 2 s without an event."""
STATE_SHARE_OF_TIME = 0.5
"""Share of the time left that such a wait may take."""
STORE_POLL_S = 0.02
TRY_AGAIN_S = 0.05
"""Pause before a held turn is tried again: several answers of a healthy store."""
MOST_HELD = 512
"""Turns that a gateway holds at once: with 64 KB bodies, an eighth of 256 MB."""


class TurnBook:
    """Reserves, reads, keeps and settles turns.

    Args:
        context: Shared parts of the gateway.
        turns: Keeps turns.
        spending: Keeps budgets.
        away_s: Returns how long no gateway has reached the store; ``None`` while
            one does.
        wait_reachable: Waits until a gateway reaches the store again, at most so many
            seconds; it may return early.
        on_kept: Called with the key of a row that was written, and for how many
            seconds it must stay.
    """

    __slots__ = (
        "_away_s",
        "_context",
        "_held",
        "_on_kept",
        "_spending",
        "_times",
        "_turns",
        "_wait_reachable",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnKeeper,
        spending: SpendingClient,
        *,
        away_s: Callable[[], float | None],
        wait_reachable: Callable[[float], Awaitable[None]],
        on_kept: Callable[[RowKey, float], None],
    ) -> None:
        self._context = context
        self._turns = turns
        self._spending = spending
        self._away_s = away_s
        self._wait_reachable = wait_reachable
        self._on_kept = on_kept
        self._times = TurnTimes()
        self._held = 0

    @property
    def most_kept_bytes(self) -> int:
        """Most bytes of a turn's output that can be kept."""
        return self._turns.most_bytes

    async def prepare(self, turn: TurnState) -> None:
        """Reserve the turn's tokens and read its chain; holds it in an outage.

        Raises:
            StateAwayError: The store was away for as long as the turn could be held.
        """
        if turn.call.program is None:
            return
        self._times.record_arrival(turn.route.name, self._remaining_s(turn))
        while True:
            try:
                await self._try_prepare(turn)
            except RowStoreAwayError as error:
                await self._hold(turn, error)
            else:
                turn.prepared_at = asyncio.get_running_loop().time()
                return

    async def _try_prepare(self, turn: TurnState) -> None:
        """Reserve the turn's tokens and read its chain, both at once."""
        call, program = turn.call, turn.call.program
        turn.preparations += 1
        steps = []
        needs_tokens = program.token_budget is not None and call.max_tokens
        if needs_tokens and turn.reservation is None:
            steps.append(self._reserve(turn, program.token_budget))
        if turn.route.keeps_history:
            steps.append(self._await_store())
            if program.previous_turn:
                steps.append(self._read_chain(turn, program.previous_turn))
        await _first_failure(steps, timeout_s=self._state_wait_s(turn))

    async def _hold(self, turn: TurnState, error: RowStoreAwayError) -> None:
        """Wait until a turn may be tried again.

        Raises:
            StateAwayError: It is refused.
        """
        wait_s = self._hold_s(turn)
        if wait_s <= 0:
            raise StateAwayError(
                error.message,
                retry_after_s=retry_after_s(
                    self._remaining_s(turn), draw=random.random()
                ),
            ) from error
        if turn.preparations == 1:
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
                await asyncio.sleep(min(wait_s, TRY_AGAIN_S))
                return
            while self._away_s() is not None and (wait_s := self._hold_s(turn)) > 0:
                await self._wait_reachable(wait_s)
            await asyncio.sleep(return_delay_s(wait_s, draw=random.random()))

    @contextmanager
    def _counted_as_held(self) -> Iterator[None]:
        self._held += 1
        try:
            yield
        finally:
            self._held -= 1

    def _hold_s(self, turn: TurnState) -> float:
        """Return how much longer a turn may be held."""
        if self._context.is_stopping or self._held > MOST_HELD:
            return 0.0
        route = turn.route
        return hold_s(
            route,
            remaining_s=self._remaining_s(turn),
            held_s=asyncio.get_running_loop().time() - turn.call.arrived_at,
            usual_left_s=self._times.usual_left_s(route.name),
            usual_turn_s=self._times.usual_turn_s(route.name),
        )

    def _remaining_s(self, turn: TurnState) -> float:
        """Return the time until a turn's deadline."""
        return turn.deadline - asyncio.get_running_loop().time()

    def _state_wait_s(self, turn: TurnState) -> float:
        """Return how long to wait for the store.

        A caller with little time left must hear the refusal before it leaves.
        """
        return min(STATE_TIMEOUT_S, STATE_SHARE_OF_TIME * self._remaining_s(turn))

    async def _reserve(self, turn: TurnState, budget: int) -> None:
        call = turn.call
        turn.reservation = await self._spending.reserve(
            call.program.id,
            turn.reservation_name,
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
        """Wait out a short silence of the store; else the turn could not be kept."""
        while (away_s := self._away_s()) is not None:
            if is_in_vain(away_s):
                raise RowStoreAwayError("the store is away, the turn can't be kept")
            await asyncio.sleep(STORE_POLL_S)

    async def _read_chain(self, turn: TurnState, previous: str) -> None:
        turn.chain = await self._turns.chain(previous, timeout_s=STATE_TIMEOUT_S)

    async def keep(self, turn: TurnState) -> None:
        """Write the turn and its spending before the caller sees its end."""
        if not turn.route.keeps_history or turn.call.program is None:
            return
        output = b"".join(event.data + b"\n" for event in turn.passed)
        retention_s = turn.route.retention_s
        try:
            keys = await self._turns.keep(
                turn.chain,
                turn.call.id,
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
            raise EndpointFailedError("the turn could not be kept") from error
        for key in keys:
            self._on_kept(key, retention_s)
        taken_s = asyncio.get_running_loop().time() - turn.prepared_at
        self._times.record_end(turn.route.name, taken_s)

    def _generated(self, turn: TurnState) -> int:
        """Return the tokens that the turn generated, at most what was reserved."""
        if not turn.runs:
            return 0
        service = self._context.configuration.services.get(
            turn.route.service_for(turn.call.program.id)
        )
        if service is None or service.engine is None:
            return turn.reservation.tokens
        return turn.events * service.engine.tokens_per_event

    def settle(self, turn: TurnState) -> None:
        """Tell the home what a turn generated, beside the request."""
        if turn.reservation is not None:
            generated = self._generated(turn)
            self._context.spawn(self._spending.settle(turn.reservation, generated))


async def _first_failure(
    steps: list[Coroutine[None, None, None]], *, timeout_s: float
) -> None:
    """Run steps beside one another; the first that fails ends the others.

    Raises:
        RowStoreAwayError: They were not done in time.
        CarobspurError: What a step has raised.
    """
    if not steps:
        return
    tasks = [asyncio.ensure_future(step) for step in steps]
    for task in tasks:
        # What others raise beside the first is of no interest any more.
        task.add_done_callback(consume_error)
    try:
        done, late = await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in done:
            task.result()
        if late:
            raise RowStoreAwayError("turns or budgets were not told in time")
    finally:
        for task in tasks:
            task.cancel()
