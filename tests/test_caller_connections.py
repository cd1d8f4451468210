"""Waiting for callers that read their answers slowly."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from carobspur.gateway.memory.account import ConnectionUse, MemoryAccount
from carobspur.gateway.memory.settings import MemorySettings
from carobspur.gateway.refusals import CallerTooSlowError
from carobspur.platform.connections import CallerConnection, CallerConnections

POLLS = 30
"""Polls before the kernel takes more bytes; together they last for 0.6 s."""


class _Stream:
    """A stream whose caller receives a number of bytes before each poll."""

    def __init__(self, received: int) -> None:
        self.use = ConnectionUse()
        self.polls = 0
        self._received = received

    @property
    def unsent_bytes(self) -> int:
        self.polls += 1
        if self.polls == POLLS:
            self.use.unread_bytes = 0
        return 1000 - self._received * self.polls

    def closed(self) -> bool:
        return False

    def close(self) -> None:
        """Do nothing: the connection does not use it afterwards."""


async def _wait(stream: _Stream) -> None:
    account = MemoryAccount(MemorySettings(unread_bytes=10, unread_s=0.2))
    connections = CallerConnections(
        account, lambda *_: None, head_s=lambda: 60.0, on_limit=lambda *_: None
    )
    caller = CallerConnection(connections, stream)
    stream.use = caller.use
    caller.use.unread_bytes = 1000
    await caller.wait_until_read()


class WaitUntilReadTest(IsolatedAsyncioTestCase):
    async def test_caller_that_goes_on_receiving_is_not_cut(self) -> None:
        # The kernel takes bytes in steps of up to 1 MB; a caller on a slow link was cut
        # between two steps although it read all the time.
        stream = _Stream(received=1)
        await _wait(stream)
        self.assertEqual(POLLS, stream.polls)

    async def test_caller_that_receives_nothing_is_cut(self) -> None:
        with self.assertRaises(CallerTooSlowError):
            await _wait(_Stream(received=0))
