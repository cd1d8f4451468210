"""What a gateway tells the homes of a program, wherever its account is by now."""

from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

import msgspec

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.members import Heartbeat, Member, Membership
from carobspur.gateway.send_errors import LostAnswerError, NotSentError
from carobspur.gateway.spending import SpendingHome
from carobspur.gateway.spending_client import (
    HEARD_LATELY_S,
    SILENT_HOME_S,
    SpendingClient,
)
from carobspur.gateway.spending_protocol import SpendingRequest, answer_spending
from carobspur.gateway.spending_records import BudgetSpentError, MovedAccount

from .homes import Homes

NAMES = ("a", "b", "c")
BUDGET = 500
TOKENS = 289


def _member(name: str) -> Member:
    return Member(name, "dc", f"{name}:1", f"{name}:2", f"{name}:3")


class Peers:
    """Homes that answer over patched calls, and one gateway's client."""

    def __init__(self) -> None:
        self.homes = Homes()
        for name in NAMES:
            self.homes.start(name)
        self.membership = Membership(_member("own"))
        self.tasks: set[asyncio.Task] = set()
        self.silent: set[str] = set()
        self.client = SpendingClient(
            self.membership,
            self.homes.start("own"),
            pool=SimpleNamespace(drop=lambda key: None),
            is_home=lambda: False,
            spawn=self._spawn,
            log=DecisionLog(logging.getLogger("test")),
        )

    def hear_all(self) -> None:
        """Let every member that lives send a heartbeat."""
        now = asyncio.get_running_loop().time()
        for name in self.homes.homes:
            if name != "own":
                self.membership.put(_member(name), now)
                self.membership.record_heartbeat(Heartbeat(name, True), now)

    async def fetch(self, pool, address, method, path, *, body, timeout_s):
        """Answer one request as the peer at an address would."""
        await asyncio.sleep(0)
        name = address.partition(":")[0]
        home = self.homes.homes.get(name)
        if home is None:
            raise NotSentError("refused")
        if name in self.silent:
            await asyncio.sleep(timeout_s)
            raise LostAnswerError("no answer")
        request = msgspec.msgpack.decode(body, type=SpendingRequest)
        answer = await answer_spending(home, request)
        return SimpleNamespace(status=200, body=msgspec.msgpack.encode(answer))

    async def finish(self) -> None:
        """Wait for what runs beside the requests."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class SpendingClientTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.peers = Peers()
        patcher = patch(
            "carobspur.gateway.spending_client.fetch", side_effect=self.peers.fetch
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    async def reserve(self, turn: str):
        self.peers.hear_all()
        return await self.peers.client.reserve("p", turn, TOKENS, BUDGET, kept_s=60)

    async def test_home_that_waits_for_the_store_is_not_taken_for_dead(self) -> None:
        self.peers.hear_all()
        # Its heartbeats go to others: nothing is heard of it from now on.
        await asyncio.sleep(HEARD_LATELY_S + 0.1)
        self.peers.homes.store.answer_s = 0.4
        first = self.peers.client._homes("p")[0]
        reservation = await self.peers.client.reserve(
            "p", "t", TOKENS, BUDGET, kept_s=60
        )
        self.assertEqual(first, reservation.home)
        self.assertEqual(1, self.peers.homes.store.version)

    async def test_home_that_is_silent_is_left_soon(self) -> None:
        self.peers.hear_all()
        await asyncio.sleep(HEARD_LATELY_S + 0.1)
        first, second = self.peers.client._homes("p")[:2]
        self.peers.silent = {first}
        began = asyncio.get_running_loop().time()
        reservation = await self.peers.client.reserve(
            "p", "t", TOKENS, BUDGET, kept_s=60
        )
        taken_s = asyncio.get_running_loop().time() - began
        self.assertEqual(second, reservation.home)
        self.assertLess(taken_s, 2 * SILENT_HOME_S + 0.1)

    async def test_end_of_a_turn_follows_its_account(self) -> None:
        reservation = await self.reserve("t")
        next_home = next(
            home
            for name, home in self.peers.homes.homes.items()
            if name not in (reservation.home, "own")
        )
        with self.assertRaises(BudgetSpentError):
            await next_home.reserve("p", "u", TOKENS, BUDGET, kept_s=60)
        await self.peers.client.settle(reservation, 0)
        others = await next_home.reserve("p", "v", TOKENS, BUDGET, kept_s=60)
        self.assertEqual(0, others)

    async def test_end_of_a_turn_follows_an_account_whose_home_has_ended(self) -> None:
        reservation = await self.reserve("t")
        former = self.peers.homes.homes.pop(reservation.home)
        others = [
            home for name, home in self.peers.homes.homes.items() if name != "own"
        ]
        await former.move_all(lambda account: self._taken(others, account))
        await self.peers.client.settle(reservation, 0)
        self.assertEqual(0, (await others[0].give_away("p")).spent)

    async def _taken(self, homes: list[SpendingHome], account: MovedAccount) -> bool:
        return homes[0].take_over(account)
