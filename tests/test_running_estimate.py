"""Estimates of an endpoint's load from peers' counts and its own report.

From 18 gateways on, load reports reach only the gateways of the same data centre. Their
sum, with four data centres a quarter of the true load, replaced the load that the
endpoint reported: an engine with a queue looked half empty.
"""

from __future__ import annotations

import asyncio
import logging
import unittest

from carobspur.gateway.calls import EndpointLoad
from carobspur.gateway.decisions import DecisionLog
from carobspur.gateway.health import LOAD_REPORT_TTL_S, HealthTracker
from carobspur.gateway.heartbeats_udp import HeartbeatSender
from carobspur.gateway.load_sharing import LoadReport, name_hash
from carobspur.gateway.members import FULL_MESH_MAX_PEERS, Heartbeat, Member, Membership


def tracker(*, is_complete: bool, peers: int, reported: EndpointLoad) -> HealthTracker:
    """Return a tracker with one request of its own, a peers' sum and a load report."""
    health = HealthTracker()
    health.peers.is_complete = is_complete
    health.begin("e")
    health.record_load("e", reported, 0.0)
    health.peers.record(LoadReport(1, {name_hash("e"): peers}), 0.0)
    return health


def members(others: int) -> Membership:
    """Return the membership of a gateway in ``a``, with all others alive."""
    membership = Membership(Member("m00", "a", "h:0", "h:0", "127.0.0.1:9"))
    for number in range(1, others + 1):
        name = f"m{number:02}"
        callers = f"h:{number}"
        peer = Member(name, "ab"[number % 2], callers, callers, "127.0.0.1:9")
        membership.put(peer, 0.0)
        membership.record_heartbeat(Heartbeat(name, True), 0.0)
    return membership


class RunningEstimateTest(unittest.TestCase):
    def test_partial_reports_do_not_hide_a_queue(self) -> None:
        health = tracker(is_complete=False, peers=3, reported=EndpointLoad(8, 6, 8))
        self.assertEqual(14, health.running("e", 0.1))

    def test_requests_on_their_way_count_with_partial_reports(self) -> None:
        health = tracker(is_complete=False, peers=9, reported=EndpointLoad(2, 0, 8))
        self.assertEqual(10, health.running("e", 0.1))

    def test_reports_of_all_gateways_replace_an_older_report(self) -> None:
        """Deployments of up to 17 gateways must keep this behaviour."""
        health = tracker(is_complete=True, peers=3, reported=EndpointLoad(8, 6, 8))
        self.assertEqual(4, health.running("e", 0.1))

    def test_expired_report_leaves_the_partial_sum(self) -> None:
        health = tracker(is_complete=False, peers=3, reported=EndpointLoad(8, 6, 8))
        self.assertEqual(4, health.running("e", LOAD_REPORT_TTL_S + 0.1))

    def test_slowdown_of_an_old_report_is_not_used(self) -> None:
        load = EndpointLoad(1, 0, 8, 2.5)
        state = tracker(is_complete=True, peers=1, reported=load).state("e")
        self.assertEqual(2.5, state.slowdown(0.1))
        self.assertEqual(1.0, state.slowdown(LOAD_REPORT_TTL_S + 0.1))

    def test_age_of_counts_is_half_the_interval_of_reports(self) -> None:
        """Counts older than a call takes must not decide its placement."""
        peers = HealthTracker().peers
        for step in range(400):
            peers.record(LoadReport(step % 2, {}), step * 0.15)
        self.assertAlmostEqual(0.15, peers.mean_age_s, places=2)
        peers.record(LoadReport(1, {}), 1e6)
        self.assertLess(peers.mean_age_s, 0.17)

    def test_membership_knows_whether_reports_are_complete(self) -> None:
        for others in (FULL_MESH_MAX_PEERS, FULL_MESH_MAX_PEERS + 1):
            membership = members(others)
            recipients = membership.load_report_recipients(0.1)
            is_complete = membership.exchanges_all_loads(0.1)
            self.assertEqual(len(recipients) == others, is_complete)
            self.assertEqual(others <= FULL_MESH_MAX_PEERS, is_complete)

    def test_sender_marks_the_sums_of_a_large_deployment_as_partial(self) -> None:
        loads = HealthTracker().peers

        async def _send_once() -> None:
            membership = members(FULL_MESH_MAX_PEERS + 1)
            now = asyncio.get_running_loop().time()
            for peer in membership.others():
                membership.record_heartbeat(Heartbeat(peer.name, True), now)
            sender = HeartbeatSender(
                membership,
                loads,
                lambda: (True, True),
                DecisionLog(logging.getLogger("test")),
                on_store_unreachable=lambda: None,
            )
            async with sender.running("127.0.0.1", 0):
                await asyncio.sleep(0)

        asyncio.run(_send_once())
        self.assertFalse(loads.is_complete)
