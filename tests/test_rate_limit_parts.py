"""The parts of the rate limit: buckets, tokens, shares, counts and datagrams."""

from __future__ import annotations

import math
import unittest

import msgspec

from carobspur.gateway.calls import Call, ProgramInfo, PromptPart
from carobspur.gateway.customers.customer import Customer
from carobspur.gateway.customers.granted_tokens import GrantedTokens
from carobspur.gateway.customers.known_gateways import FORGET_AFTER_S, KnownGateways
from carobspur.gateway.customers.program_starts import ProgramStarts
from carobspur.gateway.customers.rate_limit_messages import (
    MAX_ENTRIES,
    AnswerEntry,
    RateAnswer,
    RateRequest,
    RequestEntry,
    customer_id,
)
from carobspur.gateway.customers.rate_limit_owner import RateLimitOwner
from carobspur.gateway.customers.rate_limit_times import (
    TOKEN_VALIDITY_S,
    RateLimitTolerance,
)
from carobspur.gateway.customers.rate_limiter import RateLimiter, Refusal, Waiter
from carobspur.gateway.customers.share_delegation import ShareDelegation
from carobspur.gateway.customers.token_bucket import TokenBucket
from carobspur.gateway.routes import Route, RouteKind, WeightedService

from .rate_limit_world import TOLERANCE

MAX_DATAGRAM_BYTES = 1400
CUSTOMER = Customer("c", rate_per_s=10, burst=20)


def rate_request(number: int, *, stamp: float, wanted: int = 0) -> RateRequest:
    """Return a request of the gateway ``a`` that delegates its share."""
    entry = RequestEntry(customer_id("c"), True, wanted)
    return RateRequest("a/1", "a", number, stamp, stamp, 1, [entry])


def owner_answer(limiter: RateLimiter, entry: AnswerEntry) -> RateAnswer:
    """Return the answer of the owner ``o`` to a request that was sent at 1.0."""
    limiter.update_members(
        ["a", "o"], ["o"], 1.0, is_table_current=True, is_candidate=False
    )
    ((_, request),) = limiter.tick(1.0)
    return RateAnswer("o", request.number, 1.0, 1.0, 2, [entry])


def a_route(kind: RouteKind) -> Route:
    """Return a route of a kind."""
    return Route("r", "h", "/", kind, (WeightedService("s", 1),), 3.0, 1.0, 1)


def a_call(*, previous: str = "", program: str = "p", parts: int = 0) -> Call:
    """Return a call of a program."""
    info = ProgramInfo(program, previous_turn=previous)
    prompt = tuple(PromptPart(str(number), 10) for number in range(parts))
    return Call("id", "POST", "/", "h", [], b"", 0.0, program=info, prompt_parts=prompt)


class TokenBucketTest(unittest.TestCase):
    def test_takes_at_most_the_capacity_and_the_rate(self) -> None:
        bucket = TokenBucket(10, 20, 0.0)
        taken = 0
        for step in range(1000):
            bucket.refill(step / 100, 1.0)
            taken += bucket.take(5)
        self.assertLessEqual(taken, 20 + 10 * 10)
        self.assertGreaterEqual(taken, 10 * 10 - 1)

    def test_smaller_share_clamps_level_and_rate(self) -> None:
        # Guards against a bucket that keeps the tokens of shares it has lost.
        bucket = TokenBucket(10, 20, 0.0)
        bucket.refill(100.0, 1.0)
        bucket.refill(100.0, 0.25)
        self.assertEqual(5.0, bucket.level)
        self.assertEqual(5, bucket.take(9))
        self.assertAlmostEqual(0.8, bucket.wait_s(2, 0.25))

    def test_reserve_is_left(self) -> None:
        bucket = TokenBucket(10, 20, 0.0)
        bucket.refill(2.0, 1.0)
        self.assertEqual(15, bucket.take(30, keep=5))
        self.assertEqual(5, bucket.take(30))

    def test_time_that_goes_back_adds_nothing(self) -> None:
        bucket = TokenBucket(10, 20, 5.0)
        bucket.refill(4.0, 1.0)
        bucket.refill(5.0, 1.0)
        self.assertEqual(0.0, bucket.level)


class GrantedTokensTest(unittest.TestCase):
    def test_expired_tokens_are_not_used(self) -> None:
        # Guards against tokens that a suspended gateway uses once it is resumed.
        tokens = GrantedTokens(0.0)
        tokens.add(1, 1, 1.0)
        self.assertEqual(1.0, tokens.take(0.5, is_running=False))
        self.assertIsNone(tokens.take(0.5, is_running=False))
        self.assertIsNone(tokens.take(1.0, is_running=True))

    def test_token_of_an_unsent_request_keeps_its_expiry(self) -> None:
        tokens = GrantedTokens(0.0)
        tokens.give_back(1.0, 1.5)
        self.assertIsNone(tokens.take(1.5, is_running=True))
        tokens.give_back(2.0, 1.5)
        self.assertEqual(2.0, tokens.take(1.6, is_running=True))


class ShareDelegationTest(unittest.TestCase):
    def test_acknowledgement_of_an_earlier_withdrawal_frees_nothing(self) -> None:
        # Guards against a share that two owners count after reordered datagrams.
        delegation = ShareDelegation(0.0)
        delegation.delegate("a", 1.0, 1)
        delegation.delegate("a", 1.2, 3)
        delegation.returned("a", 0.0, 2, 1.3)
        self.assertFalse(delegation.may_delegate("b", 1.3))
        delegation.returned("a", 0.5, 4, 1.3)
        self.assertTrue(delegation.may_delegate("b", 1.3))
        self.assertEqual(0.5, delegation.delegate("b", 1.3, 5))


class ToleranceTest(unittest.TestCase):
    def test_half_of_the_tolerance_is_capacity(self) -> None:
        small = Customer("c", rate_per_s=1)
        large = Customer("c", rate_per_s=100, burst=50)
        self.assertAlmostEqual(10.25, TOLERANCE.capacity(small))
        self.assertAlmostEqual(50 + 0.5 * (0.1 * 550 + 20), TOLERANCE.capacity(large))

    def test_capacity_without_tolerance_is_the_burst(self) -> None:
        for burst, capacity in ((0, 1), (0.5, 1), (7, 7)):
            customer = Customer("c", rate_per_s=100, burst=burst)
            self.assertEqual(capacity, RateLimitTolerance().capacity(customer))


class OwnerTest(unittest.TestCase):
    def _owner(
        self,
        customer: Customer = CUSTOMER,
        tolerance: RateLimitTolerance = TOLERANCE,
        others: tuple[str, ...] = (),
    ) -> RateLimitOwner:
        known = KnownGateways()
        known.update(["a", *others], 0.0, is_table_current=True)
        owner = RateLimitOwner("o", known, tolerance)
        owner.configure([customer], 0.0)
        return owner

    def _new_tokens(self, owner: RateLimitOwner, senders: str) -> int:
        """Return how many new programs in 10 s get a token, at two attempts a second.

        Args:
            owner: The owner.
            senders: Gateways that delegate their share; the first asks for tokens.
        """
        granted = 0
        for number in range(1, 21):
            now = 9 + number / 2
            for callers in reversed(senders):
                wanted = int(callers == senders[0])
                entry = RequestEntry(customer_id("c"), True, new=wanted)
                request = RateRequest(
                    f"{callers}/1", callers, number, now, now, len(senders), [entry]
                )
                (answer,) = owner.answer(request, now).entries
                granted += answer.other
        return granted

    def test_reserve_leaves_a_token_for_a_new_program(self) -> None:
        # Guards against a reserve of a fifth of a capacity of 1, with which no program
        # of a customer without burst and tolerance begins.
        for tolerance in (TOLERANCE, RateLimitTolerance()):
            owner = self._owner(Customer("c", rate_per_s=1), tolerance)
            with self.subTest(tolerance=tolerance):
                self.assertGreaterEqual(self._new_tokens(owner, "a"), 9)

    def test_delegations_that_arrive_late_or_twice_count_for_nothing(self) -> None:
        # Guards against old messages in the socket of a process that was suspended, and
        # stamps of a machine that was started again.
        for stamp in (1.0, 99.0):
            owner = self._owner()
            owner.answer(rate_request(1, stamp=stamp), 9.0)
            with self.subTest(stamp=stamp):
                self.assertEqual([], owner.shares("c", 9.0))
        owner = self._owner()
        self.assertIsNotNone(owner.answer(rate_request(1, stamp=9.0), 9.0))
        self.assertIsNone(owner.answer(rate_request(1, stamp=9.0), 9.0))

    def test_majority_grants_at_least_one_token_at_a_time(self) -> None:
        # Guards against a small capacity of which a majority of the shares has less
        # than one token: one dead gateway kept the customer out for ten minutes.
        customer = Customer("c", rate_per_s=1)
        for senders, least, most in (("abcd", 9, 11), ("abc", 6, 9), ("ab", 0, 0)):
            owner = self._owner(customer, RateLimitTolerance(), ("b", "c", "d"))
            with self.subTest(senders=senders):
                granted = self._new_tokens(owner, senders)
                self.assertTrue(least <= granted <= most, granted)

    def test_initial_level_is_granted_once_in_a_window(self) -> None:
        # Guards against an initial level with every change to an owner and back.
        owner = self._owner(Customer("c", rate_per_s=0.1))
        granted = []
        for number, now in enumerate((9.0, 10.0, 11.0, 15.0), 1):
            request = rate_request(number, stamp=now, wanted=5)
            (entry,) = owner.answer(request, now).entries
            granted.append(entry.running)
        self.assertEqual([3, 0, 0, 3], granted)

    def test_lowered_limit_clamps_the_bucket(self) -> None:
        # Guards against an owner that grants the level of the former limit.
        owner = self._owner()
        for number in range(1, 11):
            now = 9.0 + number / 2
            owner.answer(rate_request(number, stamp=now), now)
        lowered = Customer("c", rate_per_s=1)
        owner.configure([lowered], 14.0)
        (entry,) = owner.answer(rate_request(11, stamp=14.0, wanted=40), 14.0).entries
        self.assertEqual(int(TOLERANCE.capacity(lowered)), entry.running)

    def test_damaged_numbers_are_refused(self) -> None:
        # Guards against a level that is no number: it remained in the bucket, and every
        # later answer for the customer raised an error.
        decoder = msgspec.msgpack.Decoder(RateRequest | RateAnswer)
        request = rate_request(1, stamp=9.0)
        damaged: list[RateRequest | RateAnswer] = [
            msgspec.structs.replace(request, sender="s" * 1000),
            msgspec.structs.replace(request, stamp=math.inf),
            msgspec.structs.replace(request, gateways=-1),
        ]
        for level in (math.nan, math.inf, -1.0):
            entry = msgspec.structs.replace(request.entries[0], level=level)
            damaged.append(msgspec.structs.replace(request, entries=[entry]))
            returned = AnswerEntry(1, 0, 0, 0, 0, 0, True, level)
            damaged.append(RateAnswer("o", 1, 1.0, 1.0, 1, [returned]))
        for message in damaged:
            with self.subTest(message=message), self.assertRaises(msgspec.MsgspecError):
                decoder.decode(msgspec.msgpack.encode(message))
        sound = decoder.decode(msgspec.msgpack.encode(request))
        self.assertEqual(request, sound)

    def test_refusal_states_when_there_is_room(self) -> None:
        owner = self._owner()
        answer = owner.answer(rate_request(1, stamp=9.0, wanted=13), 9.0)
        (entry,) = answer.entries
        self.assertEqual(3, entry.running)
        self.assertEqual(1000, entry.running_retry_ms)


class KnownGatewaysTest(unittest.TestCase):
    def test_unread_table_gives_no_count(self) -> None:
        # Guards against a fresh process that takes itself for the whole deployment.
        known = KnownGateways()
        known.update(["a"], 0.0, is_table_current=False)
        self.assertEqual((0, 0), (known.count(0.0), known.own_count()))
        known.record_report(37, 0.0)
        self.assertEqual(37, known.count(0.0))

    def test_gateways_that_did_not_leave_count_on(self) -> None:
        # Guards against both sides of a partition dividing the rate among themselves
        # once they have removed each other's rows.
        known = KnownGateways()
        known.update(["a", "b"], 0.0, is_table_current=True)
        known.update(["a"], FORGET_AFTER_S - 1, is_table_current=True)
        self.assertEqual(2, known.count(FORGET_AFTER_S - 1))
        # Without the store nobody is forgotten at all.
        known.update(["a"], 9 * FORGET_AFTER_S, is_table_current=False)
        self.assertEqual(2, known.count(9 * FORGET_AFTER_S))
        known.update(["a"], 10 * FORGET_AFTER_S, is_table_current=True)
        self.assertEqual(1, known.count(10 * FORGET_AFTER_S))

    def test_gateway_that_left_counts_until_its_row_is_removed(self) -> None:
        known = KnownGateways()
        known.update(["a", "b"], 0.0, is_table_current=True, leaving=["b"])
        self.assertEqual(2, known.count(0.0))
        known.update(["a"], 1.0, is_table_current=True)
        self.assertEqual(1, known.count(1.0))

    def test_fresh_process_admits_nothing_by_itself(self) -> None:
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)
        limiter.configure([CUSTOMER], 0.0)
        limiter.update_members(
            ["a"], [], 5.0, is_table_current=False, is_candidate=True
        )
        limiter.tick(5.0)
        results: list[Refusal | float] = []
        limiter.wait("c", Waiter(True, 5.1, results.append))
        limiter.collect(5.0)
        limiter.poll(5.2)
        self.assertIsInstance(results[0], Refusal)


class NoLimitTest(unittest.TestCase):
    def test_share_of_a_limit_that_returns_is_not_delegated_twice(self) -> None:
        # Guards against a second owner of the share while the first, which has not yet
        # applied the configuration without the limit, still counts it.
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)
        limiter.configure([CUSTOMER], 0.0)
        entry = AnswerEntry(customer_id("c"), 0, 0, 0, 0, 0)
        limiter.receive(owner_answer(limiter, entry), 1.0)
        limiter.configure([], 1.1)
        limiter.configure([CUSTOMER], 1.2)
        limiter.update_members(
            ["a", "o"], [], 1.3, is_table_current=True, is_candidate=True
        )
        limiter.tick(1.3)
        self.assertEqual([], limiter.counted_shares("c", 1.3))
        limiter.tick(1.9)
        self.assertEqual(["a"], limiter.counted_shares("c", 1.9))

    def test_nothing_is_sent_without_limits(self) -> None:
        # Guards against messages in deployments that have no limits, or none any more
        # while an owner is silent.
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)

        def _messages(start: float) -> int:
            return sum(len(limiter.tick(start + step / 4)) for step in range(8))

        limiter.update_members(
            ["a", "b"], ["b"], 1.0, is_table_current=True, is_candidate=False
        )
        limiter.configure([Customer("free")], 1.0)
        self.assertEqual(0, _messages(1.0))
        limiter.configure([CUSTOMER], 3.0)
        self.assertGreater(_messages(3.0), 0)
        limiter.configure([], 5.0)
        self.assertEqual(0, _messages(5.0))


class ProgramStartsTest(unittest.TestCase):
    def test_signs_of_a_running_program(self) -> None:
        # Guards against refusing programs that have begun as if they were new.
        starts = ProgramStarts()
        stream = a_route(RouteKind.STREAM)
        self.assertFalse(starts.is_running(a_call(parts=2), stream))
        self.assertTrue(starts.is_running(a_call(previous="t"), stream))
        self.assertTrue(starts.is_running(a_call(parts=4), stream))
        self.assertTrue(starts.is_running(a_call(), a_route(RouteKind.ONCE)))
        seen = a_call(program="seen", parts=2)
        starts.record(seen)
        self.assertTrue(starts.is_running(seen, stream))


class DatagramTest(unittest.TestCase):
    def test_largest_messages_fit_into_a_datagram(self) -> None:
        # Guards against datagrams that the network fragments or drops.
        entry = RequestEntry(2**64 - 1, True, 9999, 9999, 9999, 1.5)
        request = RateRequest("n" * 60, "h" * 60, 2**40, 1.5, 1.5, 999, [entry])
        answer = AnswerEntry(2**64 - 1, 9999, 9999, 3000, 3000, 99999, True, 1.5)
        reply = RateAnswer("h" * 60, 2**40, 1.5, 1.5, 999, [answer])
        for message in (request, reply):
            whole = msgspec.structs.replace(
                message, entries=message.entries * MAX_ENTRIES
            )
            size = len(msgspec.msgpack.encode(whole))
            self.assertLess(size, MAX_DATAGRAM_BYTES)

    def test_tokens_of_a_late_answer_have_expired(self) -> None:
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)
        limiter.configure([CUSTOMER], 0.0)
        entry = AnswerEntry(customer_id("c"), 5, 5, 0, 0, 0)
        limiter.receive(owner_answer(limiter, entry), 9.0)
        late_s = 1.0 + TOKEN_VALIDITY_S
        self.assertIsNone(limiter.try_take("c", late_s, is_running=True))

    def test_lowered_limit_discards_tokens(self) -> None:
        # Guards against tokens of the former limit that are used after the change.
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)
        limiter.configure([CUSTOMER], 0.0)
        entry = AnswerEntry(customer_id("c"), 5, 5, 0, 0, 0)
        limiter.receive(owner_answer(limiter, entry), 1.0)
        self.assertIsNotNone(limiter.try_take("c", 1.0, is_running=True))
        limiter.configure([Customer("c", rate_per_s=1)], 1.0)
        self.assertIsNone(limiter.try_take("c", 1.0, is_running=True))

    def test_answer_without_its_request_grants_nothing(self) -> None:
        # Guards against tokens that count twice or remain valid without end.
        limiter = RateLimiter("a/1", "a", 0.0, TOLERANCE)
        limiter.configure([CUSTOMER], 0.0)
        entry = AnswerEntry(customer_id("c"), 1, 0, 0, 0, 0)
        answer = owner_answer(limiter, entry)
        limiter.receive(answer, 1.0)
        limiter.receive(answer, 1.0)
        future = owner_answer(limiter, entry)
        limiter.receive(msgspec.structs.replace(future, sent_at=1e9), 1.0)
        self.assertIsNotNone(limiter.try_take("c", 1.0, is_running=True))
        self.assertIsNone(limiter.try_take("c", 1.0, is_running=True))
