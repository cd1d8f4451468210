"""Following a program's owner."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from carobspur.clock import LoopClock
from carobspur.errors import NotOwnerError, NotReadyError, PeerUnreachableError
from carobspur.forward import Forwarder
from carobspur.ownership import Ownership

from . import builders
from .virtual import run_virtual
from .world import World


class FrozenOwnerTest(unittest.TestCase):
    def test_call_leaves_a_frozen_owner_for_the_next(self) -> None:
        async def scenario() -> None:
            world = await World().start(3)
            program = await world.start_program("k1")
            owner = world.owner_of(program)
            other = next(number for number in world.nodes if number != owner)
            world.nodes[owner].gate.freeze()
            calling = asyncio.ensure_future(
                world.call(program, 1, "payout", {"pesos": 7}, node=other)
            )
            reply = await asyncio.wait_for(calling, 3 * builders.LEASE_S)
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(len(world.tool.runs), 1)

        run_virtual(scenario)


class _View:
    """A view in which one scheduler owns everything."""

    sessions = ()

    def __init__(self) -> None:
        self.owner = SimpleNamespace(id="s1", host="h", port=1)

    def owner_of(self, program: str) -> SimpleNamespace | None:
        return self.owner

    def successors_of(self, program: str) -> list[SimpleNamespace]:
        return []


class _Peers:
    """Peers that fail with an error for so long, and then answer."""

    def __init__(self, error: Exception, until_s: float) -> None:
        self.error = error
        self.until_s = until_s

    async def call(self, *_: object, **__: object) -> str:
        if asyncio.get_running_loop().time() < self.until_s:
            raise self.error
        return "done"


class MovingOwnerTest(unittest.TestCase):
    """Programs that come while schedulers share out their shards."""

    def ask(self, error: Exception, *, for_s: float, has_owner: bool = True) -> object:
        async def scenario() -> object:
            view = _View()
            if not has_owner:
                view.owner = None
            loop = asyncio.get_running_loop()
            peers = _Peers(error, loop.time() + for_s)
            forwarder = Forwarder(peers, view, LoopClock(), limit_s=2.0)
            return await forwarder.ask("p", "method", "request", timeout_s=10.0)

        return run_virtual(scenario)

    def test_shards_that_take_long_to_move_refuse_nobody(self) -> None:
        # Four shards a step: a busy machine took over 2 s for 42 of 64.
        moved = NotOwnerError("program p belongs to another scheduler")
        self.assertEqual("done", self.ask(moved, for_s=6.0))

    def test_owner_that_never_comes_ends_with_the_callers_time(self) -> None:
        moved = NotOwnerError("program p belongs to another scheduler")
        with self.assertRaises(NotReadyError):
            self.ask(moved, for_s=60.0)

    def test_silent_owner_is_followed_as_long_as_a_takeover_takes(self) -> None:
        with self.assertRaises(NotReadyError):
            self.ask(PeerUnreachableError("no connection"), for_s=3.0)
        with self.assertRaises(NotReadyError):
            self.ask(PeerUnreachableError("none"), for_s=60.0, has_owner=False)

    def test_stale_owner_is_followed_as_long_as_a_takeover_takes(self) -> None:
        """In an outage of the table a session lapses, and its caller must hear it."""
        session = SimpleNamespace(is_stale=True, is_lost=False)
        ownership = Ownership(session=session, owns=lambda _: False, shards=64)
        with self.assertRaises(NotReadyError) as stale:
            ownership.require("p")
        with self.assertRaises(NotReadyError):
            self.ask(stale.exception, for_s=3.0)
        session.is_stale = False
        with self.assertRaises(NotOwnerError):
            ownership.require("p")
