"""Calls in progress: the requests that wait for one, and its streamed answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .errors import CarobspurError
from .programs import StoredCall

OnText = Callable[[str, int, str], None]


@dataclass(slots=True, eq=False)
class RunningCall:
    """A call in progress, its streamed answer so far, and the listeners to it.

    Attributes:
        digest: Digest of the call.
        task: The task that runs it.
        generation: Identifies one generation of the answer, so that a reader that
            reconnects does not join pieces of two generations.
        texts: Pieces of the current generation so far.
    """

    digest: str
    task: asyncio.Task[StoredCall] | None = None
    generation: str = ""
    texts: list[str] = field(default_factory=list)
    _listeners: list[OnText] = field(default_factory=list)
    _waiter_error: asyncio.Future[CarobspurError] = field(
        default_factory=lambda: asyncio.get_event_loop().create_future()
    )

    @property
    def has_failed_waiters(self) -> bool:
        """Whether :meth:`fail_waiters` was called, for example in a store outage."""
        return self._waiter_error.done()

    def fail_waiters(self, error: CarobspurError) -> None:
        """Raise an error from all present and later waits; the call itself continues.

        Only the first error counts.
        """
        if not self._waiter_error.done():
            self._waiter_error.set_result(error)

    async def result(self) -> StoredCall:
        """Wait for the committed outcome.

        Raises:
            CarobspurError: The call failed, or :meth:`fail_waiters` was called before
                it finished, for example because a commit takes too long.
        """
        await asyncio.wait(
            {self.task, self._waiter_error}, return_when=asyncio.FIRST_COMPLETED
        )
        if self.task.done():
            return self.task.result()
        raise self._waiter_error.result()

    def restart(self, generation: str) -> None:
        """Discard the pieces so far, because the answer is generated again."""
        self.generation = generation
        self.texts.clear()

    def add_text(self, generation: str, text: str) -> None:
        """Store a piece and pass it to the listeners, unless its generation is old."""
        if generation != self.generation:
            return
        index = len(self.texts)
        self.texts.append(text)
        for listener in self._listeners:
            listener(generation, index, text)

    @contextmanager
    def listening(self, listener: OnText | None) -> Iterator[None]:
        """Pass all pieces to a listener during the body, starting with the first.

        ``None`` as the listener does nothing.
        """
        if listener is None:
            yield
            return
        for index, text in enumerate(self.texts):
            listener(self.generation, index, text)
        self._listeners.append(listener)
        try:
            yield
        finally:
            self._listeners.remove(listener)
