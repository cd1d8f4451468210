"""A gateway that starts during an outage of the row store loads tables from peers."""

from __future__ import annotations

import asyncio
import logging
import unittest

from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.feed import TableFeed
from carobspur.gateway.member_rows import TABLE, MemberRows
from carobspur.gateway.members import Member, Membership
from carobspur.platform.bootstrap import (
    MEMBERS_FEED,
    decode_snapshot,
    encode_snapshot,
    load_snapshot,
)

LOG = DecisionLog(logging.getLogger("test"))


def member(number: int) -> Member:
    return Member(f"g{number}/s", "a", f"h:{number}", f"p:{number}", f"u:{number}")


class SnapshotTest(unittest.TestCase):
    def test_snapshot_includes_members_whose_rows_its_sender_has_not_read(self) -> None:
        async def members_after_load() -> set[str]:
            sender_feeds = {MEMBERS_FEED: TableFeed(None, TABLE, lambda *_: None, LOG)}
            data = encode_snapshot(sender_feeds, members=[member(1), member(2)])
            membership = Membership(member(3))
            rows = MemberRows(membership, None, LOG, loss_window_s=lambda: 0.0)
            feeds = {MEMBERS_FEED: TableFeed(None, TABLE, rows.apply, LOG)}
            load_snapshot(feeds, decode_snapshot(data))
            return {item.name for item in membership.others()}

        self.assertEqual({"g1/s", "g2/s"}, asyncio.run(members_after_load()))
