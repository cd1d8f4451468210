"""Shards when schedulers die, pause, drain or race, and when the table fails."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence
from typing import Any

import msgspec

from carobspur.clock import LoopClock
from carobspur.errors import StoreUnavailableError
from carobspur.journal import ProgramEnded, ProgramStarted
from carobspur.lease_watch import LeaseWatch, watched_by
from carobspur.placement import Placement, first, shard_of
from carobspur.program_index import ProgramIndex
from carobspur.session import Session
from carobspur.session_row import SESSION_PREFIX, session_key
from carobspur.shard_rows import SHARD_PREFIX, ShardRow, shard_key
from carobspur.shards import ShardManager
from carobspur.table import Write
from carobspur_standins.objects import MemoryObjects
from carobspur_standins.table import MemoryTable

from .faulty_table import CommitFault, FaultyTable
from .virtual import run_virtual

LEASE_S = 4.0
SHARDS = 8


class Holder:
    """The session, shard manager and programs of one scheduler."""

    def __init__(self, table: Any, objects: MemoryObjects, shards: int) -> None:
        self.table = table
        self.objects = objects
        self.shards = shards
        self.program_index = ProgramIndex()
        self.busy: set[int] = set()
        self.manager: ShardManager | None = None

    async def open(self, *, checkpoint_commits: int = 200) -> Holder:
        self.session = await Session.open(
            table=self.table,
            clock=LoopClock(wall_start_s=0.0),
            instance="i",
            host="10.0.0.1",
            port=1,
            data_centre="dc-1",
            lease_s=LEASE_S,
            on_commit=self._apply,
        )
        self.manager = ShardManager(
            table=self.table,
            objects=self.objects,
            clock=LoopClock(wall_start_s=0.0),
            session=self.session,
            program_index=self.program_index,
            shards=self.shards,
            lease_s=LEASE_S,
            checkpoint_commits=checkpoint_commits,
            is_busy=self.busy.__contains__,
        )
        self.task = asyncio.ensure_future(self.manager.run())
        return self

    def _apply(self, records: list[Any]) -> None:
        for record in records:
            self.program_index.apply(record)
        if self.manager is not None:
            self.manager.on_committed(records)

    async def start(self, program: str) -> None:
        """Commit the start of a program."""
        record = ProgramStarted(program, "o", "u", "a", 0.0)
        await self.session.commit([record])

    def kill(self) -> None:
        """Stop all tasks at once, as if the process was killed."""
        self.task.cancel()
        self.session._task.cancel()


class Cluster:
    """Holders that share one table and one object store."""

    def __init__(self, *, shards: int = SHARDS) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.shards = shards
        self.holders: list[Holder] = []

    async def add(self, *, table: Any = None, **options: Any) -> Holder:
        holder = Holder(table or self.table, self.objects, self.shards)
        self.holders.append(await holder.open(**options))
        return holder

    def kill(self, holder: Holder) -> None:
        holder.kill()
        self.holders.remove(holder)

    @property
    def served(self) -> list[int]:
        return sorted(
            number for holder in self.holders for number in holder.manager.owned
        )

    async def until_served(self, *, limit_s: float = 60.0) -> float:
        """Wait until every shard has exactly one holder; return the seconds taken."""
        return await self.until(
            lambda: self.served == list(range(self.shards)), limit_s
        )

    async def until(self, is_true: Any, limit_s: float = 60.0) -> float:
        """Wait until a condition is true; return the seconds taken."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not is_true():
            if loop.time() - start_s > limit_s:
                raise AssertionError(
                    f"condition not met within {limit_s} s; served: {self.served}"
                )
            await asyncio.sleep(0.02)
        return loop.time() - start_s

    def is_balanced(self) -> bool:
        ids = [holder.session.id for holder in self.holders]
        return all(
            first(str(number), ids) == holder.session.id
            for holder in self.holders
            for number in holder.manager.owned
        )

    def find(self, program: str) -> Holder:
        (holder,) = [holder for holder in self.holders if holder.manager.owns(program)]
        return holder


class TakeoverTest(unittest.TestCase):
    def test_killed_holder_is_replaced_within_the_target(self) -> None:
        """All shards of a killed holder are served within the lease time plus 1 s."""
        waits = []
        for seed in range(10):
            waits.append(run_virtual(lambda: self._wait_after_kill(), seed=seed))
        print(f"takeover after {min(waits):.2f} to {max(waits):.2f} s")
        self.assertLess(max(waits), LEASE_S + 1.0)

    async def _wait_after_kill(self) -> float:
        import random

        cluster = Cluster()
        for _ in range(3):
            await cluster.add()
        await cluster.until_served()
        await asyncio.sleep(5 + random.random() * LEASE_S)
        victim = cluster.holders[1]
        await victim.start("p1")
        await asyncio.sleep(random.random())
        cluster.kill(victim)
        waited_s = await cluster.until_served()
        self.assertIsNotNone(cluster.find("p1").program_index.find("p1"))
        return waited_s

    def test_all_but_one_die_at_once(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            for _ in range(5):
                await cluster.add()
            await cluster.until_served()
            await asyncio.sleep(10)
            for holder in cluster.holders[1:]:
                cluster.kill(holder)
            await cluster.until_served(limit_s=10 * LEASE_S)

        run_virtual(scenario)

    def test_table_outage_causes_no_takeover(self) -> None:
        """Leases that could not be renewed in an outage must not expire after it."""
        for tenth in range(3):
            run_virtual(lambda tenth=tenth: self._outage_after(tenth / 10))

    def test_expiry_time_restarts_after_an_outage_or_a_pause(self) -> None:
        async def scenario() -> None:
            for is_outage in (True, False):
                table = FaultyTable(MemoryTable())
                table.inner.apply([], [Write(session_key("x"), b"1")])
                watch = LeaseWatch(table, LoopClock(wall_start_s=0.0), LEASE_S)
                watch.update_sessions("me", ["me", "x"])
                self.assertFalse(await watch.expired())
                table.is_down = is_outage
                await asyncio.sleep(100 * LEASE_S)
                if is_outage:
                    with self.assertRaises(StoreUnavailableError):
                        await watch.expired()
                table.is_down = False
                self.assertFalse(await watch.expired())
                await asyncio.sleep(0.9 * LEASE_S)
                self.assertFalse(await watch.expired())

        run_virtual(scenario)

    async def _outage_after(self, seconds: float) -> None:
        cluster = Cluster()
        tables = [FaultyTable(cluster.table) for _ in range(3)]
        for table in tables:
            await cluster.add(table=table)
        await cluster.until_served()
        await asyncio.sleep(seconds)
        for table in tables:
            table.is_down = True
        await asyncio.sleep(100)
        for table in tables:
            table.is_down = False
            await asyncio.sleep(LEASE_S / 3)
        await asyncio.sleep(3 * LEASE_S)
        self.assertFalse(any(holder.session.is_lost for holder in cluster.holders))
        self.assertEqual(cluster.served, list(range(SHARDS)))

    def test_slow_answers_do_not_shorten_the_lease(self) -> None:
        """The lease time runs from the first answer with a version, not its request."""

        async def scenario() -> None:
            table = MemoryTable()
            table.apply([], [Write(session_key("x"), b"1")])
            read = table.read

            async def _read_slowly(key: str) -> Any:
                await asyncio.sleep(0.4)
                return await read(key)

            table.read = _read_slowly
            clock = LoopClock(wall_start_s=0.0)
            watch = LeaseWatch(table, clock, LEASE_S)
            watch.update_sessions("me", ["me", "x"])
            start_s = clock.monotonic()
            while not await watch.expired():
                await asyncio.sleep(watch.due_in_s())
            self.assertGreaterEqual(clock.monotonic() - start_s, LEASE_S + 2 * 0.4)

        run_virtual(scenario)

    def test_every_session_is_watched(self) -> None:
        names = [f"s{number}" for number in range(30)]
        watched_lists = [watched_by(name, names) for name in names]
        for rank in range(3):
            self.assertEqual({watched[rank] for watched in watched_lists}, set(names))


class HandOverTest(unittest.TestCase):
    def test_drain_hands_over_within_a_second(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            for _ in range(3):
                await cluster.add()
            await cluster.until_served()
            await asyncio.sleep(10)
            leaver = cluster.holders.pop(0)
            await leaver.start("p1") if leaver.manager.owns("p1") else None
            leaving = asyncio.ensure_future(leaver.manager.drain())
            waited_s = await cluster.until_served()
            await leaving
            print(f"hand-over at a planned stop: {waited_s:.2f} s")
            self.assertLess(waited_s, 1.0)

        run_virtual(scenario)

    def test_interrupted_hand_over_leaves_no_second_holder(self) -> None:
        """An interrupted hand-over may have taken effect, so it is never undone."""

        async def scenario() -> None:
            cluster = Cluster()
            table = FaultyTable(cluster.table)
            leaver = await cluster.add(table=table)
            await cluster.add()
            await cluster.until_served()
            await asyncio.sleep(10)

            def _fault(writes: list[Write]) -> CommitFault:
                is_move = any(write.key.startswith(SHARD_PREFIX) for write in writes)
                return CommitFault.LATE if is_move else CommitFault.NONE

            table.fault = _fault
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(leaver.manager.drain(), 1.0)
            table.deliver_late()
            for _ in range(100):
                self.assertEqual(len(cluster.served), len(set(cluster.served)))
                await asyncio.sleep(0.1)

        run_virtual(scenario)

    def test_drain_races_with_steps_and_checkpoints(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            put = cluster.objects.put

            async def _put_slowly(key: str, content: bytes) -> None:
                await asyncio.sleep(0.3)
                await put(key, content)

            cluster.objects.put = _put_slowly
            leaver = await cluster.add(checkpoint_commits=1)
            for _ in range(2):
                await cluster.add(checkpoint_commits=1)
            await cluster.until_served()
            for number in range(20):
                await cluster.find(f"p{number}").start(f"p{number}")
            cluster.holders.remove(leaver)
            await asyncio.gather(leaver.manager.drain(), leaver.manager.step())
            await cluster.until_served()
            for number in range(20):
                program = f"p{number}"
                self.assertIsNotNone(cluster.find(program).program_index.find(program))

        run_virtual(scenario)

    def test_shards_that_are_always_busy_move_one_at_a_time(self) -> None:
        """Busy shards that never become idle alone are quiesced one after another.

        Each shard always has a call in progress until it accepts no new calls.
        """

        async def scenario() -> None:
            cluster = Cluster()
            holder = await cluster.add()
            await cluster.until_served()
            max_suspended = 0

            async def _keep_busy(shard: int) -> None:
                while shard in holder.manager._owned:
                    if shard in holder.manager.owned:
                        holder.busy.add(shard)
                        await asyncio.sleep(1.0)
                        if shard not in holder.manager.owned:
                            holder.busy.discard(shard)
                    await asyncio.sleep(0.01)

            tasks = [
                asyncio.ensure_future(_keep_busy(number)) for number in range(SHARDS)
            ]
            await cluster.add()
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            while not cluster.is_balanced():
                self.assertLess(loop.time() - start_s, 30.0, cluster.served)
                suspended = len(holder.manager._owned) - len(holder.manager.owned)
                max_suspended = max(max_suspended, suspended)
                await asyncio.sleep(0.02)
            print(f"busy shards balanced after {loop.time() - start_s:.2f} s")
            self.assertEqual(max_suspended, 1)
            for task in tasks:
                task.cancel()

        run_virtual(scenario)

    def test_shard_handed_to_one_whose_claim_a_third_ends_is_served(self) -> None:
        """A shard is served although its assignment changes while it is handed over.

        Two holders join shortly after each other. The first holder hands shards to the
        second, to which they are no longer assigned once the third has joined.
        """
        stuck = []
        for delay_ms in range(0, 500, 20):

            async def scenario(delay_ms: int = delay_ms) -> None:
                cluster = Cluster(shards=64)
                await cluster.add()
                await cluster.until_served()
                await cluster.add()
                await asyncio.sleep(delay_ms / 1000)
                await cluster.add()
                try:
                    await cluster.until(
                        lambda: (
                            cluster.is_balanced() and cluster.served == list(range(64))
                        )
                    )
                except AssertionError:
                    stuck.append((delay_ms, set(range(64)) - set(cluster.served)))

            run_virtual(scenario)
        self.assertEqual([], stuck)

    def test_joins_balance_shards_and_none_is_held_twice(self) -> None:
        async def scenario() -> None:
            cluster = Cluster(shards=64)
            await cluster.add()
            await cluster.until_served()
            programs = [f"p{number}" for number in range(100)]
            for program in programs:
                await cluster.find(program).start(program)
            for _ in range(2):
                await cluster.add()
            waited_s = await cluster.until(cluster.is_balanced)
            self.assertEqual(
                len(cluster.served), len(set(cluster.served)), "held twice"
            )
            await cluster.until_served()
            for program in programs:
                self.assertIsNotNone(cluster.find(program).program_index.find(program))
            print(f"64 shards balanced on 3 schedulers after {waited_s:.2f} s")

        run_virtual(scenario)


class FaultIsolationTest(unittest.TestCase):
    def test_missing_snapshot_stops_only_its_own_shard(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            row = ShardRow("s-gone", "snapshot/none")
            write = Write(shard_key(3), msgspec.json.encode(row))
            cluster.table.apply([], [write])
            await cluster.add()
            await asyncio.sleep(3 * LEASE_S)
            expected = [number for number in range(SHARDS) if number != 3]
            self.assertEqual(cluster.served, expected)

        run_virtual(scenario)

    def test_session_that_was_never_used_gets_no_shards(self) -> None:
        """A lost answer to the opening leaves a row that no process renews."""

        async def scenario() -> None:
            cluster = Cluster()
            holder = await cluster.add()
            await cluster.until_served()
            table = FaultyTable(cluster.table)
            table.fault = lambda writes: CommitFault.ANSWER_LOST
            with self.assertRaises(StoreUnavailableError):
                await Holder(table, cluster.objects, SHARDS).open()
            await asyncio.sleep(LEASE_S / 2)
            self.assertEqual(len(await cluster.table.scan(SESSION_PREFIX)), 2)
            self.assertEqual(len(holder.manager.owned), SHARDS)
            await asyncio.sleep(3 * LEASE_S)
            self.assertEqual(len(await cluster.table.scan(SESSION_PREFIX)), 1)

        run_virtual(scenario)

    def test_resumed_holder_serves_nothing(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            for _ in range(2):
                await cluster.add()
            await cluster.until_served()
            sleeper = cluster.holders[0]
            asyncio.get_running_loop()._selector_with_time.now_s += 2 * LEASE_S
            self.assertFalse(
                any(sleeper.manager.owns(f"p{number}") for number in range(50))
            )

        run_virtual(scenario)

    def test_scheduler_with_another_shard_count_claims_nothing(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            await cluster.add()
            await cluster.until_served()
            other = await Holder(cluster.table, cluster.objects, SHARDS * 2).open()
            await asyncio.sleep(2 * LEASE_S)
            self.assertFalse(other.manager.owned)

        run_virtual(scenario)


class CheckpointTest(unittest.TestCase):
    def test_journal_and_snapshots_stay_bounded(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            holder = await cluster.add(checkpoint_commits=20)
            await cluster.until_served()
            for number in range(1000):
                await holder.start(f"p{number % 50}")
                await asyncio.sleep(0.1)
            rows = len(await cluster.table.scan("journal/"))
            self.assertLess(rows, 100)
            self.assertLessEqual(len(cluster.objects.keys), SHARDS)
            cluster.kill(holder)
            other = await cluster.add()
            await cluster.until_served()
            self.assertEqual(len(other.program_index), 50)

        run_virtual(scenario)

    def test_journals_of_ended_sessions_are_deleted_and_nothing_is_lost(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            for _ in range(3):
                await cluster.add()
            await cluster.until_served()
            for number in range(300):
                await cluster.find(f"p{number}").start(f"p{number}")
            cluster.kill(cluster.holders[0])
            leaver = cluster.holders.pop(0)
            await leaver.manager.drain()
            await leaver.session.close()
            last = cluster.holders[0].session.id
            await asyncio.sleep(200 * LEASE_S)
            rows = await cluster.table.scan("journal/")
            self.assertEqual({row.key.split("/")[1] for row in rows} - {last}, set())
            self.assertEqual(await cluster.table.scan("ended/"), [])
            cluster.kill(cluster.holders[0])
            successor = await cluster.add()
            await cluster.until_served()
            self.assertEqual(len(successor.program_index), 300)

        run_virtual(scenario)


class PlacementTest(unittest.TestCase):
    def test_incremental_updates_match_a_full_computation(self) -> None:
        placement = Placement(64)
        steps: list[Sequence[str]] = ["a", "abc", "bc", "bcde", "e", "", "af"]
        for names in steps:
            placement.update(names)
            found = [placement.target(number) for number in range(64)]
            self.assertEqual(found, [first(str(number), names) for number in range(64)])

    def test_programs_spread_over_shards(self) -> None:
        found = {shard_of(f"p{number}", 64) for number in range(2000)}
        self.assertEqual(len(found), 64)


class EndedRecordsTest(unittest.TestCase):
    def test_record_without_its_program_is_found_at_recovery(self) -> None:
        async def scenario() -> None:
            cluster = Cluster()
            holder = await cluster.add()
            await cluster.until_served()
            holder.session._on_commit = lambda records: None
            await holder.session.commit([ProgramEnded("unknown", "x")])
            cluster.kill(holder)
            await cluster.add()
            await asyncio.sleep(4 * LEASE_S)
            self.assertEqual(len(cluster.served), SHARDS - 1)

        run_virtual(scenario)
