"""The state of turns: budgets and histories, before and after an engine's work."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .context import GatewayContext
from .refusals import EndpointFailedError, StateAwayError
from .rows import RowKey, RowStore, RowStoreAwayError, RowStoreError
from .spending_client import SpendingClient
from .turn_state import TurnState
from .turns import TurnKeeper

STATE_TIMEOUT_S = 1.1
"""Longest wait for the row store before a turn: a store slowed 91 times answers a
write within 0.9 s, and callers leave after 2 s without an event."""
AWAY_TIMEOUT_S = 0.8
"""Longest wait where the store is known to be away already."""
COMMIT_TIMEOUT_S = 1.6
"""Longest wait for the row store after a turn: callers give up after 2 s of silence."""
STATE_SHARE_OF_TIME = 0.5
"""Share of the time left that such a wait may take."""
STATE_RETRY_AFTER_S = 0.7
"""When to come back while the store is away: a fraction of a short outage."""
STORE_POLL_S = 0.02


class TurnBook:
    """Reserves, reads, keeps and settles turns.

    Args:
        context: Shared parts of the gateway.
        turns: Keeps turns.
        spending: Keeps budgets.
        store: Turns are written to it.
        store_is_away: Returns whether no gateway reaches the store.
        on_kept: Called with the key of a row that was written, and for how many
            seconds it must stay.
    """

    __slots__ = (
        "_context",
        "_on_kept",
        "_spending",
        "_store",
        "_store_is_away",
        "_turns",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnKeeper,
        spending: SpendingClient,
        store: RowStore,
        *,
        store_is_away: Callable[[], bool],
        on_kept: Callable[[RowKey, float], None],
    ) -> None:
        self._context = context
        self._turns = turns
        self._spending = spending
        self._store = store
        self._store_is_away = store_is_away
        self._on_kept = on_kept

    async def prepare(self, turn: TurnState) -> None:
        """Reserve the turn's tokens and read its chain, both at once."""
        call, program = turn.call, turn.call.program
        if program is None:
            return
        steps = []
        if program.token_budget is not None and call.max_tokens:
            steps.append(self._reserve(turn, program.token_budget))
        if turn.route.keeps_history:
            steps.append(self._await_store())
            if program.previous_turn:
                steps.append(self._read_chain(turn, program.previous_turn))
        try:
            async with asyncio.timeout(self._state_wait_s(turn)):
                results = await asyncio.gather(*steps, return_exceptions=True)
        except TimeoutError:
            results = [RowStoreAwayError("turns or budgets were not told in time")]
        for result in results:
            if isinstance(result, RowStoreAwayError):
                raise StateAwayError(
                    result.message, retry_after_s=STATE_RETRY_AFTER_S
                ) from result
        for result in results:
            if isinstance(result, BaseException):
                raise result

    def _state_wait_s(self, turn: TurnState) -> float:
        """Return how long to wait for the store.

        A caller with little time left must hear the refusal before it leaves.
        """
        left_s = turn.deadline - asyncio.get_running_loop().time()
        longest_s = AWAY_TIMEOUT_S if self._store_is_away() else STATE_TIMEOUT_S
        return min(longest_s, STATE_SHARE_OF_TIME * left_s)

    async def _reserve(self, turn: TurnState, budget: int) -> None:
        call = turn.call
        turn.reservation = await self._spending.reserve(
            call.program.id,
            call.id,
            call.max_tokens,
            budget,
            kept_s=turn.route.retention_s,
        )
        self._context.log.note(
            "reserved",
            request=call.id,
            program=call.program.id,
            home=turn.reservation.home,
            tokens=call.max_tokens,
            others=turn.reservation.others,
            budget=budget,
        )

    async def _await_store(self) -> None:
        """Wait a little for the store; without it the turn could not be kept."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STATE_TIMEOUT_S
        while self._store_is_away():
            if loop.time() >= deadline:
                raise RowStoreAwayError("the turn could not be kept")
            await asyncio.sleep(STORE_POLL_S)

    async def _read_chain(self, turn: TurnState, previous: str) -> None:
        turn.chain = await self._turns.chain(previous, timeout_s=STATE_TIMEOUT_S)

    async def keep(self, turn: TurnState) -> None:
        """Write the turn and its spending before the caller sees its end."""
        if not turn.route.keeps_history or turn.call.program is None:
            return
        output = b"".join(event.data + b"\n" for event in turn.passed)
        write, chain = self._turns.write_of(
            turn.chain,
            turn.call.id,
            turn.call.body + output,
            retention_s=turn.route.retention_s,
        )
        try:
            await self._store.write([write], timeout_s=COMMIT_TIMEOUT_S)
        except RowStoreError as error:
            self._context.log.note(
                "turn_not_kept",
                request=turn.call.id,
                program=turn.call.program.id,
                reason=error.message,
            )
            raise EndpointFailedError("the turn could not be kept") from error
        self._turns.note_kept(chain)
        self._on_kept(write.key, turn.route.retention_s)

    def _generated(self, turn: TurnState) -> int:
        """Return the tokens that the turn generated, at most what was reserved."""
        if not turn.runs:
            return 0
        service = self._context.configuration.services.get(
            turn.route.service_for(turn.call.program.id)
        )
        if service is None or service.engine is None:
            return turn.reservation.tokens
        return len(turn.passed) * service.engine.tokens_per_event

    def settle(self, turn: TurnState) -> None:
        """Tell the home what a turn generated, beside the request."""
        if turn.reservation is not None:
            generated = self._generated(turn)
            self._context.spawn(self._spending.settle(turn.reservation, generated))
