"""Requests to account owners that do not answer, are stopping or have changed."""

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
from carobspur.gateway.spending import AccountOwner
from carobspur.gateway.spending_client import (
    PROBE_AFTER_S,
    RECENT_HEARTBEAT_S,
    SpendingClient,
)
from carobspur.gateway.spending_protocol import SpendingRequest, answer_spending
from carobspur.gateway.spending_records import (
    BudgetSpentError,
    MovedAccount,
    OwnerSilentError,
)
from carobspur.placement import rank

from .account_owners import AccountOwners

NAMES = ("a", "b", "c")
BUDGET = 500
TOKENS = 289


def _member(name: str) -> Member:
    return Member(name, "dc", f"{name}:1", f"{name}:2", f"{name}:3")


class Peers:
    """The client of one gateway, and owners that it reaches by a patched ``fetch``."""

    def __init__(self) -> None:
        self.owners = AccountOwners()
        for name in NAMES:
            self.owners.start(name)
        self.membership = Membership(_member("own"))
        self.tasks: set[asyncio.Task] = set()
        self.silent: set[str] = set()
        self.executes_while_silent = False
        self.client = SpendingClient(
            self.membership,
            self.owners.start("own"),
            pool=SimpleNamespace(close_idle=lambda key: None),
            accepts_accounts=lambda: False,
            spawn=self._spawn,
            log=DecisionLog(logging.getLogger("test")),
        )

    def record_heartbeats(self) -> None:
        """Record a heartbeat of each owner that can be reached."""
        now = asyncio.get_running_loop().time()
        for name in self.owners.by_name:
            if name != "own":
                self.membership.put(_member(name), now)
                self.membership.record_heartbeat(Heartbeat(name, True), now)

    async def fetch(self, pool, address, method, path, *, body, timeout_s):
        """Answer a request as the gateway at the address would."""
        await asyncio.sleep(0)
        name = address.partition(":")[0]
        owner = self.owners.by_name.get(name)
        if owner is None:
            raise NotSentError("refused")
        request = msgspec.msgpack.decode(body, type=SpendingRequest)
        if name in self.silent:
            if self.executes_while_silent:
                await answer_spending(owner, request)
            await asyncio.sleep(timeout_s)
            raise LostAnswerError("no answer")
        answer = await answer_spending(owner, request)
        return SimpleNamespace(status=200, body=msgspec.msgpack.encode(answer))

    async def finish(self) -> None:
        """Wait for the background tasks of the client."""
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
        self.peers.record_heartbeats()
        return await self.peers.client.reserve(
            "p", turn, TOKENS, BUDGET, retention_s=60
        )

    async def test_owner_that_waits_for_the_store_does_not_count_as_dead(self) -> None:
        self.peers.record_heartbeats()
        # Its heartbeats are sent to other gateways, so its last one here is not recent.
        await asyncio.sleep(RECENT_HEARTBEAT_S + 0.1)
        self.peers.owners.store.answer_s = 0.4
        first = self.peers.client._candidate_owners("p")[0]
        reservation = await self.peers.client.reserve(
            "p", "t", TOKENS, BUDGET, retention_s=60
        )
        self.assertEqual(first, reservation.owner)
        self.assertEqual(1, self.peers.owners.store.version)

    async def test_silent_owner_is_soon_replaced_by_the_next(self) -> None:
        self.peers.record_heartbeats()
        await asyncio.sleep(RECENT_HEARTBEAT_S + 0.1)
        first, second = self.peers.client._candidate_owners("p")[:2]
        self.peers.silent = {first}
        began = asyncio.get_running_loop().time()
        reservation = await self.peers.client.reserve(
            "p", "t", TOKENS, BUDGET, retention_s=60
        )
        taken_s = asyncio.get_running_loop().time() - began
        self.assertEqual(second, reservation.owner)
        self.assertLess(taken_s, 2 * PROBE_AFTER_S + 0.1)

    async def reserve_past_a_silent_owner(self):
        """Reserve while the first owner is silent, until it has been cancelled."""
        self.peers.record_heartbeats()
        await asyncio.sleep(RECENT_HEARTBEAT_S + 0.1)
        first = self.peers.client._candidate_owners("p")[0]
        self.peers.silent = {first}
        reservation = await self.peers.client.reserve(
            "p", "t", TOKENS, BUDGET, retention_s=60
        )
        # The cancellation finds the other owners alive when the silent one times out.
        self.peers.record_heartbeats()
        await self.peers.finish()
        return reservation

    async def test_cancellation_at_a_silent_owner_leaves_the_next_reservation(
        self,
    ) -> None:
        """Guards against turns whose tokens count for nothing after a freeze."""
        reservation = await self.reserve_past_a_silent_owner()
        owner = self.peers.owners.by_name[reservation.owner]
        self.assertEqual(TOKENS, sum((await owner.move_out("p")).open.values()))

    async def test_cancellation_follows_the_account_of_a_silent_owner(self) -> None:
        """Guards against tokens that stay reserved after their owner was frozen."""
        self.peers.executes_while_silent = True
        reservation = await self.reserve_past_a_silent_owner()
        owner = self.peers.owners.by_name[reservation.owner]
        moved = await owner.move_out("p")
        self.assertEqual({reservation.turn: TOKENS}, moved.open)
        self.assertEqual(TOKENS, moved.spent)

    async def test_next_owner_is_told_that_another_was_passed_over(self) -> None:
        told = []
        owner_type = type(self.peers.owners.by_name["a"])
        reserve = owner_type.reserve

        async def record(owner, *arguments, is_passed_over: bool, **more):
            told.append(is_passed_over)
            return await reserve(owner, *arguments, **more)

        with (
            patch.object(owner_type, "reserve", record),
            patch(f"{__name__}.BUDGET", 10 * TOKENS),
        ):
            await self.reserve("s")
            await self.reserve_past_a_silent_owner()
            # The silent owner is not asked again at once.
            await self.reserve("u")
        self.assertEqual([False, True, True], told)

    async def test_only_a_better_owner_that_died_may_have_owned_an_account(
        self,
    ) -> None:
        client, membership = self.peers.client, self.peers.membership
        names = ["own", "a", "b", "c"]
        died = "a"
        membership.record_silence(died, 100.0)
        concerned = 0
        for number in range(200):
            program = f"p{number}"
            is_better = rank(program, names).index(died) < rank(program, names).index(
                "own"
            )
            concerned += is_better
            self.assertEqual(is_better, client.may_have_lost_owner(program, since=99.0))
            self.assertFalse(client.may_have_lost_owner(program, since=101.0))
        self.assertLess(50, concerned)
        self.assertLess(concerned, 150)

    async def test_pull_that_a_candidate_does_not_answer_proves_nothing(self) -> None:
        self.peers.record_heartbeats()
        self.assertIsNone(await self.peers.client.pull("p"))
        first = self.peers.client._candidate_owners("p")[0]
        del self.peers.owners.by_name[first]
        for _ in range(2):
            with self.assertRaises(OwnerSilentError):
                await self.peers.client.pull("p")

    async def test_settlement_reaches_the_owner_that_took_the_account_over(
        self,
    ) -> None:
        reservation = await self.reserve("t")
        next_owner = next(
            owner
            for name, owner in self.peers.owners.by_name.items()
            if name not in (reservation.owner, "own")
        )
        with self.assertRaises(BudgetSpentError):
            await next_owner.reserve("p", "u", TOKENS, BUDGET, retention_s=60)
        await self.peers.client.settle(reservation, 0)
        others = await next_owner.reserve("p", "v", TOKENS, BUDGET, retention_s=60)
        self.assertEqual(0, others)

    async def test_settlement_reaches_the_next_owner_after_a_stop(self) -> None:
        reservation = await self.reserve("t")
        former = self.peers.owners.by_name.pop(reservation.owner)
        others = [
            owner for name, owner in self.peers.owners.by_name.items() if name != "own"
        ]
        await former.move_all(lambda account: self._accept(others, account))
        await self.peers.client.settle(reservation, 0)
        self.assertEqual(0, (await others[0].move_out("p")).spent)

    async def _accept(self, owners: list[AccountOwner], account: MovedAccount) -> bool:
        return owners[0].take_over(account)
