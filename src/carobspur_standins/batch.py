"""Continuous batching of the engine stand-in.

Calls join and leave a running batch between steps. Each step processes input tokens
(prefill) and generates output tokens (decode) for all running calls together.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from carobspur.endpoints import GenerateRequest

PREFILL_STEP_TOKENS = 1024
"""Most input tokens of one step, all calls together, so that long inputs do not stop
the decoding of other calls."""


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed and batch size of an engine.

    Attributes:
        prefill_tokens_per_s: Input tokens a second, all calls together.
        decode_tokens_per_s: Output tokens a second of a call that runs alone.
        batch: Most calls that run at once; further calls wait.
        batch_slowdown: Share by which each further call slows a decode step.
        step_tokens: Tokens that a decode step generates for each call; more than one
            saves processor time in experiments.
    """

    prefill_tokens_per_s: float = 5000.0
    decode_tokens_per_s: float = 50.0
    batch: int = 8
    batch_slowdown: float = 0.0
    step_tokens: int = 1

    def step_s(self, prefill_tokens: int, decoding: int) -> float:
        """Return the duration of a step in seconds.

        Args:
            prefill_tokens: Input tokens that the step processes.
            decoding: Calls for which it generates.
        """
        seconds = prefill_tokens / self.prefill_tokens_per_s
        if decoding:
            slowdown = 1 + self.batch_slowdown * (decoding - 1)
            seconds += slowdown * self.step_tokens / self.decode_tokens_per_s
        return seconds


@dataclass(slots=True, eq=False)
class Generation:
    """A model call in an engine, waiting or running.

    Attributes:
        call: The caller's request.
        cached_tokens: History tokens that were found in the prefix cache.
        remaining_prefill: Input tokens still to process.
        tokens: Tokens of engine memory that it occupies: history, new input and the
            longest possible output.
        words: Output words so far; a word counts as one token.
        is_cancelled: Whether the caller cancelled it.
        done: Set once it has ended.
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
        """Whether it is cancelled or has its full output."""
        is_full = not self.remaining_prefill and len(self.words) >= self.call.max_tokens
        return self.is_cancelled or is_full

    def add_words(self, number: int) -> None:
        """Generate up to ``number`` words and pass them to all listeners."""
        first = len(self.words)
        last = min(first + number, self.call.max_tokens)
        new_words = [f"w{index}" for index in range(first, last)]
        self.words.extend(new_words)
        text = "".join(word + " " for word in new_words)
        for listener in self._listeners:
            listener(len(self.words), text)

    async def follow(self, listener: Callable[[int, str], None]) -> None:
        """Report the output until the call ends.

        Args:
            listener: Called with the number of words so far and the text that is new;
                first with all words generated before.
        """
        if self.words:
            listener(len(self.words), "".join(word + " " for word in self.words))
        self._listeners.append(listener)
        try:
            await self.done.wait()
        finally:
            self._listeners.remove(listener)


class Batch:
    """The running calls of an engine and its queue.

    The queue is ordered by priority, lowest number first, then by arrival. The batch
    runs in a task of its own for as long as it has calls.

    Args:
        speed: Speed and batch size.
        on_finish: Called with each call that ends, before its ``done`` is set.
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
        """Number of running calls."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._waiting)

    @property
    def running_tokens(self) -> int:
        """Tokens of engine memory that the running calls occupy."""
        return sum(item.tokens for item in self._running)

    def add(self, generation: Generation) -> None:
        """Queue a call."""
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
        """Process the input of one step, first call first; return its tokens."""
        remaining = PREFILL_STEP_TOKENS
        for item in self._running:
            processed = min(remaining, item.remaining_prefill)
            item.remaining_prefill -= processed
            remaining -= processed
        return PREFILL_STEP_TOKENS - remaining

    def _finish(self) -> None:
        ended = [item for item in self._running if item.is_over]
        for item in ended:
            self._running.remove(item)
            self._on_finish(item)
            item.done.set()
