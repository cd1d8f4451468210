"""Calls under way, and those who wait for them or read along."""

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
    """A call under way, with all who listen to its stream.

    Attributes:
        digest: Digest of the call.
        task: The task that runs it.
        generation: Names one generation of the answer: a reader who comes back
            must not join pieces of two.
        texts: Pieces of the answer so far.
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
        """Whether those who waited were told to come back."""
        return self._waiter_error.done()

    def fail_waiters(self, error: CarobspurError) -> None:
        """Answer all who wait, now and later, with an error; the call goes on."""
        if not self._waiter_error.done():
            self._waiter_error.set_result(error)

    async def result(self) -> StoredCall:
        """Wait for the committed outcome.

        Raises:
            CarobspurError: The call failed, or its commit takes too long.
        """
        await asyncio.wait(
            {self.task, self._waiter_error}, return_when=asyncio.FIRST_COMPLETED
        )
        if self.task.done():
            return self.task.result()
        raise self._waiter_error.result()

    def restart(self, generation: str) -> None:
        """Forget the pieces so far: the answer is generated anew."""
        self.generation = generation
        self.texts.clear()

    def add_text(self, generation: str, text: str) -> None:
        """Take one piece of the answer and pass it on, unless it is of an old one."""
        if generation != self.generation:
            return
        index = len(self.texts)
        self.texts.append(text)
        for listener in self._listeners:
            listener(generation, index, text)

    @contextmanager
    def listening(self, listener: OnText | None) -> Iterator[None]:
        """Pass all pieces, those so far first, to a listener during the body."""
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
