"""A feed follows its table despite errors, lost history and hanging store calls."""

from __future__ import annotations

import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.feed import REFRESH_INTERVAL_S, TableFeed
from carobspur.gateway.rows import (
    HistoryGoneError,
    Row,
    RowKey,
    RowStoreAwayError,
    Snapshot,
)


def row(key: str, version: int, value: bytes | None = b"x") -> Row:
    return Row(RowKey("t", "", key), value, version)


class _Store:
    """Answers from lists; a call hangs at ``None`` and at the end of its list."""

    def __init__(self, reads: list, changes: list) -> None:
        self._reads = reads
        self._changes = changes
        self.calls: list[str] = []

    async def read(self, table: str, partition: str, **_: object) -> Snapshot:
        return await self._answer("read", self._reads)

    async def changes(self, table: str, *, after: int, wait_s: float) -> Snapshot:
        return await self._answer(f"changes {after}", self._changes)

    async def _answer(self, call: str, answers: list) -> Snapshot:
        self.calls.append(call)
        answer = answers.pop(0) if answers else None
        if answer is None:
            await asyncio.sleep(3600)
        if isinstance(answer, Exception):
            raise answer
        await asyncio.sleep(0.01)
        return answer


def _feed(store: _Store) -> tuple[TableFeed, list]:
    seen: list = []
    log = DecisionLog(logging.getLogger("test"))

    def on_rows(rows: list[Row], is_full_table: bool) -> None:
        seen.append(([item.key.key for item in rows], is_full_table))

    return TableFeed(store, "t", on_rows, log), seen


class FeedTest(IsolatedAsyncioTestCase):
    async def _run(self, feed: TableFeed, duration_s: float) -> None:
        task = asyncio.ensure_future(feed.follow())
        await asyncio.sleep(duration_s)
        task.cancel()

    async def test_reads_all_rows_then_follows_changes_from_their_version(self) -> None:
        store = _Store(
            [Snapshot([row("a", 1)], 5)],
            [Snapshot([row("b", 7), row("a", 8, None)], 8)],
        )
        feed, seen = _feed(store)
        await self._run(feed, 0.1)
        self.assertEqual(["read", "changes 5", "changes 8"], store.calls)
        self.assertEqual([(["a"], True), (["b", "a"], False)], seen)
        self.assertEqual(["b"], list(feed.rows))

    async def test_reads_all_rows_again_if_changes_are_lost_but_not_after_an_outage(
        self,
    ) -> None:
        store = _Store(
            [Snapshot([], 5), Snapshot([row("c", 9)], 9)],
            [RowStoreAwayError("away"), HistoryGoneError("gone")],
        )
        feed, _ = _feed(store)
        await self._run(feed, 0.4)
        self.assertEqual(
            ["read", "changes 5", "changes 5", "read", "changes 9"], store.calls
        )

    async def test_hanging_call_is_repeated(self) -> None:
        store = _Store([Snapshot([], 5)], [None, Snapshot([row("b", 7)], 7)])
        feed, seen = _feed(store)
        task = asyncio.ensure_future(feed.follow())
        await asyncio.sleep(0.1)
        feed.refresh()
        await asyncio.sleep(0.1)
        task.cancel()
        self.assertIn((["b"], False), seen)

    async def test_refresh_that_comes_too_soon_is_postponed(self) -> None:
        store = _Store([Snapshot([], 5)], [None, None, Snapshot([row("b", 7)], 7)])
        feed, seen = _feed(store)
        task = asyncio.ensure_future(feed.follow())
        await asyncio.sleep(0.1)
        feed.refresh()
        await asyncio.sleep(0.05)
        feed.refresh()
        await asyncio.sleep(REFRESH_INTERVAL_S)
        task.cancel()
        self.assertIn((["b"], False), seen)

    async def test_frequent_refreshes_do_not_starve_a_feed(self) -> None:
        store = _Store([Snapshot([row("a", 1)], 5)], [])
        feed, seen = _feed(store)
        task = asyncio.ensure_future(feed.follow())
        for _ in range(40):
            feed.refresh()
            await asyncio.sleep(0.002)
        task.cancel()
        self.assertEqual([(["a"], True)], seen)

    async def test_rows_of_a_peer_are_ignored_once_the_store_has_answered(self) -> None:
        store = _Store([Snapshot([row("a", 1)], 5)], [])
        feed, seen = _feed(store)
        feed.load([row("p", 1)])
        await self._run(feed, 0.05)
        feed.load([row("q", 1)])
        self.assertEqual([(["p"], False), (["a"], True)], seen)
