"""An engine stand-in's continuous batching: prefill and decode in common steps."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from carobspur.endpoints import GenerateRequest

PREFILL_STEP_TOKENS = 1024


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine is.

    Attributes:
        prefill_tokens_per_s: Speed of reading input, all calls together.
        decode_tokens_per_s: Speed of generating for a call that runs alone.
        batch: Calls that run at once; more wait.
        batch_slowdown: Share by which each further call slows a decode step.
        step_tokens: Tokens that a decode step generates for every call; more than
            one saves processor time in experiments.
    """

    prefill_tokens_per_s: float = 5000.0
    decode_tokens_per_s: float = 50.0
    batch: int = 8
    batch_slowdown: float = 0.0
    step_tokens: int = 1

    def step_s(self, prefill_tokens: int, decoding: int) -> float:
        """Return the seconds of one step."""
        seconds = prefill_tokens / self.prefill_tokens_per_s
        if decoding:
            slower = 1 + self.batch_slowdown * (decoding - 1)
            seconds += slower * self.step_tokens / self.decode_tokens_per_s
        return seconds


@dataclass(slots=True, eq=False)
class Generation:
    """A call in an engine.

    Attributes:
        call: The call.
        cached_tokens: History tokens that were found in the cache.
        remaining_prefill: Tokens still to read.
        tokens: Tokens of history, new part and answer that it occupies.
        words: Words generated so far.
        is_cancelled: Whether it was told to stop.
        done: Set when it ended.
    """

    call: GenerateRequest
    cached_tokens: int
    remaining_prefill: int
    tokens: int
    words: list[str] = field(default_factory=list)
    is_cancelled: bool = False
    done: asyncio.Event = field(default_factory=asyncio.Event)
    _listeners: list[Callable[[int, str], None]] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether nothing is left to generate."""
        is_full = not self.remaining_prefill and len(self.words) >= self.call.max_tokens
        return self.is_cancelled or is_full

    def add_words(self, number: int) -> None:
        """Generate words."""
        first = len(self.words)
        last = min(first + number, self.call.max_tokens)
        new_words = [f"w{index}" for index in range(first, last)]
        self.words.extend(new_words)
        text = "".join(word + " " for word in new_words)
        for listener in self._listeners:
            listener(len(self.words), text)

    async def follow(self, listener: Callable[[int, str], None]) -> None:
        """Pass all words, those so far first, until the end."""
        if self.words:
            listener(len(self.words), "".join(word + " " for word in self.words))
        self._listeners.append(listener)
        try:
            await self.done.wait()
        finally:
            self._listeners.remove(listener)


class Batch:
    """Calls that run together, and those that wait by priority.

    Args:
        speed: How fast the engine is.
        on_finish: Called with each call that ends.
    """

    __slots__ = (
        "_arrival_numbers",
        "_on_finish",
        "_running",
        "_speed",
        "_task",
        "_waiting",
    )

    def __init__(self, speed: Speed, on_finish: Callable[[Generation], None]) -> None:
        self._speed = speed
        self._on_finish = on_finish
        self._running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._arrival_numbers = count()
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Number of calls that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting)

    @property
    def running_tokens(self) -> int:
        """Tokens that the running calls occupy."""
        return sum(item.tokens for item in self._running)

    def add(self, generation: Generation) -> None:
        """Take a call."""
        entry = (generation.call.priority, next(self._arrival_numbers), generation)
        heapq.heappush(self._waiting, entry)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while self._running or self._waiting:
            while self._waiting and len(self._running) < self._speed.batch:
                self._running.append(heapq.heappop(self._waiting)[2])
            decoding = [item for item in self._running if not item.remaining_prefill]
            prefilled = self._prefill()
            await asyncio.sleep(self._speed.step_s(prefilled, len(decoding)))
            for item in decoding:
                item.add_words(self._speed.step_tokens)
            self._finish()

    def _prefill(self) -> int:
        """Read input for one step, the calls in order; return the tokens read."""
        budget = PREFILL_STEP_TOKENS
        for item in self._running:
            processed = min(budget, item.remaining_prefill)
            item.remaining_prefill -= processed
            budget -= processed
        return PREFILL_STEP_TOKENS - budget

    def _finish(self) -> None:
        ended = [item for item in self._running if item.is_over]
        for item in ended:
            self._running.remove(item)
            self._on_finish(item)
            item.done.set()
