"""Sessions: lost answers, late transactions, takeovers, pauses and closing."""

from __future__ import annotations

import asyncio
import unittest
from itertools import product
from typing import Any

from carobspur.clock import LoopClock
from carobspur.errors import SessionLostError, StoreConflictError, StoreError
from carobspur.journal import ProgramEnded, decode_chunk
from carobspur.session import Session
from carobspur.session_row import session_key
from carobspur.table import Check, Write
from carobspur.verdict import MAY_HAVE_RUN, NOT_RUN
from carobspur_standins.table import MemoryTable

from .faulty_table import CommitFault, FaultyTable, faults_in_order
from .virtual import run_virtual

LEASE_S = 4.0


async def open_session(table: Any, **options: Any) -> Session:
    return await Session.open(
        table=table,
        clock=LoopClock(wall_start_s=0.0),
        instance="i1",
        host="10.0.0.1",
        port=1,
        data_centre="dc-1",
        lease_s=LEASE_S,
        **options,
    )


class InDoubtTest(unittest.TestCase):
    def test_every_chain_of_faults_commits_exactly_once(self) -> None:
        """After any three faults in a row, exactly the reported commit is stored."""
        tried = 0
        for chain in product(CommitFault, repeat=3):
            run_virtual(lambda chain=chain: self._commit_under(chain))
            tried += 1
        print(f"{tried} chains of commit faults tried")

    async def _commit_under(self, chain: tuple[CommitFault, ...]) -> None:
        table = FaultyTable(MemoryTable())
        applied: list[Any] = []
        session = await open_session(table, on_commit=applied.extend)
        await asyncio.sleep(0)
        table.fault = faults_in_order(*chain)
        number = await session.commit([ProgramEnded("p1", "x")])
        chunks = await table.inner.scan("journal/")
        commits = [decode_chunk(row.value).commit for row in chunks]
        self.assertEqual(commits, [number], chain)
        self.assertEqual(len(applied), 1, chain)
        table.deliver_late()
        self.assertEqual(len(await table.inner.scan("journal/")), 1, chain)

    def test_refused_change_is_not_written_by_a_late_attempt(self) -> None:
        async def scenario() -> None:
            table = FaultyTable(MemoryTable())
            session = await open_session(table)
            await session.commit()
            table.inner.apply([], [Write("x", b"1")])
            faults = iter([CommitFault.LATE, CommitFault.NONE])

            def _fault(writes: list[Write]) -> CommitFault:
                fault = next(faults, None)
                if fault is None:
                    table.inner.apply([], [Write("x", None)])
                    table.deliver_late()
                return fault or CommitFault.NONE

            table.fault = _fault
            results = await asyncio.gather(
                session.commit(writes=[Write("a", b"1")]),
                session.commit(checks=[Check("x", 0)], writes=[Write("b", b"1")]),
                return_exceptions=True,
            )
            was_refused = isinstance(results[1], StoreConflictError)
            self.assertEqual(was_refused, await table.inner.read("b") is None, results)

        run_virtual(scenario)

    def test_changes_of_the_same_row_go_into_different_commits(self) -> None:
        async def scenario() -> None:
            session = await open_session(MemoryTable())
            results = await asyncio.gather(
                *(
                    session.commit(checks=[Check("x", 0)], writes=[Write("x", text)])
                    for text in (b"1", b"2")
                ),
                return_exceptions=True,
            )
            self.assertIsInstance(results[0], int)
            self.assertIsInstance(results[1], StoreConflictError)

        run_virtual(scenario)


class LeaseTest(unittest.TestCase):
    def test_lease_counts_from_the_attempt_that_took_effect(self) -> None:
        async def scenario() -> None:
            table = FaultyTable(MemoryTable())
            session = await open_session(table)
            await session.commit()
            table.fault = faults_in_order(
                CommitFault.ANSWER_LOST, *[CommitFault.DROPPED] * 3
            )
            sent_s = asyncio.get_event_loop().time()
            await session.commit()
            now_s = asyncio.get_event_loop().time()
            self.assertGreater(now_s, sent_s)
            self.assertAlmostEqual(session.lease_age_s, now_s - sent_s, places=3)

        run_virtual(scenario)

    def test_first_lease_counts_from_the_sending_of_its_commit(self) -> None:
        async def scenario() -> None:
            table = MemoryTable()
            commit = table.commit

            async def _commit_slowly(checks: Any, writes: Any) -> int:
                await asyncio.sleep(1.0)
                return await commit(checks, writes)

            table.commit = _commit_slowly
            session = await open_session(table)
            self.assertGreaterEqual(session.lease_age_s, 1.0)

        run_virtual(scenario)

    def test_resumed_holder_is_stale_until_a_commit_succeeds(self) -> None:
        async def scenario() -> None:
            table = FaultyTable(MemoryTable())
            session = await open_session(table)
            await session.commit()
            loop = asyncio.get_running_loop()
            loop._selector_with_time.now_s += 2 * LEASE_S
            self.assertTrue(session.is_stale)
            await session.commit()
            self.assertFalse(session.is_stale)
            table.is_down = True
            await asyncio.sleep(3 * LEASE_S)
            self.assertFalse(session.has_lease)
            self.assertFalse(session.is_stale, "an observed outage is not a pause")

        run_virtual(scenario)


class EndTest(unittest.TestCase):
    def test_taken_over_session_says_whether_changes_may_be_written(self) -> None:
        async def scenario() -> None:
            for fault, verdict in (
                (CommitFault.NONE, NOT_RUN),
                (CommitFault.DROPPED, MAY_HAVE_RUN),
            ):
                table = FaultyTable(MemoryTable())
                session = await open_session(table)
                await session.commit()
                table.fault = faults_in_order(fault)
                await table.inner.commit([], [Write(session_key(session.id), None)])
                with self.assertRaises(SessionLostError) as caught:
                    await session.commit([ProgramEnded("p1", "x")])
                self.assertEqual(caught.exception.verdict, verdict)
                self.assertTrue(session.is_lost)

        run_virtual(scenario)

    def test_close_resolves_pending_commits(self) -> None:
        async def scenario() -> None:
            table = FaultyTable(MemoryTable())
            session = await open_session(table)
            await session.commit()
            table.fault = lambda writes: CommitFault.DROPPED
            waiting = asyncio.ensure_future(session.commit([ProgramEnded("p", "x")]))
            await asyncio.sleep(0.05)
            await session.close()
            done, _ = await asyncio.wait([waiting], timeout=1.0)
            self.assertTrue(done, "a pending commit was never resolved")
            self.assertEqual(waiting.exception().verdict, MAY_HAVE_RUN)

        run_virtual(scenario)

    def test_close_returns_right_after_an_announcement(self) -> None:
        async def scenario() -> None:
            session = await open_session(MemoryTable())
            await session.commit()
            await asyncio.sleep(0.01)
            session.announce(shards=[1])
            await asyncio.wait_for(session.close(), 10.0)

        run_virtual(scenario)

    def test_close_commits_pending_changes(self) -> None:
        async def scenario() -> None:
            table = MemoryTable()
            session = await open_session(table, interval_s=lambda: 0.5)
            commits = [
                asyncio.ensure_future(session.commit([ProgramEnded(f"p{index}", "x")]))
                for index in range(3)
            ]
            await asyncio.sleep(0)
            await session.close()
            results = await asyncio.gather(*commits, return_exceptions=True)
            self.assertTrue(all(isinstance(item, int) for item in results), results)

        run_virtual(scenario)

    def test_rejected_transaction_fails_only_its_own_commit(self) -> None:
        async def scenario() -> None:
            table = MemoryTable()
            session = await open_session(table)
            await session.commit()
            commit = table.commit

            async def _commit_unless_bad(checks: Any, writes: list[Write]) -> int:
                if any(write.key == "bad" for write in writes):
                    raise StoreError("table service answered 400", verdict=NOT_RUN)
                return await commit(checks, writes)

            table.commit = _commit_unless_bad
            with self.assertRaises(StoreError):
                await session.commit(writes=[Write("bad", b"1")])
            await session.commit(writes=[Write("good", b"1")])
            self.assertFalse(session.is_lost)

        run_virtual(scenario)
