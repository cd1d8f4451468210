"""The account of buffered bytes: whose bytes are dropped when the bound is reached."""

from __future__ import annotations

import unittest

from carobspur.gateway.memory.account import (
    SEND_COPIES,
    ConnectionUse,
    MemoryAccount,
    Phase,
    first_to_disconnect,
    overdue,
)
from carobspur.gateway.memory.settings import MemorySettings

SETTINGS = MemorySettings(machine_mb=80)
BOUND = SETTINGS.buffer_bytes
LARGE = BOUND // 10
SMALL = 1000
NOW = 100.0


class AccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = MemoryAccount(SETTINGS)

    def _use(
        self, phase: Phase, size: int = 0, *, unread: int = 0, age_s: float = 0.0
    ) -> ConnectionUse:
        use = ConnectionUse(request_bytes=size, unread_bytes=unread)
        use.enter(phase, NOW - age_s)
        self.account.add(use)
        return use

    def _begin_body(self) -> ConnectionUse:
        return self._use(Phase.BODY)

    def test_largest_stalled_body_is_dropped_first(self) -> None:
        self._use(Phase.BODY, 4 * LARGE)
        stalled = self._use(Phase.BODY, 2 * LARGE, age_s=5)
        self._use(Phase.BODY, LARGE, age_s=9)
        new = self._begin_body()
        self.assertEqual([stalled], self.account.set_request(new, 2 * LARGE, NOW))

    def test_unread_answer_is_dropped_before_a_body_that_makes_progress(self) -> None:
        self._use(Phase.BODY, 5 * LARGE)
        unread = self._use(Phase.ANSWER, unread=2 * LARGE, age_s=5)
        new = self._begin_body()
        self.assertEqual([unread], self.account.set_request(new, 2 * LARGE, NOW))

    def test_without_stalled_ones_the_largest_incomplete_body_is_dropped(self) -> None:
        largest = self._use(Phase.BODY, 5 * LARGE)
        self._use(Phase.BODY, 2 * LARGE)
        new = self._begin_body()
        self.assertEqual([largest], self.account.set_request(new, 2 * LARGE, NOW))

    def test_complete_request_is_never_dropped_and_the_new_one_has_no_room(
        self,
    ) -> None:
        running = self._use(Phase.REQUEST, 7 * LARGE, age_s=9)
        new = self._begin_body()
        self.account.set_request(new, LARGE // 2, NOW)
        fits, dropped = self.account.retain(new, LARGE, NOW)
        self.assertEqual((False, []), (fits, dropped))
        self.assertIn(running, self.account.uses)
        self.assertEqual(7 * LARGE, self.account.total_bytes)

    def test_share_stays_free_for_small_requests(self) -> None:
        self._use(Phase.REQUEST, int(7.9 * LARGE))
        large, small = self._begin_body(), self._begin_body()
        self.assertFalse(self.account.retain(large, LARGE, NOW)[0])
        self.assertTrue(self.account.retain(small, SMALL, NOW)[0])

    def test_copy_for_sending_counts(self) -> None:
        new = self._begin_body()
        self.account.retain(new, LARGE, NOW)
        self.assertEqual(SEND_COPIES * LARGE, self.account.total_bytes)
        self.account.release(new)
        self.assertEqual(0, self.account.total_bytes)

    def test_answers_of_endpoints_count(self) -> None:
        self.account = MemoryAccount(SETTINGS, other_bytes=lambda: 7 * LARGE)
        new = self._begin_body()
        self.assertEqual([new], self.account.set_request(new, 2 * LARGE, NOW))

    def test_total_never_exceeds_the_bound_while_bodies_grow(self) -> None:
        uses = [self._begin_body() for _ in range(30)]
        for size in range(0, LARGE, LARGE // 10):
            for use in uses:
                if not use.is_dropped:
                    self.account.set_request(use, size, NOW)
                self.assertLessEqual(self.account.total_bytes, BOUND)
        self.assertTrue(any(not use.is_dropped for use in uses))

    def test_dropped_connection_no_longer_counts(self) -> None:
        use = self._use(Phase.BODY, LARGE)
        self.account.remove(use)
        self.assertEqual([], self.account.set_request(use, 20 * LARGE, NOW))
        self.assertEqual(0, self.account.total_bytes)

    def test_single_bytes_are_no_progress(self) -> None:
        use = self._use(Phase.BODY, age_s=50)
        use.record_bytes(1, NOW)
        self.assertEqual(50, use.stalled_s(NOW))
        use.record_bytes(1023, NOW)
        self.assertEqual(0, use.stalled_s(NOW))


class ConnectionsTest(unittest.TestCase):
    def _use(self, phase: Phase, *, age_s: float, unread: int = 0) -> ConnectionUse:
        use = ConnectionUse(unread_bytes=unread)
        use.enter(phase, NOW - age_s)
        return use

    def test_stalled_then_idle_then_unread_then_progressing_connections_are_closed(
        self,
    ) -> None:
        order = [
            self._use(Phase.HEAD, age_s=9),
            self._use(Phase.BODY, age_s=3),
            self._use(Phase.IDLE, age_s=20),
            self._use(Phase.IDLE, age_s=0.5),
            self._use(Phase.ANSWER, age_s=30, unread=1),
            self._use(Phase.BODY, age_s=0.1),
        ]
        uses = {self._use(Phase.REQUEST, age_s=90), *order}
        for expected in order:
            found = first_to_disconnect(uses, NOW, stall_s=1.0)
            self.assertIs(expected, found)
            uses.remove(found)
        self.assertIsNone(first_to_disconnect(uses, NOW, stall_s=1.0))

    def test_time_limits_name_their_setting(self) -> None:
        for use, bound in (
            (self._use(Phase.HEAD, age_s=4), "head_time"),
            (self._use(Phase.HEAD, age_s=2), ""),
            (self._use(Phase.BODY, age_s=31), "body_idle_s"),
            (self._use(Phase.BODY, age_s=29), ""),
            (self._use(Phase.ANSWER, age_s=31, unread=1), "unread_idle_s"),
            (self._use(Phase.REQUEST, age_s=90), ""),
            (self._use(Phase.IDLE, age_s=90), ""),
        ):
            with self.subTest(use):
                found = overdue(use, NOW, head_s=3.0, settings=SETTINGS)
                self.assertEqual(bound, found)
